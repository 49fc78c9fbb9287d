//! Handing leadership to another voter.
//!
//! Chooses the voter that holds most of the log and asks it for an election once it holds all. Owns nothing: a
//! hand-over under way is part of the leader's state.

use super::leader::Transfer;
use super::message::MessageBody;
use super::replica::{Replica, RoleState};
use super::voter_ids;
use crate::identity::ReplicaId;
use crate::time::Timestamp;

impl Replica {
    pub(super) fn handle_transfer(&mut self, now: Timestamp) {
        let deadline = now + self.settings.election_timeout;
        let Some(target) = self.best_voter() else { return };
        let Some(leader) = self.leader_state() else { return };
        if leader.transfer.is_none() {
            leader.transfer = Some(Transfer::new(target, deadline));
            self.continue_transfer(target);
        }
    }

    /// The other voter that holds most of the log, the one that answered last among equals.
    fn best_voter(&self) -> Option<ReplicaId> {
        let RoleState::Leader(leader) = &self.role else { return None };
        let voters = voter_ids(self.log.cell());
        let others = leader.progress.iter().filter(|(id, _)| voters.contains(id));
        let best = others.max_by_key(|(_, progress)| (progress.match_index, progress.last_answer));
        best.map(|(id, _)| *id)
    }

    /// Asks the target to hold an election once it holds the whole log.
    pub(super) fn continue_transfer(&mut self, from: ReplicaId) {
        let last_index = self.log.last_index();
        let Some(leader) = self.leader_state() else { return };
        let complete = leader.progress.get(&from).is_some_and(|p| p.match_index == last_index);
        let Some(transfer) = &mut leader.transfer else { return };
        if transfer.target == from && complete && !transfer.asked {
            transfer.asked = true;
            self.send(from, MessageBody::TimeoutNow);
        }
    }

    /// Asks the best of the others for an election without waiting for the outcome.
    pub(super) fn ask_best_voter(&mut self) {
        if let Some(target) = self.best_voter() {
            self.send(target, MessageBody::TimeoutNow);
        }
    }

    /// The message is of the current term, see [`Replica::admit_term`].
    pub(super) fn handle_timeout_now(&mut self, now: Timestamp, from: ReplicaId) {
        if self.leader == Some(from) && self.is_voter() && !self.is_leader() {
            self.begin_election(now, true);
        }
    }
}
