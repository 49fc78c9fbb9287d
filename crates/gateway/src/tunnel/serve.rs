//! The side of a tunnel that holds connections: accepts tunnels, grants leases, and runs statements
//! of other gateways.

use super::{LOG_TARGET, TunnelWish, link_error, outcome_of};
use crate::error::{AcquireError, LinkError};
use crate::group::{Group, Target, Wish};
use crate::handle::Shared;
use crate::lease::Lease;
use crate::run::LoneStatement;
use crate::wire::Wire;
use bytes::BytesMut;
use corktack_core::gateway::SessionProfile;
use corktack_protocol::frame::FrameCodec;
use corktack_protocol::tunnel::{LoneRequest, TunnelRefusal, TunnelReply, TunnelRequest};
use futures_util::{SinkExt, StreamExt};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// Pause after a failed accept (out of file descriptors, most likely).
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
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
    drop(stream.set_nodelay(true));
    let mut frames: ServerFrames = Framed::new(stream, FrameCodec::default());
    while let Some(Ok(request)) = frames.next().await {
        let served = match request {
            TunnelRequest::Acquire { group, member, priority, wait } => {
                let wish = TunnelWish { group, member, priority, wait };
                match grant(&shared, &wish).await {
                    Ok(lease) => serve_lease(&shared, &mut frames, lease).await,
                    Err(refusal) => answer(&mut frames, TunnelReply::Refused(refusal)).await,
                }
            }
            TunnelRequest::Run { group, member, priority, wait, limit, statement } => {
                let wish = TunnelWish { group, member, priority, wait };
                let reply = run(&shared, &wish, &statement, limit).await;
                answer(&mut frames, reply.unwrap_or_else(TunnelReply::Refused)).await
            }
            // Nothing is leased.
            TunnelRequest::Bytes(_) | TunnelRequest::Release { .. } => return,
        };
        if served.is_err() {
            return;
        }
    }
}

async fn answer(frames: &mut ServerFrames, reply: TunnelReply) -> Result<(), LinkError> {
    frames.send(reply).await.map_err(link_error)
}

/// Runs a statement of another gateway.
async fn run<W: Wire>(
    shared: &Shared<W>,
    wish: &TunnelWish,
    statement: &LoneRequest,
    limit: Duration,
) -> Result<TunnelReply, TunnelRefusal> {
    let deadline = Instant::now() + limit;
    let lease = grant(shared, wish).await?;
    let group = Rc::clone(lease.group());
    let result = LoneStatement::of_request(statement).run(lease, deadline).await;
    let newest = group.freshness.borrow().newest(shared.now());
    Ok(TunnelReply::Ran { outcome: outcome_of(result), newest })
}

async fn grant<W: Wire>(shared: &Shared<W>, wish: &TunnelWish) -> Result<Lease<W>, TunnelRefusal> {
    let group: Rc<Group<W>> = shared.routes.group(&wish.group).ok_or(TunnelRefusal::NotHeld)?;
    let session = SessionProfile::default();
    let local = Wish {
        target: Target::Held(wish.member.clone()),
        session: &session,
        priority: wish.priority,
        give_up: Instant::now() + wish.wait,
    };
    group.acquire(&local).await.map_err(|error| match error {
        AcquireError::NoneFree => TunnelRefusal::NoneFree,
        AcquireError::Unreachable(_) => TunnelRefusal::Unreachable,
        AcquireError::NoMember => TunnelRefusal::NotHeld,
    })
}

/// Passes bytes both ways until the lease ends. An error says that the tunnel is over; a member's
/// connection in the middle of something is then closed, which rolls back.
async fn serve_lease<W: Wire>(
    shared: &Shared<W>,
    frames: &mut ServerFrames,
    mut lease: Lease<W>,
) -> Result<(), LinkError> {
    // Until it is given back, something may be under way on it.
    lease.in_transaction = true;
    let newest = lease.group().freshness.borrow().newest(shared.now());
    let profile = lease.connection().profile.clone();
    frames.send(TunnelReply::Granted { profile, newest }).await.map_err(link_error)?;
    let mut asked_at = None;
    let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
    loop {
        tokio::select! {
            request = frames.next() => match request {
                Some(Ok(TunnelRequest::Bytes(bytes))) => {
                    asked_at = Some(Instant::now());
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
                let bytes = buffer.split().to_vec();
                frames.send(TunnelReply::Bytes(bytes)).await.map_err(link_error)?;
            }
        }
    }
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
