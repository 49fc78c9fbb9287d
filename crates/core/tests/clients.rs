//! Whose connection is closed when connections or memory run short.

use corktack_core::clients::{
    ByteGrant, BytePace, ClientId, ClientLimits, ClientPhase, ClientTable, ClientTotals, Connected,
};
use corktack_core::time::Timestamp;
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn table(max_connections: usize, max_bytes: usize) -> ClientTable {
    ClientTable::new(ClientLimits {
        max_connections,
        max_bytes,
        message_timeout: MESSAGE_TIMEOUT,
        bytes_per_second: 1_000,
    })
}

fn open(table: &mut ClientTable, now: Timestamp) -> ClientId {
    match table.connect(now) {
        Connected::Open(id) => id,
        other => panic!("a free place, not {other:?}"),
    }
}

fn open_in(table: &mut ClientTable, phase: ClientPhase, now: Timestamp) -> ClientId {
    let id = open(table, now);
    table.enter(id, phase, now);
    id
}

fn closed_for_new(table: &mut ClientTable, now: Timestamp) -> Option<ClientId> {
    match table.connect(now) {
        Connected::InPlaceOf { closed, .. } => Some(closed),
        Connected::Refused => None,
        Connected::Open(_) => panic!("all places are in use"),
    }
}

#[test]
fn a_new_client_takes_the_place_of_the_one_that_waited_longest() {
    let mut table = table(3, 0);
    open_in(&mut table, ClientPhase::Idle, at(2_000));
    let longest = open_in(&mut table, ClientPhase::Idle, at(1_000));
    open_in(&mut table, ClientPhase::Idle, at(3_000));
    assert_eq!(closed_for_new(&mut table, at(4_000)), Some(longest));
}

#[rstest]
#[case::first_message_missing(ClientPhase::Connecting)]
#[case::message_begun(ClientPhase::Receiving)]
#[case::answer_unread(ClientPhase::Sending)]
fn a_client_that_left_something_half_way_goes_before_an_idle_session(#[case] phase: ClientPhase) {
    let mut table = table(2, 0);
    open_in(&mut table, ClientPhase::Idle, at(0));
    let half_way = open_in(&mut table, phase, at(2_000));
    assert_eq!(closed_for_new(&mut table, at(3_000)), Some(half_way));
}

// Guards against a crowd of idle sessions that pushes out each caller whose first message is in transit.
#[test]
fn a_long_idle_session_goes_before_a_client_that_has_just_connected() {
    let mut table = table(2, 0);
    let idle = open_in(&mut table, ClientPhase::Idle, at(0));
    open(&mut table, at(2_990));
    assert_eq!(closed_for_new(&mut table, at(3_000)), Some(idle));
}

#[test]
fn a_client_is_refused_if_the_process_works_for_all_others() {
    let mut table = table(1, 0);
    open_in(&mut table, ClientPhase::Working, at(0));
    assert_eq!(closed_for_new(&mut table, at(9_000)), None);
}

#[test]
fn a_client_is_refused_if_all_others_have_just_come() {
    let mut table = table(1, 0);
    open(&mut table, at(1_000));
    assert_eq!(closed_for_new(&mut table, at(1_009)), None);
}

#[test]
fn a_place_is_free_again_once_its_client_is_gone() {
    let mut table = table(1, 10);
    let first = open(&mut table, at(0));
    assert_eq!(table.hold(first, 10, at(0)), ByteGrant::Granted);
    table.disconnect(first);
    let second = open(&mut table, at(1));
    assert_eq!(table.hold(second, 10, at(1)), ByteGrant::Granted);
    assert_eq!(table.totals(), ClientTotals { connections: 1, bytes: 10 });
}

#[test]
fn the_same_phase_again_does_not_restart_its_time() {
    let mut table = table(2, 0);
    let trickling = open_in(&mut table, ClientPhase::Receiving, at(0));
    open_in(&mut table, ClientPhase::Receiving, at(1_000));
    table.enter(trickling, ClientPhase::Receiving, at(1_900));
    assert_eq!(closed_for_new(&mut table, at(2_000)), Some(trickling));
}

#[test]
fn memory_is_taken_from_the_client_with_the_most_bytes_for_the_longest() {
    let mut table = table(9, 100);
    let large_and_new = open_in(&mut table, ClientPhase::Receiving, at(1_900));
    let large_and_old = open_in(&mut table, ClientPhase::Receiving, at(0));
    let small_and_old = open_in(&mut table, ClientPhase::Receiving, at(0));
    for (id, bytes) in [(large_and_new, 45), (large_and_old, 45), (small_and_old, 10)] {
        assert_eq!(table.hold(id, bytes, at(1_900)), ByteGrant::Granted);
    }
    let asking = open_in(&mut table, ClientPhase::Receiving, at(1_999));
    let grant = table.hold(asking, 20, at(2_000));
    assert_eq!(grant, ByteGrant::AfterClosing(vec![large_and_old]));
    // Until it is closed nothing is granted, and no other one is named.
    assert_eq!(table.hold(asking, 20, at(2_001)), ByteGrant::AfterClosing(vec![]));
    table.disconnect(large_and_old);
    assert_eq!(table.hold(asking, 20, at(2_002)), ByteGrant::Granted);
}

