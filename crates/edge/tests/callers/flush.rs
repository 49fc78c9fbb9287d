//! `Flush` outside a transaction block: the answers are sent at once, and the batch continues.

use crate::support::extended::{bind, execute, flush, message_types, parse, sync, target};
use crate::support::wire::{self, RawCaller};
use crate::support::{Fixture, group};
use corktack_core::position::{Position, Term};
use corktack_protocol::peer::{Access, Batch, EdgeMessage, StreamId, TransactionStatus};
use rstest::rstest;

const SELECT: &str = "SELECT 1";
const INSERT: &str = "INSERT INTO t VALUES (1)";

/// Sends the first part of a batch, has it answered, and checks the message types of request and
/// answer.
async fn first_part(
    fixture: &mut Fixture,
    caller: &mut RawCaller,
    part: &[Vec<u8>],
    expected: (&str, &str),
) -> StreamId {
    caller.send(&part.concat()).await;
    let (stream, request) = fixture.owner.expect_open().await;
    assert_eq!(message_types(&request.batch), expected.0);
    assert_eq!(request.access, Access::Write, "the rest of the batch may be a write");
    fixture.owner.answer_batch(stream, &request.batch, "1", TransactionStatus::Open);
    assert_eq!(caller.read_message_types(expected.1.len()).await, expected.1);
    stream
}

/// Sends a later part and returns the batch that reaches the owner.
async fn later_part(
    fixture: &mut Fixture,
    caller: &mut RawCaller,
    part: &[Vec<u8>],
    stream: StreamId,
) -> Batch {
    caller.send(&part.concat()).await;
    let (on, batch) = fixture.owner.expect_batch().await;
    assert_eq!(on, stream, "the batch stays on its connection");
    batch
}

#[rstest]
#[case::unnamed("", "")]
#[case::named("s", "p")]
#[actix_rt::test]
async fn bound_statement_is_described_flushed_and_then_run(
    #[case] statement: &str,
    #[case] portal: &str,
) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let part = [
        parse(statement, INSERT),
        target('D', 'S', statement),
        bind(portal, statement),
        target('D', 'P', portal),
        flush(),
    ];
    let stream = first_part(&mut fixture, &mut caller, &part, ("PDBDH", "1tT2T")).await;
    let rest = [execute(portal, 0), sync()];
    let batch = later_part(&mut fixture, &mut caller, &rest, stream).await;
    assert_eq!(message_types(&batch), "ES");
    fixture.owner.answer_batch(stream, &batch, "1", TransactionStatus::Idle);
    assert_eq!(caller.read_types_until_ready().await, "DCZ");
    assert!(fixture.owner.received_nothing_more(), "the write was sent once");
}

#[actix_rt::test]
async fn prepared_statement_is_flushed_and_then_run() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&[parse("", SELECT), target('D', 'S', ""), flush()].concat()).await;
    let (stream, request) = fixture.owner.expect_open().await;
    assert_eq!(message_types(&request.batch), "PDS", "the batch holds no connection");
    fixture.owner.answer_batch(stream, &request.batch, "", TransactionStatus::Idle);
    assert_eq!(caller.read_message_types(3).await, "1tT");
    caller.send(&[bind("", ""), execute("", 0), sync()].concat()).await;
    fixture.owner.serve_one_request("1").await;
    assert_eq!(caller.read_types_until_ready().await, "2DCZ");
}

#[actix_rt::test]
async fn flush_right_before_sync_changes_nothing() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let batch = [parse("", SELECT), bind("", ""), execute("", 0), flush(), sync()];
    caller.send(&batch.concat()).await;
    let request = fixture.owner.serve_one_request("1").await;
    assert_eq!(message_types(&request.batch), "PBES");
    assert_eq!(request.access, Access::Read, "a replica may serve it");
    assert_eq!(caller.read_types_until_ready().await, "12DCZ");
}

#[actix_rt::test]
async fn write_is_flushed_and_ends_with_a_sync_of_its_own() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let part = [parse("", INSERT), bind("", ""), execute("", 0), flush()];
    let stream = first_part(&mut fixture, &mut caller, &part, ("PBEH", "12DC")).await;
    let batch = later_part(&mut fixture, &mut caller, &[sync()], stream).await;
    assert_eq!(message_types(&batch), "S");
    fixture.owner.send_ready(stream, TransactionStatus::Idle);
    assert_eq!(caller.read_types_until_ready().await, "Z");
}

