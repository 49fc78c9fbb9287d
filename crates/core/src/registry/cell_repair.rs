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
    /// if the replica is a member.
    #[must_use]
    pub fn admit(&self, cell: &CellConfig, joiner: &CellMember) -> Option<CellChange> {
        let mut members = cell.voters.iter().chain(&cell.learners);
        if members.clone().any(|member| member.id == joiner.id) {
            return None;
        }
        let previous = members.find(|member| member.address == joiner.address);
        Some(match previous {
            Some(previous) => CellChange::Remove(previous.id),
            None => CellChange::AddLearner(joiner.clone()),
        })
    }

    /// Returns the next change of the cell, if one is due.
    #[must_use]
    pub fn next_change(
        &self,
        cell: &CellConfig,
        health: &BTreeMap<ReplicaId, CellMemberHealth>,
    ) -> Option<CellChange> {
        let ready = cell.learners.iter().find(|member| {
            let is_caught_up = health.get(&member.id).is_some_and(|health| health.caught_up);
            is_caught_up && !self.is_silent(health, member)
        });
        if let Some(ready) = ready.filter(|_| !self.is_complete(cell)) {
            return Some(CellChange::Promote(ready.id));
        }
        let has_excess = cell.voters.len() > self.settings.voters;
        if ready.is_none() && !has_excess {
            return None;
        }
        self.longest_silent_voter(cell, health).map(|voter| CellChange::Remove(voter.id))
    }

    fn is_silent(
        &self,
        health: &BTreeMap<ReplicaId, CellMemberHealth>,
        member: &CellMember,
    ) -> bool {
        let health = health.get(&member.id);
        health.is_some_and(|health| health.time_since_response >= self.settings.replace_after)
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
