//! One tunnel as the gateway sees it that needs a connection.
//!
//! It is for [`Tunnels`](super::Tunnels) and, on a lent connection, for [`transport`](crate::transport). It owns
//! the socket and how long a silent holder is waited for. It relies on the holder's heartbeats.

use super::link::{HEARTBEAT_INTERVAL, HEARTBEAT_SLACK, link_error};
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

/// Longest wait for a gateway to take the end of a lease. Chosen, not measured: it runs in the background and
/// only bounds how long a tunnel that takes nothing is kept.
const RELEASE_LIMIT: Duration = Duration::from_millis(500);

type ClientFrames = Framed<TcpStream, FrameCodec<TunnelRequest, TunnelReply>>;

/// What is asked of a holder.
#[derive(Clone, Debug)]
pub(crate) struct RemoteRequest {
    pub(crate) group: GroupName,
    pub(crate) member: MemberName,
    /// On whose behalf.
    pub(crate) principal: Principal,
    pub(crate) priority: u32,
    /// How long it may wait for a connection.
    pub(crate) wait: Duration,
    /// What a transaction that only reads must see.
    pub(crate) bound: Option<ReadBound>,
}

/// Operations of a tenant that are to be counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OperationsRequest {
    pub(crate) operations: u64,
    pub(crate) priority: u32,
    /// How long they may wait.
    pub(crate) wait: Duration,
}

/// A connection that a holder gives.
#[derive(Debug)]
pub(crate) struct Granted {
    pub(crate) tunnel: Box<TunnelClient>,
    /// What the connection knows.
    pub(crate) profile: ConnectionProfile,
    /// What a transaction that only reads must see.
    pub(crate) position: Option<ReadPosition>,
    /// Age and position of the newest answer of the primary that the holder knows.
    pub(crate) newest: Option<(Duration, Position)>,
}

/// What a holder made of the beginning of a transaction.
#[derive(Debug)]
pub(crate) enum OpenedAtHolder {
    /// It is open, and its first statement was run.
    Open(Granted, Result<Answer, Unanswered>),
    /// It could not be begun, and nothing else was sent. The tunnel is free again.
    Not(Box<TunnelClient>, Unanswered, Option<(Duration, Position)>),
}

/// What a holder made of a statement.
#[derive(Debug)]
pub(crate) struct RanAtHolder {
    pub(crate) result: Result<Answer, Unanswered>,
    /// The position that a read had to see.
    pub(crate) position: Option<ReadPosition>,
    /// Age and position of the newest answer of the primary that the holder knows.
    pub(crate) newest: Option<(Duration, Position)>,
    pub(crate) load: MemberLoadReport,
}

/// Why a holder did nothing, or is not known to have done anything.
#[derive(Debug)]
pub(crate) enum TunnelError {
    /// It said so.
    Refused(TunnelRefusal),
    /// It did not get the request.
    NotSent(LinkError),
    /// It may have got it.
    Sent(LinkError),
}

/// A tunnel as the gateway sees it that needs a connection.
#[derive(Debug)]
pub(crate) struct TunnelClient {
    frames: ClientFrames,
    holder: Holder,
    /// How long a holder that is asked something may be silent.
    silence_limit: Duration,
    silent: bool,
}

impl TunnelClient {
    pub(super) fn new(
        stream: TcpStream,
        holder: Holder,
        round_trip: Duration,
    ) -> std::io::Result<Self> {
        Liveness::WITHIN_DEPLOYMENT.apply(&stream)?;
        let frames = Framed::new(stream, FrameCodec::default());
        let silence_limit = round_trip + HEARTBEAT_INTERVAL + HEARTBEAT_SLACK;
        Ok(Self { frames, holder, silence_limit, silent: false })
    }

    pub(crate) const fn holder(&self) -> Holder {
        self.holder
    }

    /// Whether the holder sent no heartbeat when it should have.
    pub(crate) const fn is_silent(&self) -> bool {
        self.silent
    }

    /// Whether the holder closed the tunnel, or sent something unasked, while nobody used it.
    pub(super) fn is_broken(&self) -> bool {
        let mut byte = [0_u8; 1];
        let unread = !self.frames.read_buffer().is_empty();
        let read = self.frames.get_ref().try_read(&mut byte);
        unread || !read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Asks for a connection. A tunnel on which none was granted ends.
    pub(super) async fn acquire(mut self, remote: &RemoteRequest) -> Result<Granted, TunnelError> {
        let RemoteRequest { group, member, principal, priority, wait, bound } = remote.clone();
        let request = TunnelRequest::Acquire { group, member, principal, priority, wait, bound };
        self.send(request).await?;
        let until = Instant::now() + wait + self.silence_limit;
        match self.reply(until, true).await? {
            TunnelReply::Granted { profile, position, newest } => {
                Ok(Granted { tunnel: Box::new(self), profile, position, newest })
            }
            other => Err(unexpected(other)),
        }
    }

    /// Has a transaction begun and its first statement run. A holder that is silent is left: without the
    /// tunnel it rolls back.
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
        let until = Instant::now() + wait + limit + self.silence_limit;
        match self.reply(until, true).await? {
            TunnelReply::Opened { profile, position, newest, outcome } => {
                let granted = Granted { tunnel: Box::new(self), profile, position, newest };
                Ok(OpenedAtHolder::Open(granted, result_of(outcome)))
            }
            TunnelReply::NotOpened { outcome, newest } => match result_of(outcome) {
                Err(why) => Ok(OpenedAtHolder::Not(Box::new(self), why, newest)),
                Ok(_) => Err(TunnelError::Sent(LinkError::Closed)),
            },
            other => Err(unexpected(other)),
        }
    }

