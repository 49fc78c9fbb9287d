//! Writes that share a transaction of the engine fail and succeed one by one.

mod common;

use common::{TestGroup, cancel, client, eventually, sqlstate, start_group};
use corktack_core::backend::fence_statement;
use corktack_core::position::Term;
use rstest::rstest;
use tokio::task::JoinHandle;
use tokio_postgres::{CancelToken, Error};

type Writing = JoinHandle<Result<(), Error>>;

/// Sends a write on a connection of its own; it waits while another holds the writing connection.
async fn send(test: &TestGroup, sql: String) -> (CancelToken, Writing) {
    let client = client(test.group.postgres_addresses()[0]).await;
    let token = client.cancel_token();
    (token, tokio::spawn(async move { client.simple_query(&sql).await.map(|_| ()) }))
}

async fn send_inserts(test: &TestGroup, ids: impl Iterator<Item = usize>) -> Vec<Writing> {
    let mut writing = Vec::new();
    for id in ids {
        writing.push(send(test, format!("INSERT INTO calls VALUES ({id}, 'x')")).await.1);
    }
    writing
}

async fn start() -> TestGroup {
    let test = start_group();
    let mut caller = test.caller(0).await;
    let create = "CREATE TABLE calls (id INT PRIMARY KEY, line TEXT)";
    caller.simple(create).await.expect("a majority runs");
    test
}

async fn ids_everywhere(test: &TestGroup) -> Vec<usize> {
    let mut primary = test.caller(0).await;
    let query = "SELECT id FROM calls ORDER BY id";
    let rows = primary.simple(query).await.expect("the primary reads");
    let read = primary.position().expect("a read reports a position");
    for place in [1, 2] {
        eventually(|| async {
            test.group.member(place).is_some_and(|member| member.applied_position().covers(read))
        })
        .await;
        let copy = test.caller(place).await.simple(query).await.expect("the replica reads");
        assert_eq!(copy, rows);
    }
    rows.iter().flatten().flatten().map(|id| id.parse().expect("a number")).collect()
}

#[rstest]
#[tokio::test]
async fn of_writes_of_one_key_one_succeeds() {
    let test = start().await;
    let mut holder = test.caller(0).await;
    holder.simple("BEGIN; INSERT INTO calls VALUES (99, 'x')").await.expect("nobody else writes");
    let writing = send_inserts(&test, (0..20).map(|number| number % 10)).await;
    holder.simple("COMMIT").await.expect("a majority runs");
    let mut refused = 0;
    for write in writing {
        if let Err(error) = write.await.expect("the caller does not panic") {
            assert_eq!(sqlstate(&error), "23505");
            refused += 1;
        }
    }
    assert_eq!(refused, 10);
    assert_eq!(ids_everywhere(&test).await, [&(0..10).collect::<Vec<_>>()[..], &[99]].concat());
}

#[rstest]
#[case::cancelled("INSERT INTO calls SELECT 50, pg_sleep(3600)", "57014")]
#[case::rolls_all_back("INSERT OR ROLLBACK INTO calls VALUES (99, 'x')", "23505")]
#[case::fails_half_way("INSERT OR FAIL INTO calls VALUES (60, 'x'), (99, 'x')", "23505")]
#[tokio::test]
async fn a_failed_write_takes_no_other_with_it_and_leaves_nothing(
    #[case] ending: &str,
    #[case] state: &str,
) {
    let test = start().await;
    let mut holder = test.caller(0).await;
    holder.simple("BEGIN; INSERT INTO calls VALUES (99, 'x')").await.expect("nobody else writes");
    let mut writing = send_inserts(&test, 0..10).await;
    let (token, ended) = send(&test, ending.to_owned()).await;
    writing.extend(send_inserts(&test, 10..20).await);
    holder.simple("COMMIT").await.expect("a majority runs");
    eventually(|| async {
        cancel(&token, test.group.postgres_addresses()[0]).await;
        ended.is_finished()
    })
    .await;
    let error = ended.await.expect("the caller does not panic").expect_err("it cannot succeed");
    // A cancellation may reach either write before it ran.
    assert!([state, "57014"].contains(&sqlstate(&error)), "{error}");
    for write in writing {
        write.await.expect("the caller does not panic").expect("it is a write of its own");
    }
    assert_eq!(ids_everywhere(&test).await, [&(0..20).collect::<Vec<_>>()[..], &[99]].concat());
}

#[rstest]
#[tokio::test]
async fn waiting_writes_did_not_run_when_the_primary_is_fenced() {
    let test = start().await;
    let mut holder = test.caller(0).await;
    holder.simple("BEGIN; INSERT INTO calls VALUES (99, 'x')").await.expect("nobody else writes");
    let writing = send_inserts(&test, 0..10).await;
    let mut control = test.caller(0).await;
    control.simple(&fence_statement(Term(2))).await.expect("the term is the highest");
    for write in writing {
        let error = write.await.expect("the caller does not panic").expect_err("it is fenced");
        assert_eq!(sqlstate(&error), "25006");
    }
    assert!(control.simple("SELECT id FROM calls").await.expect("it reads").is_empty());
}
