//! Messages from rejoining replicas, from replicas outside the cell, and with arbitrary content.

use super::network::{ELECTION_TIMEOUT, HEARTBEAT_INTERVAL, Network, SETTLE_TIME, cell_of};
use corktack_core::consensus::message::{
    AppendOutcome, AppendRequest, LogEnd, MessageBody, SnapshotChunk,
};
use corktack_core::consensus::{
    Action, ConsensusSettings, Entry, Event, Message, Payload, PersistedState, Replica, RequestId,
    Role,
};
use corktack_core::identity::ReplicaId;
use corktack_core::position::Term;
use corktack_core::time::Timestamp;
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

#[test]
fn a_rejoining_replica_does_not_disturb_the_leader() {
    let mut network = Network::start(3, 41);
    let leader = network.expect_leader();
    let term = network.replica(leader).term();
    let rejoining = (1..=3).find(|id| *id != leader).expect("follower");
    network.isolate(&[rejoining]);
    network.run_for(ELECTION_TIMEOUT * 20);
    network.commit(b"meanwhile");
    network.heal();
    network.expect_convergence();
    assert_eq!((network.leader(), network.replica(leader).term()), (Some(leader), term));
}

#[test]
fn a_replica_with_a_higher_term_can_rejoin() {
    let mut network = Network::start(3, 42);
    let leader = network.expect_leader();
    let mut others = (1..=3).filter(|id| *id != leader);
    let (higher, other) = (others.next().expect("one"), others.next().expect("two"));
    network.crash(higher);
    network.node(higher).disk.hard_state.term = Term(50);
    network.restart(higher);
    network.crash(other);
    // Without the other follower, a majority needs the replica with the higher term.
    network.run_for(SETTLE_TIME);
    network.commit(b"with it");
    assert!(network.replica(leader).term() >= Term(50));
}

#[rstest]
#[case(MessageBody::StaleTerm)]
#[case(MessageBody::HeartbeatResponse { round: u64::MAX })]
#[case(MessageBody::AppendResponse(AppendOutcome::Accepted { match_index: 1 }))]
#[case(MessageBody::VoteResponse { granted: true })]
#[case(MessageBody::PreVoteResponse { granted: false })]
#[case(MessageBody::PreVoteRequest(LogEnd { index: 99, term: Term(99) }))]
#[case(MessageBody::VoteRequest { log_end: LogEnd { index: 99, term: Term(99) }, transfer: false })]
#[case(MessageBody::SnapshotResponse { index: 1, received: 1 })]
#[case(MessageBody::ReadRequest { batch: 1 })]
#[case(MessageBody::TimeoutNow)]
fn a_message_from_outside_the_cell_changes_nothing(
    #[case] body: MessageBody,
    #[values(1, 99)] term: u64,
) {
    let mut network = Network::start(3, 43);
    let leader = network.expect_leader();
    network.run_for(HEARTBEAT_INTERVAL * 3);
    let before = network.replica(leader).term();
    for id in 1..=3 {
        let message = Message { term: Term(term), body: body.clone() };
        network.handle(id, Event::Message { from: ReplicaId(99), message });
    }
    network.run_for(SETTLE_TIME);
    assert_eq!((network.leader(), network.replica(leader).term()), (Some(leader), before));
}

#[test]
fn a_term_above_the_term_limit_is_ignored() {
    let mut network = Network::start(3, 44);
    let body =
        MessageBody::VoteRequest { log_end: LogEnd { index: 1, term: Term(0) }, transfer: true };
    let message = Message { term: Term(u64::MAX), body };
    network.handle(1, Event::Message { from: ReplicaId(99), message });
    network.commit(b"still alive");
}

fn log_end() -> impl Strategy<Value = LogEnd> {
    (any_index(), 0_u64..6).prop_map(|(index, term)| LogEnd { index, term: Term(term) })
}

fn any_index() -> impl Strategy<Value = u64> {
    prop_oneof![9 => 0_u64..20, 1 => Just(u64::MAX)]
}

fn entries() -> impl Strategy<Value = Vec<Entry>> {
    let cell = (1_u64..5).prop_map(|voters| Payload::Cell(cell_of(1..=voters)));
    let payload = prop_oneof![Just(Payload::Empty), cell];
    let entry = (0_u64..6, payload);
    (1_u64..20, prop::collection::vec(entry, 0..4)).prop_map(|(first, entries)| {
        let numbered = entries.into_iter().zip(first..);
        numbered
            .map(|((term, payload), index)| Entry { term: Term(term), index, payload })
            .collect()
    })
}

