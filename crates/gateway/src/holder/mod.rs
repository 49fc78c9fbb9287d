//! Serves other gateways on the connections that this one holds.
//!
//! For gateways that hold no share of a member or don't reach it, the holder lends connections, runs
//! statements, begins transactions, reports positions of primaries, and counts operations of tenants. It owns
//! the accepted tunnels. Connections come from the groups ([`Group::acquire`](crate::group::Group::acquire));
//! [`run`](crate::run) executes statements; the limits count operations. [`tunnel`](crate::tunnel) is the
//! client side.

mod frames;
mod lent;
mod operations;
mod statement;

use crate::drain::StopPhase;
use crate::error::LinkError;
use crate::group::LocatedConnection;
use crate::retry_after;
use crate::shared::GatewayContext;
use crate::tunnel::{OperationsRequest, RemoteRequest, shrink_buffers};
use crate::wire::Wire;
use corktack_core::identity::{GroupName, MemberName};
use corktack_protocol::frame::FrameCodec;
use corktack_protocol::liveness::Liveness;
use corktack_protocol::tunnel::{LoneRequest, TunnelRefusal, TunnelReply, TunnelRequest};
use frames::{HolderFrames, LOG_TARGET, send, with_heartbeats};
use futures_util::StreamExt;
use lent::serve_lent;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Pause after a failed accept, most likely for lack of file descriptors. A shorter pause spends processor
/// time on attempts that fail; a longer one keeps tunnels waiting although descriptors are free again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Size up to which a statement of another gateway is not accounted for, in bytes: the number of tunnels bounds
/// the memory for small statements.
const FREE_STATEMENT_BYTES: usize = 4 * 1024;