#[actix_rt::test]
async fn several_flushes_share_one_sync_and_one_connection() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let part = [parse("s", INSERT), bind("", "s"), execute("", 0), flush()];
    let stream = first_part(&mut fixture, &mut caller, &part, ("PBEH", "12DC")).await;
    let parts: [(&[Vec<u8>], &str, &str); 3] = [
        (&[bind("", "s"), execute("", 0), flush()], "BEH", "2DC"),
        (&[parse("q", SELECT), flush()], "PH", "1"),
        (&[bind("c", "q"), execute("c", 1), flush()], "BEH", "2DC"),
    ];
    for (part, sent, answered) in parts {
        let batch = later_part(&mut fixture, &mut caller, part, stream).await;
        assert_eq!(message_types(&batch), sent);
        fixture.owner.answer_batch(stream, &batch, "1", TransactionStatus::Open);
        assert_eq!(caller.read_message_types(answered.len()).await, answered);
    }
    let rest = [execute("c", 1), target('C', 'P', "c"), sync()];
    let batch = later_part(&mut fixture, &mut caller, &rest, stream).await;
    assert_eq!(message_types(&batch), "ECS");
    fixture.owner.answer_batch(stream, &batch, "1", TransactionStatus::Idle);
    assert_eq!(caller.read_types_until_ready().await, "DC3Z");
    caller.send(&wire::query(SELECT)).await;
    let request = fixture.owner.serve_one_request("1").await;
    assert_eq!(request.access, Access::Read, "the next one opens a stream of its own");
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}

#[actix_rt::test]
async fn flush_with_nothing_before_it_is_ignored() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&[flush(), flush()].concat()).await;
    let part = [flush(), parse("", INSERT), bind("", ""), flush(), flush()];
    let stream = first_part(&mut fixture, &mut caller, &part, ("PBH", "12")).await;
    let rest = [flush(), execute("", 0), sync()];
    let batch = later_part(&mut fixture, &mut caller, &rest, stream).await;
    assert_eq!(message_types(&batch), "ES");
    fixture.owner.answer_batch(stream, &batch, "1", TransactionStatus::Idle);
    assert_eq!(caller.read_types_until_ready().await, "DCZ");
}

#[actix_rt::test]
async fn error_between_flushes_skips_everything_up_to_sync() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let part = [parse("", INSERT), bind("", ""), execute("", 0), flush()];
    let stream = first_part(&mut fixture, &mut caller, &part, ("PBEH", "12DC")).await;
    let failing = [bind("", ""), execute("", 0), flush()];
    later_part(&mut fixture, &mut caller, &failing, stream).await;
    fixture.owner.send_data(stream, wire::encode(&[wire::error("23505", "duplicate key")]));
    fixture.owner.send_ready(stream, TransactionStatus::Open);
    assert_eq!(caller.read_error_code().await, "23505");
    let (on, batch) = fixture.owner.expect_batch().await;
    assert_eq!(
        (on, message_types(&batch).as_str()),
        (stream, "S"),
        "the connection is free at once"
    );
    fixture.owner.send_ready(stream, TransactionStatus::Idle);
    let skipped = [bind("", ""), execute("", 0), flush(), wire::query(INSERT), sync()];
    caller.send(&skipped.concat()).await;
    assert_eq!(caller.read().await, ('Z', b"I".to_vec()));
    assert!(fixture.owner.received_nothing_more(), "nothing of the skipped part is sent");
    caller.send(&wire::query(SELECT)).await;
    fixture.owner.serve_one_request("1").await;
    assert_eq!(caller.read_types_until_ready().await, "TDCZ");
}

