//! What a shell may read of a replica: its role, its leader, its cell, and the health of the others.

use super::CellConfig;
use super::Role;
use super::progress::Progress;
use super::replica::{Replica, RoleState};
use crate::identity::ReplicaId;
use crate::position::Term;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// What the leader knows of another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellMemberHealth {
    /// Time since it last answered.
    pub silent_for: Duration,
    /// Whether it holds nearly everything that is committed.
    pub caught_up: bool,
}

impl Replica {
    pub(super) fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// Whether this replica votes in the cell in force.
    pub(super) fn is_voter(&self) -> bool {
        self.log.cell().voters.iter().any(|member| member.id == self.settings.id)
    }

    /// This replica.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.settings.id
    }

    /// Its role.
    #[must_use]
    pub fn role(&self) -> Role {
        match &self.role {
            RoleState::Follower if self.is_voter() => Role::Follower,
            RoleState::Follower => Role::Learner,
            RoleState::PreCandidate(_) => Role::PreCandidate,
            RoleState::Candidate(_) => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// The current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader of the current term, where known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The cell in force: the last one in the log, committed or not.
    #[must_use]
    pub fn cell(&self) -> &CellConfig {
        self.log.cell()
    }

    /// Index of the last entry known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.hard_state.commit
    }

    /// Index of the last entry handed out for applying.
    #[must_use]
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Index of the last entry of the log.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Term and cell that a snapshot of the state at `index` has to carry; none
    /// when the entry was not handed out for applying or is no longer held.
    #[must_use]
    pub fn snapshot_header(&self, index: u64) -> Option<(Term, CellConfig)> {
        let term = self.log.term_at(index).filter(|_| index <= self.applied)?;
        Some((term, self.log.cell_at(index)?.clone()))
    }

    /// When the replica next needs an [`super::Event::Tick`].
    #[must_use]
    pub fn next_deadline(&self) -> Timestamp {
        let own = match &self.role {
            RoleState::Leader(leader) => leader.next_deadline(),
            _ => self.election_deadline,
        };
        self.forwarded.next_deadline(&self.settings).map_or(own, |reads| own.min(reads))
    }

    /// What the leader knows of the other replicas of its cell; none elsewhere.
    #[must_use]
    pub fn member_health(&self, now: Timestamp) -> BTreeMap<ReplicaId, CellMemberHealth> {
        let RoleState::Leader(leader) = &self.role else { return BTreeMap::new() };
        let health = |(id, progress): (&ReplicaId, &Progress)| {
            let silent_for = now.saturating_since(progress.last_answer);
            (*id, CellMemberHealth { silent_for, caught_up: self.is_caught_up(now, *id) })
        };
        leader.progress.iter().map(health).collect()
    }
}
