//! Elections, commits and reads of a cell on a network without random faults.

use super::network::{Answer, ELECTION_TIMEOUT, HEARTBEAT_INTERVAL, Network, SETTLE_TIME, cell_of};
use corktack_core::consensus::message::MessageBody;
use corktack_core::consensus::{
    ConsensusError, ConsensusSettings, Event, Message, PersistedState, Rejection, Replica, Role,
};
use corktack_core::identity::ReplicaId;
use corktack_core::position::Term;
use corktack_core::time::Timestamp;
use rstest::rstest;
use std::time::Duration;

#[rstest]
fn three_replicas_elect_commit_and_read(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut network = Network::start(3, seed);
    let index = network.commit(b"first");
    network.expect_convergence();
    for id in 1..=3 {
        assert_eq!(network.nodes[&id].state, [(index, b"first".to_vec())]);
    }
    let reads: Vec<_> = (1..=3).map(|id| network.read(id)).collect();
    network.run_for(SETTLE_TIME);
    for read in reads {
        assert_eq!(network.answers[&read], Answer::Read(index));
    }
}

/// Guards against reads that take two round trips instead of one after an election. The heartbeat round that
/// confirms the leadership is sent together with the first entry of the term, and the read only has to wait
/// until that entry is committed.
#[test]
fn reads_requested_at_the_start_of_a_term_do_not_wait_for_its_first_commit() {
    let mut network = Network::start(3, 5);
    network.commit(b"first");
    let old = network.expect_leader();
    network.isolate(&[old]);
    let leader = network.run_until("another leader", |network| {
        let others = network.nodes.keys().copied().filter(|id| *id != old);
        others.into_iter().find(|id| network.replica(*id).role() == Role::Leader)
    });
    let before = network.replica(leader).commit_index();
    let read = network.read(leader);
    let index = network.run_until("answer", |network| match network.answers.get(&read)? {
        Answer::Read(index) => Some(*index),
        other => panic!("the read was answered {other:?}"),
    });
    assert!(
        index > before,
        "the first entry of the term must not be committed yet when the read is requested"
    );
    assert_eq!(
        index,
        network.replica(leader).last_index(),
        "the read index must be the first entry of the term"
    );
    network.run_for(SETTLE_TIME);
    assert!(network.replica(leader).commit_index() >= index);
}

