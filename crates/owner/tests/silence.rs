//! Back ends that stop answering while their connections stay open, and owners that lose a group.

mod support;

use corktack_core::identity::ProxyName;
use corktack_core::position::{Position, Term};
use corktack_owner::OwnerSettings;
use corktack_protocol::peer::{Failure, NotRunReason, ServedBy, TransactionStatus};
use rstest::rstest;
use std::time::Duration;
use support::Fleet;

/// Sets short timeouts, so that the tests of timeouts end soon.
fn with_short_timeouts(settings: &mut OwnerSettings) {
    settings.probe_timeout = Duration::from_millis(100);
    settings.silence_timeout = Duration::from_millis(200);
}

fn other_proxy() -> ProxyName {
    ProxyName::new("proxy-9").expect("a valid name")
}

#[rstest]
#[case::autocommit(None, "hold", Failure::Unknown)]
#[case::open(Some("BEGIN"), "hold", Failure::TransactionLost)]
#[case::committing(Some("BEGIN"), "hold COMMIT", Failure::Unknown)]
#[actix_rt::test]
async fn work_in_flight_on_a_silent_primary_gets_its_final_answer(
    #[case] first: Option<&str>,
    #[case] text: &str,
    #[case] expected: Failure,
) {
    let fleet = Fleet::start_with(1, 20, with_short_timeouts).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write(first.unwrap_or(text)).await;
    if first.is_some() {
        edge.answer(stream).await;
        edge.batch(stream, text).await;
    }
    fleet.members[0].wait_for_statement(text, 1).await;
    fleet.members[0].freeze(true);
    // No view announces a replaced primary.
    assert_eq!(edge.answer(stream).await.failure, Some(expected));
}

#[rstest]
#[actix_rt::test]
async fn an_open_transaction_on_a_silent_primary_is_lost_without_a_further_batch() {
    let fleet = Fleet::start_with(1, 20, with_short_timeouts).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("BEGIN").await;
    edge.answer(stream).await;
    fleet.members[0].freeze(true);
    assert_eq!(edge.answer(stream).await.failure, Some(Failure::TransactionLost));
}

#[rstest]
#[actix_rt::test]
async fn the_pool_recovers_when_a_silent_primary_answers_again() {
    let fleet = Fleet::start_with(2, 20, with_short_timeouts).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("hold").await;
    fleet.members[0].wait_for_statement("hold", 1).await;
    fleet.members[0].freeze(true);
    assert_eq!(edge.answer(stream).await.failure, Some(Failure::Unknown));
    // The write is not sent while the primary is suspect, so it cannot run twice.
    let next = edge.write("write next").await;
    let marker = edge.open_unknown_group().await;
    edge.answer(marker).await;
    fleet.members[0].freeze(false);
    let answer = edge.answer(next).await;
    assert_eq!(answer.ready, Some((TransactionStatus::Idle, ServedBy::Primary)));
    let script = fleet.members[0].script();
    assert_eq!(script.written, ["next"]);
    let connections: Vec<_> = script.statements.iter().map(|(number, _)| *number).collect();
    assert_ne!(connections[0], connections[1]);
}

#[rstest]
#[actix_rt::test]
async fn idle_connections_to_a_silent_member_are_closed() {
    let fleet = Fleet::start_with(2, 20, with_short_timeouts).await;
    fleet.members[0].wait_until(|script| script.serving_connections >= 2).await;
    fleet.members[0].freeze(true);
    fleet.members[0].wait_until(|script| script.closed_connections >= 2).await;
}

