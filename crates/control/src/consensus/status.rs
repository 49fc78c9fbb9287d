//! The replica's status, which the consensus thread publishes for the rest of the process.

use corktack_core::consensus::{CellConfig, Replica, Role};
use corktack_core::identity::ReplicaId;
use corktack_core::position::Term;
use std::time::Instant;

/// The published status of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Whether the consensus thread runs.
    pub running: bool,
    /// The time since which the log cannot be written; `None` while it can. The replica takes no part in its
    /// cell meanwhile.
    pub storage_unwritable_since: Option<Instant>,
    /// The replica's role in the current term.
    pub role: Role,
    /// The replica's current term, which never decreases.
    pub term: Term,
    /// The leader of the current term, if this replica knows it.
    pub leader: Option<ReplicaId>,
    /// The time since which no leader is known; `None` while one is known.
    pub leaderless_since: Option<Instant>,
    /// Index of the newest entry that is known to be committed.
    pub commit_index: u64,
    /// Index of the newest entry that is applied to the state.
    pub applied_index: u64,
    /// The voters and learners of the cell in force.
    pub cell: CellConfig,
}

impl ReplicaStatus {
    pub(crate) fn of(replica: &Replica, applied_index: u64) -> Self {
        Self {
            running: true,
            storage_unwritable_since: None,
            role: replica.role(),
            term: replica.term(),
            leader: replica.leader(),
            leaderless_since: replica.leader().is_none().then(Instant::now),
            commit_index: replica.commit_index(),
            applied_index,
            cell: replica.cell().clone(),
        }
    }

    /// Describes a replica that gives up its role because its log cannot be written.
    pub(crate) fn begin_outage(&mut self, now: Instant) {
        self.storage_unwritable_since = Some(now);
        if self.role != Role::Learner {
            self.role = Role::Follower;
        }
        self.leader = None;
        self.leaderless_since.get_or_insert(now);
    }

    /// Carries over the start of the leaderless time from the status published before.
    pub(crate) fn continued_from(mut self, previous: &Self) -> Self {
        if self.leader.is_none() && previous.leaderless_since.is_some() {
            self.leaderless_since = previous.leaderless_since;
        }
        self
    }
}
