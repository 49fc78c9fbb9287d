//! Statements that go through the gateways that hold the connections to a member, also when these don't
//! answer.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{BOUNDED, LINEARIZABLE, ONE_SHARE, OWN_WRITES, SHORT_WAIT, World};
use futures_util::future::join_all;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Number of other gateways; more than a gateway asks for one statement.
const OTHERS: usize = 5;

/// Returns an address where nobody listens.
pub fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener.local_addr().expect("a bound listener has an address")
}

/// Returns an address where tunnels are accepted and never answered, as by a suspended process.
async fn silent_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound listener has an address");
    actix_rt::spawn(async move {
        let mut accepted: Vec<TcpStream> = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            accepted.push(stream);
        }
    });
    address
}

/// Starts a primary whose connections another gateway than the first holds.
async fn primary_held_by_another(others: &[SocketAddr]) -> (Member, World) {
    for number in 1..50 {
        let primary = Member::start(&format!("m{number}"), true, "1.5").await;
        let world = World::with_listed_gateways(&[&primary], others, ONE_SHARE);
        if world.holder_of(&primary) != 0 {
            return (primary, world);
        }
    }
    panic!("the first of six gateways holds the connections to all of fifty members");
}

#[rstest]
#[case::linearizable(LINEARIZABLE)]
#[case::bounded(BOUNDED)]
#[case::own_writes(OWN_WRITES)]
#[actix_rt::test]
async fn a_gateway_opens_its_own_connections_if_no_holder_listens(#[case] route: &str) {
    let others: Vec<_> = (0..OTHERS).map(|_| unused_address()).collect();
    let (primary, world) = primary_held_by_another(&others).await;
    let mut caller = Caller::start(world.gateways[0], route, "a").await;
    assert!(caller.query("read x").await.is_success());
    assert!(caller.query("write x").await.is_success());
    assert!(caller.query("begin").await.is_success());
    assert!(caller.query("read x").await.is_success());
    assert!(caller.query("commit").await.is_success());
    assert_eq!(primary.texts(), ["read x", "write x", "read x", "commit"]);
}

#[rstest]
#[case::linearizable(LINEARIZABLE)]
#[case::bounded(BOUNDED)]
#[actix_rt::test]
async fn a_read_is_served_although_all_holders_are_silent(#[case] route: &str) {
    let mut others = Vec::new();
    for _ in 0..OTHERS {
        others.push(silent_address().await);
    }
    let (primary, world) = primary_held_by_another(&others).await;
    let mut caller = Caller::start(world.gateways[0], route, "a").await;
    assert!(caller.query("read x").await.is_success());
    assert_eq!(primary.texts(), ["read x"]);
}

#[actix_rt::test]
async fn a_transaction_begins_although_all_holders_are_silent() {
    let mut others = Vec::new();
    for _ in 0..OTHERS {
        others.push(silent_address().await);
    }
    let (primary, world) = primary_held_by_another(&others).await;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("begin").await.is_success());
    assert!(caller.query("write x").await.is_success());
    assert!(caller.query("commit").await.is_success());
    assert_eq!(primary.texts(), ["write x", "commit"]);
}

/// Time of a statement that is longer than a holder may be silent; the holder sends heartbeats meanwhile.
const LONG_STATEMENT: Duration = Duration::from_millis(900);

#[rstest]
#[case::alone(&["read x"])]
#[case::in_a_transaction(&["begin", "read x", "commit"])]
#[actix_rt::test]
async fn a_long_statement_is_waited_for_through_another_gateway(#[case] texts: &[&str]) {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 3, ONE_SHARE);
    let non_holder = (0..3).find(|index| *index != world.holder_of(&primary));
    let gateway = world.gateways[non_holder.expect("one of three gateways holds the connections")];
    let mut caller = Caller::start(gateway, LINEARIZABLE, "a").await;
    assert!(caller.query("read y").await.is_success());
    primary.state.borrow_mut().statement_time = LONG_STATEMENT;
    for text in texts {
        assert!(caller.query(text).await.is_success(), "{text}");
    }
    assert_eq!(primary.texts().iter().filter(|text| *text == "read x").count(), 1);
}

