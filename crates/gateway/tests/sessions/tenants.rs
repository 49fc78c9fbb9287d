//! Callers are identified as tenants by their key; members learn the tenant and never the key.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{BOUNDED, LINEARIZABLE, ONE_SHARE, World};
use std::time::{Duration, Instant};

/// Two tenants; the first has two keys.
const TENANTS: &[(&str, &[&str])] = &[("alfa", &["key-a", "key-b"]), ("beta", &["key-c"])];

async fn primary() -> Member {
    Member::start("m1", true, "1.5").await
}

#[actix_rt::test]
async fn an_unknown_key_ends_the_session() {
    let primary = primary().await;
    let world = World::with_tenants(&[&primary], 1, 36, TENANTS);
    let answered = Caller::refused(world.gateways[0], LINEARIZABLE, "key-x").await;
    assert_eq!(answered, ["error|unauth|the key stands for nobody"]);
    assert!(primary.texts().is_empty());
}

#[actix_rt::test]
async fn an_unknown_database_is_reported_whatever_the_key() {
    let primary = primary().await;
    let world = World::with_tenants(&[&primary], 1, 36, TENANTS);
    for key in ["key-a", "key-x"] {
        let answered = Caller::refused(world.gateways[0], "nowhere", key).await;
        assert_eq!(answered, ["error|nodb|nowhere"]);
    }
}

#[actix_rt::test]
async fn a_member_is_told_the_tenant_and_never_the_key() {
    let primary = primary().await;
    let world = World::with_tenants(&[&primary], 1, 36, TENANTS);
    for (key, tenant) in [("key-a", "alfa"), ("key-b", "alfa"), ("key-c", "beta")] {
        let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, key).await;
        assert!(caller.query("write x").await.is_success());
        assert_eq!(primary.principal_of(&caller.last_id()), tenant);
    }
    let state = primary.state.borrow();
    let principals = state.opened_for.iter().map(String::as_str);
    // Leave out the connections that the gateway opened for its own position requests.
    let principals: Vec<&str> = principals.filter(|principal| *principal != "g0").collect();
    assert_eq!(principals, ["alfa", "beta"], "two keys of a tenant share its connections");
}

#[actix_rt::test]
async fn the_gateway_that_holds_the_connections_tells_the_tenant_too() {
    let primary = primary().await;
    let world = World::with_tenants(&[&primary], 2, ONE_SHARE, TENANTS);
    let other = 1 - world.holder_of(&primary);
    let mut caller = Caller::start(world.gateways[other], LINEARIZABLE, "key-c").await;
    assert!(caller.query("write x").await.is_success());
    assert_eq!(primary.principal_of(&caller.last_id()), "beta");
    assert!(caller.query("begin").await.is_success());
    assert!(caller.query("write y").await.is_success());
    assert_eq!(primary.principal_of(&caller.last_id()), "beta");
}

#[actix_rt::test]
async fn a_connection_of_another_tenant_is_closed_to_make_room() {
    let primary = primary().await;
    // Two of the three connections are reserved for control.
    let world = World::with_tenants(&[&primary], 1, 3, TENANTS);
    let mut first = Caller::start(world.gateways[0], LINEARIZABLE, "key-a").await;
    let mut second = Caller::start(world.gateways[0], LINEARIZABLE, "key-c").await;
    for _ in 0..3 {
        assert!(first.query("write x").await.is_success());
        assert_eq!(primary.principal_of(&first.last_id()), "alfa");
        assert!(second.query("write x").await.is_success());
        assert_eq!(primary.principal_of(&second.last_id()), "beta");
    }
}

#[actix_rt::test]
async fn a_key_that_moves_to_another_tenant_is_served_as_that_tenant() {
    let primary = primary().await;
    let world = World::with_tenants(&[&primary], 1, 36, TENANTS);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "key-b").await;
    assert!(caller.query("write x").await.is_success());
    world.change_tenants(&[("alfa", &["key-a"]), ("beta", &["key-c", "key-b"])]);
    assert!(caller.query("write x").await.is_success());
    assert_eq!(primary.principal_of(&caller.last_id()), "beta");
}

