//! Requests of replicas to join, and the leader's repair of the cell.
//!
//! The core collects the requests and decides which change of the cell is due.

use super::pending::{ProposalKind, ProposalOrigin};
use super::thread::ConsensusThread;
use crate::cell::PeerMessage;
use corktack_core::consensus::{CellChange, CellConfig, CellMember, Event, Message};
use corktack_core::time::Timestamp;
use tokio::sync::oneshot;

impl ConsensusThread {
    /// Stores a replica's request to join, or forwards the request to the leader. The replica repeats a
    /// request that was lost.
    pub(super) fn handle_join(&mut self, member: CellMember) {
        if self.is_leader() {
            if let Some(repair) = &mut self.parts.cell_repair {
                repair.add_join_request(member);
            }
            return;
        }
        if let Some(leader) = self.parts.replica.leader() {
            self.parts.links.send(leader, PeerMessage::Join { member });
        }
    }

    /// Connects to the voters of the cell that this replica requests to join, so that it can answer their
    /// messages. The cell in its own log may be an older one, without the leader.
    pub(super) fn connect_to_cell(&mut self, cell: &CellConfig) {
        self.parts.links.connect(&cell.voters);
    }

    /// Returns the leader's proposal for the change of the cell that is due, if any.
    pub(super) fn repair_cell(&mut self, now: Timestamp) -> Option<Event<Message>> {
        let repair = self.parts.cell_repair.as_mut()?;
        let change = repair.evaluate(now, &self.parts.replica);
        self.parts.metrics.record_shortage(repair.shortage());
        change.map(|change| self.cell_event(change))
    }

    fn cell_event(&mut self, change: CellChange) -> Event<Message> {
        // Nobody waits for the outcome, as the next evaluation sees the changed cell.
        let (reply, _) = oneshot::channel();
        let origin = ProposalOrigin::Local(ProposalKind::Cell, reply);
        Event::ProposeCell { request: self.pending.add_proposal(origin), change }
    }
}
