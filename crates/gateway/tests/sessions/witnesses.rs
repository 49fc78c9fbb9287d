//! Reports of gateways to control about unreachable members, and when they are retracted: only a gateway with
//! connections of its own can find out that the member is back.

use crate::caller::Caller;
use crate::holders::unused_address;
use crate::member::Member;
use crate::world::{LINEARIZABLE, ONE_SHARE, SHORT_WAIT, World};
use std::time::Duration;

/// Number of other gateways, one of which holds the connections to the member.
const OTHERS: usize = 5;
/// Longest time until a report is retracted: a fallback period, the time for which the report is kept after
/// it, the interval of the sweep, and some slack.
const RETRACTION_TIMEOUT: Duration = Duration::from_secs(9);
/// Longer than a fallback period, and shorter than the time until a report is retracted.
const FALLBACK_INTERVAL: Duration = Duration::from_millis(3_500);

/// Waits for the next report to control; returns whether the member is reached by it.
async fn next_report(world: &mut World) -> bool {
    let report = tokio::time::timeout(RETRACTION_TIMEOUT, world.reach.recv()).await;
    report.expect("a report arrives in time").expect("the gateways run").reached
}

/// Starts a primary whose one share another gateway than the first holds, and its world by `start`.
async fn primary_held_by_another(start: impl Fn(&Member) -> World) -> (Member, World) {
    for number in 1..50 {
        let primary = Member::start(&format!("m{number}"), true, "1.5").await;
        let world = start(&primary);
        if world.holder_of(&primary) != 0 {
            return (primary, world);
        }
    }
    panic!("the first gateway holds the connections to all of fifty members");
}

/// Starts a gateway that reaches neither the holders nor the primary.
async fn isolated_gateway() -> (Member, World) {
    let others: Vec<_> = (0..OTHERS).map(|_| unused_address()).collect();
    let (primary, world) = primary_held_by_another(|primary| {
        World::with_listed_gateways(&[primary], &others, ONE_SHARE)
    })
    .await;
    primary.state.borrow_mut().is_gone = true;
    (primary, world)
}

#[actix_rt::test]
async fn a_report_is_retracted_after_the_fallback_period() {
    let (_primary, mut world) = isolated_gateway().await;
    let mut caller = Caller::start(world.gateways[0], SHORT_WAIT, "a").await;
    assert!(!caller.query("write x").await.is_success());
    assert!(!next_report(&mut world).await, "the gateway does not reach the primary");
    // Without statements, the gateway would not notice that the primary is back.
    assert!(
        next_report(&mut world).await,
        "without connections, the gateway can't find out that the member is back"
    );
    // The primary is still gone: the next statement that fails reports it again.
    assert!(!caller.query("write x").await.is_success());
    assert!(!next_report(&mut world).await);
}

#[actix_rt::test]
async fn a_report_is_kept_while_fallback_periods_follow_each_other() {
    let (_primary, mut world) = isolated_gateway().await;
    let mut caller = Caller::start(world.gateways[0], SHORT_WAIT, "a").await;
    for _ in 0..3 {
        assert!(!caller.query("write x").await.is_success());
        tokio::time::sleep(FALLBACK_INTERVAL).await;
    }
    assert!(!world.reach.try_recv().expect("there is one report").reached);
    assert!(world.reach.try_recv().is_err(), "no other report while the primary stays unreachable");
}

#[actix_rt::test]
async fn a_gateway_that_lost_its_share_retracts_its_report() {
    let (primary, mut world) =
        primary_held_by_another(|primary| World::with_cut(&[primary], 3, primary)).await;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("write x").await.is_success(), "through another gateway");
    assert!(!next_report(&mut world).await, "the gateway does not reach the primary");
    world.change_connections(ONE_SHARE);
    world.send_view_to_first();
    assert_ne!(world.holder_of(&primary), 0);
    assert!(
        next_report(&mut world).await,
        "without connections, the gateway can't find out that the member is back"
    );
}

#[actix_rt::test]
async fn a_gateway_keeps_its_report_while_it_holds_a_share() {
    let primary = Member::start("m1", true, "1.5").await;
    let mut world = World::with_cut(&[&primary], 3, &primary);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("write x").await.is_success(), "through another gateway");
    assert!(!next_report(&mut world).await, "the gateway does not reach the primary");
    tokio::time::sleep(RETRACTION_TIMEOUT).await;
    assert!(world.reach.try_recv().is_err(), "a holder finds out itself when the member is back");
}

#[actix_rt::test]
async fn a_report_on_a_member_that_left_is_retracted() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let mut world = World::with_one_gateway(&[&primary, &replica]);
    primary.state.borrow_mut().is_gone = true;
    let mut caller = Caller::start(world.gateways[0], SHORT_WAIT, "a").await;
    assert!(!caller.query("write x").await.is_success());
    assert!(!next_report(&mut world).await, "the gateway does not reach the primary");
    world.remove(&primary);
    assert!(next_report(&mut world).await, "the member may come back under its name");
}
