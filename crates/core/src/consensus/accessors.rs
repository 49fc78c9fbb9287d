//! Read access for the driver: a replica's role, leader, cell and indexes, and the health of the other
//! members.

use super::CellConfig;
use super::Role;
use super::progress::Progress;
use super::replica::{Replica, RoleState};
use crate::identity::ReplicaId;
use crate::position::Term;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Health of another member of the cell as seen by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellMemberHealth {
    /// Time since the member last responded to the leader.
    pub time_since_response: Duration,
    /// Whether the member responds and lacks at most a few committed entries.
    pub caught_up: bool,
}

impl Replica {
    pub(super) fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// Reports whether this replica is a voter of the cell in force.
    pub(super) fn is_voter(&self) -> bool {
        self.log.cell().voters.iter().any(|member| member.id == self.settings.id)
    }

    /// Returns the id of this replica.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.settings.id
    }

    /// Returns the role; a follower without a vote is a learner.
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

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the cell in force: the last one in the log, committed or not.
    #[must_use]
    pub fn cell(&self) -> &CellConfig {
        self.log.cell()
    }

    /// Returns the index of the last entry known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.hard_state.commit
    }

    /// Returns the index of the last entry handed out in [`super::Action::Apply`].
    #[must_use]
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the index of the last entry of the log.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns the term and cell for a snapshot of the state at `index`; none if the entry
    /// was not handed out in [`super::Action::Apply`] yet or the log no longer holds it.
    #[must_use]
    pub fn snapshot_header(&self, index: u64) -> Option<(Term, CellConfig)> {
        let term = self.log.term_at(index).filter(|_| index <= self.applied_index)?;
        Some((term, self.log.cell_at(index)?.clone()))
    }

    /// Reports whether this replica leads and has handed out an entry of its own term in
    /// [`super::Action::Apply`].
    ///
    /// The state then contains every entry that earlier leaders committed. Before, it may lack the last
    /// of them: a restarted replica applies its log only as far as its commit hint reaches, and learns of
    /// the later commits with the commit of its first entry. A leader must not base decisions on the
    /// state before.
    #[must_use]
    pub fn has_applied_own_term(&self) -> bool {
        match &self.role {
            RoleState::Leader(leader) => self.applied_index >= leader.first_index,
            _ => false,
        }
    }

    /// Returns when the replica next needs an [`super::Event::Tick`].
    #[must_use]
    pub fn next_deadline(&self) -> Timestamp {
        let role_deadline = match &self.role {
            RoleState::Leader(leader) => leader.next_deadline(),
            _ => self.election_deadline,
        };
        self.forwarded_reads
            .next_deadline(&self.settings)
            .map_or(role_deadline, |read_deadline| role_deadline.min(read_deadline))
    }

    /// Returns the health of the other members of the cell; empty if this replica is not the leader.
    #[must_use]
    pub fn member_health(&self, now: Timestamp) -> BTreeMap<ReplicaId, CellMemberHealth> {
        let RoleState::Leader(leader) = &self.role else { return BTreeMap::new() };
        let health = |(id, progress): (&ReplicaId, &Progress)| {
            let time_since_response = now.saturating_since(progress.last_response);
            (*id, CellMemberHealth { time_since_response, caught_up: self.is_caught_up(now, *id) })
        };
        leader.progress.iter().map(health).collect()
    }
}
