//! Changes of primary, changes of owner, and the drain of the proxy.
#![allow(clippy::unwrap_used)]

mod support;

use corktack_core::identity::ProxyName;
use corktack_core::position::Term;
use corktack_protocol::control::MemberHealth;
use corktack_protocol::peer::{
    EdgeMessage, Failure, NotRunReason, OwnerMessage, ServedBy, StreamId, TransactionStatus,
};
use rstest::rstest;
use std::net::TcpListener;
use support::Fleet;
use support::edge::{query, request};

/// Number of owners that are started and drained, as one drain may happen to end in time.
const DRAINS: usize = 20;

#[rstest]
#[actix_rt::test]
async fn writes_refused_by_a_fenced_primary_wait_for_the_new_one() {
    let mut fleet = Fleet::start(2, 20).await;
    let mut edge = fleet.edge().await;
    fleet.wait_for_replicas().await;
    fleet.members[0].set_replica(2);
    assert_eq!(fleet.observations.recv().await.unwrap().health, MemberHealth::Replica(Term(2)));
    let mut streams = Vec::new();
    for number in 0..6 {
        streams.push(edge.write(&format!("write w{number}")).await);
    }
    // The writes that were sent are refused and wait again, together with all others.
    fleet.wait_for_metric("corktack_owner_queue_length{group=\"calls\"} 6").await;
    fleet.promote(1, 2);
    for stream in streams {
        let answer = edge.answer(stream).await;
        assert_eq!(answer.ready, Some((TransactionStatus::Idle, ServedBy::Primary)));
    }
    assert!(fleet.members[0].script().written.is_empty());
    assert_eq!(fleet.members[1].script().written.len(), 6);
}

#[rstest]
#[actix_rt::test]
async fn writes_wait_while_the_group_has_no_primary() {
    let fleet = Fleet::start(2, 20).await;
    let mut edge = fleet.edge().await;
    fleet.change_group(|group| group.primary = None);
    fleet.wait_for_view(&mut edge).await;
    let stream = edge.write("write a").await;
    fleet.promote(2, 2);
    assert!(edge.answer(stream).await.ready.is_some());
    assert_eq!(fleet.members[2].script().written, ["a"]);
}

#[rstest]
#[case::autocommit(None, "hold", Failure::Unknown)]
#[case::open(Some("BEGIN"), "hold", Failure::TransactionLost)]
#[case::committing(Some("BEGIN"), "hold COMMIT", Failure::Unknown)]
#[actix_rt::test]
async fn work_in_flight_on_a_replaced_primary_ends_at_once(
    #[case] first: Option<&str>,
    #[case] text: &str,
    #[case] expected: Failure,
) {
    let fleet = Fleet::start(1, 20).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write(first.unwrap_or(text)).await;
    if first.is_some() {
        edge.answer(stream).await;
        edge.batch(stream, text).await;
    }
    fleet.members[0].wait_for_statement(text, 1).await;
    fleet.promote(1, 2);
    assert_eq!(edge.answer(stream).await.failure, Some(expected));
    let next = edge.write("write next").await;
    edge.answer(next).await;
    assert_eq!(fleet.members[1].script().written, ["next"]);
}

#[rstest]
#[actix_rt::test]
async fn an_open_transaction_on_a_replaced_primary_is_lost_without_a_further_batch() {
    let fleet = Fleet::start(1, 20).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("BEGIN").await;
    edge.answer(stream).await;
    fleet.promote(1, 2);
    assert_eq!(edge.answer(stream).await.failure, Some(Failure::TransactionLost));
}

#[rstest]
#[actix_rt::test]
async fn a_draining_primary_finishes_open_transactions_and_gets_no_new_ones() {
    let fleet = Fleet::start(2, 20).await;
    let mut edge = fleet.edge().await;
    let open = edge.write("BEGIN").await;
    edge.answer(open).await;
    fleet.change_group(|group| {
        let leaving = group.spec.members[0].name.clone();
        group.draining.insert(leaving);
    });
    fleet.wait_for_view(&mut edge).await;
    let waiting = edge.write("write next").await;
    fleet.wait_for_metric("corktack_owner_queue_length{group=\"calls\"} 1").await;
    for text in ["write last", "COMMIT"] {
        edge.batch(open, text).await;
        edge.answer(open).await;
    }
    fleet.promote(1, 2);
    assert!(edge.answer(waiting).await.ready.is_some());
    assert_eq!(fleet.members[0].script().written, ["last"]);
    assert_eq!(fleet.members[1].script().written, ["next"]);
}

