//! Gateways that hold the connections to a member, and what becomes of statements when they do not
//! answer.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{BOUNDED, HASTY, LINEARIZABLE, ONE_SHARE, OWN_WRITES, World};
use futures_util::future::join_all;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Other gateways: more than one gateway asks for one statement.
const OTHERS: usize = 5;

/// Where nobody listens.
pub fn dead() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener.local_addr().expect("a bound listener has an address")
}

/// Where tunnels are accepted and never answered, as by a process that stands still.
async fn silent() -> SocketAddr {
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

/// A primary that another gateway holds the connections to.
async fn primary_held_elsewhere(others: &[SocketAddr]) -> (Member, World) {
    for number in 1..50 {
        let primary = Member::start(&format!("m{number}"), true, "1.5").await;
        let world = World::among(&[&primary], others, ONE_SHARE);
        if world.holder_of(&primary) != 0 {
            return (primary, world);
        }
    }
    panic!("one of six gateways holds the connections to fifty members");
}

#[rstest]
#[case::linearizable(LINEARIZABLE)]
#[case::bounded(BOUNDED)]
#[case::own_writes(OWN_WRITES)]
#[actix_rt::test]
async fn a_gateway_opens_its_own_connections_where_nobody_listens(#[case] route: &str) {
    let others: Vec<_> = (0..OTHERS).map(|_| dead()).collect();
    let (primary, world) = primary_held_elsewhere(&others).await;
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
async fn a_read_goes_on_without_a_holder_that_gives_no_sign(#[case] route: &str) {
    let mut others = Vec::new();
    for _ in 0..OTHERS {
        others.push(silent().await);
    }
    let (primary, world) = primary_held_elsewhere(&others).await;
    let mut caller = Caller::start(world.gateways[0], route, "a").await;
    assert!(caller.query("read x").await.is_success());
    assert_eq!(primary.texts(), ["read x"]);
}

#[actix_rt::test]
async fn a_transaction_begins_without_a_holder_that_gives_no_sign() {
    let mut others = Vec::new();
    for _ in 0..OTHERS {
        others.push(silent().await);
    }
    let (primary, world) = primary_held_elsewhere(&others).await;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("begin").await.is_success());
    assert!(caller.query("write x").await.is_success());
    assert!(caller.query("commit").await.is_success());
    assert_eq!(primary.texts(), ["write x", "commit"]);
}

/// Longer than a holder may be silent: it says that it is at work.
const LONG_WORK: Duration = Duration::from_millis(900);

#[rstest]
#[case::alone(&["read x"])]
#[case::in_a_transaction(&["begin", "read x", "commit"])]
#[actix_rt::test]
async fn long_work_is_waited_for_through_another_gateway(#[case] texts: &[&str]) {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 3, ONE_SHARE);
    let elsewhere = (0..3).find(|place| *place != world.holder_of(&primary));
    let gateway = world.gateways[elsewhere.expect("one of three gateways holds the connections")];
    let mut caller = Caller::start(gateway, LINEARIZABLE, "a").await;
    assert!(caller.query("read y").await.is_success());
    primary.state.borrow_mut().work = LONG_WORK;
    for text in texts {
        assert!(caller.query(text).await.is_success(), "{text}");
    }
    assert_eq!(primary.texts().iter().filter(|text| *text == "read x").count(), 1);
}

/// A gateway that just started knows what it holds as soon as control has told it.
#[actix_rt::test]
async fn a_holder_without_a_document_is_waited_for() {
    let (primary, world) = primary_held_by_the_first().await;
    let mut caller = Caller::start(world.gateways[1], LINEARIZABLE, "a").await;
    let telling = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        world.tell_first();
    };
    let (answered, ()) = tokio::join!(caller.query("write x"), telling);
    assert!(answered.is_success());
    assert_eq!(primary.texts(), ["write x"]);
    let served = "corktack_gateway_elsewhere_total{outcome=\"served\"} 1";
    assert!(world.figures(1).contains(served), "{}", world.figures(1));
}

async fn primary_held_by_the_first() -> (Member, World) {
    for number in 1..50 {
        let primary = Member::start(&format!("m{number}"), true, "1.5").await;
        let world = World::with_first_untold(&[&primary], 3, ONE_SHARE);
        if world.holder_of(&primary) == 0 {
            return (primary, world);
        }
    }
    panic!("the first of three gateways holds the connections to one of fifty members");
}

/// Three gateways hold the connections; a member that runs three statements at once gets four from each
/// of them, and the rest waits where it is served by priority.
#[actix_rt::test]
async fn a_gateway_has_few_statements_under_way_at_a_member() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 3, 36);
    let mut callers = Vec::new();
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        callers.push(Caller::start(world.gateways[0], LINEARIZABLE, name).await);
    }
    primary.state.borrow_mut().work = Duration::from_millis(30);
    let answers = join_all(callers.iter_mut().map(|caller| caller.query("write x"))).await;
    assert!(answers.iter().all(|answered| answered.is_success()), "{answers:?}");
    assert_eq!(primary.state.borrow().most_running, 4);
}

/// Longest that a gateway which stands in keeps connections of its own.
const STAND_IN: Duration = Duration::from_millis(2_600);

#[actix_rt::test]
async fn a_gateway_that_stood_in_closes_its_connections() {
    let others: Vec<_> = (0..OTHERS).map(|_| dead()).collect();
    let (primary, world) = primary_held_elsewhere(&others).await;
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("write x").await.is_success());
    assert!(primary.state.borrow().open > 0);
    tokio::time::sleep(STAND_IN).await;
    assert_eq!(primary.state.borrow().open, 0);
}

#[actix_rt::test]
async fn a_gateway_that_holds_no_share_any_longer_closes_its_connections() {
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
    // One share: one holder, and two of the connections are left to control.
    world.change_connections(ONE_SHARE);
    let holder = world.holder_of(&primary);
    assert!(callers[holder].query("write x").await.is_success());
    let kept = ONE_SHARE as usize - 2;
    let closed = async {
        while primary.state.borrow().open > kept {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(LONG_WORK, closed).await.expect("closed in time");
    let mut other = Caller::start(world.gateways[(holder + 1) % 3], LINEARIZABLE, "b").await;
    assert!(other.query("write y").await.is_success());
    assert!(primary.state.borrow().open <= kept);
}

#[actix_rt::test]
async fn a_member_that_takes_no_more_connections_is_no_reason_to_stand_in() {
    let primary = Member::start("m1", true, "1.5").await;
    primary.state.borrow_mut().connection_limit = 0;
    let world = World::start(&[&primary], 3, ONE_SHARE);
    let holder = world.holder_of(&primary);
    let mut caller = Caller::start(world.gateways[(holder + 1) % 3], HASTY, "a").await;
    for _ in 0..3 {
        assert_eq!(caller.query("write x").await.code(), "busy");
    }
    let opened_for = primary.state.borrow().refused_for.clone();
    assert!(opened_for.iter().all(|who| *who == format!("g{holder}")), "{opened_for:?}");
}