fn message_body() -> impl Strategy<Value = MessageBody> {
    let append = (log_end(), entries(), any_index(), any::<bool>()).prop_map(
        |(mut previous, entries, commit, adjacent)| {
            if let Some(first) = entries.first().filter(|_| adjacent) {
                previous.index = first.index - 1;
            }
            MessageBody::AppendRequest(AppendRequest { previous, entries, commit })
        },
    );
    let chunk = (log_end(), 0_u64..4, 0_u64..4).prop_map(|(last, offset, total)| {
        let data = vec![0; 2];
        MessageBody::SnapshotChunk(SnapshotChunk {
            last,
            cell: cell_of(1..=3),
            total,
            offset,
            data,
        })
    });
    let rejected = (any_index(), prop::option::of(0_u64..6), any_index()).prop_map(
        |(previous_index, term, conflict_index)| {
            let conflict_term = term.map(Term);
            let outcome = AppendOutcome::Rejected { previous_index, conflict_term, conflict_index };
            MessageBody::AppendResponse(outcome)
        },
    );
    prop_oneof![
        4 => append,
        2 => chunk,
        4 => rejected,
        2 => any_index().prop_map(|match_index| {
            MessageBody::AppendResponse(AppendOutcome::Accepted { match_index })
        }),
        1 => log_end().prop_map(MessageBody::PreVoteRequest),
        1 => any::<bool>().prop_map(|granted| MessageBody::PreVoteResponse { granted }),
        1 => (log_end(), any::<bool>())
            .prop_map(|(log_end, transfer)| MessageBody::VoteRequest { log_end, transfer }),
        1 => any::<bool>().prop_map(|granted| MessageBody::VoteResponse { granted }),
        1 => (any_index(), any_index())
            .prop_map(|(commit, round)| MessageBody::HeartbeatRequest { commit, round }),
        1 => any_index().prop_map(|round| MessageBody::HeartbeatResponse { round }),
        1 => (any_index(), any_index())
            .prop_map(|(index, received)| MessageBody::SnapshotResponse { index, received }),
        1 => any_index().prop_map(|batch| MessageBody::ReadRequest { batch }),
        1 => Just(MessageBody::TimeoutNow),
    ]
}

fn event() -> impl Strategy<Value = Event<Message>> {
    let message = (1_u64..6, 0_u64..6, message_body()).prop_map(|(from, term, body)| {
        Event::Message { from: ReplicaId(from), message: Message { term: Term(term), body } }
    });
    prop_oneof![
        8 => message,
        2 => Just(Event::Tick),
        1 => Just(Event::Propose { request: RequestId(1), command: vec![1] }),
        1 => Just(Event::ReadIndex { request: RequestId(2) }),
        1 => Just(Event::TransferLeadership),
    ]
}

/// Events that make replica 1 the leader of term 1, each with the pause in ms before it.
fn election() -> Vec<(Event<Message>, u64)> {
    let response =
        |body| Event::Message { from: ReplicaId(2), message: Message { term: Term(1), body } };
    let granted = true;
    vec![
        (Event::Tick, 300),
        (response(MessageBody::PreVoteResponse { granted }), 1),
        (response(MessageBody::VoteResponse { granted }), 1),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// For any sequence of events, the replica does not panic, persisted entries leave
    /// no gap, only persisted entries are applied, and the committed index never decreases.
    #[test]
    fn no_sequence_of_events_breaks_a_replica(
        starts_as_leader in any::<bool>(),
        events in prop::collection::vec((event(), 0_u64..60), 0..60),
    ) {
        let settings = ConsensusSettings {
            id: ReplicaId(1),
            election_timeout: Duration::from_millis(100),
            first_election_timeout: Duration::from_millis(100),
            heartbeat_interval: Duration::from_millis(20),
            append_bytes_limit: 100,
            snapshot_chunk_bytes: 2,
            seed: 1,
        };
        let mut now = Timestamp::from_millis(1);
        let bootstrap = Some(cell_of(1..=3));
        let replica = Replica::new(settings, PersistedState::default(), bootstrap, now);
        let mut replica = replica.expect("valid settings");
        let (mut log_end, mut commit_index) = (0, 0);
        let elected = if starts_as_leader { election() } else { Vec::new() };
        for (position, (event, pause)) in elected.into_iter().chain(events).enumerate() {
            prop_assert!(!starts_as_leader || position != 3 || replica.role() == Role::Leader);
            now = now + Duration::from_millis(pause);
            for action in replica.handle(now, event) {
                match action {
                    Action::Persist { entries, .. } => {
                        for entry in entries {
                            prop_assert!(entry.index <= log_end + 1);
                            log_end = entry.index;
                        }
                    }
                    Action::InstallSnapshot(snapshot) => log_end = snapshot.index,
                    Action::Apply(entries) => {
                        prop_assert!(entries.iter().all(|entry| entry.index <= log_end));
                    }
                    _ => {}
                }
            }
            prop_assert!(replica.commit_index() >= commit_index);
            commit_index = replica.commit_index();
        }
    }
}
