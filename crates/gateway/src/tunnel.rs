//! Tunnels between gateways: connections to a member that another gateway holds, and statements
//! that it runs on them.

use crate::answer::{Answer, Failure};
use crate::error::{AcquireError, LinkError};
use crate::group::{Group, Target, Wish};
use crate::handle::Shared;
use crate::lease::Lease;
use crate::run::{LoneStatement, Unanswered};
use crate::wire::Wire;
use bytes::BytesMut;
use corktack_core::gateway::{ConnectionProfile, SessionProfile};
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::position::Position;
use corktack_protocol::frame::{FrameCodec, FrameError};
use corktack_protocol::tunnel::{
    LoneRequest, MemberRefusal, RunFailure, RunOutcome, TunnelRefusal, TunnelReply, TunnelRequest,
};
use futures_util::{SinkExt, StreamExt};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;

/// Longest wait until another gateway accepts a tunnel.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);
/// How much longer than the wait itself a grant may take, for the way.
const GRANT_SLACK: Duration = Duration::from_millis(150);
/// Longest wait for a gateway to take the end of a lease.
const RELEASE_LIMIT: Duration = Duration::from_millis(500);
/// Tunnels to one gateway that are kept while nobody uses them.
const IDLE_TUNNELS: usize = 4;
/// Pause after a failed accept (out of file descriptors, most likely).
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// First size of the buffer for a member's bytes.
const BUFFER_BYTES: usize = 4 * 1024;

type ClientFrames = Framed<TcpStream, FrameCodec<TunnelRequest, TunnelReply>>;
type ServerFrames = Framed<TcpStream, FrameCodec<TunnelReply, TunnelRequest>>;

/// A tunnel as the gateway sees it that needs a connection.
#[derive(Debug)]
pub(crate) struct TunnelClient {
    frames: ClientFrames,
    holder: SocketAddr,
}

/// What a holder answered.
#[derive(Debug)]
pub(crate) enum Grant {
    /// A connection, what it knows, and the holder's newest position with its age.
    Granted(Box<TunnelClient>, ConnectionProfile, Option<(Duration, Position)>),
    /// None.
    Refused(TunnelRefusal),
}

/// What a holder made of a statement.
#[derive(Debug)]
pub(crate) enum RunReply {
    /// It ran it, with this outcome and its newest position and age.
    Ran(Result<Answer, Unanswered>, Option<(Duration, Position)>),
    /// It has no connection to run it on.
    Refused(TunnelRefusal),
}

/// Why a holder said nothing of a statement.
#[derive(Debug)]
pub(crate) enum RunError {
    /// It did not get it.
    NotSent(LinkError),
    /// It may have run it.
    Sent(LinkError),
}

/// What is asked of a holder.
#[derive(Clone, Debug)]
pub(crate) struct TunnelWish {
    pub(crate) group: GroupName,
    pub(crate) member: MemberName,
    pub(crate) priority: u32,
    pub(crate) wait: Duration,
}

fn link_error(error: FrameError) -> LinkError {
    match error {
        FrameError::Io(error) => LinkError::Io(error),
        _ => LinkError::Closed,
    }
}

impl TunnelClient {
    async fn connect(holder: SocketAddr) -> Result<Self, LinkError> {
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(holder)).await;
        let stream = stream.map_err(|_| LinkError::TimedOut)??;
        stream.set_nodelay(true)?;
        Ok(Self { frames: Framed::new(stream, FrameCodec::default()), holder })
    }

    async fn acquire(mut self, wish: TunnelWish) -> Result<Grant, LinkError> {
        let TunnelWish { group, member, priority, wait } = wish;
        let request = TunnelRequest::Acquire { group, member, priority, wait };
        self.frames.send(request).await.map_err(link_error)?;
        let reply = timeout(wait + GRANT_SLACK, self.frames.next()).await;
        match reply.map_err(|_| LinkError::TimedOut)? {
            Some(Ok(TunnelReply::Granted { profile, newest })) => {
                Ok(Grant::Granted(Box::new(self), profile, newest))
            }
            Some(Ok(TunnelReply::Refused(refusal))) => Ok(Grant::Refused(refusal)),
            Some(Ok(_)) | None => Err(LinkError::Closed),
            Some(Err(error)) => Err(link_error(error)),
        }
    }

    pub(crate) async fn write(&mut self, bytes: &[u8]) -> Result<(), LinkError> {
        let request = TunnelRequest::Bytes(bytes.to_vec());
        self.frames.send(request).await.map_err(link_error)
    }

    pub(crate) async fn read(&mut self, buffer: &mut BytesMut) -> Result<(), LinkError> {
        match self.frames.next().await {
            Some(Ok(TunnelReply::Bytes(bytes))) => {
                buffer.extend_from_slice(&bytes);
                Ok(())
            }
            Some(Err(error)) => Err(link_error(error)),
            Some(Ok(_)) | None => Err(LinkError::Closed),
        }
    }

    /// Whether the holder closed the tunnel, or sent something unasked, while nobody used it.
    fn is_broken(&self) -> bool {
        let mut byte = [0_u8; 1];
        let unread = !self.frames.read_buffer().is_empty();
        let read = self.frames.get_ref().try_read(&mut byte);
        unread || !read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Has a statement run. A frame that was not sent whole is no statement.
    async fn run(
        &mut self,
        wish: &TunnelWish,
        statement: LoneRequest,
        limit: Duration,
    ) -> Result<RunReply, RunError> {
        let request = TunnelRequest::Run {
            group: wish.group.clone(),
            member: wish.member.clone(),
            priority: wish.priority,
            wait: wish.wait,
            limit,
            statement: Box::new(statement),
        };
        let sent = self.frames.send(request).await;
        sent.map_err(|error| RunError::NotSent(link_error(error)))?;
        let reply = timeout(limit + GRANT_SLACK, self.frames.next()).await;
        match reply.map_err(|_| RunError::Sent(LinkError::TimedOut))? {
            Some(Ok(TunnelReply::Ran { outcome, newest })) => {
                Ok(RunReply::Ran(result_of(outcome), newest))
            }
            Some(Ok(TunnelReply::Refused(refusal))) => Ok(RunReply::Refused(refusal)),
            Some(Ok(_)) | None => Err(RunError::Sent(LinkError::Closed)),
            Some(Err(error)) => Err(RunError::Sent(link_error(error))),
        }
    }

    async fn release(&mut self, profile: ConnectionProfile) -> Result<(), LinkError> {
        let sending = self.frames.send(TunnelRequest::Release { profile });
        let sent = timeout(RELEASE_LIMIT, sending).await;
        sent.map_err(|_| LinkError::TimedOut)?.map_err(link_error)
    }
}

