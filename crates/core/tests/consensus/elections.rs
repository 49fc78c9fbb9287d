//! Elections, commits and reads of a cell on a quiet network.

use super::network::{Answer, ELECTION_TIMEOUT, HEARTBEAT_INTERVAL, Network, SETTLE, cell_of};
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
    network.run_for(SETTLE);
    for read in reads {
        assert_eq!(network.answers[&read], Answer::Read(index));
    }
}

/// Answers come after one round trip and not after two: the round that proves the leadership goes beside
/// the first entry of the term, and whoever reads waits for the commit of that.
#[test]
fn reads_asked_for_as_a_leadership_begins_do_not_wait_for_its_first_commit() {
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
    let index = network.run_until("an answer", |network| match network.answers.get(&read)? {
        Answer::Read(index) => Some(*index),
        other => panic!("the read was answered {other:?}"),
    });
    assert!(index > before, "the first entry of the term was not committed when it was asked");
    assert_eq!(index, network.replica(leader).last_index(), "whoever reads waits for that entry");
    network.run_for(SETTLE);
    assert!(network.replica(leader).commit_index() >= index);
}

/// Reads that come while a round is under way do not wait for its end: each is answered within one round
/// trip and the time between two rounds.
#[test]
fn a_read_waits_for_a_round_of_its_own_and_not_for_the_ones_before() {
    const LONGEST_DELAY: Duration = Duration::from_millis(80);
    const STEP: Duration = Duration::from_millis(5);
    let mut network = Network::start(3, 6);
    network.commit(b"first");
    let leader = network.expect_leader();
    network.faults.longest_delay = LONGEST_DELAY;
    let mut asked = Vec::new();
    let mut longest = Duration::ZERO;
    for step in 0..200_u32 {
        if step < 100 {
            asked.push((network.read(leader), STEP * step));
        }
        network.run_for(STEP);
        asked.retain(|(read, at)| {
            let answered = network.answers.contains_key(read);
            if answered {
                longest = longest.max(STEP * (step + 1) - *at);
            }
            !answered
        });
    }
    assert!(asked.is_empty());
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

/// Lets one replica ask for pre-votes that nobody hears, then heals the network; gives it.
fn unheard_candidate(network: &mut Network) -> u64 {
    for (from, to) in [(1, 2), (2, 1), (1, 3), (3, 1), (2, 3), (3, 2)] {
        network.block(from, to);
    }
    let asking = network.run_until("a pre-candidate", |network| {
        let asks = |id: &u64| network.replica(*id).role() == Role::PreCandidate;
        (1..=3).find(asks)
    });
    // What it sent is lost by now.
    network.run_for(ELECTION_TIMEOUT / 8);
    network.heal();
    asking
}

#[rstest]
fn a_candidate_asks_again_once_a_voter_can_be_reached(#[values(1, 2, 3, 4)] seed: u64) {
    let mut network = Network::start(3, seed);
    let asking = unheard_candidate(&mut network);
    let other = asking % 3 + 1;
    network.handle(asking, Event::Reachable { replica: network.replica(other).id() });
    network.run_for(ELECTION_TIMEOUT / 4);
    assert_eq!(network.leader(), Some(asking));
}

#[test]
fn who_does_not_stand_for_election_asks_nobody_again() {
    let mut network = Network::start(3, 5);
    let leader = network.expect_leader();
    let follower = leader % 3 + 1;
    for id in [leader, follower] {
        let event = Event::Reachable { replica: network.replica(id % 3 + 1).id() };
        let sent = network.sent_by(id, event);
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
fn a_short_first_timeout_brings_the_first_leader_sooner(#[values(1, 2, 3)] seed: u64) {
    let mut network = Network::with_first_election_timeout(3, seed, ELECTION_TIMEOUT / 8);
    network.run_for(ELECTION_TIMEOUT / 2);
    assert!(network.leader().is_some());
}

/// Three of five must all vote for the same one: two that stand at once elect nobody.
#[rstest]
fn after_a_split_vote_the_next_try_of_a_start_is_soon(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
) {
    let mut network = Network::with_first_election_timeout(5, seed, ELECTION_TIMEOUT / 40);
    network.crash(4);
    network.crash(5);
    network.run_for(ELECTION_TIMEOUT * 3 / 4);
    assert!(network.leader().is_some());
}

/// A vote storm would not end: two of five never elect a leader.
#[test]
fn elections_in_vain_after_a_start_become_as_rare_as_usual() {
    let mut network = Network::with_first_election_timeout(5, 1, Duration::from_millis(1));
    let mut asked = Vec::new();
    for _ in 0..1_000 {
        network.now = network.now + Duration::from_millis(1);
        if network.sent_by(1, Event::Tick) > 0 {
            asked.push(network.now);
        }
    }
    // Timeouts of 1, 2, 4 to 64 ms and their jitter end within 254 ms.
    let late = asked.iter().filter(|at| **at > Timestamp::from_millis(260)).count();
    assert!((4..=8).contains(&late), "{late} of {asked:?}");
    assert!(asked.len() <= late + 9, "{asked:?}");
}

/// The short timeout is for the start: a leader lost later is missed for the usual time first.
#[rstest]
fn once_a_leader_was_known_elections_wait_the_usual_time(#[values(1, 2, 3, 4)] seed: u64) {
    let mut network = Network::with_first_election_timeout(3, seed, Duration::from_millis(1));
    let leader = network.expect_leader();
    network.run_for(SETTLE);
    network.crash(leader);
    network.run_for(ELECTION_TIMEOUT / 2);
    for id in network.running() {
        assert_eq!(network.replica(id).role(), Role::Follower, "{id}");
    }
    network.run_for(SETTLE);
    assert!(network.leader().is_some());
}

/// A replica that raised its term beside the election that made the leader deposes it with its answer. The
/// others still count on that leader and vote for nobody else: it stands again itself.
#[rstest]
fn a_leader_that_a_higher_term_deposed_is_followed_by_another_soon(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut network = Network::with_first_election_timeout(5, seed, ELECTION_TIMEOUT / 8);
    let leader = network.expect_leader();
    network.run_for(SETTLE);
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
    let refused = Replica::new(settings, PersistedState::default(), Some(cell_of(1..=3)), now);
    let error = refused.expect_err("it would ask at every tick");
    assert!(matches!(error, ConsensusError::Settings("first_election_timeout")), "{error}");
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
