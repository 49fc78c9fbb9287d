//! Tests of the watch's state machine: the revision never decreases, unconfirmed replicas are left, and a
//! watch far behind catches up.

use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::identity::{GroupName, Incarnation, MemberName, ReplicaId};
use corktack_core::position::Term;
use corktack_core::registry::{Consistency, Document, DocumentChange, DocumentLimits, RouteRule};
use corktack_core::resources::PriorityClassSpec;
use corktack_core::time::Timestamp;
use corktack_core::view::{Delta, Revision, View, ViewChange};
use corktack_protocol::control::{ControlMessage, MemberHealth, Observation, ProxyMessage};
use corktack_server::watch_client::state::{Action, Event, WatchSettings, WatchState};
use rstest::rstest;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const REPLICA_COUNT: u16 = 3;

fn settings(seed: u64) -> WatchSettings {
    WatchSettings {
        proxy: "proxy-1".parse().expect("valid literal"),
        incarnation: Incarnation(7),
        address: "127.0.0.1:7001".parse().expect("valid literal"),
        zone: "amba.a".parse().expect("valid literal"),
        replicas: (0..REPLICA_COUNT)
            .map(|port| SocketAddr::from(([127, 0, 0, 1], 7100 + port)))
            .collect(),
        heartbeat_interval: Duration::from_secs(1),
        silence_timeout: Duration::from_secs(3),
        retry_minimum: Duration::from_millis(50),
        retry_maximum: Duration::from_secs(2),
        follows_cell: false,
        seed,
    }
}

fn at_ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn connected_watch(in_force: View) -> WatchState {
    let mut state = WatchState::new(settings(1), in_force, at_ms(0));
    assert!(matches!(state.handle(at_ms(0), Event::Tick)[..], [Action::Connect(_)]));
    let actions = state.handle(at_ms(1), Event::Connected);
    assert!(matches!(
        actions[..],
        [Action::Send(ProxyMessage::Hello { .. }), Action::Send(ProxyMessage::Heartbeat { .. })]
    ));
    state
}

fn delta(revision: u64) -> Event {
    let class = PriorityClassSpec { priority: revision as u32, guaranteed_percent: 0 };
    let changes = vec![ViewChange::PutClass("gold".parse().expect("valid literal"), class)];
    Event::Message(ControlMessage::Delta(Delta { revision: Revision(revision), changes }))
}

fn snapshot(revision: u64) -> Event {
    let view = View { revision: Revision(revision), ..View::default() };
    Event::Message(ControlMessage::Snapshot(Box::new(view)))
}

fn acknowledgement(sequence: u64, current: bool) -> Event {
    Event::Message(ControlMessage::HeartbeatAck { sequence, current })
}

fn sent_heartbeat(actions: &[Action]) -> Option<(u64, Revision, bool, usize)> {
    actions.iter().find_map(|action| match action {
        Action::Send(ProxyMessage::Heartbeat { sequence, revision, draining, observations }) => {
            Some((*sequence, *revision, *draining, observations.len()))
        }
        _ => None,
    })
}

#[rstest]
#[case(delta(9))]
#[case(delta(10))]
#[case(snapshot(9))]
#[case(snapshot(10))]
fn an_update_that_is_not_newer_is_ignored(#[case] old: Event) {
    let mut state = connected_watch(View::default());
    assert_eq!(state.handle(at_ms(2), delta(10)), [Action::Publish]);
    let before = state.in_force().clone();
    assert!(state.handle(at_ms(3), old).is_empty());
    assert_eq!(*state.in_force(), before);
}

#[test]
fn a_revision_is_reported_once_it_is_on_disk() {
    let mut state = connected_watch(View::default());
    let _ = state.handle(at_ms(2), delta(10));
    let before = sent_heartbeat(&state.handle(at_ms(1_001), Event::Tick)).expect("a heartbeat");
    assert_eq!(before.1, Revision(0));
    let _ = state.handle(at_ms(1_500), Event::Synced(Revision(10)));
    let after = sent_heartbeat(&state.handle(at_ms(2_001), Event::Tick)).expect("a heartbeat");
    assert_eq!(after.1, Revision(10));
}

#[test]
fn five_hundred_missed_changes_are_applied_from_deltas_or_a_snapshot() {
    let stored = View { revision: Revision(100), ..View::default() };
    let mut updated_by_deltas = connected_watch(stored.clone());
    for revision in 101..=600 {
        assert_eq!(updated_by_deltas.handle(at_ms(2), delta(revision)), [Action::Publish]);
    }
    assert_eq!(updated_by_deltas.in_force().revision, Revision(600));
    let mut updated_by_snapshot = connected_watch(stored);
    assert_eq!(updated_by_snapshot.handle(at_ms(2), snapshot(599)), [Action::Publish]);
    assert_eq!(updated_by_snapshot.handle(at_ms(2), delta(600)), [Action::Publish]);
    assert_eq!(updated_by_snapshot.in_force().revision, Revision(600));
}

