//! Growth of a cell to its number of voters and replacement of lost replicas, decided by its leader.
//!
//! The leader makes one change at a time, and only changes that leave a majority which answers. A
//! silent voter is removed only when a caught-up learner can replace it: without such a learner, the
//! removal would reduce the number of further replicas that the cell can lose.
//!
//! The module holds only its settings. The leader supplies the health of the other replicas, and
//! the log accepts one change of the cell at a time.

use crate::consensus::{CellChange, CellConfig, CellMember, CellMemberHealth};
use crate::identity::ReplicaId;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Silence after which a member counts as gone if another replica requests to join from its address. With a
/// shorter time, a late request of an earlier incarnation removes the running one; a longer one delays the
/// return of a replica that lost its disk.
const PREDECESSOR_SILENCE: Duration = Duration::from_millis(500);

/// Settings of the cell repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellRepairSettings {
    /// Number of voters that the cell should have: one more than twice the number of replicas that
    /// may be lost at once, so that the remaining voters form a majority and hold every
    /// acknowledged entry.
    pub voters: usize,
    /// Time without an answer after which a caught-up learner may replace a voter.
    pub replace_after: Duration,
}

/// Why the leader cannot give the cell all its voters yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ShortageReason {
    /// No further replica asked to join.
    #[error("no learner that could become a voter")]
    NoLearner,
    /// No learner answers and has caught up.
    #[error("no learner has caught up")]
    NoLearnerReady,
    /// A learner is ready, and the changes of the cell are under way.
    #[error("a learner is becoming a voter")]
    ChangeUnderWay,
}

/// A cell that lacks voters which answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterShortage {
    /// Number of voters that the cell lacks, those that are silent included.
    pub missing: usize,
    /// The voters that are silent for so long that they may be replaced.
    pub silent: Vec<ReplicaId>,
    /// Why they are not replaced yet.
    pub reason: ShortageReason,
}

/// Decides the next membership change of a cell.
#[derive(Clone, Copy, Debug)]
pub struct CellRepair {
    settings: CellRepairSettings,
}

impl CellRepair {
    /// Returns a cell repair with these settings.
    #[must_use]
    pub const fn new(settings: CellRepairSettings) -> Self {
        Self { settings }
    }

    /// Reports whether the cell has the number of voters that it should have.
    #[must_use]
    pub fn is_complete(&self, cell: &CellConfig) -> bool {
        cell.voters.len() >= self.settings.voters
    }

    /// Returns the change that a replica needs to join: first the removal of an earlier incarnation at
    /// the same address, whose disk is lost, then the addition of the replica as a learner. Returns none
    /// if the replica is a member, or if another incarnation answers at its address: the request is then
    /// a late one of an earlier incarnation.
    #[must_use]
    pub fn admit(
        &self,
        cell: &CellConfig,
        health: &BTreeMap<ReplicaId, CellMemberHealth>,
        joiner: &CellMember,
    ) -> Option<CellChange> {
        let mut members = cell.voters.iter().chain(&cell.learners);
        if members.clone().any(|member| member.id == joiner.id) {
            return None;
        }
        let Some(previous) = members.find(|member| member.address == joiner.address) else {
            return Some(CellChange::AddLearner(joiner.clone()));
        };
        // The leader has no health of itself, so it never removes itself here.
        let silence = health.get(&previous.id).map(|health| health.time_since_response);
        silence
            .is_some_and(|silence| silence >= PREDECESSOR_SILENCE)
            .then_some(CellChange::Remove(previous.id))
    }

    /// Returns the next change of the cell, if one is due.
    #[must_use]
    pub fn next_change(
        &self,
        cell: &CellConfig,
        health: &BTreeMap<ReplicaId, CellMemberHealth>,
    ) -> Option<CellChange> {
        let ready = self.ready_learner(cell, health);
        if let Some(ready) = ready.filter(|_| !self.is_complete(cell)) {
            return Some(CellChange::Promote(ready.id));
        }
        let has_excess = cell.voters.len() > self.settings.voters;
        let may_remove_voter = ready.is_some() || has_excess;
        let silent_voter = may_remove_voter.then(|| self.longest_silent_voter(cell, health));
        let removed = silent_voter.flatten().or_else(|| self.silent_learner(cell, health))?;
        Some(CellChange::Remove(removed.id))
    }

    /// Returns how many voters the cell lacks and why; none if all its voters answer.
    #[must_use]
    pub fn shortage(
        &self,
        cell: &CellConfig,
        health: &BTreeMap<ReplicaId, CellMemberHealth>,
    ) -> Option<VoterShortage> {
        let silent = cell.voters.iter().filter(|member| self.is_silent(health, member));
        let silent: Vec<ReplicaId> = silent.map(|member| member.id).collect();
        let answering = cell.voters.len() - silent.len();
        let missing = self.settings.voters.saturating_sub(answering);
        let reason = match self.ready_learner(cell, health) {
            Some(_) => ShortageReason::ChangeUnderWay,
            None if cell.learners.is_empty() => ShortageReason::NoLearner,
            None => ShortageReason::NoLearnerReady,
        };
        (missing > 0).then_some(VoterShortage { missing, silent, reason })
    }

    /// Returns a learner that answers and has caught up.
    fn ready_learner<'a>(
        &self,
        cell: &'a CellConfig,
        health: &BTreeMap<ReplicaId, CellMemberHealth>,
    ) -> Option<&'a CellMember> {
        cell.learners.iter().find(|member| {
            let is_caught_up = health.get(&member.id).is_some_and(|health| health.caught_up);
            is_caught_up && !self.is_silent(health, member)
        })
    }

    fn is_silent(
        &self,
        health: &BTreeMap<ReplicaId, CellMemberHealth>,
        member: &CellMember,
    ) -> bool {
        let health = health.get(&member.id);
        health.is_some_and(|health| health.time_since_response >= self.settings.replace_after)
    }

    /// Returns a learner of a complete cell that is silent. A learner that comes back requests to join again;
    /// one that is gone for good would stay for ever.
    fn silent_learner<'a>(
        &self,
        cell: &'a CellConfig,
        health: &BTreeMap<ReplicaId, CellMemberHealth>,
    ) -> Option<&'a CellMember> {
        let mut learners = cell.learners.iter().filter(|_| self.is_complete(cell));
        learners.find(|member| self.is_silent(health, member))
    }

    /// Returns the silent voter that answered least recently: of several, it is the least likely to return.
    fn longest_silent_voter<'a>(
        &self,
        cell: &'a CellConfig,
        health: &BTreeMap<ReplicaId, CellMemberHealth>,
    ) -> Option<&'a CellMember> {
        let silent = cell.voters.iter().filter(|member| self.is_silent(health, member));
        silent.min_by_key(|member| {
            Reverse(health.get(&member.id).map(|health| health.time_since_response))
        })
    }
}