/// Guards against reads that wait for the end of a heartbeat round in progress: each read is answered within
/// one round trip plus the shortest time between two rounds.
#[test]
fn a_read_waits_only_for_its_own_heartbeat_round() {
    const LONGEST_DELAY: Duration = Duration::from_millis(80);
    const STEP: Duration = Duration::from_millis(5);
    let mut network = Network::start(3, 6);
    network.commit(b"first");
    let leader = network.expect_leader();
    network.faults.longest_delay = LONGEST_DELAY;
    let mut pending = Vec::new();
    let mut longest = Duration::ZERO;
    for step in 0..200_u32 {
        if step < 100 {
            pending.push((network.read(leader), STEP * step));
        }
        network.run_for(STEP);
        pending.retain(|(read, requested_at)| {
            let answered = network.answers.contains_key(read);
            if answered {
                longest = longest.max(STEP * (step + 1) - *requested_at);
            }
            !answered
        });
    }
    assert!(pending.is_empty());
    let bound = LONGEST_DELAY * 2 + Duration::from_millis(20) + STEP * 2;
    assert!(longest <= bound, "{longest:?}");
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(5)]
#[case(9)]
fn cells_of_other_sizes_commit(#[case] voters: u64) {
    let mut network = Network::start(voters, voters);
    for command in 0..20_u8 {
        network.commit(&[command]);
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
fn an_isolated_leader_steps_down_and_rejects_its_pending_requests() {
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

/// Lets one replica send pre-vote requests that are all lost, then heals the network. Returns that replica.
fn start_isolated_pre_candidate(network: &mut Network) -> u64 {
    for (from, to) in [(1, 2), (2, 1), (1, 3), (3, 1), (2, 3), (3, 2)] {
        network.block(from, to);
    }
    let candidate = network.run_until("pre-candidate", |network| {
        let is_pre_candidate = |id: &u64| network.replica(*id).role() == Role::PreCandidate;
        (1..=3).find(is_pre_candidate)
    });
    // The pre-vote requests are lost by now.
    network.run_for(ELECTION_TIMEOUT / 8);
    network.heal();
    candidate
}

#[rstest]
fn a_candidate_resends_its_vote_request_to_a_voter_that_becomes_reachable(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut network = Network::start(3, seed);
    let candidate = start_isolated_pre_candidate(&mut network);
    let other = candidate % 3 + 1;
    network.handle(candidate, Event::Reachable { replica: network.replica(other).id() });
    network.run_for(ELECTION_TIMEOUT / 4);
    assert_eq!(network.leader(), Some(candidate));
}

#[test]
fn replicas_that_are_not_candidates_resend_no_vote_request() {
    let mut network = Network::start(3, 5);
    let leader = network.expect_leader();
    let follower = leader % 3 + 1;
    for id in [leader, follower] {
        let event = Event::Reachable { replica: network.replica(id % 3 + 1).id() };
        let sent = network.count_messages_sent(id, event);
        assert_eq!(sent, 0, "{id}");
    }
}

#[test]
fn a_restarted_replica_with_a_short_first_timeout_does_not_disturb_the_leader() {
    let mut network = Network::start(3, 6);
    let leader = network.expect_leader();
    let term = network.replica(leader).term();
    let follower = leader % 3 + 1;
    network.first_election_timeout = Duration::from_millis(1);
    network.crash(follower);
    network.restart(follower);
    network.run_for(ELECTION_TIMEOUT * 2);
    assert_eq!((network.leader(), network.replica(leader).term()), (Some(leader), term));
}

#[rstest]
fn a_short_first_timeout_elects_the_first_leader_sooner(#[values(1, 2, 3)] seed: u64) {
    let mut network = Network::with_first_election_timeout(3, seed, ELECTION_TIMEOUT / 8);
    network.run_for(ELECTION_TIMEOUT / 2);
    assert!(network.leader().is_some());
}

/// With two of five replicas down, the other three must all vote for the same candidate, so two simultaneous
/// candidates split the vote.
#[rstest]
fn after_a_split_vote_at_start_the_next_election_is_soon(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
) {
    let mut network = Network::with_first_election_timeout(5, seed, ELECTION_TIMEOUT / 40);
    network.crash(4);
    network.crash(5);
    network.run_for(ELECTION_TIMEOUT * 3 / 4);
    assert!(network.leader().is_some());
}

/// Guards against endless frequent elections while no leader can be elected, as with two of five replicas:
/// the first timeout must double up to the usual one.
#[test]
fn failed_elections_after_a_start_back_off_to_the_usual_timeout() {
    let mut network = Network::with_first_election_timeout(5, 1, Duration::from_millis(1));
    let mut elections = Vec::new();
    for _ in 0..1_000 {
        network.now = network.now + Duration::from_millis(1);
        if network.count_messages_sent(1, Event::Tick) > 0 {
            elections.push(network.now);
        }
    }
    // The timeouts of 1, 2, 4 to 64 ms, each with its jitter, have expired within 254 ms.
    let late = elections.iter().filter(|time| **time > Timestamp::from_millis(260)).count();
    assert!((4..=8).contains(&late), "{late} of {elections:?}");
    assert!(elections.len() <= late + 9, "{elections:?}");
}

/// The short timeout applies only after the start: when a known leader is lost, followers wait for the usual
/// timeout before an election.
#[rstest]
fn after_a_leader_was_known_elections_wait_for_the_usual_timeout(#[values(1, 2, 3, 4)] seed: u64) {
    let mut network = Network::with_first_election_timeout(3, seed, Duration::from_millis(1));
    let leader = network.expect_leader();
    network.run_for(SETTLE_TIME);
    network.crash(leader);
    network.run_for(ELECTION_TIMEOUT / 2);
    for id in network.running() {
        assert_eq!(network.replica(id).role(), Role::Follower, "{id}");
    }
    network.run_for(SETTLE_TIME);
    assert!(network.leader().is_some());
}

/// A replica that incremented its term during the election of the leader deposes that leader with a response.
/// The other replicas still follow the deposed leader and vote for no other candidate, so the deposed leader
/// itself must start an election soon.
#[rstest]
fn a_leader_deposed_by_a_higher_term_is_replaced_soon(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut network = Network::with_first_election_timeout(5, seed, ELECTION_TIMEOUT / 8);
    let leader = network.expect_leader();
    network.run_for(SETTLE_TIME);
    let other = ReplicaId(leader % 5 + 1);
    let term = Term(network.replica(leader).term().0 + 1);
    let message = Message { term, body: MessageBody::StaleTerm };
    network.handle(leader, Event::Message { from: other, message });
    assert_ne!(network.replica(leader).role(), Role::Leader);
    network.run_for(ELECTION_TIMEOUT / 2);
    assert!(network.leader().is_some());
}

#[test]
fn a_first_election_timeout_of_zero_is_refused() {
    let settings = ConsensusSettings {
        id: ReplicaId(1),
        election_timeout: ELECTION_TIMEOUT,
        first_election_timeout: Duration::ZERO,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        append_bytes_limit: 256,
        snapshot_chunk_bytes: 64,
        seed: 1,
    };
    let now = Timestamp::from_millis(1);
    let result = Replica::new(settings, PersistedState::default(), Some(cell_of(1..=3)), now);
    let error = result.expect_err("a replica with this timeout would request votes at every tick");
    assert!(matches!(error, ConsensusError::Settings("first_election_timeout")), "{error}");
}

#[test]
fn leadership_is_transferred_within_a_few_round_trips() {
    let mut network = Network::start(3, 9);
    network.commit(b"before");
    let old = network.expect_leader();
    network.handle(old, Event::TransferLeadership);
    network.run_for(ELECTION_TIMEOUT / 2);
    let new = network.leader().expect("leader");
    assert_ne!(new, old);
    network.commit(b"after");
}
