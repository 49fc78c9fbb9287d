//! Client side of one tunnel: sends requests to the holder and waits for its replies.
//!
//! [`Tunnels`](super::Tunnels) sends requests; [`transport`](crate::transport) carries the bytes of a granted
//! connection. The client detects a lost holder by missing heartbeats.

use super::link::{HEARTBEAT_INTERVAL, HEARTBEAT_SLACK, link_error, shrink_buffers};
use super::outcome::result_of;
use crate::answer::{Answer, Unanswered};
use crate::error::LinkError;
use bytes::BytesMut;
use corktack_core::gateway::{ConnectionProfile, Holder, ReadBound, ReadPosition};
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::limits::{AdmittedOperations, OverLimit};
use corktack_core::position::Position;
use corktack_core::tenancy::{Principal, TenantName};
use corktack_protocol::frame::FrameCodec;
use corktack_protocol::liveness::Liveness;
use corktack_protocol::tunnel::{
    LoneRequest, MemberLoadReport, TunnelRefusal, TunnelReply, TunnelRequest,
};
use futures_util::{SinkExt, StreamExt};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::codec::Framed;

/// Longest time for sending the end of a lease. It is sent in the background; the timeout only bounds how
/// long a tunnel is kept whose holder reads nothing.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

type ClientFrames = Framed<TcpStream, FrameCodec<TunnelRequest, TunnelReply>>;

/// A request to a holder for a connection or for the run of a statement.
#[derive(Clone, Debug)]
pub(crate) struct RemoteRequest {
    pub(crate) group: GroupName,
    pub(crate) member: MemberName,
    /// Principal whose statement it is.
    pub(crate) principal: Principal,
    /// Priority class; 0 is served first.
    pub(crate) priority: u32,
    /// Longest wait for a connection at the holder.
    pub(crate) wait: Duration,
    /// What a read-only transaction must see at least.
    pub(crate) bound: Option<ReadBound>,
}

/// A request to a tenant's home to count operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OperationsRequest {
    pub(crate) operations: u64,
    /// Priority class; 0 is served first.
    pub(crate) priority: u32,
    /// Longest wait for the tenant's limit.
    pub(crate) wait: Duration,
}

/// A connection lent by a holder.
#[derive(Debug)]
pub(crate) struct GrantedConnection {
    pub(crate) tunnel: Box<TunnelClient>,
    /// Session values and prepared statements that the member holds for the connection.
    pub(crate) profile: ConnectionProfile,
    /// Position that a read-only transaction must see.
    pub(crate) position: Option<ReadPosition>,
    /// Age and position of the newest answer of the primary that the holder knows.
    pub(crate) newest: Option<(Duration, Position)>,
}

/// Outcome of beginning a transaction at a holder.
#[derive(Debug)]
pub(crate) enum OpenedAtHolder {
    /// The transaction is open, and its first statement was run.
    Open(GrantedConnection, Result<Answer, Unanswered>),
    /// The begin failed, and the first statement was not sent. The tunnel is free again.
    NotOpened(Box<TunnelClient>, Unanswered, Option<(Duration, Position)>),
}

/// Outcome of a statement at a holder.
#[derive(Debug)]
pub(crate) struct RanAtHolder {
    pub(crate) result: Result<Answer, Unanswered>,
    /// Position that a read had to see.
    pub(crate) position: Option<ReadPosition>,
    /// Age and position of the newest answer of the primary that the holder knows.
    pub(crate) newest: Option<(Duration, Position)>,
    /// Load of the member at the holder.
    pub(crate) load: MemberLoadReport,
}

/// Reason why a request to a holder gave no result.
#[derive(Debug)]
pub(crate) enum TunnelError {
    /// The holder refused the request and did nothing.
    Refused(TunnelRefusal),
    /// The holder did not get the request.
    NotSent(LinkError),
    /// The holder may have got the request.
    Sent(LinkError),
}

/// Client side of a tunnel to a holder.
#[derive(Debug)]
pub(crate) struct TunnelClient {
    frames: ClientFrames,
    holder: Holder,
    /// Longest time without a message from the holder while a request is in flight.
    silence_timeout: Duration,
    /// Set when the holder has sent no message for that time.
    is_silent: bool,
}

