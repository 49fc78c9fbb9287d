//! Replicas that ask to join, and the leader's repair of the cell.

use super::pending::{ProposalKind, ProposalOrigin};
use super::thread::ConsensusThread;
use crate::cell::PeerMessage;
use corktack_core::consensus::{CellChange, CellConfig, CellMember, Event, Message};
use corktack_core::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time between two looks at the cell.
const REPAIR_INTERVAL: Duration = Duration::from_millis(250);
/// Replicas that may ask to join between two looks; more of them ask again.
const JOINER_LIMIT: usize = 32;

/// What the leader's repair of the cell keeps between two looks.
#[derive(Debug, Default)]
pub(super) struct RepairState {
    joiners: BTreeMap<SocketAddr, CellMember>,
    due: Timestamp,
}

impl RepairState {
    pub(super) const fn next_deadline(&self) -> Timestamp {
        self.due
    }
}

impl ConsensusThread {
    /// Notes a replica that asks to join, or passes the question on to the leader. A lost
    /// question is asked again.
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
        // Nobody waits for the outcome: the next look sees it.
        let (reply, _) = oneshot::channel();
        let origin = ProposalOrigin::Local(ProposalKind::Cell, reply);
        Event::ProposeCell { request: self.pending.add_proposal(origin), change }
    }
}
