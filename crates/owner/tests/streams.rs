//! Streams against scripted members: answers, transactions, refusals, outcomes.
#![allow(clippy::unwrap_used)]

mod support;

use corktack_core::identity::{ClassName, GroupName};
use corktack_core::view::View;
use corktack_protocol::peer::{
    Access, EdgeMessage, Failure, INITIAL_WINDOW_BYTES, NotRunReason, OwnerMessage, ServedBy,
    TransactionStatus,
};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use support::edge::{execute, query, request};
use support::{Fleet, GROUP};
use tokio::time::timeout;

#[rstest]
#[actix_rt::test]
async fn a_write_is_answered_with_its_position_before_the_completion() {
    let fleet = Fleet::start(2, 10).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("write flag").await;
    let answer = edge.answer(stream).await;
    assert_eq!(answer.order, "PC");
    assert_eq!(answer.tags, ["INSERT 0 1"]);
    assert_eq!(answer.ready, Some((TransactionStatus::Idle, ServedBy::Primary)));
    assert_eq!(fleet.members[0].script().written, ["flag"]);
}

#[rstest]
#[actix_rt::test]
async fn interleaved_transactions_never_mix() {
    let fleet = Fleet::start(3, 10).await;
    let mut edge = fleet.edge().await;
    let names = ["a", "b", "c"];
    let mut streams = Vec::new();
    for _ in names {
        let stream = edge.write("BEGIN").await;
        assert_eq!(edge.answer(stream).await.ready.unwrap().0, TransactionStatus::Open);
        streams.push(stream);
    }
    for round in 0..5 {
        for (name, stream) in names.iter().zip(&streams) {
            edge.batch(*stream, &format!("write {name}{round}")).await;
        }
    }
    for stream in &streams {
        for _ in 0..5 {
            assert_eq!(edge.answer(*stream).await.tags, ["INSERT 0 1"]);
        }
        edge.batch(*stream, "COMMIT").await;
        assert_eq!(edge.answer(*stream).await.ready.unwrap().0, TransactionStatus::Idle);
    }
    let script = fleet.members[0].script();
    for name in names {
        let mine = |(_, text): &&(i32, String)| text.starts_with(&format!("write {name}"));
        let connections: Vec<_> = script.statements.iter().filter(mine).map(|(c, _)| *c).collect();
        assert_eq!(connections.len(), 5);
        assert!(connections.iter().all(|connection| *connection == connections[0]));
        let on_it = script.statements.iter().filter(|(c, _)| *c == connections[0]);
        let writes = on_it.filter(|(_, text)| text.starts_with("write"));
        assert_eq!(writes.count(), 5);
    }
}

#[rstest]
#[actix_rt::test]
async fn a_caller_gone_in_a_transaction_is_rolled_back_before_reuse() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("BEGIN").await;
    edge.answer(stream).await;
    edge.batch(stream, "write lost").await;
    edge.answer(stream).await;
    edge.send(EdgeMessage::Close { stream }).await;
    let next = edge.write("write kept").await;
    assert_eq!(edge.answer(next).await.tags, ["INSERT 0 1"]);
    let script = fleet.members[0].script();
    assert_eq!(script.written, ["kept"]);
    let order: Vec<_> = script.statements.iter().map(|(_, text)| text.as_str()).collect();
    assert_eq!(order, ["BEGIN", "write lost", "ROLLBACK", "write kept"]);
}

#[rstest]
#[actix_rt::test]
async fn a_link_cut_in_a_transaction_rolls_all_its_streams_back() {
    let fleet = Fleet::start(2, 10).await;
    let mut edge = fleet.edge().await;
    for _ in 0..2 {
        let stream = edge.write("BEGIN").await;
        edge.answer(stream).await;
    }
    drop(edge);
    fleet.members[0].wait_for_statement("ROLLBACK", 2).await;
    assert!(fleet.members[0].script().written.is_empty());
}

#[rstest]
#[actix_rt::test]
async fn a_cancel_reaches_the_statement_and_the_connection_is_not_reused() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("hold").await;
    fleet.members[0].wait_for_statement("hold", 1).await;
    edge.send(EdgeMessage::Cancel { stream }).await;
    let answer = edge.answer(stream).await;
    assert_eq!(answer.errors[0].0, "57014");
    assert_eq!(answer.ready.unwrap().0, TransactionStatus::Idle);
    let next = edge.write("write b").await;
    edge.answer(next).await;
    let script = fleet.members[0].script();
    let connections: Vec<_> = script.statements.iter().map(|(c, _)| *c).collect();
    assert_ne!(connections[0], connections[1]);
}