#[rstest]
#[case::unknown_statement([bind("", "missing"), execute("", 0), flush()].concat(), "26000")]
#[case::refused_text([parse("n", "LISTEN flags"), flush()].concat(), "0A000")]
#[case::edge_statement([parse("n", "SHOW corktack.token"), flush()].concat(), "0A000")]
#[actix_rt::test]
async fn error_of_the_edge_between_flushes_rolls_the_batch_back(
    #[case] failing: Vec<u8>,
    #[case] code: &str,
) {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let part = [parse("", INSERT), bind("", ""), execute("", 0), flush()];
    let stream = first_part(&mut fixture, &mut caller, &part, ("PBEH", "12DC")).await;
    caller.send(&[failing, wire::query(INSERT)].concat()).await;
    assert_eq!(caller.read_error_code().await, code);
    assert_eq!(fixture.owner.next_message().await, EdgeMessage::Close { stream });
    caller.send(&sync()).await;
    assert_eq!(caller.read().await, ('Z', b"I".to_vec()));
    assert!(fixture.owner.received_nothing_more());
}

#[actix_rt::test]
async fn block_opened_in_a_flushed_batch_continues_after_sync() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    let part = [parse("", "BEGIN"), bind("", ""), execute("", 0), flush()];
    let stream = first_part(&mut fixture, &mut caller, &part, ("PBEH", "12DC")).await;
    later_part(&mut fixture, &mut caller, &[sync()], stream).await;
    fixture.owner.send_ready(stream, TransactionStatus::Open);
    assert_eq!(caller.read_ready_status().await, 'T');
    let part = [parse("", INSERT), bind("", ""), execute("", 0), flush()];
    let batch = later_part(&mut fixture, &mut caller, &part, stream).await;
    assert_eq!(message_types(&batch), "PBES", "inside a block the edge's own Sync commits nothing");
}

#[actix_rt::test]
async fn edge_statement_is_bound_flushed_and_then_run() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&[parse("", "SHOW corktack.token"), bind("", ""), flush()].concat()).await;
    assert_eq!(caller.read_message_types(2).await, "12");
    caller.send(&[target('D', 'P', ""), execute("", 0), flush()].concat()).await;
    assert_eq!(caller.read_message_types(3).await, "TDC");
    caller.send(&sync()).await;
    assert_eq!(caller.read_ready_status().await, 'I');
    assert!(fixture.owner.received_nothing_more());
}

#[actix_rt::test]
async fn position_of_a_flushed_write_is_recorded_for_the_session() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&[parse("", INSERT), bind("", ""), execute("", 0), flush()].concat()).await;
    let (stream, request) = fixture.owner.expect_open().await;
    let (first, second) =
        (Position { term: Term(3), index: 41 }, Position { term: Term(3), index: 42 });
    fixture.owner.send_position(stream, first);
    fixture.owner.answer_batch(stream, &request.batch, "1", TransactionStatus::Open);
    assert_eq!(caller.read_message_types(5).await, "S12DC");
    later_part(&mut fixture, &mut caller, &[sync()], stream).await;
    fixture.owner.send_position(stream, second);
    fixture.owner.send_ready(stream, TransactionStatus::Idle);
    assert_eq!(caller.read().await, ('S', b"corktack.token\0cdr=3/42\0".to_vec()));
    assert_eq!(caller.read_ready_status().await, 'I');
    caller.send(&wire::query(SELECT)).await;
    let request = fixture.owner.serve_one_request("1").await;
    assert_eq!((request.group, request.minimum), (group(), Some(second)));
}

#[actix_rt::test]
async fn unfinished_batches_of_two_sessions_never_mix() {
    let mut fixture = Fixture::start().await;
    let mut first = RawCaller::start(fixture.edge.address()).await;
    let mut second = RawCaller::start(fixture.edge.address()).await;
    let part = [parse("", INSERT), bind("", ""), flush()];
    let one = first_part(&mut fixture, &mut first, &part, ("PBH", "12")).await;
    let two = first_part(&mut fixture, &mut second, &part, ("PBH", "12")).await;
    assert_ne!(one, two);
    let rest = [execute("", 0), sync()];
    let of_two = later_part(&mut fixture, &mut second, &rest, two).await;
    let of_one = later_part(&mut fixture, &mut first, &rest, one).await;
    fixture.owner.answer_batch(one, &of_one, "one", TransactionStatus::Idle);
    fixture.owner.answer_batch(two, &of_two, "two", TransactionStatus::Idle);
    for (caller, value) in [(&mut first, "one"), (&mut second, "two")] {
        let (kind, row) = caller.read().await;
        assert_eq!((kind, row.ends_with(value.as_bytes())), ('D', true));
        assert_eq!(caller.read_types_until_ready().await, "CZ");
    }
}
