//! Elections, commits and reads of a cell on a quiet network.

use super::network::{Answer, ELECTION_TIMEOUT, Network, SETTLE};
use corktack_core::consensus::{Event, Rejection, Role};
use rstest::rstest;

#[rstest]
fn three_replicas_elect_commit_and_read(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut network = Network::start(3, seed);
    let index = network.commit(b"first");
    network.expect_convergence();
    for id in 1..=3 {
        assert_eq!(network.nodes[&id].state, [(index, b"first".to_vec())]);
    }
    let reads: Vec<_> = (1..=3).map(|id| network.read(id)).collect();
    network.run_for(SETTLE);
    for read in reads {
        assert_eq!(network.answers[&read], Answer::Read(index));
    }
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(5)]
#[case(9)]
fn cells_of_other_sizes_commit(#[case] voters: u64) {
    let mut network = Network::start(voters, voters);
    for number in 0..20_u8 {
        network.commit(&[number]);
    }
    network.expect_convergence();
    assert_eq!(network.nodes[&1].state.len(), 20);
}

#[test]
fn a_follower_rejects_proposals_and_names_the_leader() {
    let mut network = Network::start(3, 7);
    let leader = network.expect_leader();
    let follower = (1..=3).find(|id| *id != leader).expect("follower");
    network.run_for(ELECTION_TIMEOUT);
    let request = network.propose(follower, b"lost");
    let expected = Rejection::NotLeader { leader: Some(network.replica(leader).id()) };
    assert_eq!(network.answers[&request], Answer::Rejected(expected));
}

#[test]
fn a_cut_off_leader_steps_down_and_rejects_what_it_could_not_commit() {
    let mut network = Network::start(3, 8);
    let old = network.expect_leader();
    network.isolate(&[old]);
    let proposal = network.propose(old, b"unknown");
    let read = network.read(old);
    network.run_for(ELECTION_TIMEOUT * 3);
    assert_ne!(network.replica(old).role(), Role::Leader);
    let lost = Answer::Rejected(Rejection::LeadershipLost);
    assert_eq!(network.answers[&proposal], lost);
    assert_eq!(network.answers[&read], lost);
    network.commit(b"by the new leader");
    network.heal();
    network.expect_convergence();
    assert_eq!(network.nodes[&old].state.len(), 1);
}

#[test]
fn leadership_is_handed_over_within_a_few_round_trips() {
    let mut network = Network::start(3, 9);
    network.commit(b"before");
    let old = network.expect_leader();
    network.handle(old, Event::TransferLeadership);
    network.run_for(ELECTION_TIMEOUT / 2);
    let new = network.leader().expect("leader");
    assert_ne!(new, old);
    network.commit(b"after");
}
