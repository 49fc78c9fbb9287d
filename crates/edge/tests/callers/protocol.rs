//! The simple and the extended query protocol, transactions and pipelines.

use crate::support::Fixture;
use crate::support::extended::{bind, execute, flush, message_types, parse, sync, target};
use crate::support::wire::{self, RawCaller};
use corktack_protocol::peer::{
    Access, EdgeMessage, Failure, NotRunReason, StreamId, TransactionStatus,
};
use rstest::rstest;

/// Opens a transaction for the caller.
async fn begin(fixture: &mut Fixture, caller: &mut RawCaller) -> StreamId {
    caller.send(&wire::query("BEGIN")).await;
    let (stream, _) = fixture.owner.expect_open().await;
    fixture.owner.send_data(stream, wire::encode(&[wire::complete("BEGIN")]));
    fixture.owner.send_ready(stream, TransactionStatus::Open);
    assert_eq!(caller.read_ready_status().await, 'T');
    stream
}

#[actix_rt::test]
async fn failed_transaction_is_reported_and_ends_with_its_rollback() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let opened = begin(&mut fixture, &mut caller).await;
    caller.send(&wire::query("INSERT INTO t VALUES (1)")).await;
    fixture.owner.expect_batch().await;
    fixture.owner.send_data(opened, wire::encode(&[wire::error("23505", "duplicate key")]));
    fixture.owner.send_ready(opened, TransactionStatus::Failed);
    assert_eq!(caller.read_error_code().await, "23505");
    assert_eq!(caller.read_ready_status().await, 'E');
    caller.send(&wire::query("ROLLBACK")).await;
    let (stream, _) = fixture.owner.expect_batch().await;
    assert_eq!(stream, opened);
    fixture.owner.send_data(stream, wire::encode(&[wire::complete("ROLLBACK")]));
    fixture.owner.send_ready(stream, TransactionStatus::Idle);
    assert_eq!(caller.read_ready_status().await, 'I');
}

#[actix_rt::test]
async fn portal_is_executed_in_parts_over_batches() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let opened = begin(&mut fixture, &mut caller).await;
    let first = [parse("s", "SELECT 1"), bind("p", "s"), execute("p", 1), sync()].concat();
    let second = [execute("p", 1), target('C', 'P', "p"), target('C', 'S', "s"), sync()].concat();
    for (bytes, expected, answered) in [(first, "PBES", "12DCZ"), (second, "ECCS", "DC33Z")] {
        caller.send(&bytes).await;
        let (stream, batch) = fixture.owner.expect_batch().await;
        assert_eq!((stream, message_types(&batch).as_str()), (opened, expected));
        fixture.owner.answer_batch(stream, &batch, "1", TransactionStatus::Open);
        assert_eq!(caller.read_types_until_ready().await, answered);
    }
    caller.send(&[bind("", "s"), sync()].concat()).await;
    assert_eq!(caller.read_error_code().await, "26000");
}

#[actix_rt::test]
async fn pipelined_extended_batches_run_one_after_another() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let one = [parse("a", "SELECT 1"), bind("", "a"), execute("", 0), sync()].concat();
    let two = [bind("", "a"), target('D', 'P', ""), execute("", 0), sync()].concat();
    caller.send(&[one, two].concat()).await;
    let (stream, request) = fixture.owner.expect_open().await;
    assert!(fixture.owner.received_nothing_more(), "the second waits for the first");
    fixture.owner.answer_batch(stream, &request.batch, "1", TransactionStatus::Idle);
    let request = fixture.owner.serve_one_request("2").await;
    assert_eq!(message_types(&request.batch), "BDES");
    assert_eq!(request.batch.prepared.len(), 1);
    assert_eq!(caller.read_types_until_ready().await, "12DCZ");
    assert_eq!(caller.read_types_until_ready().await, "2TDCZ");
}

#[actix_rt::test]
async fn statement_whose_parse_failed_does_not_exist() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller
        .send(&[parse("s", "SELECT nothing"), bind("", "s"), execute("", 0), sync()].concat())
        .await;
    let (stream, _) = fixture.owner.expect_open().await;
    fixture.owner.send_data(stream, wire::encode(&[wire::error("42703", "no such column")]));
    fixture.owner.send_ready(stream, TransactionStatus::Idle);
    assert_eq!(caller.read_types_until_ready().await, "EZ");
    caller.send(&[bind("", "s"), execute("", 0), sync()].concat()).await;
    assert_eq!(caller.read_error_code().await, "26000");
    assert_eq!(caller.read_ready_status().await, 'I');
    assert!(fixture.owner.received_nothing_more());
}

