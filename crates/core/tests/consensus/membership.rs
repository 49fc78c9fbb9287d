//! Cell changes, lost disks and removed members.

use super::network::{Answer, ELECTION_TIMEOUT, Network, SETTLE_TIME, member};
use corktack_core::consensus::{CellChange, Rejection, Role};
use corktack_core::identity::ReplicaId;
use rstest::rstest;

const CHANGE_REFUSED: Answer = Answer::Rejected(Rejection::CellChange);

/// Replaces a replica that lost its disk by a new one with a new id.
fn replace_lost_replica(network: &mut Network, lost: u64, new: u64) {
    network.nodes.remove(&lost);
    network.add(new, None);
    network.change_cell(&CellChange::AddLearner(member(new)));
    network.change_cell(&CellChange::Promote(ReplicaId(new)));
    network.change_cell(&CellChange::Remove(ReplicaId(lost)));
}

#[test]
fn no_entry_is_lost_when_a_second_disk_is_lost_after_the_first_was_replaced() {
    let mut network = Network::start(3, 21);
    for command in 0..30_u8 {
        network.commit(&[command]);
    }
    replace_lost_replica(&mut network, 3, 4);
    network.crash(2);
    network.commit(b"with the new replica");
    network.nodes.remove(&2);
    network.add(5, None);
    network.change_cell(&CellChange::AddLearner(member(5)));
    network.change_cell(&CellChange::Promote(ReplicaId(5)));
    network.change_cell(&CellChange::Remove(ReplicaId(2)));
    network.crash(1);
    network.expect_convergence();
    assert_eq!(network.nodes[&5].state.len(), 31);
}

#[test]
fn a_learner_is_promoted_only_when_it_answers_and_has_caught_up() {
    let mut network = Network::start(3, 22);
    network.commit(b"one");
    network.change_cell(&CellChange::AddLearner(member(4)));
    let leader = network.expect_leader();
    let early_promotion = network.propose_cell(leader, CellChange::Promote(ReplicaId(4)));
    assert_eq!(network.answers[&early_promotion], CHANGE_REFUSED);
    network.add(4, None);
    network.run_for(SETTLE_TIME);
    assert_eq!(network.replica(4).role(), Role::Learner);
    network.change_cell(&CellChange::Promote(ReplicaId(4)));
    network.run_for(SETTLE_TIME);
    assert_eq!(network.replica(4).role(), Role::Follower);
}

#[test]
fn invalid_and_concurrent_changes_are_refused() {
    let mut network = Network::start(3, 23);
    let leader = network.expect_leader();
    let existing = network.propose_cell(leader, CellChange::AddLearner(member(1)));
    let unknown = network.propose_cell(leader, CellChange::Remove(ReplicaId(9)));
    let voter = network.propose_cell(leader, CellChange::Promote(ReplicaId(2)));
    let first = network.propose_cell(leader, CellChange::AddLearner(member(4)));
    let second = network.propose_cell(leader, CellChange::AddLearner(member(5)));
    for refused in [existing, unknown, voter, second] {
        assert_eq!(network.answers[&refused], CHANGE_REFUSED);
    }
    network.run_for(SETTLE_TIME);
    assert!(matches!(network.answers[&first], Answer::Committed(_)));
}

#[test]
fn the_last_voter_cannot_be_removed() {
    let mut network = Network::start(1, 24);
    let leader = network.expect_leader();
    let request = network.propose_cell(leader, CellChange::Remove(ReplicaId(1)));
    assert_eq!(network.answers[&request], CHANGE_REFUSED);
}

#[test]
fn a_voter_needed_for_a_responsive_majority_is_not_removed() {
    let mut network = Network::start(3, 29);
    let leader = network.expect_leader();
    let mut others = (1..=3).filter(|id| *id != leader);
    let (unresponsive, needed) = (others.next().expect("one"), others.next().expect("two"));
    network.crash(unresponsive);
    network.run_for(ELECTION_TIMEOUT * 2);
    let refused = network.propose_cell(leader, CellChange::Remove(ReplicaId(needed)));
    assert_eq!(network.answers[&refused], CHANGE_REFUSED);
    network.change_cell(&CellChange::Remove(ReplicaId(unresponsive)));
    network.commit(b"by two");
}

