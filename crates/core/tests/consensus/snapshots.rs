//! Snapshots for replicas that are behind, and compaction.

use super::network::{Network, SETTLE, member};
use corktack_core::consensus::{CellChange, Event, Snapshot};

/// Enough to push everything out of the tail that is kept after a compaction.
const MANY: u32 = 1_500;

fn commit_many(network: &mut Network, count: u32) {
    let leader = network.expect_leader();
    for number in 0..count {
        network.propose(leader, &number.to_be_bytes());
    }
    network.run_for(SETTLE);
}

/// A cell of three with its leader, and a follower that is cut off.
fn with_one_cut_off(seed: u64) -> (Network, u64, u64) {
    let mut network = Network::start(3, seed);
    let leader = network.expect_leader();
    let behind = (1..=3).find(|id| *id != leader).expect("follower");
    network.isolate(&[behind]);
    (network, leader, behind)
}

#[test]
fn a_follower_behind_the_compacted_log_gets_a_snapshot_in_chunks() {
    let (mut network, leader, behind) = with_one_cut_off(31);
    commit_many(&mut network, MANY);
    network.compact(leader);
    network.heal();
    network.expect_convergence();
    assert!(network.snapshot_chunks > 10);
    assert_eq!(network.nodes[&behind].state.len(), MANY as usize);
    assert!(network.nodes[&behind].disk.snapshot_index() > 0);
}

#[test]
fn a_follower_a_little_behind_needs_no_snapshot() {
    let (mut network, leader, _) = with_one_cut_off(32);
    commit_many(&mut network, 100);
    network.compact(leader);
    network.heal();
    network.expect_convergence();
    assert_eq!(network.snapshot_chunks, 0);
}

#[test]
fn a_snapshot_survives_lost_pieces_and_a_restart_of_its_receiver() {
    let (mut network, leader, behind) = with_one_cut_off(33);
    commit_many(&mut network, MANY);
    network.compact(leader);
    network.heal();
    network.faults.loss = 0.05;
    let seen = network.snapshot_chunks;
    network.run_until("pieces", |network| (network.snapshot_chunks > seen + 20).then_some(()));
    network.crash(behind);
    network.restart(behind);
    network.expect_convergence();
    assert_eq!(network.nodes[&behind].state.len(), MANY as usize);
}

#[test]
fn a_restart_from_snapshot_and_log_keeps_state_and_cell() {
    let mut network = Network::start(3, 34);
    network.change_cell(&CellChange::AddLearner(member(4)));
    network.add(4, None);
    commit_many(&mut network, 20);
    for id in 1..=4 {
        network.compact(id);
    }
    commit_many(&mut network, 5);
    for id in 1..=4 {
        network.crash(id);
    }
    for id in 1..=4 {
        network.restart(id);
    }
    network.expect_convergence();
    for id in 1..=4 {
        assert_eq!(network.nodes[&id].state.len(), 25);
        assert_eq!(network.replica(id).cell().learners, [member(4)]);
    }
}

#[test]
fn a_snapshot_that_does_not_fit_the_log_compacts_nothing() {
    let mut network = Network::start(1, 35);
    let index = network.commit(b"one");
    let (term, cell) = network.replica(1).snapshot_header(index).expect("applied");
    let ahead = Snapshot { index: index + 5, term, cell, data: Vec::new() };
    network.handle(1, Event::Compact { snapshot: ahead });
    network.commit(b"two");
    assert!(network.replica(1).snapshot_header(index).is_some());
}