#[rstest]
#[case::duplicate([parse("s", "SELECT 1"), parse("s", "SELECT 2"), sync()].concat(), "42P05")]
#[case::unknown([target('D', 'S', "s"), sync()].concat(), "26000")]
#[case::local_and_remote([parse("", "SHOW corktack.token"), parse("", "SELECT 1"), sync()].concat(), "0A000")]
#[actix_rt::test]
async fn batch_that_cannot_run_is_refused_completely(#[case] bytes: Vec<u8>, #[case] code: &str) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&bytes).await;
    assert_eq!(caller.read_error_code().await, code);
    assert_eq!(caller.read_ready_status().await, 'I');
    assert!(fixture.owner.received_nothing_more());
}

#[actix_rt::test]
async fn flush_in_a_transaction_is_answered_without_ready() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    begin(&mut fixture, &mut caller).await;
    caller.send(&[parse("", "SELECT 1"), target('D', 'S', ""), flush()].concat()).await;
    let (stream, batch) = fixture.owner.expect_batch().await;
    fixture.owner.answer_batch(stream, &batch, "", TransactionStatus::Open);
    let kinds: Vec<char> =
        [caller.read().await.0, caller.read().await.0, caller.read().await.0].into();
    assert_eq!(kinds, ['1', 't', 'T']);
    caller.send(&[bind("", ""), execute("", 0), sync()].concat()).await;
    let (stream, batch) = fixture.owner.expect_batch().await;
    fixture.owner.answer_batch(stream, &batch, "1", TransactionStatus::Open);
    assert_eq!(caller.read_types_until_ready().await, "2DCZ");
}

#[actix_rt::test]
async fn transaction_of_a_caller_that_disconnects_is_rolled_back() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let stream = begin(&mut fixture, &mut caller).await;
    drop(caller);
    assert_eq!(fixture.owner.next_message().await, EdgeMessage::Close { stream });
}

#[rstest]
#[case::refused_statement(wire::query("LISTEN flags"), "0A000")]
#[case::unknown_statement([bind("", "missing"), sync()].concat(), "26000")]
#[case::local_error(wire::query("SET corktack.token = 'x'"), "22023")]
#[actix_rt::test]
async fn error_of_the_edge_fails_the_open_transaction(#[case] bytes: Vec<u8>, #[case] code: &str) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let opened = begin(&mut fixture, &mut caller).await;
    caller
        .send(&[bytes, wire::query("INSERT INTO t VALUES (1)"), wire::query("COMMIT")].concat())
        .await;
    assert_eq!(caller.read_error_code().await, code);
    assert_eq!(caller.read_ready_status().await, 'E', "the transaction failed");
    assert_eq!(fixture.owner.next_message().await, EdgeMessage::Close { stream: opened });
    assert_eq!(caller.read_error_code().await, "25P02");
    assert_eq!(caller.read_ready_status().await, 'E');
    assert_eq!(caller.read().await, ('C', b"ROLLBACK\0".to_vec()), "nothing was committed");
    assert_eq!(caller.read_ready_status().await, 'I');
    assert!(fixture.owner.received_nothing_more());
}

#[rstest]
#[case::rollback("ROLLBACK", "ROLLBACK")]
#[case::commit("COMMIT", "ROLLBACK")]
#[actix_rt::test]
async fn lost_transaction_runs_nothing_until_its_end(#[case] end: &str, #[case] tag: &str) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let stream = begin(&mut fixture, &mut caller).await;
    let texts = ["INSERT INTO a VALUES (1)", "INSERT INTO b VALUES (1)", end, "SELECT 1"];
    caller.send(&texts.map(wire::query).concat()).await;
    fixture.owner.expect_batch().await;
    fixture.owner.send_failure(stream, Failure::TransactionLost);
    assert_eq!(caller.read_error_code().await, "40001");
    assert_eq!(caller.read_ready_status().await, 'E');
    assert_eq!(
        caller.read_error_code().await,
        "25P02",
        "no statement of the block runs on its own"
    );
    assert_eq!(caller.read_ready_status().await, 'E');
    assert_eq!(caller.read().await, ('C', format!("{tag}\0").into_bytes()));
    assert_eq!(caller.read_ready_status().await, 'I');
    let request = fixture.owner.serve_one_request("1").await;
    assert_eq!(wire::query_text(&request.batch), "SELECT 1");
    assert_eq!(request.access, Access::Read);
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}