#[actix_rt::test]
async fn a_removed_key_ends_the_session_at_its_next_operation() {
    let primary = primary().await;
    let world = World::with_tenants(&[&primary], 1, 36, TENANTS);
    let mut open_session = Caller::start(world.gateways[0], LINEARIZABLE, "key-b").await;
    let mut idle_session = Caller::start(world.gateways[0], LINEARIZABLE, "key-b").await;
    assert!(open_session.query("begin").await.is_success());
    assert!(open_session.query("write x").await.is_success());
    world.change_tenants(&[("alfa", &["key-a"]), ("beta", &["key-c"])]);
    assert_eq!(idle_session.query("write y").await.code(), "unauth");
    assert!(idle_session.closes_silently().await);
    // A transaction in progress ends with the tenant that began it.
    assert!(open_session.query("write z").await.is_success());
    assert!(open_session.query("commit").await.is_success());
    assert_eq!(open_session.query("begin").await.code(), "unauth");
    assert!(open_session.closes_silently().await);
    assert_eq!(primary.texts(), ["write x", "write z", "commit"]);
}

#[actix_rt::test]
async fn a_public_route_requires_no_key() {
    let primary = primary().await;
    let world = World::with_tenants(&[&primary], 1, 36, TENANTS);
    world.make_public(BOUNDED, true);
    let mut caller = Caller::start(world.gateways[0], BOUNDED, "key-x").await;
    assert!(caller.query("read x").await.is_success());
    assert_eq!(primary.principal_of(&caller.last_id()), "g0");
    world.make_public(BOUNDED, false);
    assert_eq!(caller.query("read x").await.code(), "unauth");
    assert!(caller.closes_silently().await);
}

#[actix_rt::test]
async fn all_gateways_use_the_same_connection_of_a_tenant() {
    let primary = primary().await;
    // With 36 connections, each gateway holds a share of the member.
    let world = World::with_tenants(&[&primary], 3, 36, TENANTS);
    for key in ["key-a", "key-c"] {
        for gateway in &world.gateways {
            let mut caller = Caller::start(*gateway, LINEARIZABLE, key).await;
            assert!(caller.query("write x").await.is_success());
        }
    }
    let state = primary.state.borrow();
    let opened =
        |tenant: &str| state.opened_for.iter().filter(|principal| *principal == tenant).count();
    assert_eq!((opened("alfa"), opened("beta")), (1, 1));
}

#[actix_rt::test]
async fn another_gateway_serves_tenants_of_a_home_that_is_gone() {
    let primary = primary().await;
    // Nobody listens at these addresses, so that a tenant whose home is there has to be served by this
    // gateway.
    let gone = ["127.0.0.1:1", "127.0.0.1:2"].map(|address| address.parse().expect("an address"));
    let world = World::with_tenants_and_listed_gateways(&[&primary], &gone, TENANTS);
    for key in ["key-a", "key-c"] {
        let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, key).await;
        caller.until_served("write x").await;
    }
}

#[actix_rt::test]
async fn nothing_begins_without_a_recent_confirmation_where_one_is_required() {
    let primary = primary().await;
    let limit = Duration::from_millis(300);
    let world = World::with_confirmations(&[&primary], TENANTS, limit);
    let refused = Caller::refused(world.gateways[0], LINEARIZABLE, "key-a").await;
    assert!(refused[0].starts_with("error|busy|not run"), "{refused:?}");
    world.confirmation.send_replace(Some(Instant::now()));
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "key-a").await;
    assert!(caller.query("begin").await.is_success());
    assert!(caller.query("write x").await.is_success());
    tokio::time::sleep(limit).await;
    // A transaction in progress may still end.
    assert!(caller.query("commit").await.is_success());
    assert_eq!(caller.query("write y").await.code(), "busy");
    world.confirmation.send_replace(Some(Instant::now()));
    assert!(caller.query("write z").await.is_success());
    assert_eq!(primary.texts(), ["write x", "commit", "write z"]);
}

#[actix_rt::test]
async fn the_last_configuration_stays_in_force_without_contact_to_control() {
    let primary = primary().await;
    let world = World::with_tenants(&[&primary], 1, 36, TENANTS);
    assert_eq!(*world.confirmation.borrow(), None);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "key-a").await;
    assert!(caller.query("write x").await.is_success());
}
