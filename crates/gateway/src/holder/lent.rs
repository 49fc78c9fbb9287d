//! Relays bytes between another gateway and a member, on a connection lent to that gateway.
//!
//! The bytes pass through unparsed. The other gateway returns the connection with a release; if the tunnel
//! ends before, the lease closes the connection, which rolls back.

use super::frames::{HolderFrames, LOG_TARGET, send};
use crate::error::LinkError;
use crate::group::Lease;
use crate::shared::GatewayContext;
use crate::tunnel::{FIRST_HEARTBEAT, HEARTBEAT_INTERVAL};
use crate::wire::Wire;
use bytes::BytesMut;
use corktack_core::gateway::ConnectionProfile;
use corktack_protocol::frame::FrameError;
use corktack_protocol::tunnel::{TunnelReply, TunnelRequest};
use futures_util::StreamExt;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Grace period on top of a transaction's idle limit, after which a lent connection is taken back. The
/// borrowing gateway ends the transaction before, unless it is gone. A shorter one ends transactions that a
/// gateway behind a slow link still keeps; a longer one keeps a lost gateway's connections taken for longer.
const IDLE_GRACE: Duration = Duration::from_secs(1);
/// Initial size of the buffer for a member's bytes.
const BUFFER_BYTES: usize = 4 * 1024;

/// Next event on a lent connection.
enum LentEvent {
    /// The borrowing gateway sent a request, or the tunnel ended.
    Request(Option<Result<TunnelRequest, FrameError>>),
    /// The member sent bytes, or its connection ended.
    Read(Result<(), LinkError>),
    /// The connection has been idle for too long.
    IdleTooLong,
    /// The member has not answered yet: a heartbeat is due.
    HeartbeatDue,
}

/// A connection lent to another gateway.
struct LentConnection<'f, W: Wire> {
    frames: &'f mut HolderFrames,
    lease: Lease<W>,
    /// Time of the last bytes in either direction.
    last_activity: Instant,
    /// Time at which the gateway last sent bytes; none once the member has answered.
    awaiting_since: Option<Instant>,
    heartbeat_due: Instant,
    buffer: BytesMut,
}

/// Sends the grant to the borrowing gateway, and relays bytes both ways until it returns the connection. An
/// error means that the tunnel has ended; the member's connection is then closed unless it was returned,
/// which rolls back.
pub(super) async fn serve_lent<W: Wire>(
    shared: &GatewayContext<W>,
    frames: &mut HolderFrames,
    mut lease: Lease<W>,
    lent: TunnelReply,
) -> Result<(), LinkError> {
    // A transaction may be open on the connection until it is returned.
    lease.in_transaction = true;
    send(frames, lent).await?;
    LentConnection::new(frames, lease).serve(shared).await
}

impl<'f, W: Wire> LentConnection<'f, W> {
    fn new(frames: &'f mut HolderFrames, lease: Lease<W>) -> Self {
        Self {
            frames,
            lease,
            last_activity: Instant::now(),
            awaiting_since: None,
            heartbeat_due: Instant::now(),
            buffer: BytesMut::with_capacity(BUFFER_BYTES),
        }
    }

    async fn serve(mut self, shared: &GatewayContext<W>) -> Result<(), LinkError> {
        let idle_limit = shared.routes.transaction_idle_limit() + IDLE_GRACE;
        loop {
            match self.next_event(idle_limit).await {
                LentEvent::Request(Some(Ok(TunnelRequest::Bytes(bytes)))) => {
                    if self.pass_to_member(&bytes).await.is_err() {
                        return send(self.frames, TunnelReply::Closed).await;
                    }
                }
                LentEvent::Request(Some(Ok(TunnelRequest::Release { profile }))) => {
                    self.accept_release(profile);
                    return Ok(());
                }
                LentEvent::Request(_) => {
                    self.record_abandoned(shared.settings.begin_timeout);
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
        let is_awaiting_answer = self.awaiting_since.is_some();
        tokio::select! {
            request = self.frames.next() => LentEvent::Request(request),
            read = self.lease.connection().read_bytes(&mut self.buffer) => LentEvent::Read(read),
            () = sleep_until(self.last_activity + idle_limit), if !is_awaiting_answer => LentEvent::IdleTooLong,
            () = sleep_until(self.heartbeat_due), if is_awaiting_answer => LentEvent::HeartbeatDue,
        }
    }

    async fn pass_to_member(&mut self, bytes: &[u8]) -> Result<(), LinkError> {
        self.lease.set_idle_in_transaction(false);
        self.last_activity = Instant::now();
        self.awaiting_since = Some(self.last_activity);
        self.heartbeat_due = Instant::now() + FIRST_HEARTBEAT;
        self.lease.connection().write_bytes(bytes).await
    }

    async fn pass_to_gateway(&mut self) -> Result<(), LinkError> {
        self.awaiting_since = None;
        self.last_activity = Instant::now();
        self.lease.set_idle_in_transaction(true);
        let bytes = self.buffer.split().to_vec();
        send(self.frames, TunnelReply::Bytes(bytes)).await
    }

    fn accept_release(&mut self, profile: ConnectionProfile) {
        self.lease.connection().set_profile(profile);
        self.lease.end_transaction();
    }

    /// Records that the member is silent, if the borrowing gateway gave up on a statement after `limit` or
    /// more.
    fn record_abandoned(&self, limit: Duration) {
        if self.awaiting_since.is_some_and(|awaiting_since| awaiting_since.elapsed() >= limit) {
            self.lease.group().record_silence(&self.lease.member);
        }
    }

    fn end_idle(&self) -> LinkError {
        log::info!(
            target: LOG_TARGET, member:% = self.lease.member;
            "gateway that borrows a connection is silent: its transaction is rolled back"
        );
        LinkError::HolderSilent
    }
}
