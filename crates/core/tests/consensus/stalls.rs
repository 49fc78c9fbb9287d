//! Cells whose replicas receive nothing for a time: slow syncs, and processes that do not run.

use super::network::{ELECTION_TIMEOUT, HEARTBEAT_INTERVAL, Network, SETTLE_TIME};
use corktack_core::consensus::Role;
use corktack_core::identity::ReplicaId;
use rstest::rstest;
use std::time::Duration;

/// Number of changes after the election.
const CHANGES: u8 = 20;
/// Longest time for which a replaced leader may go on, as `corktack_core::limits` assumes.
const MAX_STEP_DOWN_TIME: Duration = Duration::from_secs(10);

/// Starts a cell of three without its third replica, so that both others are needed for a majority. Returns
/// the leader and the follower.
fn two_of_three(seed: u64) -> (Network, u64, u64) {
    let mut network = Network::start(3, seed);
    network.expect_leader();
    network.crash(3);
    network.run_for(SETTLE_TIME);
    let leader = network.expect_leader();
    (network, leader, 3 - leader)
}

/// Guards against endless elections while syncs take longer than the election timeout: a candidate that counts
/// its own sync, or that of its voter, as silence starts the next election before the vote arrives, and a
/// leader whose follower syncs its appends steps down.
#[rstest]
fn replicas_with_slow_disks_elect_a_leader_and_keep_it(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(1, 2, 4, 8)] half_timeouts: u32,
) {
    let (mut network, leader, follower) = two_of_three(seed);
    for id in [leader, follower] {
        network.node(id).sync_time = ELECTION_TIMEOUT * half_timeouts / 2;
    }
    network.crash(leader);
    network.run_for(SETTLE_TIME);
    network.restart(leader);
    let leader = network.expect_leader();
    let term = network.replica(leader).term();
    for change in 0..CHANGES {
        network.commit(&[change]);
    }
    assert_eq!(network.replica(leader).term(), term, "another election");
}

/// Guards against a candidate that starts the next election before a voter has synced its vote, each time.
#[rstest]
fn a_candidate_waits_for_a_voter_with_a_slow_disk(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(2, 4, 8)] half_timeouts: u32,
) {
    let (mut network, leader, follower) = two_of_three(seed);
    network.node(follower).sync_time = ELECTION_TIMEOUT * half_timeouts / 2;
    // An entry that the follower lacks, so that only the leader can be elected again.
    network.block(leader, follower);
    network.propose(leader, b"uncommitted");
    network.heal();
    network.crash(leader);
    network.restart(leader);
    network.expect_leader();
    network.commit(b"change");
}

/// Guards against replicas with equally slow disks that replace each other's leaders, each of which sends no
/// heartbeat while it syncs.
#[rstest]
fn replicas_with_slow_disks_do_not_replace_their_leader(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(1, 2, 4, 8)] half_timeouts: u32,
) {
    let mut network = Network::start(3, seed);
    network.expect_leader();
    for id in 1..=3 {
        network.node(id).sync_time = ELECTION_TIMEOUT * half_timeouts / 2;
    }
    // The first syncs show each replica how slow its disk is.
    network.run_for(SETTLE_TIME);
    let leader = network.expect_leader();
    network.propose(leader, b"first");
    network.run_for(SETTLE_TIME * 10);
    let leader = network.expect_leader();
    let term = network.replica(leader).term();
    for change in 0..CHANGES {
        network.commit(&[change]);
    }
    assert_eq!(network.replica(leader).term(), term, "another election");
}

/// Guards against an election after every time in which a machine does not run, although no replica was lost.
#[rstest]
#[case::leader(true, false, 8)]
#[case::follower(false, true, 3)]
#[case::both(true, true, 8)]
fn a_stall_costs_no_leader(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[case] stalls_leader: bool,
    #[case] stalls_follower: bool,
    #[case] half_timeouts: u32,
) {
    let stall = ELECTION_TIMEOUT * half_timeouts / 2;
    let (mut network, leader, follower) = two_of_three(seed);
    let term = network.replica(leader).term();
    for _ in 0..5 {
        for (id, stalls) in [(leader, stalls_leader), (follower, stalls_follower)] {
            if stalls {
                network.pause(id, stall);
            }
        }
        network.run_for(stall + ELECTION_TIMEOUT);
        network.commit(b"change");
    }
    assert_eq!((network.leader(), network.replica(leader).term()), (Some(leader), term));
}

/// Guards against a follower that refuses requests for want of a leader after each stall, although the leader's
/// heartbeats wait to be read.
#[rstest]
fn a_follower_still_knows_its_leader_after_a_stall(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let (mut network, leader, follower) = two_of_three(seed);
    let stall = ELECTION_TIMEOUT * 2;
    network.pause(follower, stall);
    network.run_for(stall + Duration::from_micros(1));
    assert_eq!(network.replica(follower).leader(), Some(ReplicaId(leader)));
}

/// A leader that did not run for longer than others wait for it must not go on from where it stopped: later
/// leaders may have allocated what it had allocated.
#[test]
fn a_leader_that_did_not_run_for_long_steps_down_at_once() {
    let (mut network, leader, follower) = two_of_three(1);
    network.crash(follower);
    network.pause(leader, MAX_STEP_DOWN_TIME);
    network.run_for(MAX_STEP_DOWN_TIME + HEARTBEAT_INTERVAL);
    assert_ne!(network.replica(leader).role(), Role::Leader);
}
