//! Statements that cannot work on shared server connections are refused before they run.

use crate::support::{Fixture, error_fields, wire};
use rstest::rstest;

#[rstest]
#[case::listen("LISTEN flags")]
#[case::notify("NOTIFY flags")]
#[case::temporary_table("CREATE TEMP TABLE t (id int)")]
#[case::copy_in("COPY t FROM STDIN")]
#[case::copy_out("COPY t TO STDOUT")]
#[case::session_setting("SET work_mem = '1MB'")]
#[case::role("SET ROLE admin")]
#[case::session_lock("SELECT pg_advisory_lock(1)")]
#[case::hold_cursor("DECLARE c CURSOR WITH HOLD FOR SELECT 1")]
#[case::prepare("PREPARE p AS SELECT 1")]
#[case::hidden_in_several("INSERT INTO t VALUES (1); LISTEN flags")]
#[actix_rt::test]
async fn unsupported_statement_is_refused_before_it_runs(#[case] text: &str) {
    let mut fixture = Fixture::start().await;
    let caller = fixture.caller().await;
    let simple = caller.simple_query(text).await.expect_err("a simple query is refused");
    let extended = caller.prepare(text).await.map(drop).expect_err("a Parse is refused");
    for error in [simple, extended] {
        let (code, message, _) = error_fields(&error);
        assert_eq!(code, "0A000");
        assert!(message.contains("not run"), "{message}");
    }
    let (answer, request) =
        futures_util::join!(caller.simple_query("SELECT 1"), fixture.owner.serve_one_request("1"));
    answer.expect("the session goes on");
    assert_eq!(wire::query_text(&request.batch), "SELECT 1", "it is the first request");
}

#[actix_rt::test]
async fn discard_all_forgets_statements_and_the_idempotency_key() {
    let mut fixture = Fixture::start().await;
    let caller = fixture.caller().await;
    caller.batch_execute("SET corktack.idempotency_key = 'order-7'").await.expect("it is kept");
    caller.batch_execute("DISCARD ALL").await.expect("it is answered");
    let (answer, request) = futures_util::join!(
        caller.simple_query("INSERT INTO t VALUES (1)"),
        fixture.owner.serve_one_request("")
    );
    answer.expect("it runs");
    assert_eq!(request.idempotency_key, None, "the next user's write is another request");
}

#[actix_rt::test]
async fn discard_of_other_things_keeps_statements() {
    let mut fixture = Fixture::start().await;
    let caller = fixture.caller().await;
    let (statement, _) =
        futures_util::join!(caller.prepare("SELECT 1"), fixture.owner.serve_one_request(""));
    let statement = statement.expect("it is prepared");
    caller.batch_execute("DISCARD TEMP").await.expect("it is answered");
    let (row, _) = futures_util::join!(
        caller.query_one(&statement, &[]),
        fixture.owner.serve_one_request("x")
    );
    assert_eq!(row.expect("the statement is still there").get::<_, String>(0), "x");
}
