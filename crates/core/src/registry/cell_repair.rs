//! How a cell grows to its size and replaces replicas that are gone, decided by its leader.
//!
//! One change at a time, and only changes that leave a majority which answers. A voter that is
//! silent goes only when a caught-up learner stands ready in its place: without one, removing it
//! would shrink what the cell can lose next.
//!
//! Owns nothing but its settings. Relies on the leader for what it knows of the others, and on the log to take one
//! change at a time.

use crate::consensus::{CellChange, CellConfig, CellMember, CellMemberHealth};
use crate::identity::ReplicaId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Settings of the repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellRepairSettings {
    /// Voters that the cell should have: one more than twice the replicas that may be lost at
    /// once, so that those left are a majority and hold every acknowledged entry.
    pub voters: usize,
    /// Silence after which a voter may be replaced by a learner that is ready.
    pub replace_after: Duration,
}

/// Decides the next change of a cell.
#[derive(Clone, Copy, Debug)]
pub struct CellRepair {
    settings: CellRepairSettings,
}

impl CellRepair {
    /// Repair with these settings.
    #[must_use]
    pub const fn new(settings: CellRepairSettings) -> Self {
        Self { settings }
    }

    /// Whether the cell has the voters that it should have.
    #[must_use]
    pub fn is_complete(&self, cell: &CellConfig) -> bool {
        cell.voters.len() >= self.settings.voters
    }

    /// What a replica that asks to join needs: itself as a learner, after an earlier incarnation at the
    /// same address, whose disk is gone, has left.
    #[must_use]
    pub fn admit(&self, cell: &CellConfig, joiner: &CellMember) -> Option<CellChange> {
        let mut members = cell.voters.iter().chain(&cell.learners);
        if members.clone().any(|member| member.id == joiner.id) {
            return None;
        }
        let former = members.find(|member| member.address == joiner.address);
        Some(match former {
            Some(former) => CellChange::Remove(former.id),
            None => CellChange::AddLearner(joiner.clone()),
        })
    }

    /// The next change, if one is due.
    #[must_use]
    pub fn next_change(
        &self,
        cell: &CellConfig,
        health: &BTreeMap<ReplicaId, CellMemberHealth>,
    ) -> Option<CellChange> {
        let silent = |id: &ReplicaId| {
            health.get(id).is_some_and(|it| it.silent_for >= self.settings.replace_after)
        };
        let ready = cell.learners.iter().find(|member| {
            health.get(&member.id).is_some_and(|it| it.caught_up) && !silent(&member.id)
        });
        if let Some(ready) = ready {
            if !self.is_complete(cell) {
                return Some(CellChange::Promote(ready.id));
            }
            let gone = cell.voters.iter().find(|member| silent(&member.id));
            return gone.map(|gone| CellChange::Remove(gone.id));
        }
        let excess = cell.voters.len() > self.settings.voters;
        let gone = cell.voters.iter().find(|member| excess && silent(&member.id));
        gone.map(|gone| CellChange::Remove(gone.id))
    }
}