    /// Has a statement run. A frame that was not sent whole is no statement. A write whose holder is
    /// silent is waited for to its end: nobody else may run it.
    pub(super) async fn run(
        &mut self,
        remote: &RemoteRequest,
        statement: LoneRequest,
        limit: Duration,
    ) -> Result<RanAtHolder, TunnelError> {
        let gives_up_on_silence = statement.kind.is_read();
        let RemoteRequest { group, member, principal, priority, wait, .. } = remote.clone();
        let statement = Box::new(statement);
        let request =
            TunnelRequest::Run { group, member, principal, priority, wait, limit, statement };
        self.send(request).await?;
        let until = Instant::now() + limit + self.silence_limit;
        match self.reply(until, gives_up_on_silence).await? {
            TunnelReply::Ran { outcome, position, newest, load } => {
                Ok(RanAtHolder { result: result_of(outcome), position, newest, load })
            }
            other => Err(unexpected(other)),
        }
    }

    /// Asks for the newest position of the primary.
    pub(super) async fn ask_position(
        &mut self,
        remote: &RemoteRequest,
        max_age: Duration,
    ) -> Result<Option<(Duration, Position)>, TunnelError> {
        let RemoteRequest { group, member, wait, .. } = remote.clone();
        self.send(TunnelRequest::Position { group, member, max_age, wait }).await?;
        let until = Instant::now() + wait + self.silence_limit;
        match self.reply(until, true).await? {
            TunnelReply::Position(newest) => Ok(newest),
            other => Err(unexpected(other)),
        }
    }

    /// Asks for operations of a tenant to be counted.
    pub(super) async fn begin_operations(
        &mut self,
        tenant: &TenantName,
        OperationsRequest { operations, priority, wait }: OperationsRequest,
    ) -> Result<Result<AdmittedOperations, OverLimit>, TunnelError> {
        let tenant = tenant.clone();
        self.send(TunnelRequest::BeginOperations { tenant, operations, priority, wait }).await?;
        match self.reply(Instant::now() + wait + self.silence_limit, true).await? {
            TunnelReply::OperationsAdmitted(outcome) => Ok(outcome),
            other => Err(unexpected(other)),
        }
    }

    /// Says that operations that were counted did not run.
    pub(super) async fn return_operations(
        &mut self,
        tenant: &TenantName,
        begun: AdmittedOperations,
    ) -> Result<(), TunnelError> {
        let tenant = tenant.clone();
        self.send(TunnelRequest::ReturnOperations { tenant, begun }).await?;
        match self.reply(Instant::now() + self.silence_limit, true).await? {
            TunnelReply::Returned => Ok(()),
            other => Err(unexpected(other)),
        }
    }

    async fn send(&mut self, request: TunnelRequest) -> Result<(), TunnelError> {
        let sent = self.frames.send(request).await;
        sent.map_err(|error| TunnelError::NotSent(link_error(error)))
    }

    /// The next reply that is more than a heartbeat.
    async fn reply(
        &mut self,
        until: Instant,
        gives_up_on_silence: bool,
    ) -> Result<TunnelReply, TunnelError> {
        loop {
            let heartbeat_due = Instant::now() + self.silence_limit;
            let wait = if gives_up_on_silence { until.min(heartbeat_due) } else { until };
            let Ok(reply) = timeout_at(wait, self.frames.next()).await else {
                self.silent = true;
                let error =
                    if wait < until { LinkError::HolderSilent } else { LinkError::TimedOut };
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

    /// Passes bytes to the member, on a connection that was granted.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> Result<(), LinkError> {
        let request = TunnelRequest::Bytes(bytes.to_vec());
        self.frames.send(request).await.map_err(link_error)
    }

    /// Appends what the member sends in answer.
    pub(crate) async fn read(&mut self, buffer: &mut BytesMut) -> Result<(), LinkError> {
        loop {
            let Ok(reply) = timeout(self.silence_limit, self.frames.next()).await else {
                self.silent = true;
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

    /// Gives a connection back.
    pub(super) async fn release(&mut self, profile: ConnectionProfile) -> Result<(), LinkError> {
        let sending = self.frames.send(TunnelRequest::Release { profile });
        let sent = timeout(RELEASE_LIMIT, sending).await;
        sent.map_err(|_| LinkError::TimedOut)?.map_err(link_error)
    }
}

/// What a reply says that is not the one asked for.
fn unexpected(reply: TunnelReply) -> TunnelError {
    match reply {
        TunnelReply::Refused(refusal) => TunnelError::Refused(refusal),
        _ => TunnelError::Sent(LinkError::Closed),
    }
}