/// The tunnels of a gateway that nobody uses now, by holder.
#[derive(Debug, Default)]
pub(crate) struct Tunnels {
    idle: RefCell<HashMap<SocketAddr, Vec<TunnelClient>>>,
}

impl Tunnels {
    /// Asks a holder for a connection.
    pub(crate) async fn acquire(
        &self,
        holder: SocketAddr,
        wish: &TunnelWish,
    ) -> Result<Grant, LinkError> {
        if let Some(tunnel) = self.kept(holder) {
            // The holder may have gone since; a new tunnel tells.
            if let Ok(grant) = tunnel.acquire(wish.clone()).await {
                return Ok(grant);
            }
        }
        let tunnel = TunnelClient::connect(holder).await?;
        tunnel.acquire(wish.clone()).await
    }

    /// Has a holder run a statement.
    pub(crate) async fn run(
        &self,
        holder: SocketAddr,
        wish: &TunnelWish,
        statement: LoneRequest,
        limit: Duration,
    ) -> Result<RunReply, RunError> {
        let mut tunnel = match self.kept(holder) {
            Some(kept) => kept,
            None => TunnelClient::connect(holder).await.map_err(RunError::NotSent)?,
        };
        let reply = tunnel.run(wish, statement, limit).await?;
        self.keep(tunnel);
        Ok(reply)
    }

    /// A tunnel that nobody uses and that is still open.
    fn kept(&self, holder: SocketAddr) -> Option<TunnelClient> {
        let mut idle = self.idle.borrow_mut();
        let tunnels = idle.get_mut(&holder)?;
        while let Some(tunnel) = tunnels.pop() {
            if !tunnel.is_broken() {
                return Some(tunnel);
            }
        }
        None
    }

    fn keep(&self, tunnel: TunnelClient) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(tunnel.holder).or_default();
        if kept.len() < IDLE_TUNNELS {
            kept.push(tunnel);
        }
    }

    /// Ends a lease in the background and keeps the tunnel.
    pub(crate) fn release(
        self: &Rc<Self>,
        mut tunnel: Box<TunnelClient>,
        profile: ConnectionProfile,
    ) {
        let tunnels = Rc::clone(self);
        actix_rt::spawn(async move {
            if tunnel.release(profile).await.is_ok() {
                tunnels.keep(*tunnel);
            }
        });
    }
}

/// Serves tunnels of other gateways until the process ends.
pub(crate) async fn accept_tunnels<W: Wire>(listener: TcpListener, shared: Rc<Shared<W>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_tunnel(stream, Rc::clone(&shared)));
            }
            Err(error) => {
                log::warn!(error:% = error; "a tunnel cannot be accepted");
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

fn outcome_of(result: Result<Answer, Unanswered>) -> RunOutcome {
    let refusal = |failure: Failure| MemberRefusal { code: failure.code, text: failure.text };
    let failure = |error: LinkError| match error {
        LinkError::TimedOut => RunFailure::TimedOut,
        LinkError::Io(_) | LinkError::Closed | LinkError::Wire(_) => RunFailure::Lost,
    };
    match result {
        Ok(Answer { rows, outcome, ready }) => {
            RunOutcome::Answered { rows, outcome: outcome.map_err(refusal), ready }
        }
        Err(Unanswered::Refused(failure)) => RunOutcome::Refused(refusal(failure)),
        Err(Unanswered::NotSent(error)) => RunOutcome::NotSent(failure(error)),
        Err(Unanswered::Sent(error)) => RunOutcome::Unanswered(failure(error)),
    }
}

fn result_of(outcome: RunOutcome) -> Result<Answer, Unanswered> {
    let failure = |refusal: MemberRefusal| Failure { code: refusal.code, text: refusal.text };
    let error = |failure: RunFailure| match failure {
        RunFailure::TimedOut => LinkError::TimedOut,
        RunFailure::Lost => LinkError::Closed,
    };
    match outcome {
        RunOutcome::Answered { rows, outcome, ready } => {
            Ok(Answer { rows, outcome: outcome.map_err(failure), ready })
        }
        RunOutcome::Refused(refusal) => Err(Unanswered::Refused(failure(refusal))),
        RunOutcome::NotSent(why) => Err(Unanswered::NotSent(error(why))),
        RunOutcome::Unanswered(why) => Err(Unanswered::Sent(error(why))),
    }
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
