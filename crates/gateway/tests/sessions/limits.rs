//! Operations of tenants are counted against the allowances that the leader grants.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{BOUNDED, LINEARIZABLE, SHORT_WAIT, World};

const TENANTS: &[(&str, &[&str])] = &[("alfa", &["key-a"]), ("beta", &["key-b"])];

async fn primary() -> Member {
    Member::start("m1", true, "1.5").await
}

#[actix_rt::test]
async fn an_operation_waits_for_the_allowance_of_the_leader() {
    let primary = primary().await;
    let mut world = World::with_limits(&[&primary], TENANTS);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "key-a").await;
    let control = &mut world.controls[0];
    let (answered, ()) = tokio::join!(caller.query("write x"), control.allow("alfa", 1));
    assert!(answered.is_success(), "{answered:?}");
}

#[actix_rt::test]
async fn an_operation_over_the_limit_does_not_run_and_is_refused_with_a_retry_time() {
    let primary = primary().await;
    let mut world = World::with_limits(&[&primary], TENANTS);
    let mut caller = Caller::start(world.gateways[0], SHORT_WAIT, "key-a").await;
    world.controls[0].allow("alfa", 2).await;
    for _ in 0..2 {
        caller.until_served("write x").await;
    }
    let refused = caller.query("write y").await;
    assert_eq!((refused.code(), refused.state.as_str()), ("overlimit", "idle"));
    assert!(refused.lines[0].contains("retry_after_ms="), "{refused:?}");
    assert_eq!(primary.texts(), ["write x", "write x"]);
}

#[actix_rt::test]
async fn a_tenant_at_its_limit_does_not_affect_another() {
    let primary = primary().await;
    let mut world = World::with_limits(&[&primary], TENANTS);
    let mut first = Caller::start(world.gateways[0], SHORT_WAIT, "key-a").await;
    world.controls[0].allow("alfa", 1).await;
    first.until_served("write x").await;
    assert_eq!(first.query("write y").await.code(), "overlimit");
    let mut second = Caller::start(world.gateways[0], SHORT_WAIT, "key-b").await;
    world.controls[0].allow("beta", 1).await;
    second.until_served("write z").await;
}

#[actix_rt::test]
async fn a_transaction_counts_once() {
    let primary = primary().await;
    let mut world = World::with_limits(&[&primary], TENANTS);
    let mut caller = Caller::start(world.gateways[0], SHORT_WAIT, "key-a").await;
    world.controls[0].allow("alfa", 1).await;
    caller.until_served("begin").await;
    for statement in ["write x", "read x", "write y", "commit"] {
        let answered = caller.query(statement).await;
        assert!(answered.is_success(), "{statement}: {answered:?}");
    }
    assert!(
        caller.query("begin").await.is_success(),
        "begin reaches no member and isn't counted yet"
    );
    let refused = caller.query("write z").await;
    assert_eq!((refused.code(), refused.state.as_str()), ("overlimit", "failed"));
}

#[actix_rt::test]
async fn an_operation_that_did_not_run_is_not_counted() {
    let primary = primary().await;
    let mut world = World::with_limits(&[&primary], TENANTS);
    let mut caller = Caller::start(world.gateways[0], SHORT_WAIT, "key-a").await;
    world.controls[0].allow("alfa", 1).await;
    primary.position_requested().await;
    primary.state.borrow_mut().is_gone = true;
    assert_eq!(caller.query("write x").await.code(), "busy");
    primary.state.borrow_mut().is_gone = false;
    caller.until_served("write x").await;
    assert_eq!(caller.query("write y").await.code(), "overlimit");
}

#[actix_rt::test]
async fn a_read_that_may_have_run_counts_again_when_retried() {
    let primary = primary().await;
    let replica = Member::start("m2", false, "1.5").await;
    for (allowed, served) in [(1, false), (2, true)] {
        let mut world = World::with_limits(&[&primary, &replica], TENANTS);
        let mut caller = Caller::start(world.gateways[0], BOUNDED, "key-a").await;
        world.controls[0].allow("alfa", allowed).await;
        primary.state.borrow_mut().answers_to_lose = 1;
        replica.state.borrow_mut().answers_to_lose = 1;
        let answered = caller.query("read x").await;
        let lost = [&primary, &replica].map(|member| 1 - member.state.borrow().answers_to_lose);
        assert_eq!(lost.iter().sum::<usize>() > 1, served, "{answered:?}");
        for member in [&primary, &replica] {
            member.state.borrow_mut().answers_to_lose = 0;
        }
    }
}

#[actix_rt::test]
async fn operations_at_all_gateways_of_a_zone_are_counted_at_the_home_of_their_tenant() {
    let primary = primary().await;
    let mut world = World::with_limits_at(&[&primary], 3, TENANTS);
    let (home, other) = world.home_and_other("alfa");
    let mut home_caller = Caller::start(world.gateways[home], SHORT_WAIT, "key-a").await;
    world.controls[home].allow("alfa", 3).await;
    let mut other_caller = Caller::start(world.gateways[other], SHORT_WAIT, "key-a").await;
    other_caller.until_served("write x").await;
    home_caller.until_served("write y").await;
    other_caller.until_served("write z").await;
    for caller in [&mut home_caller, &mut other_caller] {
        let refused = caller.query("write w").await;
        assert_eq!(refused.code(), "overlimit", "{refused:?}");
    }
    assert_eq!(primary.texts(), ["write x", "write y", "write z"]);
}

#[actix_rt::test]
async fn an_operation_that_did_not_run_at_another_gateway_is_not_counted_at_the_home() {
    let primary = primary().await;
    let mut world = World::with_limits_at(&[&primary], 2, TENANTS);
    let (home, other) = world.home_and_other("alfa");
    let _home_caller = Caller::start(world.gateways[home], SHORT_WAIT, "key-a").await;
    world.controls[home].allow("alfa", 1).await;
    primary.position_requested().await;
    let mut other_caller = Caller::start(world.gateways[other], SHORT_WAIT, "key-a").await;
    primary.state.borrow_mut().is_gone = true;
    assert_eq!(other_caller.query("write x").await.code(), "busy");
    primary.state.borrow_mut().is_gone = false;
    // The home learns a moment later that the operation did not run.
    let mut served = other_caller.query("write x").await;
    while matches!(served.code(), "busy" | "overlimit") {
        served = other_caller.query("write x").await;
    }
    assert!(served.is_success(), "{served:?}");
    assert_eq!(other_caller.query("write y").await.code(), "overlimit");
}

#[actix_rt::test]
async fn a_gateway_counts_against_its_own_allowance_if_the_home_is_gone() {
    let primary = primary().await;
    // With 32 tenants, at least one has its home at the lost gateway.
    let names: &'static [String] = Vec::leak((0..32).map(|number| format!("t{number}")).collect());
    let keys: Vec<[&str; 1]> = names.iter().map(|name| [name.as_str()]).collect();
    let tenants: Vec<(&str, &[&str])> =
        names.iter().zip(&keys).map(|(name, keys)| (name.as_str(), keys.as_slice())).collect();
    let mut world = World::with_limits_at(&[&primary], 2, &tenants);
    world.make_peer_unreachable(1);
    let lost = names.iter().find(|name| world.home_and_other(name).0 == 1);
    let tenant = lost.expect("about half of the tenants have their home at the lost gateway");
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, tenant).await;
    let control = &mut world.controls[0];
    let (answered, ()) = tokio::join!(caller.query("write x"), control.allow(tenant, 1));
    assert!(answered.is_success(), "{answered:?}");
}