#[test]
fn a_new_leader_refuses_changes_until_an_entry_of_its_term_is_committed() {
    let mut network = Network::start(3, 25);
    let old = network.expect_leader();
    network.crash(old);
    let new = network.run_until("new leader", Network::leader);
    // Right after the election, no follower has acknowledged the first entry of the new leader.
    let request = network.propose_cell(new, CellChange::AddLearner(member(4)));
    assert_eq!(network.answers[&request], CHANGE_REFUSED);
}

#[test]
fn a_change_that_was_not_committed_is_rolled_back() {
    let mut network = Network::start(3, 26);
    let old = network.expect_leader();
    network.isolate(&[old]);
    network.propose_cell(old, CellChange::AddLearner(member(4)));
    assert_eq!(network.replica(old).cell().learners.len(), 1);
    network.run_for(ELECTION_TIMEOUT * 4);
    network.commit(b"by the others");
    network.heal();
    network.expect_convergence();
    assert!(network.replica(old).cell().learners.is_empty());
}

#[test]
fn a_removed_leader_steps_down_and_does_not_disturb_the_cell() {
    let mut network = Network::start(3, 27);
    let old = network.expect_leader();
    let request = network.propose_cell(old, CellChange::Remove(ReplicaId(old)));
    network.run_for(SETTLE_TIME);
    assert!(matches!(network.answers[&request], Answer::Committed(_)));
    assert_ne!(network.replica(old).role(), Role::Leader);
    let new = network.expect_leader();
    let term = network.replica(new).term();
    network.run_for(SETTLE_TIME * 5);
    assert_eq!(network.replica(new).term(), term);
    assert_eq!(network.leader(), Some(new));
}

#[test]
fn a_replica_that_missed_its_removal_does_not_disturb_the_cell() {
    let mut network = Network::start(4, 28);
    let leader = network.expect_leader();
    let removed = (1..=4).find(|id| *id != leader).expect("follower");
    network.isolate(&[removed]);
    network.change_cell(&CellChange::Remove(ReplicaId(removed)));
    network.heal();
    let leader = network.expect_leader();
    let term = network.replica(leader).term();
    network.run_for(SETTLE_TIME * 5);
    assert_eq!(network.replica(leader).term(), term);
}

/// Guards against a replica whose old votes and log entries disturb the cell that it returns to under its old
/// id: its log may end before, at or behind its removal, and its removal may be compacted.
#[rstest]
#[case::with_the_whole_log(false, 0)]
#[case::after_a_compaction(true, 0)]
#[case::with_entries_that_were_never_committed(false, 3)]
#[case::with_such_entries_after_a_compaction(true, 3)]
fn a_removed_voter_returns_under_its_id_with_its_old_log(
    #[case] compacted: bool,
    #[case] uncommitted_entries: u8,
    #[values(31, 32, 33)] seed: u64,
) {
    let mut network = Network::start(4, seed);
    network.commit(b"before");
    let removed = network.expect_leader();
    network.isolate(&[removed]);
    for command in 0..uncommitted_entries {
        network.propose(removed, &[command]);
    }
    network.run_for(SETTLE_TIME);
    network.change_cell(&CellChange::Remove(ReplicaId(removed)));
    for command in 0..30_u8 {
        network.commit(&[command]);
    }
    if compacted {
        network.running().into_iter().for_each(|id| network.compact(id));
    }
    network.heal();
    network.run_for(SETTLE_TIME);
    let leader = network.expect_leader();
    let term = network.replica(leader).term();
    assert!(contains_voter(&network, removed), "nobody has told it of its removal");
    network.change_cell(&CellChange::AddLearner(member(removed)));
    network.expect_convergence();
    network.change_cell(&CellChange::Promote(ReplicaId(removed)));
    network.expect_convergence();
    assert_eq!(network.replica(removed).role(), Role::Follower);
    assert_eq!((network.leader(), network.replica(leader).term()), (Some(leader), term));
}

/// Reports whether a replica is a voter by its own log.
fn contains_voter(network: &Network, id: u64) -> bool {
    network.replica(id).cell().voters.iter().any(|voter| voter.id.0 == id)
}