impl TunnelClient {
    pub(super) fn new(
        stream: TcpStream,
        holder: Holder,
        round_trip: Duration,
    ) -> std::io::Result<Self> {
        Liveness::WITHIN_DEPLOYMENT.apply(&stream)?;
        let frames = Framed::new(stream, FrameCodec::default());
        let silence_timeout = round_trip + HEARTBEAT_INTERVAL + HEARTBEAT_SLACK;
        Ok(Self { frames, holder, silence_timeout, is_silent: false })
    }

    pub(crate) const fn holder(&self) -> Holder {
        self.holder
    }

    /// Reports whether a reply and the heartbeats of the holder were missing.
    pub(crate) const fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Frees what the buffers of an idle tunnel no longer need.
    pub(super) fn shrink(&mut self) {
        shrink_buffers(&mut self.frames);
    }

    /// Reports whether the holder closed the idle tunnel, or sent an unexpected message on it.
    pub(super) fn is_broken(&self) -> bool {
        let mut byte = [0_u8; 1];
        let unread = !self.frames.read_buffer().is_empty();
        let read = self.frames.get_ref().try_read(&mut byte);
        unread || !read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Requests a connection. The tunnel is closed if none is granted.
    pub(super) async fn acquire(
        mut self,
        remote: &RemoteRequest,
    ) -> Result<GrantedConnection, TunnelError> {
        let RemoteRequest { group, member, principal, priority, wait, bound } = remote.clone();
        let request = TunnelRequest::Acquire { group, member, principal, priority, wait, bound };
        self.send(request).await?;
        let deadline = Instant::now() + wait + self.silence_timeout;
        match self.read_reply(deadline, true).await? {
            TunnelReply::Granted { profile, position, newest } => {
                Ok(GrantedConnection { tunnel: Box::new(self), profile, position, newest })
            }
            other => Err(unexpected_reply(other)),
        }
    }

    /// Requests to begin a transaction and run its first statement. If the holder is silent, the tunnel is
    /// closed, upon which the holder rolls back.
    pub(super) async fn open(
        mut self,
        remote: &RemoteRequest,
        statement: LoneRequest,
        limit: Duration,
    ) -> Result<OpenedAtHolder, TunnelError> {
        let RemoteRequest { group, member, principal, priority, wait, .. } = remote.clone();
        let statement = Box::new(statement);
        let request =
            TunnelRequest::Open { group, member, principal, priority, wait, limit, statement };
        self.send(request).await?;
        let deadline = Instant::now() + wait + limit + self.silence_timeout;
        match self.read_reply(deadline, true).await? {
            TunnelReply::Opened { profile, position, newest, outcome } => {
                let granted =
                    GrantedConnection { tunnel: Box::new(self), profile, position, newest };
                Ok(OpenedAtHolder::Open(granted, result_of(outcome)))
            }
            TunnelReply::NotOpened { outcome, newest } => match result_of(outcome) {
                Err(unanswered) => {
                    Ok(OpenedAtHolder::NotOpened(Box::new(self), unanswered, newest))
                }
                Ok(_) => Err(TunnelError::Sent(LinkError::Closed)),
            },
            other => Err(unexpected_reply(other)),
        }
    }

    /// Requests to run a statement. The holder ignores a frame that was not sent whole, so the statement
    /// counts as not sent then. If the holder is silent, a read fails early, but a write waits until its
    /// deadline, because it must not be run again elsewhere.
    pub(super) async fn run(
        &mut self,
        remote: &RemoteRequest,
        statement: LoneRequest,
        limit: Duration,
    ) -> Result<RanAtHolder, TunnelError> {
        let fails_on_silence = statement.kind.is_read();
        let RemoteRequest { group, member, principal, priority, wait, .. } = remote.clone();
        let statement = Box::new(statement);
        let request =
            TunnelRequest::Run { group, member, principal, priority, wait, limit, statement };
        self.send(request).await?;
        let deadline = Instant::now() + limit + self.silence_timeout;
        match self.read_reply(deadline, fails_on_silence).await? {
            TunnelReply::Ran { outcome, position, newest, load } => {
                Ok(RanAtHolder { result: result_of(outcome), position, newest, load })
            }
            other => Err(unexpected_reply(other)),
        }
    }

    /// Requests the newest position of the primary, of at most `max_age`.
    pub(super) async fn ask_position(
        &mut self,
        remote: &RemoteRequest,
        max_age: Duration,
    ) -> Result<Option<(Duration, Position)>, TunnelError> {
        let RemoteRequest { group, member, wait, .. } = remote.clone();
        self.send(TunnelRequest::Position { group, member, max_age, wait }).await?;
        let deadline = Instant::now() + wait + self.silence_timeout;
        match self.read_reply(deadline, true).await? {
            TunnelReply::Position(newest) => Ok(newest),
            other => Err(unexpected_reply(other)),
        }
    }

    /// Requests to count operations of a tenant.
    pub(super) async fn begin_operations(
        &mut self,
        tenant: &TenantName,
        OperationsRequest { operations, priority, wait }: OperationsRequest,
    ) -> Result<Result<AdmittedOperations, OverLimit>, TunnelError> {
        let tenant = tenant.clone();
        self.send(TunnelRequest::BeginOperations { tenant, operations, priority, wait }).await?;
        match self.read_reply(Instant::now() + wait + self.silence_timeout, true).await? {
            TunnelReply::OperationsAdmitted(outcome) => Ok(outcome),
            other => Err(unexpected_reply(other)),
        }
    }

    /// Reports that counted operations did not run.
    pub(super) async fn return_operations(
        &mut self,
        tenant: &TenantName,
        begun: AdmittedOperations,
    ) -> Result<(), TunnelError> {
        let tenant = tenant.clone();
        self.send(TunnelRequest::ReturnOperations { tenant, begun }).await?;
        match self.read_reply(Instant::now() + self.silence_timeout, true).await? {
            TunnelReply::Returned => Ok(()),
            other => Err(unexpected_reply(other)),
        }
    }

    async fn send(&mut self, request: TunnelRequest) -> Result<(), TunnelError> {
        let sent = self.frames.send(request).await;
        sent.map_err(|error| TunnelError::NotSent(link_error(error)))
    }

    /// Reads the next reply other than a heartbeat, until `deadline`. With `fails_on_silence` it fails
    /// earlier if a heartbeat is missing.
    async fn read_reply(
        &mut self,
        deadline: Instant,
        fails_on_silence: bool,
    ) -> Result<TunnelReply, TunnelError> {
        loop {
            let heartbeat_due = Instant::now() + self.silence_timeout;
            let until = if fails_on_silence { deadline.min(heartbeat_due) } else { deadline };
            let Ok(reply) = timeout_at(until, self.frames.next()).await else {
                self.is_silent = true;
                let error =
                    if until < deadline { LinkError::HolderSilent } else { LinkError::TimedOut };
                return Err(TunnelError::Sent(error));
            };
            match reply {
                Some(Ok(TunnelReply::Working)) => (),
                Some(Ok(reply)) => return Ok(reply),
                Some(Err(error)) => return Err(TunnelError::Sent(link_error(error))),
                None => return Err(TunnelError::Sent(LinkError::Closed)),
            }
        }
    }

    /// Sends bytes to the member, on a granted connection.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> Result<(), LinkError> {
        let request = TunnelRequest::Bytes(bytes.to_vec());
        self.frames.send(request).await.map_err(link_error)
    }

