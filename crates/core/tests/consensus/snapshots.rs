//! Snapshots for lagging replicas, and log compaction.

use super::network::{Network, SETTLE_TIME, member};
use corktack_core::consensus::{CellChange, Event, Snapshot};

/// More commands than a log keeps below a snapshot after a compaction.
const COMMANDS_BEYOND_TAIL: u32 = 1_500;

fn commit_commands(network: &mut Network, count: u32) {
    let leader = network.expect_leader();
    for command in 0..count {
        network.propose(leader, &command.to_be_bytes());
    }
    network.run_for(SETTLE_TIME);
}

/// Starts a cell of three and isolates one follower. Returns the network, the leader and that follower.
fn start_with_isolated_follower(seed: u64) -> (Network, u64, u64) {
    let mut network = Network::start(3, seed);
    let leader = network.expect_leader();
    let lagging = (1..=3).find(|id| *id != leader).expect("follower");
    network.isolate(&[lagging]);
    (network, leader, lagging)
}

#[test]
fn a_follower_behind_the_compacted_log_gets_a_snapshot_in_chunks() {
    let (mut network, leader, lagging) = start_with_isolated_follower(31);
    commit_commands(&mut network, COMMANDS_BEYOND_TAIL);
    network.compact(leader);
    network.heal();
    network.expect_convergence();
    assert!(network.snapshot_chunks > 10);
    assert_eq!(network.nodes[&lagging].state.len(), COMMANDS_BEYOND_TAIL as usize);
    assert!(network.nodes[&lagging].disk.snapshot_index() > 0);
}

#[test]
fn a_slightly_lagging_follower_needs_no_snapshot() {
    let (mut network, leader, _) = start_with_isolated_follower(32);
    commit_commands(&mut network, 100);
    network.compact(leader);
    network.heal();
    network.expect_convergence();
    assert_eq!(network.snapshot_chunks, 0);
}

#[test]
fn a_snapshot_survives_lost_chunks_and_a_restart_of_its_receiver() {
    let (mut network, leader, lagging) = start_with_isolated_follower(33);
    commit_commands(&mut network, COMMANDS_BEYOND_TAIL);
    network.compact(leader);
    network.heal();
    network.faults.loss = 0.05;
    let chunks_before = network.snapshot_chunks;
    network.run_until("snapshot chunks", |network| {
        (network.snapshot_chunks > chunks_before + 20).then_some(())
    });
    network.crash(lagging);
    network.restart(lagging);
    network.expect_convergence();
    assert_eq!(network.nodes[&lagging].state.len(), COMMANDS_BEYOND_TAIL as usize);
}

#[test]
fn a_restart_from_snapshot_and_log_keeps_state_and_cell() {
    let mut network = Network::start(3, 34);
    network.change_cell(&CellChange::AddLearner(member(4)));
    network.add(4, None);
    commit_commands(&mut network, 20);
    for id in 1..=4 {
        network.compact(id);
    }
    commit_commands(&mut network, 5);
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
fn a_snapshot_that_does_not_match_the_log_compacts_nothing() {
    let mut network = Network::start(1, 35);
    let index = network.commit(b"one");
    let (term, cell) = network.replica(1).snapshot_header(index).expect("applied");
    let ahead = Snapshot { index: index + 5, term, cell, data: Vec::new() };
    network.handle(1, Event::Compact { snapshot: ahead });
    network.commit(b"two");
    assert!(network.replica(1).snapshot_header(index).is_some());
}
