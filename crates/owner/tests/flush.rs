//! Batches that a Flush leaves unfinished, against scripted members.
#![allow(clippy::unwrap_used)]

mod support;

use corktack_protocol::peer::{Access, Batch, EdgeMessage, Failure, StreamId, TransactionStatus};
use rstest::rstest;
use support::Fleet;
use support::edge::{
    Answer, TestEdge, bind, execute, flushed, parse, parse_and_execute, request, sync,
};

/// Opens a stream with a part that ends with a Flush, and receives its answer.
async fn open(edge: &mut TestEdge, part: Batch) -> (StreamId, Answer) {
    let stream = edge.open(request(Access::Write, flushed(part))).await;
    let answer = edge.answer(stream).await;
    assert_eq!(answer.ready.map(|(status, _)| status), Some(TransactionStatus::Open));
    (stream, answer)
}

#[rstest]
#[actix_rt::test]
async fn a_flushed_part_is_answered_and_the_stream_continues_until_its_sync() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    let (stream, answer) = open(&mut edge, parse_and_execute("s", "write a")).await;
    assert_eq!(answer.order, "P12C", "the position comes before the completion");
    edge.send_batch(stream, flushed(execute("s", "write a"))).await;
    let answer = edge.answer(stream).await;
    assert_eq!((answer.order.as_str(), answer.positions.len()), ("P2C", 1));
    edge.send_batch(stream, sync()).await;
    let answer = edge.answer(stream).await;
    assert_eq!(answer.ready.unwrap().0, TransactionStatus::Idle);
    let next = edge.write("write b").await;
    edge.answer(next).await;
    let script = fleet.members[0].script();
    assert_eq!(script.written, ["a", "a", "b"]);
    let first = script.statements[0].0;
    assert!(
        script.statements.iter().all(|(connection, _)| *connection == first),
        "the connection is reused"
    );
}

#[rstest]
#[actix_rt::test]
async fn a_connection_in_an_unfinished_batch_is_not_shared() {
    let fleet = Fleet::start(2, 10).await;
    let mut edge = fleet.edge().await;
    let (stream, _) = open(&mut edge, parse_and_execute("s", "write a")).await;
    for _ in 0..3 {
        let other = edge.write("write b").await;
        edge.answer(other).await;
    }
    edge.send_batch(stream, execute("s", "write a")).await;
    assert_eq!(edge.answer(stream).await.tags, ["INSERT 0 1"]);
    let script = fleet.members[0].script();
    let on = |text: &str| {
        let mine = script.statements.iter().filter(|(_, found)| found == text);
        mine.map(|(connection, _)| *connection).collect::<Vec<_>>()
    };
    let (own, others) = (on("write a"), on("write b"));
    assert_eq!((own.len(), others.len()), (2, 3));
    assert_eq!(own[0], own[1]);
    assert!(!others.contains(&own[0]));
}

#[rstest]
#[actix_rt::test]
async fn a_parse_of_a_statement_that_exists_is_answered_at_its_flush() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    let first = edge.open(request(Access::Write, parse_and_execute("s", "write a"))).await;
    edge.answer(first).await;
    let (stream, answer) = open(&mut edge, parse("s", "write a")).await;
    assert_eq!(answer.order, "1");
    edge.send_batch(stream, execute("s", "write a")).await;
    assert_eq!(edge.answer(stream).await.order, "P2C");
    assert_eq!(fleet.members[0].script().prepared, ["s"]);
}

#[rstest]
#[actix_rt::test]
async fn a_caller_gone_between_flush_and_sync_leaves_no_connection_behind() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    let (stream, _) = open(&mut edge, parse_and_execute("s", "write a")).await;
    edge.send(EdgeMessage::Close { stream }).await;
    let next = edge.write("write b").await;
    edge.answer(next).await;
    let script = fleet.members[0].script();
    let order: Vec<_> = script.statements.iter().map(|(_, text)| text.as_str()).collect();
    assert_eq!(order, ["write a", "write b"], "neither Sync nor rollback is sent");
    assert_ne!(script.statements[0].0, script.statements[1].0);
}

#[rstest]
#[actix_rt::test]
async fn a_failed_part_is_answered_and_its_connection_is_kept() {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    let (stream, answer) = open(&mut edge, parse_and_execute("s", "fail")).await;
    assert_eq!(answer.order, "12E");
    edge.send_batch(stream, sync()).await;
    assert_eq!(edge.answer(stream).await.ready.unwrap().0, TransactionStatus::Idle);
    let next = edge.write("write b").await;
    edge.answer(next).await;
    let script = fleet.members[0].script();
    assert_eq!(script.statements[0].0, script.statements[1].0);
}

#[rstest]
#[case::a_write_ran(true, Failure::Unknown)]
#[case::nothing_ran(false, Failure::TransactionLost)]
#[actix_rt::test]
async fn a_back_end_lost_before_sync_fails_the_stream(
    #[case] runs: bool,
    #[case] expected: Failure,
) {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    let part = if runs { execute("s", "write a") } else { bind("s", "write a") };
    let (stream, _) = open(&mut edge, part).await;
    fleet.members[0].cut_connections().await;
    assert_eq!(edge.answer(stream).await.failure, Some(expected));
    assert_eq!(
        fleet.members[0].script().written.len(),
        usize::from(runs),
        "the write runs at most once"
    );
}

#[rstest]
#[case::read(Access::Read, None)]
#[case::keyed(Access::Write, Some("order-7"))]
#[actix_rt::test]
async fn a_flush_in_a_read_or_keyed_write_is_refused_before_it_runs(
    #[case] access: Access,
    #[case] key: Option<&str>,
) {
    let fleet = Fleet::start(1, 10).await;
    let mut edge = fleet.edge().await;
    let mut opening = request(access, flushed(parse_and_execute("s", "write a")));
    opening.idempotency_key = key.map(str::to_owned);
    let stream = edge.open(opening).await;
    assert!(edge.answer(stream).await.failure.is_some());
    assert!(fleet.members[0].script().statements.is_empty());
}
