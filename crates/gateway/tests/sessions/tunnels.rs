//! Tests that gateways without connections to a member use those of other gateways.

use crate::caller::Caller;
use crate::member::Member;
use crate::world::{BOUNDED, LINEARIZABLE, ONE_SHARE, OWN_WRITES, World};
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::tenancy::Principal;
use corktack_protocol::frame::FrameCodec;
use corktack_protocol::tunnel::{TunnelReply, TunnelRequest};
use futures_util::{SinkExt, StreamExt};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

#[actix_rt::test]
async fn every_gateway_serves_though_one_holds_the_connections() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 6, ONE_SHARE);
    for gateway in &world.gateways {
        let mut caller = Caller::start(*gateway, LINEARIZABLE, "a").await;
        assert!(caller.query("write x").await.is_success());
        assert_eq!(caller.query("read x").await.lines, ["row|of m1", "complete|by-m1"]);
    }
    assert!(primary.state.borrow().open <= ONE_SHARE as usize);
}

#[actix_rt::test]
async fn session_values_and_transactions_work_through_a_tunnel() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 3, ONE_SHARE);
    for (gateway, name) in world.gateways.iter().zip(["a", "b", "c"]) {
        let mut caller = Caller::start(*gateway, LINEARIZABLE, name).await;
        caller.query(&format!("set owner {name}")).await;
        caller.query("begin").await;
        assert!(caller.query("write x").await.is_success());
        assert!(caller.query("commit").await.is_success());
        let texts = primary.on_connection_of(&caller.last_id());
        let set = texts.iter().rev().find(|text| text.starts_with("set owner"));
        assert_eq!(set, Some(&format!("set owner {name}")));
        assert_eq!(&texts[texts.len() - 3..], ["begin", "write x", "commit"]);
    }
}

#[actix_rt::test]
async fn a_lost_answer_is_in_doubt_through_a_tunnel_as_well() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 3, ONE_SHARE);
    for gateway in &world.gateways {
        let mut caller = Caller::start(*gateway, OWN_WRITES, "a").await;
        primary.state.borrow_mut().answers_to_lose = 1;
        assert_eq!(caller.query("write x").await.code(), "indoubt");
        assert!(caller.query("write y").await.is_success());
    }
    let lost = primary.texts().iter().filter(|text| *text == "write x").count();
    assert_eq!(lost, 3, "each write was sent once");
}

#[actix_rt::test]
async fn a_primary_that_a_gateway_does_not_reach_is_used_through_others() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let mut world = World::with_cut(&[&primary, &replica], 3, &primary);
    let mut caller = Caller::start(world.gateways[0], LINEARIZABLE, "a").await;
    assert!(caller.query("write x").await.is_success());
    assert_eq!(caller.query("read x").await.lines, ["row|of m1", "complete|by-m1"]);
    caller.query("begin").await;
    assert!(caller.query("write y").await.is_success());
    assert!(caller.query("commit").await.is_success());
    assert_eq!(primary.texts(), ["write x", "read x", "write y", "commit"]);
    let report = world.reach.recv().await.expect("the gateways run");
    assert_eq!((report.member.as_str(), report.reached), ("m1", false), "control gets a report");
}

#[actix_rt::test]
async fn reads_stay_at_the_replica_while_the_primary_is_reached_through_others() {
    let primary = Member::start("m1", true, "1.5").await;
    let replica = Member::start("m2", false, "1.5").await;
    let world = World::with_cut(&[&primary, &replica], 3, &primary);
    let mut caller = Caller::start(world.gateways[0], BOUNDED, "a").await;
    // The first read needs a position of the primary.
    assert!(caller.query("read x").await.is_success());
    for _ in 0..3 {
        assert_eq!(caller.query("read x").await.lines, ["row|of m2", "complete|by-m2"]);
    }
}

#[actix_rt::test]
async fn a_session_sees_its_own_write_through_another_gateway_however_far_replicas_lag() {
    let primary = Member::start("m1", true, "1.5").await;
    let behind = Member::start("m2", false, "1.5").await;
    let world = World::start(&[&primary, &behind], 3, ONE_SHARE);
    for (gateway, name) in world.gateways.iter().zip(["a", "b", "c"]) {
        let mut caller = Caller::start(*gateway, OWN_WRITES, name).await;
        assert!(caller.query("read x").await.is_success());
        assert!(caller.query("write x").await.is_success());
        for _ in 0..3 {
            assert_eq!(caller.query("read x").await.lines, ["row|of m1", "complete|by-m1"]);
        }
    }
}

#[actix_rt::test]
async fn prepared_statements_run_through_another_gateway_under_its_names() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 3, ONE_SHARE);
    for (gateway, name) in world.gateways.iter().zip(["a", "b", "c"]) {
        let mut caller = Caller::start(*gateway, LINEARIZABLE, name).await;
        caller.query(&format!("prepare s of-{name}")).await;
        assert!(caller.query("execute s 7").await.is_success());
        let texts = primary.on_connection_of(&caller.last_id());
        let executed = texts.last().and_then(|text| text.split(' ').nth(1)).expect("a name");
        let prepared = texts
            .iter()
            .rev()
            .find_map(|text| text.strip_prefix(&format!("prepare {executed} ")).map(str::to_owned));
        assert_eq!(prepared, Some(format!("of-{name}")));
    }
}

#[actix_rt::test]
async fn metrics_show_where_statements_ran() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::start(&[&primary], 3, ONE_SHARE);
    for gateway in &world.gateways {
        let mut caller = Caller::start(*gateway, LINEARIZABLE, "a").await;
        assert!(caller.query("write x").await.is_success());
    }
    let all: Vec<String> = (0..3).map(|gateway| world.metrics_text(gateway)).collect();
    let count = |line: &str| all.iter().filter(|text| text.contains(line)).count();
    assert_eq!(count("corktack_gateway_statements_total{outcome=\"done\"} 1"), 3);
    assert_eq!(count("corktack_gateway_elsewhere_total{outcome=\"served\"} 1"), 2);
    assert_eq!(count("corktack_gateway_wait_seconds_count 3"), 1, "all waits were at the holder");
    assert_eq!(count("corktack_gateway_document_version 1"), 3);
    assert_eq!(count("corktack_gateway_told_positions_total{outcome=\"used\"} 1"), 2);
}

/// Guards against leaked connections: a gateway borrows a connection and then sends nothing, as if its
/// process had been killed.
#[actix_rt::test]
async fn a_connection_lent_to_a_gateway_that_is_silent_is_reclaimed() {
    let primary = Member::start("m1", true, "1.5").await;
    let world = World::with_short_idle_limit(&[&primary]);
    let stream = TcpStream::connect(world.peers[0]).await.expect("the gateway listens");
    let mut tunnel: Framed<_, FrameCodec<TunnelRequest, TunnelReply>> =
        Framed::new(stream, FrameCodec::default());
    let acquire = TunnelRequest::Acquire {
        group: GroupName::new("calls").expect("a valid name"),
        member: MemberName::new("m1").expect("a valid name"),
        principal: Principal::Anonymous,
        priority: 1,
        wait: Duration::from_secs(5),
        bound: None,
    };
    tunnel.send(acquire).await.expect("the gateway reads");
    let granted = tunnel.next().await.expect("an answer").expect("a reply");
    assert!(matches!(granted, TunnelReply::Granted { .. }), "{granted:?}");
    let ended = tokio::time::timeout(Duration::from_secs(5), tunnel.next()).await;
    assert!(ended.expect("in time").is_none(), "the tunnel is closed");
}