#[rstest]
#[actix_rt::test]
async fn a_cancel_in_the_queue_is_answered_and_nothing_runs() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    let first = edge.write("hold").await;
    fleet.members[0].wait_for_statement("hold", 1).await;
    let second = edge.write("write never").await;
    edge.send(EdgeMessage::Cancel { stream: second }).await;
    assert_eq!(edge.answer(second).await.errors[0].0, "57014");
    fleet.members[0].open_gate();
    edge.answer(first).await;
    assert!(fleet.members[0].script().written.is_empty());
}

#[rstest]
#[actix_rt::test]
async fn an_error_inside_a_transaction_fails_it_and_leaves_the_connection_usable() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("BEGIN").await;
    edge.answer(stream).await;
    edge.batch(stream, "fail").await;
    let answer = edge.answer(stream).await;
    assert_eq!(answer.errors[0].0, "22012");
    assert_eq!(answer.ready.unwrap().0, TransactionStatus::Failed);
    edge.batch(stream, "ROLLBACK").await;
    assert_eq!(edge.answer(stream).await.ready.unwrap().0, TransactionStatus::Idle);
    let next = edge.write("write b").await;
    edge.answer(next).await;
    let script = fleet.members[0].script();
    assert!(script.statements.iter().all(|(connection, _)| *connection == script.statements[0].0));
}

#[rstest]
#[actix_rt::test]
async fn a_request_over_the_queue_limit_is_refused_and_did_not_run() {
    let fleet = Fleet::start(1, 1).await;
    let mut edge = fleet.edge().await;
    let first = edge.write("hold").await;
    fleet.members[0].wait_for_statement("hold", 1).await;
    let second = edge.write("write second").await;
    let third = edge.write("write third").await;
    let refused = edge.answer(third).await.failure.unwrap();
    let Failure::NotRun { reason: NotRunReason::QueueFull, retry_after_ms } = refused else {
        panic!("refused with {refused:?}");
    };
    assert!(retry_after_ms > 0);
    fleet.members[0].open_gate();
    edge.answer(first).await;
    edge.answer(second).await;
    assert_eq!(fleet.members[0].script().written, ["second"]);
}

#[rstest]
#[actix_rt::test]
async fn a_request_displaced_by_a_higher_class_is_refused_at_once_and_did_not_run() {
    let fleet = Fleet::start(1, 1).await;
    let mut edge = fleet.edge().await;
    let first = edge.write("hold").await;
    fleet.members[0].wait_for_statement("hold", 1).await;
    let basic = |text| {
        let mut basic = request(Access::Write, query(text));
        basic.class = ClassName::new("basic").expect("a valid name");
        // The group's limit applies, and does not pass during the test.
        basic.timeout_ms = 0;
        basic
    };
    let reserved = edge.open(basic("write reserved")).await;
    // The only place in the queue is guaranteed to the lowest class, so a gold request must not take it.
    let gold = edge.write("write gold").await;
    let refused = edge.answer(gold).await.failure;
    assert!(matches!(refused, Some(Failure::NotRun { reason: NotRunReason::QueueFull, .. })));
    edge.send(EdgeMessage::Close { stream: reserved }).await;
    fleet.change_classes(|class| class.guaranteed_percent = 0);
    fleet.wait_for_view(&mut edge).await;
    let displaced = edge.open(basic("write displaced")).await;
    let gold = edge.write("write gold").await;
    // The displaced request is answered while the slot is still held, before any deadline.
    let Some(Failure::NotRun { reason, retry_after_ms }) = edge.answer(displaced).await.failure
    else {
        panic!("not refused");
    };
    assert_eq!(reason, NotRunReason::QueueFull);
    assert!(retry_after_ms > 0);
    fleet.members[0].open_gate();
    edge.answer(first).await;
    edge.answer(gold).await;
    assert_eq!(fleet.members[0].script().written, ["gold"]);
}

