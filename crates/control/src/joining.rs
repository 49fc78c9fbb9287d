//! Requests other replicas to add this one to their cell, while it belongs to none.
//!
//! The targets are tried in turn. The published status shows whether the replica belongs to a cell by now;
//! the leader of the other replicas adds it.

use crate::consensus::{ConsensusHandle, ConsensusInput, ReplicaStatus};
use crate::stop::StopSignal;
use corktack_core::consensus::{CellConfig, CellMember};
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
    pub(crate) status: watch::Receiver<ReplicaStatus>,
    pub(crate) consensus: ConsensusHandle,
}

impl JoinTask {
    /// Sends requests until the stop signal, whenever the replica belongs to no cell.
    pub(crate) async fn run(self, stop: StopSignal) {
        tokio::select! {
            () = self.request_repeatedly() => (),
            () = stop.stopped() => (),
        }
    }

    async fn request_repeatedly(&self) {
        for turn in 0.. {
            let targets = self.targets();
            if self.is_outside_cell() && !targets.is_empty() {
                self.send_request(targets[turn % targets.len()]).await;
            }
            sleep(REQUEST_INTERVAL).await;
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

    /// Reports whether the replica must still be added to a cell. A voter takes part in elections, and a
    /// learner that knows a leader is being brought up to date, so neither must be added.
    fn is_outside_cell(&self) -> bool {
        let status = self.status.borrow();
        let contains_self =
            |members: &[CellMember]| members.iter().any(|member| member.id == self.member.id);
        let is_learning = contains_self(&status.cell.learners) && status.leader.is_some();
        !contains_self(&status.cell.voters) && !is_learning
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
