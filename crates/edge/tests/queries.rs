//! Queries of a caller through the edge to a scripted owner.
#![allow(clippy::unwrap_used)]

mod support;

use corktack_core::position::{Position, Term};
use corktack_protocol::peer::{Access, EdgeMessage, TransactionStatus};
use pgwire::messages::PgWireFrontendMessage as Message;
use support::wire::{self, RawCaller};
use support::{Fixture, connect, error_fields};
use tokio_postgres::SimpleQueryMessage;

fn first_value(messages: &[SimpleQueryMessage]) -> String {
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    row.unwrap().to_owned()
}

#[actix_rt::test]
async fn simple_query_is_answered() {
    let mut fixture = Fixture::start().await;
    let caller = fixture.caller().await;
    let (answer, request) = futures_util::join!(
        caller.simple_query("SELECT value FROM flags"),
        fixture.owner.serve_one_request("flagged"),
    );
    assert_eq!(first_value(&answer.unwrap()), "flagged");
    assert_eq!(request.access, Access::Read);
    assert_eq!(request.group, support::group());
    assert_eq!(request.minimum, None);
    assert_eq!(wire::query_text(&request.batch), "SELECT value FROM flags");
}

#[actix_rt::test]
async fn extended_query_uses_shared_statement_names() {
    let mut fixture = Fixture::start().await;
    let caller = fixture.caller().await;
    let (statement, prepare) = futures_util::join!(
        caller.prepare("SELECT value FROM flags"),
        fixture.owner.serve_one_request(""),
    );
    let statement = statement.unwrap();
    let Some(Message::Parse(parse)) = wire::decode(&prepare.batch).into_iter().next() else {
        panic!("no Parse in the first batch");
    };
    let shared = parse.name.unwrap();
    assert!(shared.starts_with("ct_"));
    assert!(prepare.batch.prepared.is_empty());
    let (row, execute) = futures_util::join!(
        caller.query_one(&statement, &[]),
        fixture.owner.serve_one_request("x")
    );
    assert_eq!(row.unwrap().get::<_, String>(0), "x");
    assert_eq!(execute.batch.prepared.len(), 1);
    assert_eq!(execute.batch.prepared[0].name, shared);
    assert_eq!(execute.batch.prepared[0].query, "SELECT value FROM flags");
    let names = wire::decode(&execute.batch).into_iter().find_map(|message| match message {
        Message::Bind(bind) => bind.statement_name,
        _ => None,
    });
    assert_eq!(names, Some(shared));
}

#[actix_rt::test]
async fn error_of_the_back_end_is_passed_on_unchanged() {
    let mut fixture = Fixture::start().await;
    let caller = fixture.caller().await;
    let owner = async {
        let (stream, _) = fixture.owner.expect_open().await;
        let error = wire::error("23505", "duplicate key");
        fixture.owner.send_data(stream, wire::encode(&[error]));
        fixture.owner.send_ready(stream, TransactionStatus::Idle);
    };
    let (answer, ()) = futures_util::join!(caller.simple_query("INSERT INTO t VALUES (1)"), owner);
    let (code, text, hint) = error_fields(&answer.unwrap_err());
    assert_eq!((code.as_str(), text.as_str(), hint), ("23505", "duplicate key", None));
    let (answer, _) =
        futures_util::join!(caller.simple_query("SELECT 1"), fixture.owner.serve_one_request("on"));
    assert_eq!(first_value(&answer.unwrap()), "on");
}

#[actix_rt::test]
async fn transaction_keeps_its_stream() {
    let mut fixture = Fixture::start().await;
    let caller = fixture.caller().await;
    let owner = async {
        let (opened, request) = fixture.owner.expect_open().await;
        assert_eq!(request.access, Access::Write);
        fixture.owner.answer_batch(opened, &request.batch, "", TransactionStatus::Open);
        let (stream, batch) = fixture.owner.expect_batch().await;
        assert_eq!(stream, opened);
        fixture.owner.answer_batch(stream, &batch, "inside", TransactionStatus::Open);
        let (stream, batch) = fixture.owner.expect_batch().await;
        fixture.owner.answer_batch(stream, &batch, "", TransactionStatus::Idle);
    };
    let calls = async {
        caller.simple_query("BEGIN").await.unwrap();
        let inside = caller.simple_query("SELECT 1").await.unwrap();
        caller.simple_query("COMMIT").await.unwrap();
        inside
    };
    let (inside, ()) = futures_util::join!(calls, owner);
    assert_eq!(first_value(&inside), "inside");
}

