//! Statements of callers: types, transactions, errors, limits, cancellation.

#![allow(clippy::unwrap_used)]

mod common;

use common::{Caller, cancel, client, config, eventually, sqlstate, start_group, start_group_with};
use corktack_standin::DEFAULT_CONNECTION_COST;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[tokio::test]
async fn prepared_statements_carry_types_both_ways() {
    let test = start_group();
    let caller = client(test.group.postgres_addresses()[0]).await;
    let create = "CREATE TABLE calls (id BIGINT PRIMARY KEY, seconds INT, line TEXT, \
        disputed BOOL, rate DOUBLE PRECISION, raw BYTEA)";
    caller.batch_execute(create).await.unwrap();
    let insert = "INSERT INTO calls (id, seconds, line, disputed, rate, raw) \
        VALUES ($1, $2, $3, $4, $5, $6) RETURNING id";
    let insert = caller.prepare(insert).await.unwrap();
    for id in 0..3_i64 {
        let line = format!("54-{id}");
        let raw: &[u8] = &[0, 255, 7];
        let row = caller
            .query_one(&insert, &[&id, &60_i32, &line, &(id == 1), &0.25_f64, &raw])
            .await
            .unwrap();
        assert_eq!(row.get::<_, i64>(0), id);
    }
    let query = "SELECT id, seconds, line, disputed, rate, raw FROM calls WHERE line = $1";
    let row = caller.query_one(query, &[&"54-1"]).await.unwrap();
    assert_eq!(row.get::<_, i64>(0), 1);
    assert_eq!(row.get::<_, i32>(1), 60);
    assert_eq!(row.get::<_, &str>(2), "54-1");
    assert!(row.get::<_, bool>(3));
    assert!((row.get::<_, f64>(4) - 0.25).abs() < f64::EPSILON);
    assert_eq!(row.get::<_, Vec<u8>>(5), [0, 255, 7]);
    let changed = "UPDATE calls SET seconds = seconds + $1 WHERE id IN ($2, $3)";
    assert_eq!(caller.execute(changed, &[&5_i32, &0_i64, &2_i64]).await.unwrap(), 2);
    let count = caller.query_one("SELECT count(*) FROM calls", &[]).await.unwrap();
    assert_eq!(count.get::<_, i64>(0), 3);
    let none: Option<i32> = None;
    caller.execute("UPDATE calls SET seconds = $1", &[&none]).await.unwrap();
    let row = caller.query_one("SELECT seconds FROM calls LIMIT $1", &[&1_i64]).await.unwrap();
    assert_eq!(row.get::<_, Option<i32>>(0), None);
    let one = caller.query_one("SELECT 1", &[]).await.unwrap();
    assert_eq!(one.get::<_, i32>(0), 1);
    let echo = caller.query_one("SELECT $1::int8", &[&7_i64]).await.unwrap();
    assert_eq!(echo.get::<_, i64>(0), 7);
}

#[rstest]
#[case::unique("INSERT INTO beds VALUES (1, 'a')", "23505")]
#[case::not_null("INSERT INTO beds VALUES (2, NULL)", "23502")]
#[case::syntax("SELEKT 1", "42601")]
#[case::undefined_table("SELECT * FROM huts", "42P01")]
#[case::undefined_column("SELECT hut FROM beds", "42703")]
#[case::unknown_setting("SHOW nothing", "42704")]
#[tokio::test]
async fn errors_have_their_sqlstate(#[case] statement: &str, #[case] state: &str) {
    let test = start_group();
    let mut caller = test.caller(0).await;
    let create = "CREATE TABLE beds (id INT PRIMARY KEY, guest TEXT NOT NULL)";
    caller.simple(create).await.unwrap();
    caller.simple("INSERT INTO beds VALUES (1, 'x')").await.unwrap();
    assert_eq!(sqlstate(&caller.simple(statement).await.unwrap_err()), state);
    caller.simple("BEGIN").await.unwrap();
    assert_eq!(sqlstate(&caller.simple(statement).await.unwrap_err()), state);
    assert_eq!(sqlstate(&caller.simple("SELECT 1").await.unwrap_err()), "25P02");
    caller.simple("COMMIT").await.unwrap();
    assert_eq!(caller.simple("SELECT * FROM beds").await.unwrap().len(), 1);
}

