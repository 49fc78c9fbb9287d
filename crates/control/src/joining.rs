//! Requests other replicas to add this one to their cell, while it may belong to none.
//!
//! The targets are tried in turn. The core decides on the published status whether a request is due; the
//! leader of the other replicas adds the replica.

use crate::consensus::{ConsensusHandle, ConsensusInput, ReplicaStatus};
use crate::metrics::Metrics;
use crate::stop::StopSignal;
use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::registry::{JoinReason, OwnMembership, join_reason};
use corktack_protocol::control::{ControlMessage, ProxyMessage};
use corktack_protocol::frame::FrameCodec;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Pause between two requests. A shorter pause sends more requests while a cell forms; a longer one delays
/// the addition of a new replica.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Longest wait for one answer, including the connection. A shorter timeout fails on slow links; a longer
/// one waits longer for unreachable replicas.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// The task that requests to join a cell.
pub(crate) struct JoinTask {
    pub(crate) member: CellMember,
    /// The configured addresses that take join requests.
    pub(crate) contacts: Vec<SocketAddr>,
    /// Time without a leader after which a voter sends requests.
    pub(crate) voter_request_after: Duration,
    pub(crate) status: watch::Receiver<ReplicaStatus>,
    pub(crate) consensus: ConsensusHandle,
    pub(crate) metrics: Metrics,
}

impl JoinTask {
    /// Sends requests until the stop signal, whenever one is due.
    pub(crate) async fn run(self, stop: StopSignal) {
        tokio::select! {
            () = self.request_repeatedly() => (),
            () = stop.stopped() => (),
        }
    }

    async fn request_repeatedly(&self) {
        let mut last_reason = None;
        for turn in 0.. {
            let targets = self.targets();
            let reason = self.reason().filter(|_| !targets.is_empty());
            if reason.is_some() {
                self.metrics.cell_join_requests.inc();
                self.send_request(targets[turn % targets.len()]).await;
            }
            if reason != last_reason {
                self.log_reason(reason);
                last_reason = reason;
            }
            sleep(REQUEST_INTERVAL).await;
        }
    }

    fn log_reason(&self, reason: Option<JoinReason>) {
        let replica = self.member.id.0;
        match reason {
            Some(reason) => log::info!(replica, reason:? = reason; "replica requests to join"),
            None => log::info!(replica; "replica requests to join no longer"),
        }
    }

    /// Returns the configured addresses and those of the voters in the log's cell, as either may be
    /// unreachable.
    fn targets(&self) -> Vec<SocketAddr> {
        let port = self.contacts.first().map_or(0, SocketAddr::port);
        let status = self.status.borrow();
        let voters =
            status.cell.voters.iter().map(|voter| SocketAddr::new(voter.address.ip(), port));
        let mut targets: Vec<SocketAddr> = self.contacts.iter().copied().chain(voters).collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    fn reason(&self) -> Option<JoinReason> {
        let status = self.status.borrow();
        if status.storage_unwritable_since.is_some() {
            // The replica could not follow a leader now. It returns to the cell first.
            return None;
        }
        let membership = OwnMembership {
            replica: self.member.id,
            cell: &status.cell,
            leader: status.leader,
            leaderless_for: status.leaderless_since.map_or(Duration::ZERO, |since| since.elapsed()),
        };
        join_reason(&membership, self.voter_request_after)
    }

    async fn send_request(&self, target: SocketAddr) {
        let Ok(Some(cell)) = timeout(ANSWER_TIMEOUT, request_cell(target, &self.member)).await
        else {
            log::debug!(replica:% = target; "no answer to the request to join, trying again");
            return;
        };
        // An error means that the thread has ended, so the replica is stopping.
        let _ = self.consensus.send(ConsensusInput::CellLearned(cell));
    }
}

async fn request_cell(target: SocketAddr, member: &CellMember) -> Option<CellConfig> {
    let stream = TcpStream::connect(target).await.ok()?;
    let codec = FrameCodec::<ProxyMessage, ControlMessage>::default();
    let mut frames = Framed::new(stream, codec);
    frames.send(ProxyMessage::Join { member: member.clone() }).await.ok()?;
    match frames.next().await? {
        Ok(ControlMessage::Cell(cell)) => Some(cell),
        _ => None,
    }
}
