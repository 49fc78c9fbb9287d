//! When a replica requests to join its cell.
//!
//! A replica that is removed while it is cut off receives no entry of its removal: the leader stops
//! replicating to a member as soon as it appends the removal. So a replica does not rely on its own log
//! alone. A replica without a leader asks the others, who forward the request to theirs; the leader ignores
//! requests of members.

use crate::consensus::{CellConfig, CellMember};
use crate::identity::ReplicaId;
use std::time::Duration;

/// What a replica knows of its own place in the cell.
#[derive(Clone, Copy, Debug)]
pub struct OwnMembership<'a> {
    /// Id of the replica.
    pub replica: ReplicaId,
    /// The cell in force in the replica's own log.
    pub cell: &'a CellConfig,
    /// The leader that the replica follows.
    pub leader: Option<ReplicaId>,
    /// Time since the replica last knew a leader; zero while it knows one.
    pub leaderless_for: Duration,
}

/// Why a replica requests to join the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinReason {
    /// Its log does not contain it as a member.
    NotMember,
    /// It is a learner without a leader, and a learner takes no part in the election of one.
    LearnerWithoutLeader,
    /// It is a voter by its own log, but has known no leader for longer than an election takes: the others
    /// may have removed it.
    VoterWithoutLeader,
    /// Its leader is not a member by its own log, so it does not know the leader's address and cannot answer.
    UnknownLeader,
}

fn contains(members: &[CellMember], id: ReplicaId) -> bool {
    members.iter().any(|member| member.id == id)
}

/// Returns why the replica must request to join now; none if it need not.
///
/// A voter requests only after `voter_request_after` without a leader. With a shorter time, the voters of a
/// cell that holds an election send requests that nobody answers; a longer one delays the return of a
/// removed replica.
#[must_use]
pub fn join_reason(
    membership: &OwnMembership<'_>,
    voter_request_after: Duration,
) -> Option<JoinReason> {
    let OwnMembership { replica, cell, leader, leaderless_for } = *membership;
    let is_voter = contains(&cell.voters, replica);
    if !is_voter && !contains(&cell.learners, replica) {
        return Some(JoinReason::NotMember);
    }
    match leader {
        Some(leader) if contains(&cell.voters, leader) => None,
        Some(_) => Some(JoinReason::UnknownLeader),
        None if !is_voter => Some(JoinReason::LearnerWithoutLeader),
        None => (leaderless_for >= voter_request_after).then_some(JoinReason::VoterWithoutLeader),
    }
}