#[rstest]
#[actix_rt::test]
async fn a_read_on_a_silent_replica_is_retried_at_another_member() {
    let mut fleet = Fleet::start_with(2, 20, with_short_timeouts).await;
    for member in &fleet.members {
        member.script().index = 5;
    }
    fleet.wait_for_replicas().await;
    let mut edge = fleet.edge().await;
    let position = Position { term: Term(1), index: 5 };
    let stream = edge.read("hold", Some(position)).await;
    // Among equal replicas, the owner chooses the first by name.
    fleet.members[1].wait_for_statement("hold", 1).await;
    for member in [0, 2] {
        fleet.members[member].open_gate();
    }
    fleet.members[1].freeze(true);
    assert!(edge.answer(stream).await.ready.is_some());
}

#[rstest]
#[actix_rt::test]
async fn an_owner_that_lost_a_group_still_reacts_to_a_replaced_primary() {
    let fleet = Fleet::start(1, 20).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("BEGIN").await;
    edge.answer(stream).await;
    fleet.change_group(|group| group.owner = Some(other_proxy()));
    fleet.wait_for_view(&mut edge).await;
    fleet.promote(1, 2);
    assert_eq!(edge.answer(stream).await.failure, Some(Failure::TransactionLost));
}

#[rstest]
#[actix_rt::test]
async fn an_owner_that_lost_a_group_still_times_out_on_a_silent_primary() {
    let fleet = Fleet::start_with(1, 20, with_short_timeouts).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("BEGIN").await;
    edge.answer(stream).await;
    fleet.change_group(|group| group.owner = Some(other_proxy()));
    fleet.wait_for_view(&mut edge).await;
    fleet.members[0].freeze(true);
    assert_eq!(edge.answer(stream).await.failure, Some(Failure::TransactionLost));
}

#[rstest]
#[actix_rt::test]
async fn requests_waiting_for_a_slot_are_refused_when_the_owner_loses_the_group() {
    let fleet = Fleet::start(1, 20).await;
    let mut edge = fleet.edge().await;
    let open = edge.write("BEGIN").await;
    edge.answer(open).await;
    let waiting = edge.write("write waits").await;
    fleet.wait_for_metric("corktack_owner_queue_length{group=\"calls\"} 1").await;
    fleet.change_group(|group| group.owner = Some(other_proxy()));
    // The open transaction still holds the slot.
    let failure = edge.answer(waiting).await.failure;
    assert!(matches!(failure, Some(Failure::NotRun { reason: NotRunReason::NotOwner, .. })));
    edge.batch(open, "COMMIT").await;
    assert_eq!(edge.answer(open).await.tags, ["COMMIT"]);
    assert!(fleet.members[0].script().written.is_empty());
}

#[rstest]
#[actix_rt::test]
async fn reads_waiting_for_a_barrier_are_refused_when_the_owner_loses_the_group() {
    let fleet = Fleet::start(1, 20).await;
    fleet.members[0].freeze(true);
    let mut edge = fleet.edge().await;
    let waiting = edge.read("read", None).await;
    fleet.members[0].wait_for_barriers(1).await;
    fleet.change_group(|group| group.owner = Some(other_proxy()));
    let failure = edge.answer(waiting).await.failure;
    assert!(matches!(failure, Some(Failure::NotRun { reason: NotRunReason::NotOwner, .. })));
}

#[rstest]
#[actix_rt::test]
async fn open_streams_still_count_when_the_owner_regains_the_group() {
    let fleet = Fleet::start(1, 20).await;
    let mut edge = fleet.edge().await;
    let open = edge.write("BEGIN").await;
    edge.answer(open).await;
    fleet.change_group(|group| group.owner = Some(other_proxy()));
    fleet.wait_for_view(&mut edge).await;
    let own = ProxyName::new("proxy-1").expect("a valid name");
    fleet.change_group(|group| group.owner = Some(own));
    fleet.wait_for_view(&mut edge).await;
    let waiting = edge.write("write next").await;
    fleet.wait_for_metric("corktack_owner_queue_length{group=\"calls\"} 1").await;
    edge.batch(open, "COMMIT").await;
    edge.answer(open).await;
    assert_eq!(edge.answer(waiting).await.tags, ["INSERT 0 1"]);
}
