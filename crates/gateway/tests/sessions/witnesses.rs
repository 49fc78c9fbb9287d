//! What gateways tell control of a member's reach, and when they take it back: only one that has connections of
//! its own finds out that the member is back.

use crate::caller::Caller;
use crate::holders::dead;
use crate::member::Member;
use crate::world::{HASTY, LINEARIZABLE, ONE_SHARE, World};
use std::time::Duration;

/// Other gateways, of which one holds the connections to the member.
const OTHERS: usize = 5;
/// Longest until a word is taken back: a fallback, the time for which the word is kept after it, a sweep and
/// some slack.
const TAKEN_BACK: Duration = Duration::from_secs(9);
/// Long after a fallback is over, and before the word is taken back.
const BETWEEN_FALLBACKS: Duration = Duration::from_millis(3_500);

/// Whether control is told next that the member is reached.
async fn told(world: &mut World) -> bool {
    let told = tokio::time::timeout(TAKEN_BACK, world.reach.recv()).await;
    told.expect("control is told in time").expect("the gateways run").reached
}

/// A primary whose one share is not the first gateway's, and the world that `start` makes around it.
async fn held_elsewhere(start: impl Fn(&Member) -> World) -> (Member, World) {
    for number in 1..50 {
        let primary = Member::start(&format!("m{number}"), true, "1.5").await;
        let world = start(&primary);
        if world.holder_of(&primary) != 0 {
            return (primary, world);
        }
    }
    panic!("the first gateway does not hold the connections to all of fifty members");
}

/// A gateway that finds none of the holders, nor the primary itself.
async fn cut_off() -> (Member, World) {
    let others: Vec<_> = (0..OTHERS).map(|_| dead()).collect();
    let (primary, world) = held_elsewhere(|it| World::among(&[it], &others, ONE_SHARE)).await;
    primary.state.borrow_mut().gone = true;
    (primary, world)
}

#[actix_rt::test]
async fn a_gateway_that_stood_in_takes_back_what_it_said() {
    let (_primary, mut world) = cut_off().await;
    let mut caller = Caller::start(world.gateways[0], HASTY, "a").await;
    assert!(!caller.query("write x").await.is_success());
    assert!(!told(&mut world).await, "it does not reach the primary");
    // No statement comes that would show that the primary is back.
    assert!(told(&mut world).await, "without connections it is no witness");
    // It is still gone: that is said again as soon as it is found again.
    assert!(!caller.query("write x").await.is_success());
    assert!(!told(&mut world).await);
}

#[actix_rt::test]
async fn a_word_stays_while_fallbacks_follow_each_other() {
    let (_primary, mut world) = cut_off().await;
    let mut caller = Caller::start(world.gateways[0], HASTY, "a").await;
    for _ in 0..3 {
        assert!(!caller.query("write x").await.is_success());
        tokio::time::sleep(BETWEEN_FALLBACKS).await;
    }
    assert!(!world.reach.try_recv().expect("control is told once").reached);
    assert!(world.reach.try_recv().is_err(), "the primary is as gone as before");
}

#[actix_rt::test]
async fn a_gateway_that_lost_its_share_takes_back_what_it_said() {
    let (primary, mut world) = held_elsewhere(|it| World::with_cut(&[it], 3, it)).await;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("write x").await.is_success(), "through another gateway");
    assert!(!told(&mut world).await, "it does not reach the primary");
    world.change_connections(ONE_SHARE);
    world.tell_first();
    assert_ne!(world.holder_of(&primary), 0);
    assert!(told(&mut world).await, "without connections it is no witness");
}

#[actix_rt::test]
async fn a_gateway_keeps_its_word_while_it_holds_a_share() {
    let primary = Member::start("m1", true, "1.5").await;
    let mut world = World::with_cut(&[&primary], 3, &primary);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("write x").await.is_success(), "through another gateway");
    assert!(!told(&mut world).await, "it does not reach the primary");
    tokio::time::sleep(TAKEN_BACK).await;
    assert!(world.reach.try_recv().is_err(), "it would notice that it reaches it again");
}

#[actix_rt::test]
async fn a_word_on_a_member_that_left_is_taken_back() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let mut world = World::with_one_gateway(&[&primary, &replica]);
    primary.state.borrow_mut().gone = true;
    let mut caller = Caller::start(world.gateways[0], HASTY, "a").await;
    assert!(!caller.query("write x").await.is_success());
    assert!(!told(&mut world).await, "it does not reach the primary");
    world.remove(&primary);
    assert!(told(&mut world).await, "under its name it may come back");
}
