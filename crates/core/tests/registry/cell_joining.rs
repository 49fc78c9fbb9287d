//! When a replica requests to join its cell.

use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::identity::ReplicaId;
use corktack_core::registry::{JoinReason, OwnMembership, join_reason};
use rstest::rstest;
use std::time::Duration;

const OWN: u64 = 3;
const VOTER_REQUEST_AFTER: Duration = Duration::from_secs(2);
const AT_ONCE: Duration = Duration::ZERO;
const DURING_AN_ELECTION: Duration = Duration::from_millis(1_900);

fn cell(voters: &[u64], learners: &[u64]) -> CellConfig {
    let member = |id: &u64| CellMember {
        id: ReplicaId(*id),
        address: ([10, 0, 0, *id as u8], 7_440).into(),
    };
    CellConfig {
        voters: voters.iter().map(member).collect(),
        learners: learners.iter().map(member).collect(),
    }
}

fn reason(cell: &CellConfig, leader: Option<u64>, leaderless_for: Duration) -> Option<JoinReason> {
    let leader = leader.map(ReplicaId);
    let membership = OwnMembership { replica: ReplicaId(OWN), cell, leader, leaderless_for };
    join_reason(&membership, VOTER_REQUEST_AFTER)
}

#[rstest]
#[case::without_a_cell(&[], &[], None)]
#[case::removed_by_its_own_log(&[1, 2], &[], Some(1))]
fn a_replica_outside_its_cell_requests_at_once(
    #[case] voters: &[u64],
    #[case] learners: &[u64],
    #[case] leader: Option<u64>,
) {
    let found = reason(&cell(voters, learners), leader, AT_ONCE);
    assert_eq!(found, Some(JoinReason::NotMember));
}

#[test]
fn a_member_that_follows_a_leader_of_its_cell_requests_nothing() {
    assert_eq!(reason(&cell(&[1, 2, OWN], &[]), Some(1), AT_ONCE), None);
    assert_eq!(reason(&cell(&[1, 2], &[OWN]), Some(1), AT_ONCE), None);
}

/// Guards against a voter that is removed while it is cut off and asks for pre-votes for ever.
#[test]
fn a_voter_without_a_leader_requests_once_elections_should_be_over() {
    let cell = cell(&[1, 2, OWN], &[]);
    assert_eq!(reason(&cell, None, DURING_AN_ELECTION), None);
    let found = reason(&cell, None, VOTER_REQUEST_AFTER);
    assert_eq!(found, Some(JoinReason::VoterWithoutLeader));
}

#[test]
fn a_learner_without_a_leader_requests_at_once() {
    let found = reason(&cell(&[1, 2], &[OWN]), None, AT_ONCE);
    assert_eq!(found, Some(JoinReason::LearnerWithoutLeader));
}

/// Guards against a replica with an old log that hears its leader and cannot answer it, as its log does not
/// have the leader's address.
#[rstest]
#[case::a_voter(&[1, 2, OWN], &[])]
#[case::a_learner(&[1, 2], &[OWN])]
fn a_replica_whose_log_does_not_know_its_leader_requests_at_once(
    #[case] voters: &[u64],
    #[case] learners: &[u64],
) {
    let found = reason(&cell(voters, learners), Some(8), AT_ONCE);
    assert_eq!(found, Some(JoinReason::UnknownLeader));
}
