//! The machine's place in the cell: the leader's repair, and the requests to join.

use super::{Machine, Origin, VOTERS};
use crate::run::event::{Context, Packet};
use crate::run::variant::Variant;
use corktack_core::consensus::{CellMember, Event, Replica, Role};
use corktack_core::registry::{
    CellRepair, CellRepairDuty, CellRepairSettings, OwnMembership, join_reason,
};
use corktack_core::time::Timestamp;
use rand::Rng;
use std::time::Duration;

/// Silence after which a caught-up learner replaces a voter.
const REPLACE_AFTER: Duration = Duration::from_millis(1_000);
/// Time without a leader after which a voter requests to join.
const VOTER_REQUEST_AFTER: Duration = Duration::from_millis(900);
/// Time between two requests to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// What a process keeps for its place in the cell.
pub(super) struct CellState {
    repair: CellRepairDuty,
    leaderless_since: Option<Timestamp>,
    next_request: Timestamp,
}

impl CellState {
    pub fn new(now: Timestamp) -> Self {
        let settings =
            CellRepairSettings { voters: usize::from(VOTERS), replace_after: REPLACE_AFTER };
        Self {
            repair: CellRepairDuty::new(CellRepair::new(settings)),
            leaderless_since: Some(now),
            next_request: now,
        }
    }

    /// Notes whether a leader is known now.
    pub fn note_leader(&mut self, now: Timestamp, is_known: bool) {
        let since = *self.leaderless_since.get_or_insert(now);
        self.leaderless_since = (!is_known).then_some(since);
    }

    fn must_request(&self, now: Timestamp, replica: &Replica) -> bool {
        let leaderless_for =
            self.leaderless_since.map_or(Duration::ZERO, |since| now.saturating_since(since));
        let membership = OwnMembership {
            replica: replica.id(),
            cell: replica.cell(),
            leader: replica.leader(),
            leaderless_for,
        };
        now >= self.next_request && join_reason(&membership, VOTER_REQUEST_AFTER).is_some()
    }
}

impl Machine {
    /// The machine as a member of the cell.
    fn member(&self) -> CellMember {
        CellMember { id: self.id, address: self.address }
    }

    /// Proposes the change of the cell that is due.
    pub(super) fn repair_cell(&mut self, context: &mut Context<'_>) {
        let Some(process) = &mut self.process else { return };
        let Some(change) = process.cell.repair.evaluate(context.now, &process.replica) else {
            return;
        };
        if let Some(request) = self.next_request(Origin::Cell) {
            self.step(context, Event::ProposeCell { request, change });
        }
    }

    /// Sends a request to join to another machine if one is due.
    pub(super) fn request_to_join(&mut self, context: &mut Context<'_>) {
        let member = self.member();
        let Some(process) = &mut self.process else { return };
        let cell = process.replica.cell();
        let is_voter = cell.voters.iter().any(|voter| voter.id == member.id);
        let relies_on_own_log = context.is(Variant::RemovedVoterRequestsNothing) && is_voter;
        if relies_on_own_log || !process.cell.must_request(context.now, &process.replica) {
            return;
        }
        process.cell.next_request = context.now + JOIN_INTERVAL;
        let to = context.random.random_range(0..super::MACHINES);
        context.send(crate::run::event::Address::Control(to), Packet::Join(member));
    }

    /// Stores a request to join, or forwards it to the leader.
    pub(super) fn take_join_request(&mut self, context: &mut Context<'_>, member: CellMember) {
        let Some(process) = &mut self.process else { return };
        if process.replica.role() == Role::Leader {
            process.cell.repair.add_join_request(member);
        } else if let Some(leader) = process.replica.leader() {
            context.send(super::machine_of(leader), Packet::Join(member));
        }
    }
}
