//! Leadership transfer to another voter.
//!
//! The leader chooses the voter with the highest match index and tells it to start an election once it holds
//! the whole log. A transfer in progress is part of the leader's state.

use super::leader::LeadershipTransfer;
use super::message::{Message, MessageBody};
use super::replica::{Replica, RoleState};
use super::{Action, voter_ids};
use crate::identity::ReplicaId;
use crate::time::Timestamp;

impl Replica {
    pub(super) fn handle_transfer(&mut self, now: Timestamp) {
        let deadline = now + self.settings.election_timeout;
        let Some(target) = self.most_up_to_date_voter() else { return };
        let Some(leader) = self.leader_mut() else { return };
        if leader.transfer.is_none() {
            leader.transfer = Some(LeadershipTransfer::new(target, deadline));
            self.continue_transfer(target);
        }
    }

    /// Returns the other voter with the highest match index; among equals the one that responded last.
    fn most_up_to_date_voter(&self) -> Option<ReplicaId> {
        let RoleState::Leader(leader) = &self.role else { return None };
        let voters = voter_ids(self.log.cell());
        let other_voters = leader.progress.iter().filter(|(id, _)| voters.contains(id));
        let target =
            other_voters.max_by_key(|(_, progress)| (progress.match_index, progress.last_response));
        target.map(|(id, _)| *id)
    }

    /// Tells the transfer target to start an election, if `from` is the target and holds the whole log.
    pub(super) fn continue_transfer(&mut self, from: ReplicaId) {
        let last_index = self.log.last_index();
        let Some(leader) = self.leader_mut() else { return };
        let holds_whole_log =
            leader.progress.get(&from).is_some_and(|progress| progress.match_index == last_index);
        let Some(transfer) = &mut leader.transfer else { return };
        if transfer.target == from && holds_whole_log && !transfer.timeout_now_sent {
            transfer.timeout_now_sent = true;
            self.send(from, MessageBody::TimeoutNow);
        }
    }

    /// Gives up leadership before the driver drops this replica, because its log cannot be written. Returns
    /// the message that asks the most up-to-date other voter to take over at once; none if this replica does
    /// not lead. All other actions that were not handed out are void.
    pub fn resign(&mut self) -> Vec<Action<Message>> {
        self.outbox.clear();
        if self.is_leader() {
            self.send_timeout_now();
        }
        std::mem::take(&mut self.outbox)
    }

    /// Tells the most up-to-date other voter to start an election, without waiting for the outcome.
    pub(super) fn send_timeout_now(&mut self) {
        if let Some(target) = self.most_up_to_date_voter() {
            self.send(target, MessageBody::TimeoutNow);
        }
    }

    /// Starts an election on request of the leader. [`Replica::admit_term`] checked that the term is current.
    pub(super) fn handle_timeout_now(&mut self, now: Timestamp, from: ReplicaId) {
        if self.leader == Some(from) && self.is_voter() && !self.is_leader() {
            self.begin_election(now, true);
        }
    }
}
