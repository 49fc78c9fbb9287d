//! Outcome of a batch between its first `Flush` and its `Sync` when an owner, the caller or a limit
//! ends it.

use crate::support::extended::{bind, execute, flush, message_types, parse, sync};
use crate::support::wire::{self, RawCaller};
use crate::support::{Fixture, settings};
use corktack_edge::EdgeSettings;
use corktack_protocol::peer::{EdgeMessage, Failure, NotRunReason, StreamId, TransactionStatus};
use rstest::rstest;
use std::time::Duration;

const SELECT: &str = "SELECT 1";
const INSERT: &str = "INSERT INTO t VALUES (1)";
const NOT_RUN: Failure =
    Failure::NotRun { reason: NotRunReason::BackEndRefused, retry_after_ms: 1 };

/// Encodes Parse, Bind and Flush, with Execute before Flush if `runs`.
fn first_part(text: &str, runs: bool) -> Vec<u8> {
    let run = if runs { execute("", 0) } else { Vec::new() };
    [parse("", text), bind("", ""), run, flush()].concat()
}

/// Sends the first part of a batch and has it answered.
async fn start_batch(
    fixture: &mut Fixture,
    caller: &mut RawCaller,
    text: &str,
    runs: bool,
) -> StreamId {
    caller.send(&first_part(text, runs)).await;
    let (stream, request) = fixture.owner.expect_open().await;
    fixture.owner.answer_batch(stream, &request.batch, "1", TransactionStatus::Open);
    caller.read_message_types(if runs { 4 } else { 2 }).await;
    stream
}

#[rstest]
#[case::after_a_bind(false)]
#[case::after_a_write(true)]
#[actix_rt::test]
async fn batch_of_a_caller_that_disconnects_before_sync_is_rolled_back(#[case] runs: bool) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let stream = start_batch(&mut fixture, &mut caller, INSERT, runs).await;
    drop(caller);
    assert_eq!(fixture.owner.next_message().await, EdgeMessage::Close { stream });
    assert!(fixture.owner.received_nothing_more(), "no Sync commits it");
}

#[rstest]
#[case::refused_write(INSERT, true, NOT_RUN)]
#[case::lost_before_anything_runs(INSERT, false, Failure::Unknown)]
#[case::lost_read(SELECT, true, Failure::Unknown)]
#[actix_rt::test]
async fn first_part_that_cannot_have_written_is_sent_again(
    #[case] text: &str,
    #[case] runs: bool,
    #[case] failure: Failure,
) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&first_part(text, runs)).await;
    let (first, _) = fixture.owner.expect_open().await;
    fixture.owner.send_failure(first, failure);
    let (second, request) = fixture.owner.expect_open().await;
    fixture.owner.answer_batch(second, &request.batch, "1", TransactionStatus::Open);
    let answered = if runs { "12DC" } else { "12" };
    assert_eq!(caller.read_message_types(answered.len()).await, answered);
}

#[rstest]
#[case::unknown(Failure::Unknown, "08007")]
#[case::lost(Failure::TransactionLost, "40001")]
#[actix_rt::test]
async fn first_part_that_may_have_written_is_not_sent_again(
    #[case] failure: Failure,
    #[case] code: &str,
) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&first_part(INSERT, true)).await;
    let (stream, _) = fixture.owner.expect_open().await;
    fixture.owner.send_failure(stream, failure);
    assert_eq!(caller.read_error_code().await, code);
    caller.send(&[bind("", ""), execute("", 0), flush(), sync()].concat()).await;
    assert_eq!(caller.read().await, ('Z', b"I".to_vec()));
    assert!(fixture.owner.received_nothing_more());
}

#[rstest]
#[case::write_then_sync(INSERT, true, sync(), Failure::Unknown, "08007")]
#[case::write_then_refused(INSERT, true, sync(), NOT_RUN, "08007")]
#[case::bound_write_that_runs(INSERT, false, [execute("", 0), sync()].concat(), Failure::Unknown, "08007")]
#[case::read_then_sync(SELECT, true, sync(), Failure::Unknown, "40001")]
#[case::nothing_run(INSERT, false, sync(), NOT_RUN, "40001")]
#[actix_rt::test]
async fn later_part_that_is_lost_is_reported_and_never_sent_again(
    #[case] text: &str,
    #[case] runs: bool,
    #[case] rest: Vec<u8>,
    #[case] failure: Failure,
    #[case] code: &str,
) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let stream = start_batch(&mut fixture, &mut caller, text, runs).await;
    caller.send(&rest).await;
    fixture.owner.expect_batch().await;
    fixture.owner.send_failure(stream, failure);
    assert_eq!(caller.read_error_code().await, code);
    assert_eq!(caller.read().await, ('Z', b"I".to_vec()));
    assert!(fixture.owner.received_nothing_more());
}

