//! Replicas that request to join, and the leader's repair of the cell.
//!
//! Owns the requests since the last evaluation and when the next is due. The core decides which change of
//! the cell is due.

use super::pending::{ProposalKind, ProposalOrigin};
use super::thread::ConsensusThread;
use crate::cell::PeerMessage;
use corktack_core::consensus::{CellChange, CellConfig, CellMember, Event, Message};
use corktack_core::time::Timestamp;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time between two evaluations of the cell. Chosen, not measured; a lower value wakes the leader more
/// often, a higher one adds to the time until a lost replica is replaced.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);
/// Replicas that may request to join between two evaluations; more of them request it again. Chosen, not
/// measured; it bounds the memory that strangers can take.
const JOINER_LIMIT: usize = 32;

impl ConsensusThread {
    /// Notes a replica that requests to join, or passes the request on to the leader. A lost
    /// request is made again.
    pub(super) fn take_join(&mut self, member: CellMember) {
        if self.leads() {
            if self.repair.joiners.len() < JOINER_LIMIT {
                self.repair.joiners.insert(member.address, member);
            }
            return;
        }
        if let Some(leader) = self.parts.replica.leader() {
            self.parts.links.send(leader, PeerMessage::Join { member });
        }
    }

    /// Connects to the replicas of a cell that this one wants to join, so that it can answer them.
    pub(super) fn learn_cell(&mut self, cell: &CellConfig) {
        if self.parts.replica.cell().voters.is_empty() {
            self.parts.links.connect(&cell.voters);
        }
    }

    /// The change of the cell that is due, as the leader.
    pub(super) fn repair_cell(&mut self, now: Timestamp) -> Option<Event<Message>> {
        let repair = self.parts.cell_repair?;
        if now < self.repair.due {
            return None;
        }
        self.repair.due = now + REPAIR_INTERVAL;
        if !self.leads() {
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
        log::info!(change:? = change; "the cell changes itself");
        // Nobody waits for the outcome: the next evaluation sees it.
        let (reply, _) = oneshot::channel();
        let origin = ProposalOrigin::Local(ProposalKind::Cell, reply);
        Event::ProposeCell { request: self.pending.add_proposal(origin), change }
    }
}
