//! Growth of a cell to its number of voters, and replacement of lost replicas.

use corktack_core::consensus::{CellChange, CellConfig, CellMember};
use corktack_core::identity::ReplicaId;
use corktack_core::registry::{
    CellMemberHealth, CellRepair, CellRepairSettings, ShortageReason, VoterShortage,
};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

const REPAIR: CellRepair =
    CellRepair::new(CellRepairSettings { voters: 3, replace_after: Duration::from_secs(4) });

fn replica(id: u64) -> CellMember {
    CellMember { id: ReplicaId(id), address: ([10, 0, 0, id as u8], 7_440).into() }
}

fn cell(voters: &[u64], learners: &[u64]) -> CellConfig {
    let members = |ids: &[u64]| ids.iter().map(|id| replica(*id)).collect();
    CellConfig { voters: members(voters), learners: members(learners) }
}

/// Builds the health of replicas from identity, seconds without an answer, and whether caught up.
fn health(replicas: &[(u64, u64, bool)]) -> BTreeMap<ReplicaId, CellMemberHealth> {
    let entry = |(id, seconds, caught_up): &(u64, u64, bool)| {
        let time_since_response = Duration::from_secs(*seconds);
        (ReplicaId(*id), CellMemberHealth { time_since_response, caught_up: *caught_up })
    };
    replicas.iter().map(entry).collect()
}

#[test]
fn a_joining_replica_becomes_a_learner_once() {
    let cell = cell(&[1, 2], &[]);
    let health = health(&[(2, 0, true)]);
    let change = REPAIR.admit(&cell, &health, &replica(3));
    assert_eq!(change, Some(CellChange::AddLearner(replica(3))));
    assert_eq!(REPAIR.admit(&cell, &health, &replica(2)), None);
}

#[test]
fn an_earlier_incarnation_at_the_address_is_removed_before_its_successor_joins() {
    let mut successor = replica(9);
    successor.address = replica(2).address;
    let health = health(&[(2, 1, true), (3, 0, true)]);
    let change = REPAIR.admit(&cell(&[1, 2, 3], &[]), &health, &successor);
    assert_eq!(change, Some(CellChange::Remove(ReplicaId(2))));
    let change = REPAIR.admit(&cell(&[1, 3], &[]), &health, &successor);
    assert_eq!(change, Some(CellChange::AddLearner(successor)));
}

/// Guards against a late join request of an earlier incarnation, which removed the running one.
#[rstest]
#[case::a_member_that_answers(health(&[(2, 0, true), (3, 0, true)]), 2)]
#[case::the_leader_itself(health(&[(2, 0, true), (3, 0, true)]), 1)]
fn a_late_request_of_an_earlier_incarnation_does_not_remove_the_running_one(
    #[case] health: BTreeMap<ReplicaId, CellMemberHealth>,
    #[case] running: u64,
) {
    let mut earlier = replica(9);
    earlier.address = replica(running).address;
    assert_eq!(REPAIR.admit(&cell(&[1, 2, 3], &[]), &health, &earlier), None);
}

#[test]
fn a_caught_up_learner_becomes_a_voter_while_voters_are_missing() {
    let cell = cell(&[1, 2], &[3]);
    assert_eq!(REPAIR.next_change(&cell, &health(&[(2, 0, true), (3, 0, false)])), None);
    let change = REPAIR.next_change(&cell, &health(&[(2, 0, true), (3, 0, true)]));
    assert_eq!(change, Some(CellChange::Promote(ReplicaId(3))));
}

#[test]
fn a_silent_voter_is_removed_only_when_a_learner_is_ready() {
    let silent = (3, 60, true);
    assert_eq!(REPAIR.next_change(&cell(&[1, 2, 3], &[]), &health(&[silent])), None);
    let with_learner = cell(&[1, 2, 3], &[4]);
    let lagging = health(&[(2, 0, true), silent, (4, 0, false)]);
    assert_eq!(REPAIR.next_change(&with_learner, &lagging), None);
    let ready = health(&[(2, 0, true), silent, (4, 0, true)]);
    let change = REPAIR.next_change(&with_learner, &ready);
    assert_eq!(change, Some(CellChange::Remove(ReplicaId(3))));
}

#[test]
fn a_voter_that_was_silent_for_a_moment_is_kept() {
    let health = health(&[(2, 0, true), (3, 3, true), (4, 0, true)]);
    assert_eq!(REPAIR.next_change(&cell(&[1, 2, 3], &[4]), &health), None);
}

/// Guards against the removal of the voter that comes first in the list while another has been silent for
/// longer.
#[rstest]
#[case::the_first_of_the_list(&[(2, 60, true), (3, 5, true), (4, 0, true)], 2)]
#[case::the_last_of_the_list(&[(2, 5, true), (3, 60, true), (4, 0, true)], 3)]
fn the_voter_that_was_silent_longest_is_replaced_first(
    #[case] replicas: &[(u64, u64, bool)],
    #[case] removed: u64,
) {
    let change = REPAIR.next_change(&cell(&[1, 2, 3], &[4]), &health(replicas));
    assert_eq!(change, Some(CellChange::Remove(ReplicaId(removed))));
}

#[test]
fn a_silent_learner_is_not_ready() {
    let health = health(&[(2, 0, true), (3, 60, true)]);
    assert_eq!(REPAIR.next_change(&cell(&[1, 2], &[3]), &health), None);
}

/// Guards against learners that are gone for good and stay members: each lost machine would add one.
#[rstest]
#[case::of_a_complete_cell(&[1, 2, 3], 60, Some(CellChange::Remove(ReplicaId(4))))]
#[case::that_was_silent_for_a_moment(&[1, 2, 3], 3, None)]
#[case::while_voters_are_missing(&[1, 2], 60, None)]
fn a_silent_learner_is_removed_once_no_voter_is_missing(
    #[case] voters: &[u64],
    #[case] silence: u64,
    #[case] expected: Option<CellChange>,
) {
    let health = health(&[(2, 0, true), (3, 0, true), (4, silence, true)]);
    assert_eq!(REPAIR.next_change(&cell(voters, &[4]), &health), expected);
}

#[rstest]
#[case::all_voters_answer(&[1, 2, 3], &[], &[(2, 0, true), (3, 3, true)], None)]
#[case::a_voter_is_gone(&[1, 2, 3], &[], &[(2, 0, true), (3, 5, true)],
    Some((1, &[3_u64][..], ShortageReason::NoLearner)))]
#[case::a_learner_lags(&[1, 2, 3], &[4], &[(2, 0, true), (3, 5, true), (4, 0, false)],
    Some((1, &[3][..], ShortageReason::NoLearnerReady)))]
#[case::a_learner_is_ready(&[1, 2], &[4], &[(2, 0, true), (4, 0, true)],
    Some((1, &[][..], ShortageReason::ChangeUnderWay)))]
fn a_lack_of_voters_is_known_with_its_reason(
    #[case] voters: &[u64],
    #[case] learners: &[u64],
    #[case] replicas: &[(u64, u64, bool)],
    #[case] expected: Option<(usize, &[u64], ShortageReason)>,
) {
    let expected = expected.map(|(missing, silent, reason)| VoterShortage {
        missing,
        silent: silent.iter().map(|id| ReplicaId(*id)).collect(),
        reason,
    });
    assert_eq!(REPAIR.shortage(&cell(voters, learners), &health(replicas)), expected);
}

#[test]
fn completeness_counts_voters_only() {
    assert!(!REPAIR.is_complete(&cell(&[1, 2], &[3])));
    assert!(REPAIR.is_complete(&cell(&[1, 2, 3], &[])));
}
