//! Changes of the cell, one member at a time (single-server changes; Ongaro's dissertation, chapter 4).
//!
//! A cell takes effect when its entry is appended. If two cells differ by one voter,
//! each majority of the one overlaps each majority of the other, so two leaders
//! cannot be elected in the same term. This holds only while at most one change is
//! uncommitted, and only after the leader has committed an entry of its own term.
//!
//! This module checks and proposes the changes; the cell in force is in the log.

use super::replica::{Replica, RoleState};
use super::{CellChange, CellConfig, CellMember, Payload, Rejection, RequestId};
use crate::identity::ReplicaId;
use crate::time::Timestamp;

/// Committed entries that a learner may lack and still count as caught up. With more, a newly promoted voter
/// may delay the next commits.
const PROMOTION_LAG_LIMIT: u64 = 64;

/// Returns the cell after a change; none if the change is invalid for this cell.
fn changed_cell(cell: &CellConfig, change: &CellChange) -> Option<CellConfig> {
    let mut changed = cell.clone();
    match change {
        CellChange::AddLearner(member) => {
            let is_member = contains_member(&cell.voters, member.id)
                || contains_member(&cell.learners, member.id);
            (!is_member).then(|| changed.learners.push(member.clone()))?;
        }
        CellChange::Promote(id) => {
            let position = cell.learners.iter().position(|member| member.id == *id)?;
            let member = changed.learners.remove(position);
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

fn contains_member(members: &[CellMember], id: ReplicaId) -> bool {
    members.iter().any(|member| member.id == id)
}

impl Replica {
    /// Reports whether `id` is a voter or learner of the cell in force.
    pub(super) fn is_member(&self, id: ReplicaId) -> bool {
        let cell = self.log.cell();
        contains_member(&cell.voters, id) || contains_member(&cell.learners, id)
    }

    pub(super) fn handle_propose_cell(
        &mut self,
        now: Timestamp,
        request: RequestId,
        change: &CellChange,
    ) {
        if let Some(rejection) = self.proposal_rejection() {
            self.reject(request, rejection);
            return;
        }
        let allowed = self.may_change_cell(now, change);
        let changed = changed_cell(self.log.cell(), change).filter(|_| allowed);
        match changed.filter(|cell| self.has_responsive_majority(now, cell)) {
            Some(cell) => {
                self.append_proposal(request, Payload::Cell(cell));
                self.update_tracked_members(now);
            }
            None => self.reject(request, Rejection::CellChange),
        }
    }

    fn may_change_cell(&self, now: Timestamp, change: &CellChange) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let commit = self.hard_state.commit;
        let changes_allowed = self.log.cell_index() <= commit && leader.first_index <= commit;
        changes_allowed
            && match change {
                CellChange::Promote(id) => self.is_caught_up(now, *id),
                CellChange::AddLearner(_) | CellChange::Remove(_) => true,
            }
    }

    /// Reports whether a member responds and holds nearly all committed entries. A learner
    /// that lags would, once promoted, count towards the majority but could not help form it.
    pub(super) fn is_caught_up(&self, now: Timestamp, id: ReplicaId) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        leader.progress.get(&id).is_some_and(|progress| {
            let lag = self.hard_state.commit.saturating_sub(progress.match_index);
            progress.is_replicating()
                && lag <= PROMOTION_LAG_LIMIT
                && progress.responded_within(self.settings.election_timeout, now)
        })
    }

    /// Reports whether a majority of the voters of `cell` responds. Without one, neither
    /// the change to this cell nor any later entry could be committed.
    fn has_responsive_majority(&self, now: Timestamp, cell: &CellConfig) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let is_responsive = |id: ReplicaId| {
            let timeout = self.settings.election_timeout;
            let progress = leader.progress.get(&id);
            id == self.settings.id
                || progress.is_some_and(|progress| progress.responded_within(timeout, now))
        };
        let responsive_count = cell.voters.iter().filter(|member| is_responsive(member.id)).count();
        responsive_count > cell.voters.len() / 2
    }

    fn update_tracked_members(&mut self, now: Timestamp) {
        if let RoleState::Leader(leader) = &mut self.role {
            leader.update_tracked_members(&self.log, self.settings.id, now);
        }
    }

    /// Transfers leadership and steps down if the committed cell no longer has this leader as a voter.
    pub(super) fn step_down_if_removed(&mut self, now: Timestamp) {
        let committed = self.log.cell_index() <= self.hard_state.commit;
        if self.is_leader() && committed && !self.is_voter() {
            self.send_appends();
            self.send_timeout_now();
            self.become_follower(now, self.hard_state.term, None);
        }
    }
}