/// A holder that has just started learns from control what it holds; the gateway that asks waits for that.
#[actix_rt::test]
async fn a_gateway_waits_for_a_holder_without_a_document() {
    let (primary, world) = primary_held_by_the_first().await;
    let mut caller = Caller::start(world.gateways[1], LINEARIZABLE, "a").await;
    let telling = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        world.send_view_to_first();
    };
    let (answered, ()) = tokio::join!(caller.query("write x"), telling);
    assert!(answered.is_success());
    assert_eq!(primary.texts(), ["write x"]);
    let served = "corktack_gateway_elsewhere_total{outcome=\"served\"} 1";
    assert!(world.metrics_text(1).contains(served), "{}", world.metrics_text(1));
}

/// Starts a primary whose connections the first gateway holds, which has no document yet.
async fn primary_held_by_the_first() -> (Member, World) {
    for number in 1..50 {
        let primary = Member::start(&format!("m{number}"), true, "1.5").await;
        let world = World::with_first_unconfigured(&[&primary], 3, ONE_SHARE);
        if world.holder_of(&primary) == 0 {
            return (primary, world);
        }
    }
    panic!("the first of three gateways holds the connections to none of fifty members");
}

/// Each of three holders has at most four statements in flight at a member that runs three at once; the
/// others wait at the gateway, which serves them by priority.
#[actix_rt::test]
async fn a_gateway_limits_its_statements_in_flight_at_a_member() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 3, 36);
    let mut callers = Vec::new();
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        callers.push(Caller::start(world.gateways[0], LINEARIZABLE, name).await);
    }
    primary.state.borrow_mut().statement_time = Duration::from_millis(30);
    let answers = join_all(callers.iter_mut().map(|caller| caller.query("write x"))).await;
    assert!(answers.iter().all(|answered| answered.is_success()), "{answers:?}");
    assert_eq!(primary.state.borrow().most_running, 4);
}

/// Longer than a gateway keeps its fallback connections.
const FALLBACK_PERIOD: Duration = Duration::from_millis(2_600);

#[actix_rt::test]
async fn a_gateway_closes_its_fallback_connections_after_a_while() {
    let others: Vec<_> = (0..OTHERS).map(|_| unused_address()).collect();
    let (primary, world) = primary_held_by_another(&others).await;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("write x").await.is_success());
    assert!(primary.state.borrow().open > 0);
    tokio::time::sleep(FALLBACK_PERIOD).await;
    assert_eq!(primary.state.borrow().open, 0);
}

#[actix_rt::test]
async fn a_gateway_that_loses_its_share_closes_its_connections() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 3, 36);
    let mut callers = Vec::new();
    for gateway in &world.gateways {
        callers.push(Caller::start(*gateway, LINEARIZABLE, "a").await);
    }
    for caller in &mut callers {
        assert!(caller.query("write x").await.is_success());
    }
    assert!(primary.state.borrow().open >= 3);
    // With one share, one gateway holds connections; two of the connections are reserved for control.
    world.change_connections(ONE_SHARE);
    let holder = world.holder_of(&primary);
    assert!(callers[holder].query("write x").await.is_success());
    let kept = ONE_SHARE as usize - 2;
    let closed = async {
        while primary.state.borrow().open > kept {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(LONG_STATEMENT, closed).await.expect("closed in time");
    let mut other = Caller::start(world.gateways[(holder + 1) % 3], LINEARIZABLE, "b").await;
    assert!(other.query("write y").await.is_success());
    assert!(primary.state.borrow().open <= kept);
}

#[actix_rt::test]
async fn a_full_member_causes_no_fallback_connections() {
    let primary = Member::start("m1", true, "1.5").await;
    primary.state.borrow_mut().connection_limit = 0;
    let world = World::start(&[&primary], 3, ONE_SHARE);
    let holder = world.holder_of(&primary);
    let mut caller = Caller::start(world.gateways[(holder + 1) % 3], SHORT_WAIT, "a").await;
    for _ in 0..3 {
        assert_eq!(caller.query("write x").await.code(), "busy");
    }
    let opened_for = primary.state.borrow().refused_for.clone();
    assert!(opened_for.iter().all(|gateway| *gateway == format!("g{holder}")), "{opened_for:?}");
}