#[rstest]
#[actix_rt::test]
async fn a_proxy_that_lost_a_group_refuses_new_streams_and_finishes_open_ones() {
    let fleet = Fleet::start(2, 20).await;
    let mut edge = fleet.edge().await;
    let open = edge.write("BEGIN").await;
    edge.answer(open).await;
    fleet.change_group(|group| group.owner = Some(ProxyName::new("proxy-9").unwrap()));
    fleet.wait_for_view(&mut edge).await;
    let refused = edge.write("write a").await;
    let failure = edge.answer(refused).await.failure.unwrap();
    assert!(matches!(failure, Failure::NotRun { reason: NotRunReason::NotOwner, .. }));
    edge.batch(open, "COMMIT").await;
    assert_eq!(edge.answer(open).await.ready.unwrap().0, TransactionStatus::Idle);
}

#[rstest]
#[actix_rt::test]
async fn a_drain_refuses_new_streams_and_finishes_open_ones() {
    let fleet = Fleet::start(2, 20).await;
    let mut edge = fleet.edge().await;
    let open = edge.write("BEGIN").await;
    edge.answer(open).await;
    let drain = actix_rt::spawn(fleet.owner.drain());
    while edge.receive().await.unwrap() != OwnerMessage::Stopping {}
    let refused = edge.write("write a").await;
    let failure = edge.answer(refused).await.failure.unwrap();
    assert!(matches!(failure, Failure::NotRun { reason: NotRunReason::Stopping, .. }));
    edge.batch(open, "COMMIT").await;
    assert_eq!(edge.answer(open).await.tags, ["COMMIT"]);
    drain.await.unwrap();
    assert_eq!(edge.receive().await, None);
}

/// Guards against a proxy that cannot start again at once: the task that accepts links may end later than the
/// drain.
#[actix_rt::test]
async fn a_drained_owner_has_freed_its_port() {
    for _ in 0..DRAINS {
        let fleet = Fleet::start(2, 20).await;
        let address = fleet.owner.address();
        fleet.owner.drain().await;
        drop(TcpListener::bind(address).expect("the port is free"));
    }
}

#[rstest]
#[actix_rt::test]
async fn a_corrupted_frame_closes_the_link_and_rolls_back() {
    let fleet = Fleet::start(2, 20).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("BEGIN").await;
    edge.answer(stream).await;
    edge.send_raw(&[1, 0, 0, 0, 0, 0, 0, 1, 9, 9, 9, 9, 0]).await;
    assert_eq!(edge.receive().await, None);
    fleet.members[0].wait_for_statement("ROLLBACK", 1).await;
}

#[rstest]
#[actix_rt::test]
async fn a_stream_id_that_does_not_rise_closes_the_link() {
    let fleet = Fleet::start(2, 20).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("write a").await;
    edge.answer(stream).await;
    let access = corktack_protocol::peer::Access::Write;
    let again = Box::new(request(access, query("write b")));
    edge.send(EdgeMessage::Open { stream: StreamId(stream.0), request: again }).await;
    assert_eq!(edge.receive().await, None);
    assert_eq!(fleet.members[0].script().written, ["a"]);
}

#[rstest]
#[actix_rt::test]
async fn health_is_reported_on_change_only() {
    let mut fleet = Fleet::start(2, 20).await;
    let mut seen = std::collections::BTreeMap::new();
    for _ in 0..3 {
        let observation = fleet.observations.recv().await.unwrap();
        seen.insert(observation.member.to_string(), observation.health);
    }
    assert_eq!(seen["m1"], MemberHealth::Primary(Term(1)));
    assert_eq!(seen["m2"], MemberHealth::Replica(Term(1)));
    fleet.members[2].freeze(true);
    let observation = fleet.observations.recv().await.unwrap();
    assert_eq!(observation.member.as_str(), "m3");
    assert_eq!(observation.health, MemberHealth::Unreachable);
}