#[test]
fn the_hello_carries_the_stored_revision() {
    let mut state =
        WatchState::new(settings(1), View { revision: Revision(42), ..View::default() }, at_ms(0));
    let _ = state.handle(at_ms(0), Event::Tick);
    let actions = state.handle(at_ms(1), Event::Connected);
    let Action::Send(ProxyMessage::Hello { revision, .. }) = &actions[0] else { panic!() };
    assert_eq!(*revision, Revision(42));
}

#[rstest]
#[case::silent(None)]
#[case::cut_off(Some(false))]
fn a_replica_that_does_not_confirm_being_current_is_left(#[case] answer: Option<bool>) {
    let mut state = connected_watch(View::default());
    for second in 1..3 {
        let (sequence, ..) = sent_heartbeat(&state.handle(at_ms(second * 1_000 + 1), Event::Tick))
            .expect("a heartbeat");
        if let Some(current) = answer {
            assert!(
                state
                    .handle(at_ms(second * 1_000 + 2), acknowledgement(sequence, current))
                    .is_empty()
            );
        }
    }
    assert_eq!(state.handle(at_ms(3_001), Event::Tick), [Action::Disconnect]);
    assert!(matches!(state.handle(at_ms(3_100), Event::Tick)[..], [Action::Connect(_)]));
}

#[test]
fn a_replica_that_confirms_being_current_is_kept() {
    let mut state = connected_watch(View::default());
    for second in 1..60 {
        let actions = state.handle(at_ms(second * 1_000 + 1), Event::Tick);
        let (sequence, ..) = sent_heartbeat(&actions).expect("a heartbeat");
        let actions = state.handle(at_ms(second * 1_000 + 2), acknowledgement(sequence, true));
        assert_eq!(actions, [Action::ConfirmedCurrent]);
    }
}

#[test]
fn an_answer_to_an_earlier_connection_confirms_nothing() {
    let mut state = connected_watch(View::default());
    let _ = state.handle(at_ms(10), Event::Disconnected);
    let _ = state.handle(at_ms(200), Event::Tick);
    let _ = state.handle(at_ms(201), Event::Connected);
    assert!(state.handle(at_ms(202), acknowledgement(1, true)).is_empty());
    assert_eq!(state.handle(at_ms(203), acknowledgement(2, true)), [Action::ConfirmedCurrent]);
}

#[rstest]
fn every_replica_is_tried_with_increasing_pauses(#[values(1, 2, 3)] seed: u64) {
    let mut state = WatchState::new(settings(seed), View::default(), at_ms(0));
    let mut now = at_ms(0);
    let mut tried = BTreeSet::new();
    let mut pauses = Vec::new();
    let mut timeouts = Vec::new();
    for _ in 0..12 {
        let Action::Connect(replicas) = &state.handle(now, Event::Tick)[0] else { panic!() };
        let replica = replicas[0];
        let initial = Duration::from_millis(100);
        timeouts.push(state.connect_timeout(initial).as_millis());
        tried.insert(replica);
        assert!(state.handle(now, Event::Disconnected).is_empty());
        pauses.push(state.deadline() - now);
        now = state.deadline();
    }
    assert_eq!(tried.len(), usize::from(REPLICA_COUNT));
    assert_eq!(timeouts[..4], [100, 200, 400, 400]);
    assert!(pauses[0] <= Duration::from_millis(50));
    assert!(pauses[11] >= Duration::from_secs(1) && pauses[11] <= Duration::from_secs(2));
}

/// A settings file may name no replica: each connection attempt then fails and is repeated, and the watch
/// goes on.
#[test]
fn a_watch_without_replicas_retries_with_increasing_pauses() {
    let settings = WatchSettings { replicas: Vec::new(), ..settings(1) };
    let mut state = WatchState::new(settings, View::default(), at_ms(0));
    let mut now = at_ms(0);
    let mut pauses = Vec::new();
    for _ in 0..12 {
        assert_eq!(state.handle(now, Event::Tick), [Action::Connect(Vec::new())]);
        assert!(state.handle(now, Event::Disconnected).is_empty());
        pauses.push(state.deadline() - now);
        now = state.deadline();
    }
    assert!(pauses[0] <= Duration::from_millis(50));
    assert!(pauses[11] >= Duration::from_secs(1));
}

/// Returns a message with a cell of five voters, the first of them with the IP address of the settings'
/// replicas.
fn cell_of_five_voters() -> Event {
    let voter = |port: u16| CellMember {
        id: ReplicaId(u64::from(port)),
        address: ([127, 0, 0, 1 + port as u8], 7200).into(),
    };
    let voters = (0..5).map(voter).collect();
    Event::Message(ControlMessage::Cell(CellConfig { voters, learners: Vec::new() }))
}