    /// Appends the next bytes from the member to `buffer`.
    pub(crate) async fn read(&mut self, buffer: &mut BytesMut) -> Result<(), LinkError> {
        loop {
            let Ok(reply) = timeout(self.silence_timeout, self.frames.next()).await else {
                self.is_silent = true;
                return Err(LinkError::HolderSilent);
            };
            match reply {
                Some(Ok(TunnelReply::Working)) => (),
                Some(Ok(TunnelReply::Bytes(bytes))) => {
                    buffer.extend_from_slice(&bytes);
                    return Ok(());
                }
                Some(Err(error)) => return Err(link_error(error)),
                Some(Ok(_)) | None => return Err(LinkError::Closed),
            }
        }
    }

    /// Returns the granted connection to the holder.
    pub(super) async fn release(&mut self, profile: ConnectionProfile) -> Result<(), LinkError> {
        let sending = self.frames.send(TunnelRequest::Release { profile });
        let sent = timeout(RELEASE_TIMEOUT, sending).await;
        sent.map_err(|_| LinkError::TimedOut)?.map_err(link_error)
    }
}

/// Converts a reply of another kind than expected: a refusal, or a violation of the protocol.
fn unexpected_reply(reply: TunnelReply) -> TunnelError {
    match reply {
        TunnelReply::Refused(refusal) => TunnelError::Refused(refusal),
        _ => TunnelError::Sent(LinkError::Closed),
    }
}