#[rstest]
#[tokio::test]
async fn a_transaction_is_whole_or_absent() {
    let test = start_group();
    let mut caller = test.caller(0).await;
    caller.simple("CREATE TABLE beds (id INT PRIMARY KEY)").await.unwrap();
    let mut client = client(test.group.postgres_addresses()[0]).await;
    let transaction = client.transaction().await.unwrap();
    transaction.execute("INSERT INTO beds VALUES ($1)", &[&1_i32]).await.unwrap();
    transaction.execute("INSERT INTO beds VALUES ($1)", &[&2_i32]).await.unwrap();
    assert!(caller.simple("SELECT * FROM beds").await.unwrap().is_empty());
    transaction.commit().await.unwrap();
    assert_eq!(caller.simple("SELECT * FROM beds").await.unwrap().len(), 2);
    let transaction = client.transaction().await.unwrap();
    transaction.execute("DELETE FROM beds", &[]).await.unwrap();
    transaction.rollback().await.unwrap();
    caller.simple("INSERT INTO beds VALUES (3); INSERT INTO beds VALUES (1)").await.unwrap_err();
    assert_eq!(caller.simple("SELECT * FROM beds").await.unwrap().len(), 2);
    let savepoints = "BEGIN; INSERT INTO beds VALUES (4); SAVEPOINT s; \
        INSERT INTO beds VALUES (5); ROLLBACK TO SAVEPOINT s; COMMIT";
    caller.simple(savepoints).await.unwrap();
    let committed = caller.position().unwrap();
    assert_eq!(caller.simple("SELECT * FROM beds").await.unwrap().len(), 3);
    caller.simple("BEGIN READ ONLY").await.unwrap();
    let error = caller.simple("DELETE FROM beds").await.unwrap_err();
    assert_eq!(sqlstate(&error), "25006");
    caller.simple("ROLLBACK").await.unwrap();
    let member = test.group.member(1).unwrap();
    eventually(|| async { member.applied_position().covers(committed) }).await;
    let mut replica = test.caller(1).await;
    assert_eq!(replica.simple("SELECT * FROM beds").await.unwrap().len(), 3);
}

#[rstest]
#[tokio::test]
async fn the_connection_limit_spares_control() {
    let test = start_group_with(|settings| settings.connection_limit = 1);
    let address = test.group.postgres_addresses()[0];
    let first = test.caller(0).await;
    let error = Caller::connect(address).await.err().unwrap();
    assert_eq!(sqlstate(&error), "53300");
    let mut control = config(address);
    control.application_name("corktack-control");
    let mut control = Caller::connect_with(&control).await.unwrap();
    control.status().await;
    drop(first);
    eventually(|| async { Caller::connect(address).await.is_ok() }).await;
}

#[rstest]
#[case::read("SELECT pg_sleep(3600)")]
#[case::write("INSERT INTO naps SELECT pg_sleep(3600)")]
#[tokio::test]
async fn a_cancelled_statement_stops(#[case] statement: &'static str) {
    let test = start_group();
    let mut watcher = test.caller(0).await;
    watcher.simple("CREATE TABLE naps (nap TEXT)").await.unwrap();
    let sleeper = client(test.group.postgres_addresses()[0]).await;
    let token = sleeper.cancel_token();
    let sleeping = tokio::spawn(async move {
        let result = sleeper.simple_query(statement).await;
        (sleeper, result)
    });
    eventually(|| async {
        cancel(&token, test.group.postgres_addresses()[0]).await;
        sleeping.is_finished()
    })
    .await;
    let (sleeper, result) = sleeping.await.unwrap();
    assert_eq!(sqlstate(&result.unwrap_err()), "57014");
    sleeper.simple_query("SELECT 1").await.unwrap();
    watcher.simple("INSERT INTO naps VALUES ('short')").await.unwrap();
}