#[rstest]
fn no_replica_is_tried_again_before_the_others_while_the_cell_stays_the_same(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let settings = WatchSettings { follows_cell: true, ..settings(seed) };
    let mut state = WatchState::new(settings, View::default(), at_ms(0));
    let mut now = at_ms(0);
    let _ = state.handle(now, Event::Tick);
    let _ = state.handle(now, Event::Connected);
    let _ = state.handle(now, cell_of_five_voters());
    let mut tried = BTreeSet::new();
    for attempt in 0..5 {
        let _ = state.handle(now, Event::Disconnected);
        now = state.deadline();
        let Action::Connect(replicas) = &state.handle(now, Event::Tick)[0] else { panic!() };
        let replica = replicas[0];
        assert!(tried.insert(replica), "attempt {attempt}: {replica} again, after {tried:?}");
        let _ = state.handle(now, Event::Connected);
        let _ = state.handle(now, cell_of_five_voters());
    }
}

#[test]
fn observations_are_sent_soon_and_again_after_a_new_connection() {
    let observation = |member: &str| Observation {
        group: GroupName::new("records").expect("valid name"),
        member: MemberName::new(member).expect("valid name"),
        health: MemberHealth::Primary(Term(3)),
    };
    let mut state = connected_watch(View::default());
    let observed = Event::Observed(vec![observation("a"), observation("b")]);
    let sent = sent_heartbeat(&state.handle(at_ms(100), observed)).expect("a heartbeat");
    assert_eq!(sent.3, 2);
    let next = sent_heartbeat(&state.handle(at_ms(1_100), Event::Tick)).expect("a heartbeat");
    assert_eq!(next.3, 0);
    let _ = state.handle(at_ms(1_200), Event::Disconnected);
    let _ = state.handle(at_ms(2_000), Event::Tick);
    let again = sent_heartbeat(&state.handle(at_ms(2_001), Event::Connected)).expect("a heartbeat");
    assert_eq!(again.3, 2);
}

#[test]
fn draining_is_reported_at_once_and_from_then_on() {
    let mut state = connected_watch(View::default());
    assert!(sent_heartbeat(&state.handle(at_ms(10), Event::Draining)).expect("a heartbeat").2);
    assert!(sent_heartbeat(&state.handle(at_ms(1_010), Event::Tick)).expect("a heartbeat").2);
}

#[test]
fn a_change_for_another_document_makes_the_watch_request_a_snapshot() {
    let document = |version, routes| Document {
        version,
        routes: (0..routes).map(document_route).collect(),
        services: Vec::new(),
        limits: DocumentLimits { transaction_idle: Duration::from_secs(3) },
        tenants: None,
    };
    let stored = View {
        revision: Revision(8),
        document: Some(Arc::new(document(1, 20))),
        ..View::default()
    };
    let mut state = connected_watch(stored);
    let change = DocumentChange::between(&document(2, 20), &document(3, 21)).expect("one came");
    let changes = vec![ViewChange::ChangeDocument(Arc::new(change))];
    let delta = Delta { revision: Revision(10), changes };
    let actions = state.handle(at_ms(2), Event::Message(ControlMessage::Delta(delta)));
    assert_eq!(actions, [Action::Disconnect]);
    assert_eq!(state.in_force().revision, Revision(8), "no part of the change is in force");
    let again = state.deadline();
    assert!(matches!(state.handle(again, Event::Tick)[..], [Action::Connect(_)]));
    let actions = state.handle(again, Event::Connected);
    let Action::Send(ProxyMessage::Hello { revision, .. }) = &actions[0] else { panic!() };
    assert_eq!(*revision, Revision(0));
    assert_eq!(state.handle(again, snapshot(11)), [Action::Publish]);
    let _ = state.handle(again, Event::Disconnected);
    let later = state.deadline();
    let _ = state.handle(later, Event::Tick);
    let actions = state.handle(later, Event::Connected);
    let Action::Send(ProxyMessage::Hello { revision, .. }) = &actions[0] else { panic!() };
    assert_eq!(*revision, Revision(11), "the hello carries the revision in force again");
}

fn document_route(number: u32) -> RouteRule {
    RouteRule {
        name: format!("r{number}"),
        database: format!("db{number}"),
        path_prefix: "/".to_owned(),
        consistency: Consistency::Linearizable,
        statement_timeout: Duration::from_secs(1),
        latency_objective: Duration::from_secs(1),
        priority: 1,
        group: "calls".parse().expect("valid literal"),
        attempts: 2,
        public: false,
    }
}
