//! Requests of replicas to join, and the leader's repair of the cell.
//!
//! The thread collects the requests between two evaluations of the cell. The core decides which change of
//! the cell is due.

use super::pending::{ProposalKind, ProposalOrigin};
use super::thread::ConsensusThread;
use crate::cell::PeerMessage;
use corktack_core::consensus::{CellChange, CellConfig, CellMember, Event, Message};
use corktack_core::time::Timestamp;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time between two evaluations of the cell. A shorter interval wakes the leader more often; a longer one
/// delays the replacement of a lost replica.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);
/// Most join requests stored between two evaluations; the other replicas request again. Bounds the memory
/// that unknown senders can use.
const MAX_JOINERS: usize = 32;

impl ConsensusThread {
    /// Stores a replica's request to join, or forwards the request to the leader. The replica repeats a
    /// request that was lost.
    pub(super) fn handle_join(&mut self, member: CellMember) {
        if self.is_leader() {
            if self.repair.joiners.len() < MAX_JOINERS {
                self.repair.joiners.insert(member.address, member);
            }
            return;
        }
        if let Some(leader) = self.parts.replica.leader() {
            self.parts.links.send(leader, PeerMessage::Join { member });
        }
    }

    /// Connects to the voters of the cell that this replica requests to join, so that it can answer their
    /// messages. A replica that already knows its cell ignores the answer.
    pub(super) fn connect_to_cell(&mut self, cell: &CellConfig) {
        if self.parts.replica.cell().voters.is_empty() {
            self.parts.links.connect(&cell.voters);
        }
    }

    /// Returns the leader's proposal for the change of the cell that is due, if any. A new leader keeps the
    /// join requests until it has applied an entry of its own term, as the core refuses changes before.
    pub(super) fn repair_cell(&mut self, now: Timestamp) -> Option<Event<Message>> {
        let repair = self.parts.cell_repair?;
        let is_new_leader = self.is_leader() && !self.parts.replica.has_applied_own_term();
        if is_new_leader || now < self.repair.next_evaluation {
            return None;
        }
        self.repair.next_evaluation = now + REPAIR_INTERVAL;
        if !self.is_leader() {
            self.repair.joiners.clear();
            return None;
        }
        let cell = self.parts.replica.cell();
        let joiners = std::mem::take(&mut self.repair.joiners);
        let admitted = joiners.values().find_map(|joiner| repair.admit(cell, joiner));
        let health = self.parts.replica.member_health(now);
        let change = repair.next_change(cell, &health).or(admitted)?;
        Some(self.cell_event(change))
    }

    fn cell_event(&mut self, change: CellChange) -> Event<Message> {
        log::info!(change:? = change; "cell repair proposes a change of the cell");
        // Nobody waits for the outcome, as the next evaluation sees the changed cell.
        let (reply, _) = oneshot::channel();
        let origin = ProposalOrigin::Local(ProposalKind::Cell, reply);
        Event::ProposeCell { request: self.pending.add_proposal(origin), change }
    }
}