#[test]
fn a_client_that_costs_more_than_all_others_is_refused_itself() {
    let mut table = table(9, 100);
    let small = open_in(&mut table, ClientPhase::Receiving, at(1_000));
    let large = open_in(&mut table, ClientPhase::Receiving, at(0));
    assert_eq!(table.hold(small, 20, at(1_000)), ByteGrant::Granted);
    assert_eq!(table.hold(large, 80, at(1_000)), ByteGrant::Granted);
    assert_eq!(table.hold(large, 90, at(2_000)), ByteGrant::Refused);
}

#[test]
fn memory_of_a_request_in_progress_is_not_taken() {
    let mut table = table(9, 100);
    let working = open_in(&mut table, ClientPhase::Working, at(0));
    let asking = open_in(&mut table, ClientPhase::Working, at(0));
    assert_eq!(table.hold(working, 100, at(0)), ByteGrant::Granted);
    assert_eq!(table.hold(asking, 1, at(9_000)), ByteGrant::Refused);
}

#[test]
fn more_than_the_whole_memory_is_refused_and_closes_nobody() {
    let mut table = table(9, 100);
    let idle = open_in(&mut table, ClientPhase::Idle, at(0));
    assert_eq!(table.hold(idle, 50, at(0)), ByteGrant::Granted);
    let asking = open_in(&mut table, ClientPhase::Receiving, at(1_000));
    assert_eq!(table.hold(asking, 101, at(1_000)), ByteGrant::Refused);
    assert_eq!(table.hold(asking, 50, at(1_000)), ByteGrant::Granted);
}

#[test]
fn only_messages_that_have_begun_are_limited_in_time() {
    let mut table = table(9, 0);
    let overdue = open_in(&mut table, ClientPhase::Receiving, at(0));
    open_in(&mut table, ClientPhase::Idle, at(0));
    open_in(&mut table, ClientPhase::Working, at(0));
    open_in(&mut table, ClientPhase::Receiving, at(1));
    assert_eq!(table.overdue(at(30_001)), vec![overdue]);
    assert_eq!(table.overdue(at(30_001)), vec![], "a connection is named once");
}

#[test]
fn bytes_beyond_a_burst_wait_until_they_are_on_pace() {
    let mut pace = BytePace::new(1_000);
    assert_eq!(pace.record(250, at(5_000)), Duration::ZERO);
    assert_eq!(pace.record(100, at(5_000)), Duration::from_millis(100));
    assert_eq!(pace.record(100, at(5_100)), Duration::from_millis(100));
    assert_eq!(pace.record(100, at(9_000)), Duration::ZERO);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Connect,
    Disconnect(usize),
    Enter(usize, ClientPhase),
    Hold(usize, usize),
}

fn phase() -> impl Strategy<Value = ClientPhase> {
    prop::sample::select(vec![
        ClientPhase::Connecting,
        ClientPhase::Idle,
        ClientPhase::Receiving,
        ClientPhase::ReceivingInTransaction,
        ClientPhase::Working,
        ClientPhase::Sending,
    ])
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Connect),
        (0..20_usize).prop_map(Step::Disconnect),
        (0..20_usize, phase()).prop_map(|(client, phase)| Step::Enter(client, phase)),
        (0..20_usize, 0..60_usize).prop_map(|(client, bytes)| Step::Hold(client, bytes)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    // No order of events exceeds a limit, closes a working client, or loses count of the bytes.
    #[test]
    fn the_limits_hold(steps in prop::collection::vec((step(), 0..200_u64), 0..200)) {
        let mut table = table(5, 100);
        let mut clients: Vec<(ClientId, ClientPhase, usize)> = Vec::new();
        let mut closing: Vec<ClientId> = Vec::new();
        let mut replaced: Vec<ClientId> = Vec::new();
        let mut millis = 0;
        for (step, pause) in steps {
            millis += pause;
            let now = at(millis);
            let mut named = Vec::new();
            match step {
                Step::Connect => match table.connect(now) {
                    Connected::Open(id) => clients.push((id, ClientPhase::Connecting, 0)),
                    Connected::InPlaceOf { id, closed } => {
                        named.push(closed);
                        replaced.push(closed);
                        clients.push((id, ClientPhase::Connecting, 0));
                    }
                    Connected::Refused => (),
                },
                Step::Disconnect(client) if client < clients.len() => {
                    let (id, ..) = clients.remove(client);
                    closing.retain(|named| *named != id);
                    replaced.retain(|named| *named != id);
                    table.disconnect(id);
                }
                Step::Enter(client, phase) if client < clients.len() => {
                    clients[client].1 = phase;
                    table.enter(clients[client].0, phase, now);
                }
                Step::Hold(client, bytes) if client < clients.len() => {
                    match table.hold(clients[client].0, bytes, now) {
                        ByteGrant::Granted => clients[client].2 = bytes,
                        ByteGrant::AfterClosing(ids) => named = ids,
                        ByteGrant::Refused => (),
                    }
                }
                _ => (),
            }
            for id in named {
                let (_, phase, _) = clients.iter().find(|(other, ..)| *other == id).expect("open");
                prop_assert_ne!(*phase, ClientPhase::Working);
                prop_assert!(!closing.contains(&id));
                closing.push(id);
            }
            let bytes: usize = clients.iter().map(|(.., bytes)| bytes).sum();
            prop_assert!(bytes <= 100);
            prop_assert!(clients.len() - replaced.len() <= 5);
            prop_assert_eq!(table.totals(), ClientTotals { connections: clients.len(), bytes });
        }
    }
}