#[actix_rt::test]
async fn lost_transaction_ends_by_the_extended_protocol_too() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let stream = begin(&mut fixture, &mut caller).await;
    caller.send(&wire::query("INSERT INTO a VALUES (1)")).await;
    fixture.owner.expect_batch().await;
    fixture.owner.send_failure(stream, Failure::TransactionLost);
    assert_eq!(caller.read_types_until_ready().await, "EZ");
    let rollback =
        [parse("", "ROLLBACK"), bind("", ""), target('D', 'P', ""), execute("", 0), sync()];
    caller.send(&rollback.concat()).await;
    assert_eq!(caller.read_types_until_ready().await, "12nCZ");
    caller.send(&wire::query("SELECT 1")).await;
    fixture.owner.serve_one_request("1").await;
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}

#[actix_rt::test]
async fn pipeline_after_a_refused_begin_does_not_run() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let texts = ["BEGIN", "INSERT INTO a VALUES (1)", "COMMIT", "SELECT 1"];
    caller.send(&texts.map(wire::query).concat()).await;
    let (stream, _) = fixture.owner.expect_open().await;
    let refused = Failure::NotRun { reason: NotRunReason::QueueFull, retry_after_ms: 40 };
    fixture.owner.send_failure(stream, refused);
    assert_eq!(caller.read_error_code().await, "53300");
    assert_eq!(caller.read_ready_status().await, 'E');
    assert_eq!(caller.read_error_code().await, "25P02", "the insert was meant for the transaction");
    assert_eq!(caller.read_ready_status().await, 'E');
    assert_eq!(caller.read().await, ('C', b"ROLLBACK\0".to_vec()));
    assert_eq!(caller.read_ready_status().await, 'I');
    fixture.owner.serve_one_request("1").await;
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}

#[actix_rt::test]
async fn caller_that_saw_its_begin_refused_goes_on() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("BEGIN")).await;
    let (stream, _) = fixture.owner.expect_open().await;
    let refused = Failure::NotRun { reason: NotRunReason::QueueFull, retry_after_ms: 40 };
    fixture.owner.send_failure(stream, refused);
    assert_eq!(caller.read_error_code().await, "53300");
    assert_eq!(caller.read_ready_status().await, 'I');
    begin(&mut fixture, &mut caller).await;
}

#[actix_rt::test]
async fn errors_and_notices_are_passed_byte_for_byte() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("INSERT INTO t VALUES (1)")).await;
    let (stream, _) = fixture.owner.expect_open().await;
    let notice = b"SNOTICE\0VNOTICE\0C00000\0Mtake \xc3\xa9 note\0\0".to_vec();
    let error =
        b"SERROR\0VERROR\0C23505\0Mduplicate\0DKey (id)=(1)\0Htry another\0P7\0p3\0qSELECT\0\
        WPL/pgSQL\0sbilling\0ttable\0ccolumn\0dint\0nkey\0Ffile.c\0L42\0Rroutine\0\0"
            .to_vec();
    let messages = [wire::message('N', &notice), wire::message('E', &error)].concat();
    fixture.owner.send_data(stream, messages);
    fixture.owner.send_ready(stream, TransactionStatus::Idle);
    assert_eq!(caller.read().await, ('N', notice));
    assert_eq!(caller.read().await, ('E', error));
    assert_eq!(caller.read_ready_status().await, 'I');
}

/// Drivers prepare a statement before they run it; the idempotency key belongs to the execution.
#[rstest]
#[actix_rt::test]
async fn idempotency_key_waits_until_a_prepared_write_runs() {
    let Fixture { mut owner, edge, .. } = Fixture::start().await;
    let mut caller = RawCaller::start(edge.address()).await;
    caller.send(&wire::query("SET corktack.idempotency_key = 'order-7'")).await;
    caller.read_types_until_ready().await;
    let insert = parse("w", "INSERT INTO t VALUES (1)");
    caller.send(&[insert, target('D', 'S', "w"), sync()].concat()).await;
    let prepared = owner.serve_one_request("").await;
    assert_eq!(prepared.idempotency_key, None, "nothing runs yet");
    caller.read_types_until_ready().await;
    caller.send(&[bind("", "w"), execute("", 0), sync()].concat()).await;
    let run = owner.serve_one_request("").await;
    assert_eq!(run.idempotency_key.as_deref(), Some("order-7"));
}
