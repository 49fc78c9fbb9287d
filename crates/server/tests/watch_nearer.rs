//! The watch's state machine: which control replicas are compared with the one followed, and the way to a nearer one.

use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::identity::{GroupName, Incarnation, MemberName, ReplicaId};
use corktack_core::time::Timestamp;
use corktack_core::view::View;
use corktack_protocol::control::{ControlMessage, MemberHealth, Observation, ProxyMessage};
use corktack_server::watch_client::state::{Action, Event, WatchSettings, WatchState};
use std::net::SocketAddr;
use std::time::Duration;

const PORT: u16 = 7100;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn replica(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], PORT))
}

/// A watch that is connected since 1 ms to a replica that its settings name.
fn connected(follows_cell: bool) -> WatchState {
    let settings = WatchSettings {
        proxy: "proxy-1".parse().expect("valid literal"),
        incarnation: Incarnation(7),
        address: "127.0.0.1:7001".parse().expect("valid literal"),
        zone: "amba.a".parse().expect("valid literal"),
        replicas: vec![replica(1)],
        heartbeat_interval: Duration::from_secs(1),
        silence_timeout: Duration::from_secs(3),
        retry_minimum: Duration::from_millis(50),
        retry_maximum: Duration::from_secs(2),
        follows_cell,
        seed: 1,
    };
    let mut state = WatchState::new(settings, View::default(), at(0));
    let _ = state.handle(at(0), Event::Tick);
    assert!(!state.handle(at(1), Event::Connected).is_empty());
    state
}

/// The cell of these replicas; they reach each other at another port.
fn cell(numbers: &[u8]) -> Event {
    let member = |number: &u8| CellMember {
        id: ReplicaId(u64::from(*number)),
        address: ([127, 0, 0, *number], 7200).into(),
    };
    let voters = numbers.iter().map(member).collect();
    Event::Message(ControlMessage::Cell(CellConfig { voters, learners: Vec::new() }))
}

/// Of the voters that a replica names, those are compared with it that were none before, and once.
#[test]
fn new_voters_are_compared_with_the_replica_that_is_followed() {
    let mut state = connected(true);
    let compared = |numbers: &[u8]| {
        vec![Action::CompareWith(numbers.iter().map(|number| replica(*number)).collect())]
    };
    assert_eq!(state.handle(at(2), cell(&[1, 2, 3])), compared(&[1, 2, 3]));
    assert_eq!(state.handle(at(3), cell(&[3, 2, 1])), []);
    assert_eq!(state.handle(at(4), cell(&[1, 2])), []);
    assert_eq!(state.handle(at(5), cell(&[1, 2, 4, 5])), compared(&[4, 5]));
}

/// Where the settings alone name the replicas, there are no new ones.
#[test]
fn a_watch_that_does_not_follow_the_cell_compares_nothing() {
    assert_eq!(connected(false).handle(at(2), cell(&[1, 2, 3])), []);
}

#[test]
fn a_nearer_replica_is_told_everything_and_has_no_more_time_to_prove() {
    let mut state = connected(true);
    let seen = Observation {
        group: GroupName::new("records").expect("valid name"),
        member: MemberName::new("m-1").expect("valid name"),
        health: MemberHealth::Unreachable,
    };
    let _ = state.handle(at(2), Event::Observed(vec![seen.clone()]));
    let second = state.handle(at(30), Event::Tick);
    assert!(matches!(second[..], [Action::Send(ProxyMessage::Heartbeat { sequence: 2, .. })]));
    let actions = state.handle(at(1_000), Event::Moved);
    let [
        Action::Send(ProxyMessage::Hello { .. }),
        Action::Send(ProxyMessage::Heartbeat { sequence: 3, observations, .. }),
    ] = &actions[..]
    else {
        panic!("{actions:?}")
    };
    assert_eq!(observations[..], [seen]);
    // An answer of the former replica proves nothing for this one.
    let former = ControlMessage::HeartbeatAck { sequence: 2, current: true };
    assert_eq!(state.handle(at(1_001), Event::Message(former)), []);
    assert_eq!(state.handle(at(3_001), Event::Tick), [Action::Disconnect]);
}

#[test]
fn a_nearer_replica_that_comes_too_late_is_not_followed() {
    let mut state = connected(true);
    let _ = state.handle(at(5), Event::Disconnected);
    assert_eq!(state.handle(at(6), Event::Moved), []);
}
