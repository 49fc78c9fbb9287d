//! Reads at a gateway that has just restarted, among others that have run for longer.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{BOUNDED, ONE_SHARE, SHORT_BOUNDED, SHORT_STALENESS, World};

const GATEWAYS: usize = 3;
/// Metric that a gateway has after another gateway served one of its requests.
const SERVED_BY_ANOTHER: &str = "corktack_gateway_elsewhere_total{outcome=\"served\"}";

/// A restarted gateway asks another for a connection to the primary, and gets with the grant the newest
/// position that the other knows, and its age. The primary itself doesn't answer. If the gateway took the
/// position to be no older than its own process, it would read from a replica that may lack commits
/// acknowledged before the staleness bound.
#[actix_rt::test]
async fn a_restarted_gateway_does_not_take_a_position_for_newer_than_it_is() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let mut world = World::start(&[&primary, &replica], GATEWAYS, ONE_SHARE);
    for gateway in world.gateways.clone() {
        // Each gateway knows a position after this read, the holder too.
        let mut caller = Caller::start(gateway, SHORT_BOUNDED, "a").await;
        assert!(caller.query("read x").await.is_success());
    }
    for (index, name) in ["b", "c", "d"].into_iter().enumerate() {
        primary.state.borrow_mut().position.index += 10;
        tokio::time::sleep(SHORT_STALENESS + SHORT_STALENESS / 5).await;
        primary.state.borrow_mut().begins_to_lose = 1;
        let restarted = world.restart_gateway(index);
        let mut caller = Caller::start(restarted, SHORT_BOUNDED, name).await;
        let answered = caller.query("read x").await;
        assert_eq!(answered.lines, ["row|of m1", "complete|by-m1"], "gateway {index}");
    }
}

/// A restarted gateway uses a position that another one learned before the restart, as long as it is within
/// the staleness bound: its callers are served although the primary answers no position request. The holder
/// of the primary's connections is left out, as it asks no other gateway.
#[actix_rt::test]
async fn a_restarted_gateway_uses_a_position_that_is_recent_enough() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let mut world = World::start(&[&primary, &replica], GATEWAYS, ONE_SHARE);
    for gateway in world.gateways.clone() {
        let mut caller = Caller::start(gateway, BOUNDED, "a").await;
        assert!(caller.query("read x").await.is_success());
    }
    let others: Vec<usize> = (0..GATEWAYS)
        .filter(|index| world.metrics_text(*index).contains(SERVED_BY_ANOTHER))
        .collect();
    assert_eq!(others.len(), GATEWAYS - 1);
    primary.state.borrow_mut().begins_to_lose = usize::MAX;
    for index in others {
        let restarted = world.restart_gateway(index);
        let mut caller = Caller::start(restarted, BOUNDED, "b").await;
        assert!(caller.query("read x").await.is_success(), "gateway {index}");
    }
}

/// As above, where the restarted gateway holds the connections to the replica: it asks the holder of the
/// primary's connections, which gets no answer from the primary and reports an old position.
#[actix_rt::test]
async fn a_restarted_holder_does_not_take_a_position_for_newer_than_it_is() {
    let primary = Member::start("m1", true, "1.5").await;
    let (replica, mut world) = replica_with_another_holder(&primary).await;
    let holder = world.holder_of(&replica);
    for gateway in world.gateways.clone() {
        let mut caller = Caller::start(gateway, SHORT_BOUNDED, "a").await;
        assert!(caller.query("read x").await.is_success());
    }
    primary.state.borrow_mut().position.index += 10;
    tokio::time::sleep(SHORT_STALENESS + SHORT_STALENESS / 5).await;
    primary.state.borrow_mut().begins_to_lose = 1;
    // A draining primary serves reads only if no other member may.
    world.drain(&primary);
    let restarted = world.restart_gateway_with_new_address(holder);
    let mut caller = Caller::start(restarted, SHORT_BOUNDED, "b").await;
    assert_eq!(caller.query("read x").await.lines, ["row|of m1", "complete|by-m1"]);
}

/// Starts a replica whose connections are held by another gateway than the primary's.
async fn replica_with_another_holder(primary: &Member) -> (Member, World) {
    for number in 2..50 {
        let replica = Member::start(&format!("m{number}"), false, "1.5").await;
        let world = World::start(&[primary, &replica], GATEWAYS, ONE_SHARE);
        if world.holder_of(&replica) != world.holder_of(primary) {
            return (replica, world);
        }
    }
    panic!("one of three gateways holds the connections to all of fifty members");
}