#[rstest]
#[tokio::test]
async fn a_write_that_waits_for_another_transaction_can_be_cancelled() {
    let test = start_group();
    let mut holder = test.caller(0).await;
    holder.simple("CREATE TABLE naps (nap TEXT)").await.expect("a majority runs");
    holder.simple("BEGIN; INSERT INTO naps VALUES ('long')").await.expect("nobody else writes");
    let waiter = client(test.group.postgres_addresses()[0]).await;
    let token = waiter.cancel_token();
    let waiting =
        tokio::spawn(async move { waiter.simple_query("INSERT INTO naps VALUES ('b')").await });
    eventually(|| async {
        cancel(&token, test.group.postgres_addresses()[0]).await;
        waiting.is_finished()
    })
    .await;
    let error = waiting.await.expect("the caller does not panic").expect_err("it was cancelled");
    assert_eq!(sqlstate(&error), "57014");
    holder.simple("COMMIT").await.expect("a majority runs");
    assert_eq!(holder.simple("SELECT * FROM naps").await.expect("it is there").len(), 1);
}

#[rstest]
#[tokio::test]
async fn a_member_stops_though_more_statements_wait() {
    let mut test = start_group();
    let mut sleepers = Vec::new();
    for _ in 0..20 {
        sleepers.push(client(test.group.postgres_addresses()[0]).await);
    }
    // Each sleep that is interrupted makes room for the next one on the same connection.
    let queued = sleepers.iter().flat_map(|sleeper| std::iter::repeat_n(sleeper, 50));
    let sleeps = queued.map(|sleeper| sleeper.simple_query("SELECT pg_sleep(3600)"));
    let sleeping = futures_util::future::join_all(sleeps);
    let mut sleeping = Box::pin(sleeping);
    assert!(futures_util::poll!(&mut sleeping).is_pending());
    test.caller(0).await.simple("SELECT 1").await.expect("it is served");
    test.group.stop_member(0);
    assert!(sleeping.await.iter().all(Result::is_err));
}

#[rstest]
#[tokio::test]
async fn the_cost_of_a_connection_is_a_setting() {
    assert_eq!(DEFAULT_CONNECTION_COST, Duration::from_millis(10));
    let costly = start_group_with(|settings| settings.connection_cost = Duration::from_secs(3600));
    let address = costly.group.postgres_addresses()[0];
    let connecting = tokio::spawn(async move { Caller::connect(address).await.map(|_| ()) });
    // Control is spared; it is served again and again while the caller still waits.
    let mut control = config(address);
    control.application_name("corktack-control");
    for _ in 0..20 {
        let mut control = Caller::connect_with(&control).await.expect("control is spared");
        control.status().await;
    }
    assert!(!connecting.is_finished());
    let free = start_group_with(|settings| settings.connection_cost = Duration::ZERO);
    free.caller(0).await.simple("SELECT 1").await.expect("it is served");
    connecting.abort();
}

#[rstest]
#[tokio::test]
async fn session_commands_take_effect() {
    let test = start_group();
    let mut caller = test.caller(0).await;
    caller.simple("SET application_name = 'desk'; RESET ALL; CLOSE ALL").await.unwrap();
    let version = caller.simple("SELECT version()").await.unwrap();
    assert!(version[0][0].as_deref().unwrap().starts_with("PostgreSQL"));
    let read_only = caller.simple("SHOW transaction_read_only").await.unwrap();
    assert_eq!(read_only[0][0].as_deref(), Some("off"));
    let client = client(test.group.postgres_addresses()[1]).await;
    let statement = client.prepare("SELECT 1").await.unwrap();
    client.query_one(&statement, &[]).await.unwrap();
    client.batch_execute("DISCARD ALL").await.unwrap();
    let error = client.query_one(&statement, &[]).await.unwrap_err();
    assert_eq!(sqlstate(&error), "26000");
}