#[actix_rt::test]
async fn no_request_waits_longer_than_the_group_allows() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    let first = edge.write("hold").await;
    fleet.members[0].wait_for_statement("hold", 1).await;
    fleet.views.send_modify(|view| {
        let mut next = View::clone(view);
        next.revision.0 += 1;
        let group = next.groups.get_mut(&GroupName::new(GROUP).unwrap()).unwrap();
        Arc::make_mut(group).spec.queue_timeout_ms = 5;
        *view = Arc::new(next);
    });
    fleet.wait_for_view(&mut edge).await;
    let mut late = request(Access::Write, query("write late"));
    late.timeout_ms = 60_000;
    let late = edge.open(late).await;
    let refused = timeout(Duration::from_secs(20), edge.answer(late)).await;
    let refused = refused.expect("refused long before the caller's own timeout");
    let reason = NotRunReason::QueueTimeout;
    assert!(
        matches!(refused.failure, Some(Failure::NotRun { reason: told, .. }) if told == reason)
    );
    fleet.members[0].open_gate();
    edge.answer(first).await;
    assert!(fleet.members[0].script().written.is_empty());
}

#[rstest]
#[actix_rt::test]
async fn a_request_past_its_deadline_is_refused_and_did_not_run() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    let first = edge.write("hold").await;
    fleet.members[0].wait_for_statement("hold", 1).await;
    let mut late = request(Access::Write, query("write late"));
    late.timeout_ms = 5;
    let late = edge.open(late).await;
    let refused = edge.answer(late).await.failure.unwrap();
    assert!(matches!(refused, Failure::NotRun { reason: NotRunReason::QueueTimeout, .. }));
    fleet.members[0].open_gate();
    edge.answer(first).await;
    assert!(fleet.members[0].script().written.is_empty());
}

#[rstest]
#[actix_rt::test]
async fn a_statement_is_prepared_once_per_connection() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    for _ in 0..3 {
        let stream = edge.open(request(Access::Write, execute("s1", "write x"))).await;
        let answer = edge.answer(stream).await;
        assert_eq!(answer.order, "P2C");
    }
    let script = fleet.members[0].script();
    assert_eq!(script.prepared, ["s1"]);
    assert_eq!(script.written.len(), 3);
}

#[rstest]
#[actix_rt::test]
async fn a_changed_session_is_reset_before_reuse() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    for text in ["SET x = 1", "write a"] {
        let stream = edge.write(text).await;
        edge.answer(stream).await;
    }
    let script = fleet.members[0].script();
    let order: Vec<_> = script.statements.iter().map(|(_, text)| text.as_str()).collect();
    assert_eq!(order, ["SET x = 1", "DISCARD ALL", "write a"]);
}

#[rstest]
#[actix_rt::test]
async fn answers_beyond_the_window_wait_for_a_grant() {
    let fleet = Fleet::start(2, 10).await;
    let mut edge = fleet.edge().await;
    let stream = edge.write("big 2000").await;
    let mut taken = 0;
    while taken < INITIAL_WINDOW_BYTES {
        let OwnerMessage::Data { messages, .. } = edge.next_message_of(stream).await else {
            continue;
        };
        taken += messages.len() as u32;
    }
    // Other streams continue meanwhile, and nothing more arrives on this stream.
    for _ in 0..20 {
        let other = edge.write("write x").await;
        edge.answer(other).await;
    }
    assert!(!edge.has_waiting(stream));
    edge.send(EdgeMessage::Window { stream, bytes: taken }).await;
    let rest = edge.answer(stream).await;
    assert_eq!(rest.ready.unwrap().0, TransactionStatus::Idle);
}

#[rstest]
#[actix_rt::test]
async fn a_write_whose_connection_breaks_is_unknown() {
    let fleet = Fleet::start(1, 10).await;
    fleet.members[0].script().die_once = true;
    let mut edge = fleet.edge().await;
    let stream = edge.write("die").await;
    assert_eq!(edge.answer(stream).await.failure, Some(Failure::Unknown));
}

#[rstest]
#[case("die", Failure::TransactionLost)]
#[case("die COMMIT", Failure::Unknown)]
#[actix_rt::test]
async fn a_transaction_whose_connection_breaks_is_lost_unless_it_may_have_committed(
    #[case] text: &str,
    #[case] expected: Failure,
) {
    let fleet = Fleet::start(1, 10).await;
    fleet.members[0].script().die_once = true;
    let mut edge = fleet.edge().await;
    let stream = edge.write("BEGIN").await;
    edge.answer(stream).await;
    edge.batch(stream, text).await;
    assert_eq!(edge.answer(stream).await.failure, Some(expected));
}
