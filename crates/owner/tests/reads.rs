//! Routing of reads: replicas, session positions, barriers.
#![allow(clippy::unwrap_used)]

mod support;

use corktack_core::position::{Position, Term};
use corktack_protocol::peer::ServedBy;
use rstest::rstest;
use support::Fleet;

fn at(index: u64) -> Option<Position> {
    Some(Position { term: Term(1), index })
}

async fn fleet_at(primary: u64, replicas: u64) -> Fleet {
    let mut fleet = Fleet::start(2, 20).await;
    fleet.members[0].script().index = primary;
    for replica in &fleet.members[1..] {
        replica.script().index = replicas;
    }
    fleet.wait_for_replicas().await;
    fleet
}

#[rstest]
#[actix_rt::test]
async fn a_replica_that_holds_the_session_position_serves_the_read() {
    let fleet = fleet_at(5, 5).await;
    let mut edge = fleet.edge().await;
    let stream = edge.read("read", at(5)).await;
    let answer = edge.answer(stream).await;
    assert_eq!(answer.ready.unwrap().1, ServedBy::Replica);
    assert_eq!(answer.positions, [at(5).unwrap()]);
    assert_eq!(fleet.members[0].script().barriers, 0);
}

#[rstest]
#[actix_rt::test]
async fn a_read_goes_to_the_primary_when_all_replicas_are_behind() {
    let fleet = fleet_at(5, 4).await;
    let mut edge = fleet.edge().await;
    let stream = edge.read("read", at(5)).await;
    let answer = edge.answer(stream).await;
    assert_eq!(answer.ready.unwrap().1, ServedBy::Primary);
    assert_eq!(answer.rows, ["m1"]);
}

#[rstest]
#[actix_rt::test]
async fn a_read_of_a_session_without_position_waits_for_a_barrier() {
    let fleet = fleet_at(7, 7).await;
    let mut edge = fleet.edge().await;
    let stream = edge.read("read", None).await;
    let answer = edge.answer(stream).await;
    assert_eq!(answer.positions[0], at(7).unwrap());
    assert_eq!(answer.ready.unwrap().1, ServedBy::Replica);
    assert_eq!(fleet.members[0].script().barriers, 1);
}

#[rstest]
#[actix_rt::test]
async fn an_answer_below_the_session_position_is_not_forwarded() {
    let fleet = fleet_at(5, 5).await;
    for replica in &fleet.members[1..] {
        replica.script().read_index = Some(4);
    }
    let mut edge = fleet.edge().await;
    let stream = edge.read("read", at(5)).await;
    let answer = edge.answer(stream).await;
    assert_eq!(answer.rows, ["m1"]);
    assert_eq!(answer.positions, [at(5).unwrap()]);
    assert_eq!(answer.ready.unwrap().1, ServedBy::Primary);
}

#[rstest]
#[actix_rt::test]
async fn a_read_on_a_primary_not_known_to_cover_its_position_waits_for_a_barrier() {
    let fleet = fleet_at(5, 5).await;
    let mut edge = fleet.edge().await;
    // The primary is not known to cover position 9, so a barrier must confirm a position first.
    let stream = edge.read("read", at(9)).await;
    edge.answer(stream).await;
    assert_eq!(fleet.members[0].script().barriers, 1);
}

#[rstest]
#[actix_rt::test]
async fn reads_that_arrive_while_a_barrier_is_in_flight_share_the_next_one() {
    let fleet = fleet_at(3, 3).await;
    fleet.members[0].freeze(true);
    let mut edge = fleet.edge().await;
    let mut streams = vec![edge.read("read", None).await];
    fleet.members[0].wait_for_barriers(1).await;
    for _ in 0..5 {
        streams.push(edge.read("read", None).await);
    }
    // This stream's refusal shows that the owner has received the earlier messages of the link.
    let marker = edge.open_unknown_group().await;
    edge.answer(marker).await;
    fleet.members[0].freeze(false);
    for stream in streams {
        assert!(edge.answer(stream).await.ready.is_some());
    }
    assert_eq!(fleet.members[0].script().barriers, 2);
}

#[rstest]
#[actix_rt::test]
async fn a_read_whose_connection_breaks_is_retried_at_another_member() {
    let fleet = fleet_at(5, 5).await;
    for replica in &fleet.members[1..] {
        replica.script().die_once = true;
    }
    let mut edge = fleet.edge().await;
    let stream = edge.read("die", at(5)).await;
    let answer = edge.answer(stream).await;
    assert!(answer.ready.is_some(), "{answer:?}");
}

#[rstest]
#[actix_rt::test]
async fn a_draining_replica_gets_no_new_work() {
    let fleet = fleet_at(5, 5).await;
    fleet.change_group(|group| {
        let leaving = group.spec.members[1].name.clone();
        group.draining.insert(leaving);
    });
    let mut edge = fleet.edge().await;
    fleet.wait_for_view(&mut edge).await;
    for _ in 0..20 {
        let stream = edge.read("read", at(5)).await;
        assert_eq!(edge.answer(stream).await.rows, ["m3"]);
    }
}

#[rstest]
#[actix_rt::test]
async fn a_read_waits_for_a_replica_to_catch_up() {
    let fleet = fleet_at(5, 4).await;
    // Long enough that the wait does not time out during the test.
    fleet.change_group(|group| group.spec.replica_wait_ms = 60_000);
    let mut edge = fleet.edge().await;
    fleet.wait_for_view(&mut edge).await;
    let stream = edge.read("read", at(5)).await;
    let marker = edge.open_unknown_group().await;
    edge.answer(marker).await;
    fleet.members[2].script().index = 5;
    let answer = edge.answer(stream).await;
    assert_eq!(answer.rows, ["m3"]);
    assert_eq!(answer.ready.unwrap().1, ServedBy::Replica);
}

#[rstest]
#[actix_rt::test]
async fn a_transaction_on_a_draining_replica_finishes() {
    let fleet = fleet_at(5, 5).await;
    let mut edge = fleet.edge().await;
    let stream = edge.read("hold", at(5)).await;
    fleet.members[1].wait_for_statement("hold", 1).await;
    fleet.change_group(|group| {
        let leaving = group.spec.members[1].name.clone();
        group.draining.insert(leaving);
    });
    fleet.wait_for_view(&mut edge).await;
    let other = edge.read("read", at(5)).await;
    assert_eq!(edge.answer(other).await.rows, ["m3"]);
    fleet.members[1].open_gate();
    let answer = edge.answer(stream).await;
    assert_eq!(answer.tags, ["SELECT 1"]);
    assert_eq!(answer.ready.unwrap().1, ServedBy::Replica);
    // The connection to the draining replica is not returned to the pool.
    fleet.members[1]
        .wait_until(|script| script.closed_connections == script.serving_connections)
        .await;
}
