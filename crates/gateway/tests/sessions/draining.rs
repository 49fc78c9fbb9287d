//! Tests that a draining member gets no new work.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{BOUNDED, LINEARIZABLE, World};
use futures_util::future::join_all;

/// Connections that each member takes: one for the gateway, the others for control.
const ONE_CONNECTION: u32 = 3;
const WAITERS: [&str; 3] = ["w1", "w2", "w3"];

/// Opens a transaction at each of the two members, which occupies the gateway's only connection there.
async fn occupy_connections(world: &World) -> (Caller, Caller) {
    let mut at_primary = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    at_primary.query("begin").await;
    assert!(at_primary.query("read x").await.is_success());
    let mut at_replica = Caller::start(world.gateways[0], BOUNDED, "b").await;
    at_replica.query("begin read").await;
    assert_eq!(at_replica.query("read x").await.lines, ["row|of m2", "complete|by-m2"]);
    (at_primary, at_replica)
}

#[actix_rt::test]
async fn waiting_reads_are_not_sent_to_a_member_that_began_to_drain() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let world = World::start(&[&primary, &replica], 1, ONE_CONNECTION);
    let (mut at_primary, mut at_replica) = occupy_connections(&world).await;
    let mut waiters = Vec::new();
    for name in WAITERS {
        waiters.push(Caller::start(world.gateways[0], BOUNDED, name).await);
    }
    let waiting = waiters.iter_mut().map(|waiter| waiter.query("read y"));
    let ends = async {
        // After a round trip to the gateway the reads wait there, and the gateway knows of the drain.
        world.drain(&primary);
        Caller::start(world.gateways[0], BOUNDED, "c").await;
        assert!(at_primary.query("rollback").await.is_success());
        Caller::start(world.gateways[0], BOUNDED, "d").await;
        assert!(at_replica.query("rollback").await.is_success());
    };
    let (answers, ()) = futures_util::future::join(join_all(waiting), ends).await;
    for answered in answers {
        assert_eq!(answered.lines, ["row|of m2", "complete|by-m2"]);
    }
    assert!(!primary.texts().contains(&"read y".to_owned()));
}

#[actix_rt::test]
async fn a_draining_primary_serves_writes_until_it_is_replaced_but_no_reads() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let world = World::with_one_gateway(&[&primary, &replica]);
    let mut caller = Caller::start(world.gateways[0], BOUNDED, "a").await;
    assert!(caller.query("read x").await.is_success());
    world.drain(&primary);
    assert_eq!(caller.query("write x").await.lines, ["complete|by-m1"]);
    replica.state.borrow_mut().position = primary.state.borrow().position;
    for _ in 0..5 {
        assert_eq!(caller.query("read y").await.lines, ["row|of m2", "complete|by-m2"]);
    }
}
