//! Changes of the cell, one member at a time.
//!
//! A cell takes effect when its entry is appended. Two cells that differ by one
//! voter share a member of every pair of majorities, so no two leaders can be
//! elected side by side; that holds only while at most one change is
//! uncommitted, and only after the leader committed an entry of its own term.
//!
//! Owns the rules for a change; the cell in force is in the log.

use super::replica::{Replica, RoleState};
use super::{CellChange, CellConfig, CellMember, Payload, Rejection, RequestId};
use crate::identity::ReplicaId;
use crate::time::Timestamp;

/// Entries a learner may lack of the committed log to count as caught up. Chosen, not measured: with more, a
/// voter that has just been promoted may hold up what is committed next.
const PROMOTION_LAG_LIMIT: u64 = 64;

/// The cell after a change, or none when the change makes no sense.
fn changed_cell(cell: &CellConfig, change: &CellChange) -> Option<CellConfig> {
    let mut changed = cell.clone();
    match change {
        CellChange::AddLearner(member) => {
            let known = is_in(&cell.voters, member.id) || is_in(&cell.learners, member.id);
            (!known).then(|| changed.learners.push(member.clone()))?;
        }
        CellChange::Promote(id) => {
            let place = cell.learners.iter().position(|member| member.id == *id)?;
            let member = changed.learners.remove(place);
            changed.voters.push(member);
        }
        CellChange::Remove(id) => {
            changed.voters.retain(|member| member.id != *id);
            changed.learners.retain(|member| member.id != *id);
            if changed == *cell || changed.voters.is_empty() {
                return None;
            }
        }
    }
    Some(changed)
}

fn is_in(members: &[CellMember], id: ReplicaId) -> bool {
    members.iter().any(|member| member.id == id)
}

impl Replica {
    /// Whether `id` belongs to the cell in force.
    pub(super) fn is_member(&self, id: ReplicaId) -> bool {
        let cell = self.log.cell();
        is_in(&cell.voters, id) || is_in(&cell.learners, id)
    }

    pub(super) fn handle_propose_cell(
        &mut self,
        now: Timestamp,
        request: RequestId,
        change: &CellChange,
    ) {
        if let Some(rejection) = self.proposal_obstacle() {
            self.reject(request, rejection);
            return;
        }
        let allowed = self.may_change_cell(now, change);
        let changed = changed_cell(self.log.cell(), change).filter(|_| allowed);
        match changed.filter(|cell| self.hears_majority_of(now, cell)) {
            Some(cell) => {
                self.append_proposal(request, Payload::Cell(cell));
                self.follow_cell(now);
            }
            None => self.reject(request, Rejection::CellChange),
        }
    }

    fn may_change_cell(&self, now: Timestamp, change: &CellChange) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let commit = self.hard_state.commit;
        let settled = self.log.cell_index() <= commit && leader.first_index <= commit;
        settled
            && match change {
                CellChange::Promote(id) => self.is_caught_up(now, *id),
                CellChange::AddLearner(_) | CellChange::Remove(_) => true,
            }
    }

    /// Whether a learner holds nearly all that is committed and answers. One that
    /// lags would count for the majority without being able to form it.
    pub(super) fn is_caught_up(&self, now: Timestamp, id: ReplicaId) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        leader.progress.get(&id).is_some_and(|progress| {
            let lag = self.hard_state.commit.saturating_sub(progress.match_index);
            progress.is_replicating()
                && lag <= PROMOTION_LAG_LIMIT
                && progress.answered_within(self.settings.election_timeout, now)
        })
    }

    /// Whether a majority of a cell's voters answers. A change to a cell that has
    /// none could not be committed, nor could anything after it.
    fn hears_majority_of(&self, now: Timestamp, cell: &CellConfig) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let answers = |id: ReplicaId| {
            let timeout = self.settings.election_timeout;
            let other = leader.progress.get(&id);
            id == self.settings.id
                || other.is_some_and(|progress| progress.answered_within(timeout, now))
        };
        let answering = cell.voters.iter().filter(|member| answers(member.id)).count();
        answering > cell.voters.len() / 2
    }

    fn follow_cell(&mut self, now: Timestamp) {
        if let RoleState::Leader(leader) = &mut self.role {
            leader.follow_cell(&self.log, self.settings.id, now);
        }
    }

    /// A leader that a committed cell no longer has as a voter hands over and steps down.
    pub(super) fn leave_if_removed(&mut self, now: Timestamp) {
        let committed = self.log.cell_index() <= self.hard_state.commit;
        if self.is_leader() && committed && !self.is_voter() {
            self.send_appends();
            self.ask_best_voter();
            self.become_follower(now, self.hard_state.term, None);
        }
    }
}
