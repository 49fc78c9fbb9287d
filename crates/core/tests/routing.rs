//! Routing of reads, warm connections, second observers, retry budget and back-off.
#![allow(clippy::unwrap_used)]

use corktack_core::identity::{GroupName, Incarnation, MemberName, ProxyName, ZoneName};
use corktack_core::pool::idle_connection_targets;
use corktack_core::position::{Position, Term};
use corktack_core::resources::{DatabaseGroupSpec, MemberSpec};
use corktack_core::retry::{Backoff, RetryBudget};
use corktack_core::routing::{ReadRoute, RoutingTable, second_observer};
use corktack_core::view::{GroupView, ProxyState, ProxyView, View};
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

fn member(name: &str) -> MemberName {
    MemberName::new(name).unwrap()
}

fn position(index: u64) -> Position {
    Position { term: Term(1), index }
}

fn group() -> GroupView {
    let spec = |name: &str, zone: &str| MemberSpec {
        name: member(name),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: ZoneName::new(zone).unwrap(),
        draining: false,
    };
    GroupView {
        spec: DatabaseGroupSpec {
            database: "calls".into(),
            members: vec![spec("p", "amba.a"), spec("near", "amba.a"), spec("far", "cuyo.a")],
            slots: 5,
            connections: 12,
            queue_limit: 1,
            queue_timeout_ms: 1,
            replica_wait_ms: 1,
        },
        primary: Some(member("p")),
        term: Term(1),
        owner: Some(ProxyName::new("x1").unwrap()),
        draining: BTreeSet::new(),
    }
}

fn table(group: &GroupView, near: u64, far: u64) -> RoutingTable {
    let mut table = RoutingTable::default();
    table.set_members(group);
    table.merge_position(&member("p"), position(100));
    table.merge_position(&member("near"), position(near));
    table.merge_position(&member("far"), position(far));
    table
}

#[rstest]
#[case::nearest(9, 9, ReadRoute::Replica(member("near")))]
#[case::only_the_far_one_covers(4, 9, ReadRoute::Replica(member("far")))]
#[case::none_covers(4, 4, ReadRoute::Behind)]
fn reads_go_to_the_nearest_replica_that_covers(
    #[case] near: u64,
    #[case] far: u64,
    #[case] expected: ReadRoute,
) {
    let group = group();
    let zone = ZoneName::new("amba.a").unwrap();
    assert_eq!(table(&group, near, far).route_read(&group, &zone, position(5)), expected);
}

#[rstest]
fn draining_and_unreachable_members_get_no_reads() {
    let mut group = group();
    let zone = ZoneName::new("amba.a").unwrap();
    let mut table = table(&group, 9, 9);
    group.draining.insert(member("near"));
    assert_eq!(table.route_read(&group, &zone, position(5)), ReadRoute::Replica(member("far")));
    table.set_reachable(&member("far"), false);
    assert_eq!(table.route_read(&group, &zone, position(5)), ReadRoute::Unavailable);
}

#[rstest]
fn a_position_of_a_lower_term_does_not_cover() {
    let group = group();
    let zone = ZoneName::new("amba.a").unwrap();
    let minimum = Position { term: Term(2), index: 5 };
    assert_eq!(table(&group, 9, 9).route_read(&group, &zone, minimum), ReadRoute::Behind);
}

#[rstest]
fn warm_connections_fit_the_limit() {
    let targets = idle_connection_targets(&group());
    assert_eq!(targets[&member("p")], 5);
    assert_eq!(targets[&member("near")], 3);
    assert!(targets.values().sum::<u32>() <= 12);
}

#[rstest]
fn the_second_observer_is_live_and_not_the_owner() {
    let group = group();
    let mut view = View::default();
    for name in ["x1", "x2", "x3", "x4"] {
        let proxy = ProxyView {
            address: "127.0.0.1:1".parse().unwrap(),
            zone: ZoneName::new("amba.a").unwrap(),
            incarnation: Incarnation(1),
            state: if name == "x4" { ProxyState::Down } else { ProxyState::Live },
        };
        view.proxies.insert(ProxyName::new(name).unwrap(), proxy);
    }
    let mut chosen = BTreeSet::new();
    for number in 0..40 {
        let name = GroupName::new(format!("g{number}")).unwrap();
        chosen.insert(second_observer(&view, &name, &group).unwrap().as_str());
    }
    assert_eq!(chosen, BTreeSet::from(["x2", "x3"]));
}

#[rstest]
fn retries_are_a_bounded_share_of_requests() {
    let mut budget = RetryBudget::default();
    while budget.try_retry() {}
    for _ in 0..5 {
        budget.record_request();
    }
    assert!(budget.try_retry());
    assert!(!budget.try_retry());
}

#[rstest]
fn backoff_grows_and_is_deterministic() {
    let delays = |seed| {
        let mut backoff = Backoff::new(seed);
        (0..8).map(|attempt| backoff.delay(attempt)).collect::<Vec<_>>()
    };
    assert_eq!(delays(1), delays(1));
    assert!(delays(1)[0] < delays(1)[5]);
}

#[rstest]
fn backoff_keeps_its_bounds_and_depends_on_its_seed_only() {
    let (base, longest) = (Duration::from_millis(10), Duration::from_millis(500));
    let delays = |seed| {
        let mut backoff = Backoff::between(seed, base, longest);
        (0..40).map(|attempt| backoff.delay(attempt)).collect::<Vec<_>>()
    };
    let first = delays(7);
    assert_eq!(first, delays(7));
    assert_ne!(first, delays(8));
    assert!(first[0] >= base / 2 && first[0] <= base);
    assert!(first.iter().all(|delay| *delay >= base / 2 && *delay <= longest));
    assert!(first[39] >= longest / 2, "the delay has reached its upper bound");
}