/// Serves tunnels of other gateways until the process ends.
pub(crate) async fn accept_tunnels<W: Wire>(listener: TcpListener, shared: Rc<GatewayContext<W>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_tunnel(stream, Rc::clone(&shared)));
            }
            Err(error) => {
                log::warn!(target: LOG_TARGET, error:% = error; "tunnel not accepted: listener pauses");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_tunnel<W: Wire>(stream: TcpStream, shared: Rc<GatewayContext<W>>) {
    // Ignore a failure: the socket options only save time (small messages aren't delayed, a lost peer is
    // detected sooner).
    drop(Liveness::WITHIN_DEPLOYMENT.apply(&stream));
    let mut frames = HolderFrames::new(stream, FrameCodec::default());
    while let Some(Ok(request)) = frames.next().await {
        let _in_progress = shared.stop.count_peer_request();
        let mut held = shared.peer_statements.start();
        let served = if begins_work(&request)
            && shared.stop.has_reached(StopPhase::EndingIdleSessions)
        {
            send(&mut frames, TunnelReply::Refused(TunnelRefusal::NotHeld)).await
        } else if held.add(statement_bytes(&request)).is_err() {
            let refusal = TunnelRefusal::NoneFree { retry_after: retry_after::NO_ROOM_REPORTED };
            send(&mut frames, TunnelReply::Refused(refusal)).await
        } else {
            serve_request(&shared, &mut frames, request).await
        };
        if served.is_err() {
            return;
        }
        shrink_buffers(&mut frames);
    }
}

/// Reports whether a request takes a connection to a member. A gateway that stops would cut the work short,
/// so that it refuses such a request; the other gateway asks another holder.
const fn begins_work(request: &TunnelRequest) -> bool {
    matches!(
        request,
        TunnelRequest::Acquire { .. } | TunnelRequest::Open { .. } | TunnelRequest::Run { .. }
    )
}

/// Returns the memory that the statement of a request takes, in bytes; 0 for an ordinary one.
fn statement_bytes(request: &TunnelRequest) -> usize {
    match request {
        TunnelRequest::Open { statement, .. } | TunnelRequest::Run { statement, .. } => {
            Some(statement.bytes()).filter(|bytes| *bytes > FREE_STATEMENT_BYTES).unwrap_or(0)
        }
        _ => 0,
    }
}

async fn serve_request<W: Wire>(
    shared: &GatewayContext<W>,
    frames: &mut HolderFrames,
    request: TunnelRequest,
) -> Result<(), LinkError> {
    match request {
        TunnelRequest::Acquire { group, member, principal, priority, wait, bound } => {
            let remote = RemoteRequest { group, member, principal, priority, wait, bound };
            lend_connection(shared, frames, &remote).await
        }
        TunnelRequest::Open { group, member, principal, priority, wait, limit, statement } => {
            let bound = statement.kind.bound();
            let remote = RemoteRequest { group, member, principal, priority, wait, bound };
            open_transaction(shared, frames, &remote, &statement, limit).await
        }
        TunnelRequest::Run { group, member, principal, priority, wait, limit, statement } => {
            let bound = statement.kind.bound();
            let remote = RemoteRequest { group, member, principal, priority, wait, bound };
            let running = statement::run(shared, &remote, &statement, limit);
            let reply = with_heartbeats(frames, running).await?;
            send(frames, reply.unwrap_or_else(TunnelReply::Refused)).await
        }
        TunnelRequest::BeginOperations { tenant, operations, priority, wait } => {
            let request = OperationsRequest { operations, priority, wait };
            operations::count(shared, frames, &tenant, request).await
        }
        TunnelRequest::ReturnOperations { tenant, begun } => {
            shared.limits.return_operations(&tenant, begun);
            send(frames, TunnelReply::Returned).await
        }
        TunnelRequest::Position { group, member, max_age, wait } => {
            report_position(shared, frames, &group, member, (max_age, wait)).await
        }
        // No connection is lent on this tunnel.
        TunnelRequest::Bytes(_) | TunnelRequest::Release { .. } => Err(LinkError::Closed),
    }
}

/// Lends a connection until the other gateway returns it.
async fn lend_connection<W: Wire>(
    shared: &GatewayContext<W>,
    frames: &mut HolderFrames,
    remote: &RemoteRequest,
) -> Result<(), LinkError> {
    let writes = remote.bound.is_none();
    match with_heartbeats(frames, statement::acquire(shared, remote, writes)).await? {
        Ok(LocatedConnection { mut lease, position }) => {
            let granted = statement::grant_reply(&mut lease, position);
            serve_lent(shared, frames, lease, granted).await
        }
        Err(refusal) => send(frames, TunnelReply::Refused(refusal)).await,
    }
}

/// Begins a transaction, runs its first statement, and lends the connection while it is open.
async fn open_transaction<W: Wire>(
    shared: &GatewayContext<W>,
    frames: &mut HolderFrames,
    remote: &RemoteRequest,
    first: &LoneRequest,
    limit: Duration,
) -> Result<(), LinkError> {
    match with_heartbeats(frames, statement::open_transaction(shared, remote, first, limit)).await?
    {
        Ok((Some(lease), opened)) => serve_lent(shared, frames, lease, opened).await,
        Ok((None, not_opened)) => send(frames, not_opened).await,
        Err(refusal) => send(frames, TunnelReply::Refused(refusal)).await,
    }
}

/// Reports the newest position of a group's primary that this gateway knows or can learn in time.
async fn report_position<W: Wire>(
    shared: &GatewayContext<W>,
    frames: &mut HolderFrames,
    group: &GroupName,
    member: MemberName,
    (max_age, wait): (Duration, Duration),
) -> Result<(), LinkError> {
    let reporting = async {
        shared.wait_for_document_until(Instant::now() + wait).await;
        let group = statement::find_group(shared, group)?;
        Ok(group.report_position(member, max_age, wait).await)
    };
    let reported = with_heartbeats(frames, reporting).await?;
    send(frames, reported.map_or_else(TunnelReply::Refused, TunnelReply::Position)).await
}