#[actix_rt::test]
async fn statements_after_a_lost_begin_do_not_run_on_their_own() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let stream = start_batch(&mut fixture, &mut caller, "BEGIN", true).await;
    caller.send(&[sync(), wire::query(INSERT), wire::query("COMMIT")].concat()).await;
    fixture.owner.expect_batch().await;
    fixture.owner.send_failure(stream, Failure::TransactionLost);
    caller.read_error_code().await;
    assert_eq!(caller.read_ready_status().await, 'E');
    assert_eq!(caller.read_error_code().await, "25P02");
    assert_eq!(caller.read_ready_status().await, 'E');
    assert_eq!(caller.read().await, ('C', b"ROLLBACK\0".to_vec()));
    assert_eq!(caller.read_ready_status().await, 'I');
    assert!(fixture.owner.received_nothing_more());
}

#[actix_rt::test]
async fn batch_without_a_sync_in_time_is_ended() {
    let limit = Duration::from_millis(50);
    let settings = EdgeSettings { unfinished_batch_timeout: limit, ..settings() };
    let mut fixture = Fixture::start_with_settings(settings).await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&first_part(INSERT, false)).await;
    let (stream, request) = fixture.owner.expect_open().await;
    fixture.owner.answer_batch(stream, &request.batch, "1", TransactionStatus::Open);
    assert_eq!(caller.read_error_code().await, "25P03");
    assert_eq!(fixture.owner.next_message().await, EdgeMessage::Close { stream });
    caller.send(&[execute("", 0), sync()].concat()).await;
    assert_eq!(caller.read().await, ('Z', b"I".to_vec()));
    assert!(fixture.owner.received_nothing_more(), "the rest is skipped");
}

#[actix_rt::test]
async fn batch_that_grows_over_its_flushes_is_ended_at_the_limit() {
    let settings = EdgeSettings { message_limit: 1_024, ..settings() };
    let mut fixture = Fixture::start_with_settings(settings).await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let text = format!("INSERT INTO t VALUES ('{}')", "x".repeat(600));
    let stream = start_batch(&mut fixture, &mut caller, &text, false).await;
    caller.send(&first_part(&text, true)).await;
    assert_eq!(caller.read_error_code().await, "54000");
    assert_eq!(fixture.owner.next_message().await, EdgeMessage::Close { stream });
    caller.send(&sync()).await;
    assert_eq!(caller.read().await, ('Z', b"I".to_vec()));
    let stream = start_batch(&mut fixture, &mut caller, &text, false).await;
    caller.send(&sync()).await;
    let (_, batch) = fixture.owner.expect_batch().await;
    assert_eq!(message_types(&batch), "S", "the next batch starts from nothing");
    fixture.owner.send_ready(stream, TransactionStatus::Idle);
    assert_eq!(caller.read_types_until_ready().await, "Z");
}

#[actix_rt::test]
async fn keyed_write_cannot_be_flushed_before_its_sync() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("SET corktack.idempotency_key = 'order-7'")).await;
    caller.read_types_until_ready().await;
    caller.send(&first_part(INSERT, true)).await;
    assert_eq!(caller.read_error_code().await, "0A000");
    caller.send(&sync()).await;
    assert_eq!(caller.read().await, ('Z', b"I".to_vec()));
    assert!(fixture.owner.received_nothing_more());
    let batch = [parse("", INSERT), bind("", ""), execute("", 0), flush(), sync()];
    caller.send(&batch.concat()).await;
    let request = fixture.owner.serve_one_request("1").await;
    assert_eq!(request.idempotency_key.as_deref(), Some("order-7"), "the key still waits");
    assert_eq!(caller.read_types_until_ready().await, "12DCZ");
}
