//! A connection that another gateway uses.
//!
//! It is for the time between lending a connection and its return. It owns the lease and the times at which
//! anything last passed; bytes go through unread. It relies on the other gateway to give the connection
//! back; where the tunnel ends before, the lease closes the connection, which rolls back.

use super::frames::{HolderFrames, LOG_TARGET, send};
use crate::error::LinkError;
use crate::group::Lease;
use crate::shared::Shared;
use crate::tunnel::{FIRST_HEARTBEAT, HEARTBEAT_INTERVAL};
use crate::wire::Wire;
use bytes::BytesMut;
use corktack_core::gateway::ConnectionProfile;
use corktack_protocol::frame::FrameError;
use corktack_protocol::tunnel::{TunnelReply, TunnelRequest};
use futures_util::StreamExt;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How much longer than a transaction may be idle a connection is lent without a word: the gateway that
/// uses it ends the transaction before, unless it is gone. Chosen, not measured: lower, a slow link ends
/// transactions that their gateway still keeps; higher, a lost gateway's connections stay taken longer.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// First size of the buffer for a member's bytes.
const BUFFER_BYTES: usize = 4 * 1024;

/// What happens next on a lent connection.
enum LentEvent {
    /// The gateway that uses it sent something, or the tunnel ended.
    Request(Option<Result<TunnelRequest, FrameError>>),
    /// The member sent something, or its connection ended.
    Read(Result<(), LinkError>),
    /// Nobody has used it for too long.
    IdleTooLong,
    /// The member has not answered yet: a heartbeat is due.
    HeartbeatDue,
}

/// A connection that another gateway uses.
struct LentConnection<'f, W: Wire> {
    frames: &'f mut HolderFrames,
    lease: Lease<W>,
    /// When anything last passed, either way.
    passed_at: Instant,
    /// When the gateway last sent something, where the member has not answered it.
    asked_at: Option<Instant>,
    heartbeat_due: Instant,
    buffer: BytesMut,
}

/// Tells the gateway that it has the connection, and passes bytes both ways until it is given back. An
/// error says that the tunnel is over; a member's connection in the middle of something is then closed,
/// which rolls back.
pub(super) async fn serve_lent<W: Wire>(
    shared: &Shared<W>,
    frames: &mut HolderFrames,
    mut lease: Lease<W>,
    lent: TunnelReply,
) -> Result<(), LinkError> {
    // Until it is given back, something may be under way on it.
    lease.in_transaction = true;
    send(frames, lent).await?;
    LentConnection::new(frames, lease).serve(shared).await
}

impl<'f, W: Wire> LentConnection<'f, W> {
    fn new(frames: &'f mut HolderFrames, lease: Lease<W>) -> Self {
        Self {
            frames,
            lease,
            passed_at: Instant::now(),
            asked_at: None,
            heartbeat_due: Instant::now(),
            buffer: BytesMut::with_capacity(BUFFER_BYTES),
        }
    }

    async fn serve(mut self, shared: &Shared<W>) -> Result<(), LinkError> {
        let idle_limit = shared.routes.transaction_idle() + IDLE_SLACK;
        loop {
            match self.next_event(idle_limit).await {
                LentEvent::Request(Some(Ok(TunnelRequest::Bytes(bytes)))) => {
                    if self.pass_to_member(&bytes).await.is_err() {
                        return send(self.frames, TunnelReply::Closed).await;
                    }
                }
                LentEvent::Request(Some(Ok(TunnelRequest::Release { profile }))) => {
                    self.give_back(profile);
                    return Ok(());
                }
                LentEvent::Request(_) => {
                    self.note_abandoned(shared.settings.begin_timeout);
                    return Err(LinkError::Closed);
                }
                LentEvent::Read(Ok(())) => self.pass_to_gateway().await?,
                LentEvent::Read(Err(_)) => return send(self.frames, TunnelReply::Closed).await,
                LentEvent::IdleTooLong => return Err(self.end_idle()),
                LentEvent::HeartbeatDue => {
                    self.heartbeat_due = Instant::now() + HEARTBEAT_INTERVAL;
                    send(self.frames, TunnelReply::Working).await?;
                }
            }
        }
    }

    async fn next_event(&mut self, idle_limit: Duration) -> LentEvent {
        let is_asked = self.asked_at.is_some();
        tokio::select! {
            request = self.frames.next() => LentEvent::Request(request),
            read = self.lease.connection().read_bytes(&mut self.buffer) => LentEvent::Read(read),
            () = sleep_until(self.passed_at + idle_limit), if !is_asked => LentEvent::IdleTooLong,
            () = sleep_until(self.heartbeat_due), if is_asked => LentEvent::HeartbeatDue,
        }
    }

    async fn pass_to_member(&mut self, bytes: &[u8]) -> Result<(), LinkError> {
        self.lease.set_idle_in_transaction(false);
        self.passed_at = Instant::now();
        self.asked_at = Some(self.passed_at);
        self.heartbeat_due = Instant::now() + FIRST_HEARTBEAT;
        self.lease.connection().write_bytes(bytes).await
    }

    async fn pass_to_gateway(&mut self) -> Result<(), LinkError> {
        self.asked_at = None;
        self.passed_at = Instant::now();
        self.lease.set_idle_in_transaction(true);
        let bytes = self.buffer.split().to_vec();
        send(self.frames, TunnelReply::Bytes(bytes)).await
    }

    fn give_back(&mut self, profile: ConnectionProfile) {
        self.lease.connection().profile = profile;
        self.lease.end_transaction();
    }

    /// A statement that was given up on without an answer says something of its member.
    fn note_abandoned(&self, limit: Duration) {
        if self.asked_at.is_some_and(|asked_at| asked_at.elapsed() >= limit) {
            self.lease.group().note_silent(&self.lease.member);
        }
    }

    fn end_idle(&self) -> LinkError {
        log::info!(
            target: LOG_TARGET, member:% = self.lease.member;
            "the gateway that uses a connection is silent: its transaction is rolled back"
        );
        LinkError::HolderSilent
    }
}
