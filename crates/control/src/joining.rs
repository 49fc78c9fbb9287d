//! A replica without a cell requests other replicas to add it to theirs.
//!
//! Owns whose turn it is. Relies on the status for whether the replica belongs to a cell by now, and on the
//! leader of the other replicas to add it.

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

/// Pause between two requests. Chosen, not measured; a lower value sends more of them while a cell forms, a
/// higher one adds to the time until a new replica counts.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);
/// Longest wait for one answer, its connection included. Chosen, not measured; a lower value gives up on
/// slow links, a higher one adds to the time that a replica which is gone costs.
const ANSWER_LIMIT: Duration = Duration::from_millis(700);

/// A replica that wants to belong to a cell.
pub(crate) struct Joining {
    pub(crate) member: CellMember,
    pub(crate) through: Vec<SocketAddr>,
    pub(crate) status: watch::Receiver<ReplicaStatus>,
    pub(crate) consensus: ConsensusHandle,
}

impl Joining {
    /// Makes requests in turn until the stop, whenever the replica belongs to no cell.
    pub(crate) async fn run(self, stop: StopSignal) {
        tokio::select! {
            () = self.request_all() => (),
            () = stop.stopped() => (),
        }
    }

    async fn request_all(&self) {
        for turn in 0.. {
            let targets = self.targets();
            if self.is_outside() && !targets.is_empty() {
                self.request(targets[turn % targets.len()]).await;
            }
            sleep(REQUEST_INTERVAL).await;
        }
    }

    /// The replicas configured and those of the cell that the log names: either may be gone.
    fn targets(&self) -> Vec<SocketAddr> {
        let port = self.through.first().map_or(0, SocketAddr::port);
        let status = self.status.borrow();
        let known = status.cell.voters.iter().map(|it| SocketAddr::new(it.address.ip(), port));
        let mut targets: Vec<SocketAddr> = self.through.iter().copied().chain(known).collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// A voter takes part in elections, and a learner that knows a leader is being brought up to
    /// date: neither needs anyone to add it.
    fn is_outside(&self) -> bool {
        let status = self.status.borrow();
        let belongs = |members: &[CellMember]| members.iter().any(|it| it.id == self.member.id);
        let learns = belongs(&status.cell.learners) && status.leader.is_some();
        !belongs(&status.cell.voters) && !learns
    }

    async fn request(&self, target: SocketAddr) {
        let Ok(Some(cell)) = timeout(ANSWER_LIMIT, request_cell(target, &self.member)).await else {
            log::debug!(replica:% = target; "no answer to the question to join");
            return;
        };
        // The thread has ended already when it takes no more inputs.
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
