//! What the rest of the process sees of the replica: published by the consensus thread, read by all.

use corktack_core::consensus::{CellConfig, Replica, Role};
use corktack_core::identity::ReplicaId;
use corktack_core::position::Term;
use std::time::Instant;

/// What the rest of the process sees of the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Whether the consensus thread runs.
    pub running: bool,
    /// The replica's role.
    pub role: Role,
    /// The current term.
    pub term: Term,
    /// The leader, where known.
    pub leader: Option<ReplicaId>,
    /// Since when none is known.
    pub leaderless_since: Option<Instant>,
    /// Newest entry known to be committed.
    pub commit_index: u64,
    /// Newest entry applied to the state.
    pub applied_index: u64,
    /// The cell in force.
    pub cell: CellConfig,
}

impl ReplicaStatus {
    pub(crate) fn of(replica: &Replica, applied_index: u64) -> Self {
        Self {
            running: true,
            role: replica.role(),
            term: replica.term(),
            leader: replica.leader(),
            leaderless_since: replica.leader().is_none().then(Instant::now),
            commit_index: replica.commit_index(),
            applied_index,
            cell: replica.cell().clone(),
        }
    }

    /// As it is after `former`: the time without a leader goes on.
    pub(crate) fn after(mut self, former: &Self) -> Self {
        if self.leader.is_none() && former.leaderless_since.is_some() {
            self.leaderless_since = former.leaderless_since;
        }
        self
    }
}
