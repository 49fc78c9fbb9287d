//! The side of a tunnel that holds connections: accepts tunnels, grants leases, runs statements of
//! other gateways and tells them positions.

use super::outcome::outcome_of;
use super::{
    FIRST_HEARTBEAT, HEARTBEAT_INTERVAL, LOG_TARGET, OperationsRequest, RemoteRequest, link_error,
};
use crate::error::{AcquireError, LinkError};
use crate::group::{ConnectionRequest, Group, Located, Target};
use crate::handle::Shared;
use crate::lease::Lease;
use crate::limits::AskedOperations;
use crate::run::LoneStatement;
use crate::wire::Wire;
use bytes::BytesMut;
use corktack_core::gateway::{ReadPosition, SessionProfile};
use corktack_core::identity::GroupName;
use corktack_core::scheduling::StatementKind;
use corktack_core::tenancy::TenantName;
use corktack_protocol::frame::FrameCodec;
use corktack_protocol::liveness::Liveness;
use corktack_protocol::tunnel::{LoneRequest, TunnelRefusal, TunnelReply, TunnelRequest};
use futures_util::{SinkExt, StreamExt};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::Framed;

/// Pause after a failed accept (out of file descriptors, most likely).
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// How much longer than a transaction may rest a connection is lent without a word: the gateway that
/// uses it ends the transaction before, unless it is gone.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// First size of the buffer for a member's bytes.
const BUFFER_BYTES: usize = 4 * 1024;

type ServerFrames = Framed<TcpStream, FrameCodec<TunnelReply, TunnelRequest>>;