#[actix_rt::test]
async fn pipelined_requests_are_answered_completely_and_in_order() {
    let mut fixture = Fixture::start().await;
    let caller = fixture.caller().await;
    let owner = async {
        for number in 0..20 {
            let request = fixture.owner.serve_one_request(&number.to_string()).await;
            assert_eq!(wire::query_text(&request.batch), format!("SELECT {number}"));
        }
    };
    let texts: Vec<String> = (0..20).map(|number| format!("SELECT {number}")).collect();
    let calls = futures_util::future::join_all(texts.iter().map(|text| caller.simple_query(text)));
    let (answers, ()) = futures_util::join!(calls, owner);
    for (number, answer) in answers.into_iter().enumerate() {
        assert_eq!(first_value(&answer.unwrap()), number.to_string());
    }
}

#[actix_rt::test]
async fn answers_reordered_between_streams_reach_their_callers() {
    let mut fixture = Fixture::start().await;
    let (first, second) = (fixture.caller().await, fixture.caller().await);
    let owner = async {
        let (one, one_request) = fixture.owner.expect_open().await;
        let (two, two_request) = fixture.owner.expect_open().await;
        assert!(two > one);
        for (stream, request) in [(two, two_request), (one, one_request)] {
            let value = wire::query_text(&request.batch);
            fixture.owner.answer_batch(stream, &request.batch, &value, TransactionStatus::Idle);
            // The edge drops messages of a stream that has ended.
            fixture.owner.answer_batch(stream, &request.batch, "late", TransactionStatus::Idle);
        }
    };
    let (one, two, ()) = futures_util::join!(
        first.simple_query("SELECT 'one'"),
        second.simple_query("SELECT 'two'"),
        owner
    );
    assert_eq!(first_value(&one.unwrap()), "SELECT 'one'");
    assert_eq!(first_value(&two.unwrap()), "SELECT 'two'");
}

#[actix_rt::test]
async fn token_arrives_before_the_command_completes_and_another_session_can_present_it() {
    let mut fixture = Fixture::start().await;
    let mut caller = RawCaller::start(fixture.edge.address()).await;
    caller.send(&wire::query("INSERT INTO t VALUES (1)")).await;
    let (stream, _) = fixture.owner.expect_open().await;
    let position = Position { term: Term(3), index: 41 };
    fixture.owner.send_position(stream, position);
    fixture.owner.send_data(stream, wire::encode(&[wire::complete("INSERT 0 1")]));
    fixture.owner.send_ready(stream, TransactionStatus::Idle);
    let (kind, body) = caller.read().await;
    assert_eq!((kind, body.as_slice()), ('S', &b"corktack.token\0cdr=3/41\0"[..]));
    assert_eq!(caller.read_types_until_ready().await, "CZ");

    let mut config = fixture.config();
    config.options("-c corktack.token=cdr=3/41");
    let other = connect(&config).await.unwrap();
    let (_, request) =
        futures_util::join!(other.simple_query("SELECT 1"), fixture.owner.serve_one_request(""));
    assert_eq!(request.minimum, Some(position));
    other.batch_execute("SET corktack.token = 'cdr=3/50,other=1/1'").await.unwrap();
    let shown = other.query_one("SHOW corktack.token", &[]).await.unwrap();
    assert_eq!(shown.get::<_, String>(0), "cdr=3/50,other=1/1");
}

#[actix_rt::test]
async fn idempotency_key_goes_with_the_next_write_only() {
    let mut fixture = Fixture::start().await;
    let caller = fixture.caller().await;
    caller.batch_execute("SET corktack.idempotency_key = 'order-7'").await.unwrap();
    let mut keys = Vec::new();
    for text in ["SELECT 1", "INSERT INTO t VALUES (1)", "INSERT INTO t VALUES (2)"] {
        let (answer, request) =
            futures_util::join!(caller.simple_query(text), fixture.owner.serve_one_request(""));
        answer.unwrap();
        keys.push(request.idempotency_key);
    }
    assert_eq!(keys, [None, Some("order-7".to_owned()), None]);
}

#[actix_rt::test]
async fn cancel_reaches_the_stream_of_its_session() {
    let mut fixture = Fixture::start().await;
    let caller = fixture.caller().await;
    let token = caller.cancel_token();
    let owner = async {
        let (opened, _) = fixture.owner.expect_open().await;
        token.cancel_query(tokio_postgres::NoTls).await.unwrap();
        let EdgeMessage::Cancel { stream } = fixture.owner.next_message().await else {
            panic!("no Cancel");
        };
        assert_eq!(stream, opened);
        let error = wire::error("57014", "canceling statement due to user request");
        fixture.owner.send_data(stream, wire::encode(&[error]));
        fixture.owner.send_ready(stream, TransactionStatus::Idle);
    };
    let (answer, ()) = futures_util::join!(caller.simple_query("SELECT 1"), owner);
    assert_eq!(error_fields(&answer.unwrap_err()).0, "57014");
}