/// Serves tunnels of other gateways until the process ends.
pub(crate) async fn accept_tunnels<W: Wire>(listener: TcpListener, shared: Rc<Shared<W>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_tunnel(stream, Rc::clone(&shared)));
            }
            Err(error) => {
                log::warn!(target: LOG_TARGET, error:% = error; "a tunnel cannot be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_tunnel<W: Wire>(stream: TcpStream, shared: Rc<Shared<W>>) {
    // The options only save time: a tunnel without them still works.
    drop(Liveness::WITHIN_DEPLOYMENT.apply(&stream));
    let mut frames: ServerFrames = Framed::new(stream, FrameCodec::default());
    while let Some(Ok(request)) = frames.next().await {
        if serve_request(&shared, &mut frames, request).await.is_err() {
            return;
        }
    }
}

async fn serve_request<W: Wire>(
    shared: &Shared<W>,
    frames: &mut ServerFrames,
    request: TunnelRequest,
) -> Result<(), LinkError> {
    let reply = match request {
        TunnelRequest::Acquire { group, member, principal, priority, wait, bound } => {
            let remote = RemoteRequest { group, member, principal, priority, wait, bound };
            let writes = bound.is_none();
            match with_heartbeats(frames, grant(shared, &remote, writes)).await? {
                Ok(Located { mut lease, position }) => {
                    let granted = granted(&mut lease, position);
                    return serve_lease(shared, frames, lease, granted).await;
                }
                Err(refusal) => TunnelReply::Refused(refusal),
            }
        }
        TunnelRequest::Open { group, member, principal, priority, wait, limit, statement } => {
            let bound = statement.kind.bound();
            let remote = RemoteRequest { group, member, principal, priority, wait, bound };
            let opening = open(shared, &remote, &statement, limit);
            match with_heartbeats(frames, opening).await? {
                Ok((Some(lease), opened)) => {
                    return serve_lease(shared, frames, lease, opened).await;
                }
                Ok((None, not_opened)) => not_opened,
                Err(refusal) => TunnelReply::Refused(refusal),
            }
        }
        TunnelRequest::Run { group, member, principal, priority, wait, limit, statement } => {
            let bound = statement.kind.bound();
            let remote = RemoteRequest { group, member, principal, priority, wait, bound };
            let running = run(shared, &remote, &statement, limit);
            with_heartbeats(frames, running).await?.unwrap_or_else(TunnelReply::Refused)
        }
        TunnelRequest::BeginOperations { tenant, operations, priority, wait } => {
            let remote = OperationsRequest { operations, priority, wait };
            return begin_operations(shared, frames, &tenant, remote).await;
        }
        TunnelRequest::ReturnOperations { tenant, begun } => {
            shared.limits.return_operations(&tenant, begun);
            TunnelReply::Returned
        }
        TunnelRequest::Position { group, member, max_age, wait } => {
            let reported = async {
                shared.document_by(Instant::now() + wait).await;
                let group = find_group(shared, &group)?;
                Ok(group.report_position(member, max_age, wait).await)
            };
            let reported = with_heartbeats(frames, reported).await?;
            reported.map_or_else(TunnelReply::Refused, TunnelReply::Position)
        }
        // Nothing is leased.
        TunnelRequest::Bytes(_) | TunnelRequest::Release { .. } => return Err(LinkError::Closed),
    };
    frames.send(reply).await.map_err(link_error)
}

/// Counts operations for another gateway; those that it cannot be told of are taken back.
async fn begin_operations<W: Wire>(
    shared: &Shared<W>,
    frames: &mut ServerFrames,
    tenant: &TenantName,
    OperationsRequest { operations, priority, wait }: OperationsRequest,
) -> Result<(), LinkError> {
    let until = Instant::now() + wait;
    let counting = async {
        shared.document_by(until).await;
        let asked = AskedOperations { operations, priority, until };
        shared.limits.count_for_another(tenant, asked).await
    };
    let counted = with_heartbeats(frames, counting).await?;
    let begun = counted.as_ref().and_then(|it| it.as_ref().ok()).copied();
    let reply = counted
        .map_or(TunnelReply::Refused(TunnelRefusal::NotHeld), TunnelReply::OperationsAdmitted);
    let sent = frames.send(reply).await.map_err(link_error);
    if let (Err(_), Some(begun)) = (&sent, begun) {
        shared.limits.return_operations(tenant, begun);
    }
    sent
}

/// Says that the holder is at work, until it has what it is asked for.
async fn with_heartbeats<T>(
    frames: &mut ServerFrames,
    work: impl Future<Output = T>,
) -> Result<T, LinkError> {
    tokio::pin!(work);
    let mut pause = FIRST_HEARTBEAT;
    loop {
        match timeout(pause, &mut work).await {
            Ok(done) => return Ok(done),
            Err(_) => frames.send(TunnelReply::Working).await.map_err(link_error)?,
        }
        pause = HEARTBEAT_INTERVAL;
    }
}

fn find_group<W: Wire>(
    shared: &Shared<W>,
    group: &GroupName,
) -> Result<Rc<Group<W>>, TunnelRefusal> {
    shared.routes.group(group).ok_or(TunnelRefusal::NotHeld)
}

/// Runs a statement of another gateway.
async fn run<W: Wire>(
    shared: &Shared<W>,
    remote: &RemoteRequest,
    statement: &LoneRequest,
    limit: Duration,
) -> Result<TunnelReply, TunnelRefusal> {
    let begun = Instant::now();
    let deadline = begun + limit;
    let Located { lease, position } = grant(shared, remote, !statement.kind.is_read()).await?;
    let group = Rc::clone(lease.group());
    let result =
        LoneStatement::of_request(statement, remote.priority).run(lease, position, deadline).await;
    let newest = group.freshness.borrow().newest(group.now());
    let load = group.load_report(&remote.member, begun.elapsed());
    Ok(TunnelReply::Ran { outcome: outcome_of(result), position, newest, load })
}

/// Begins a transaction for another gateway and runs its first statement; gives the connection while the
/// transaction is open.
async fn open<W: Wire>(
    shared: &Shared<W>,
    remote: &RemoteRequest,
    statement: &LoneRequest,
    limit: Duration,
) -> Result<(Option<Lease<W>>, TunnelReply), TunnelRefusal> {
    let deadline = Instant::now() + limit;
    let Located { mut lease, position } = grant(shared, remote, !statement.kind.is_read()).await?;
    let group = Rc::clone(lease.group());
    let first = LoneStatement::of_request(statement, remote.priority);
    let opened = first.open_on(&mut lease, position, deadline).await;
    let newest = group.freshness.borrow().newest(group.now());
    match opened {
        Ok(result) => {
            let profile = lease.connection().profile.clone();
            let outcome = outcome_of(result);
            lease.set_idle_in_transaction(true);
            Ok((Some(lease), TunnelReply::Opened { profile, position, newest, outcome }))
        }
        Err(why) => Ok((None, TunnelReply::NotOpened { outcome: outcome_of(Err(why)), newest })),
    }
}

async fn grant<W: Wire>(
    shared: &Shared<W>,
    remote: &RemoteRequest,
    writes: bool,
) -> Result<Located<W>, TunnelRefusal> {
    let begun = Instant::now();
    let give_up = begun + remote.wait;
    // In the first moments of a process control is about to tell it what it holds.
    shared.document_by(give_up).await;
    let group = find_group(shared, &remote.group)?;
    let session = SessionProfile::default();
    let local = ConnectionRequest {
        target: Target::Held(remote.member.clone()),
        session: &session,
        principal: Some(&remote.principal),
        kind: StatementKind { priority: remote.priority, writes },
        bound: remote.bound,
        needs_slot: true,
        give_up,
    };
    let acquired = group.acquire(&local).await;
    acquired.map_err(|error| {
        log::debug!(
            target: LOG_TARGET, group:% = remote.group, member:% = remote.member, error:% = error,
            after_ms = begun.elapsed().as_millis() as u64;
            "statement of another gateway not taken"
        );
        refusal_of(&error)
    })
}

fn refusal_of(error: &AcquireError) -> TunnelRefusal {
    match error {
        // The member is reached all the same: nobody needs another way to it.
        AcquireError::NoneFree { .. } | AcquireError::Full(_) => {
            TunnelRefusal::NoneFree { retry_after: error.retry_after() }
        }
        AcquireError::NoPosition => TunnelRefusal::NoPosition,
        AcquireError::Unreachable(_) => TunnelRefusal::Unreachable,
        AcquireError::NoMember | AcquireError::NoHolder(_) => TunnelRefusal::NotHeld,
    }
}

/// Passes bytes both ways until the lease ends. An error says that the tunnel is over; a member's
/// connection in the middle of something is then closed, which rolls back.
async fn serve_lease<W: Wire>(
    shared: &Shared<W>,
    frames: &mut ServerFrames,
    mut lease: Lease<W>,
    leased: TunnelReply,
) -> Result<(), LinkError> {
    // Until it is given back, something may be under way on it.
    lease.in_transaction = true;
    frames.send(leased).await.map_err(link_error)?;
    let idle_limit = shared.routes.transaction_idle() + IDLE_SLACK;
    let mut heard_at = Instant::now();
    let mut asked_at = None;
    let mut heartbeat_due = Instant::now();
    let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
    loop {
        tokio::select! {
            request = frames.next() => match request {
                Some(Ok(TunnelRequest::Bytes(bytes))) => {
                    lease.set_idle_in_transaction(false);
                    heard_at = Instant::now();
                    asked_at = Some(heard_at);
                    heartbeat_due = Instant::now() + FIRST_HEARTBEAT;
                    if lease.connection().write_bytes(&bytes).await.is_err() {
                        return close(frames).await;
                    }
                }
                Some(Ok(TunnelRequest::Release { profile })) => {
                    lease.connection().profile = profile;
                    lease.end_transaction();
                    return Ok(());
                }
                _ => {
                    note_abandoned(shared, &lease, asked_at);
                    return Err(LinkError::Closed);
                }
            },
            read = lease.connection().read_bytes(&mut buffer) => {
                if read.is_err() {
                    return close(frames).await;
                }
                asked_at = None;
                heard_at = Instant::now();
                lease.set_idle_in_transaction(true);
                let bytes = buffer.split().to_vec();
                frames.send(TunnelReply::Bytes(bytes)).await.map_err(link_error)?;
            }
            () = sleep_until(heard_at + idle_limit), if asked_at.is_none() => {
                log::info!(
                    target: LOG_TARGET, member:% = lease.member;
                    "the gateway that uses a connection is silent: its transaction is rolled back"
                );
                return Err(LinkError::HolderSilent);
            }
            () = sleep_until(heartbeat_due), if asked_at.is_some() => {
                heartbeat_due = Instant::now() + HEARTBEAT_INTERVAL;
                frames.send(TunnelReply::Working).await.map_err(link_error)?;
            }
        }
    }
}

fn granted<W: Wire>(lease: &mut Lease<W>, position: Option<ReadPosition>) -> TunnelReply {
    let group = Rc::clone(lease.group());
    let newest = group.freshness.borrow().newest(group.now());
    let profile = lease.connection().profile.clone();
    TunnelReply::Granted { profile, position, newest }
}

async fn close(frames: &mut ServerFrames) -> Result<(), LinkError> {
    frames.send(TunnelReply::Closed).await.map_err(link_error)?;
    Ok(())
}

/// A statement that was given up on without an answer says something of its member.
fn note_abandoned<W: Wire>(shared: &Shared<W>, lease: &Lease<W>, asked_at: Option<Instant>) {
    let limit = shared.settings.begin_timeout;
    if asked_at.is_some_and(|asked_at| asked_at.elapsed() >= limit) {
        lease.group().note_silent(&lease.member);
    }
}
