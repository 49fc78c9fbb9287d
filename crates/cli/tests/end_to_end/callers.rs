//! Queries, prepared statements and transactions that callers run through a proxy, one by one and
//! concurrently.

use crate::support::{
    Caller, CallerSettings, apply_manifest, connect_caller, proxy_address, run, sqlstate,
    start_dev, wait_until_in_force,
};
use corktack_server::dev::Dev;
use futures_util::future::join_all;
use tokio_postgres::SimpleQueryMessage;

/// Number of concurrent callers: four times the group's slots.
const CALLERS: i64 = 20;
/// Number of rounds of queries or transactions that each caller runs.
const ROUNDS: i64 = 10;
/// Queue timeout, in milliseconds, of the test in which all callers write to one row. The stand-in runs
/// writes one after the other with a sync for each, and the test must not depend on the speed of the disk:
/// with the 5 s of `dev`, while 24 threads wrote and synced 64 MB files on the machine, syncs took so long
/// that a caller behind 19 others was refused in 2 runs of 2.
const LONG_QUEUE_TIMEOUT_MS: u32 = 100_000;

#[actix_rt::test]
async fn simple_and_extended_queries_return_complete_results() {
    let dev = start_dev().await;
    let caller = connect_caller(&dev, 0).await;
    let create = "CREATE TABLE calls (id BIGINT PRIMARY KEY, line TEXT, seconds INT)";
    caller.batch_execute(create).await.expect("table made");
    let insert = "INSERT INTO calls VALUES ($1, $2, $3)";
    for id in 0..3_i64 {
        let inserted = caller.execute(insert, &[&id, &format!("54-{id}"), &60_i32]).await;
        assert_eq!(inserted.expect("row inserted"), 1);
    }
    let query = "SELECT line, seconds FROM calls WHERE id >= $1 ORDER BY id";
    let rows = caller.query(query, &[&1_i64]).await.expect("rows");
    let lines: Vec<&str> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(lines, ["54-1", "54-2"]);
    assert_eq!(rows[0].get::<_, i32>(1), 60);
    let messages = caller.simple_query("SELECT line FROM calls ORDER BY id; SELECT 7 AS n").await;
    let messages = messages.expect("two answers");
    let completed = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::CommandComplete(rows) => Some(*rows),
        _ => None,
    });
    assert_eq!(completed.collect::<Vec<_>>(), [3, 1]);
    assert_eq!(caller.query_value("SELECT 7 AS n").await, "7");
    dev.stop().await;
}

#[actix_rt::test]
async fn prepared_statements_with_one_name_stay_separate_on_pooled_connections() {
    let dev = start_dev().await;
    // The client library names its first statement s0 in every session.
    let (first, second) = (connect_caller(&dev, 0).await, connect_caller(&dev, 1).await);
    first.batch_execute("CREATE TABLE beds (id INT, ward TEXT)").await.expect("table made");
    first.batch_execute("INSERT INTO beds VALUES (1, 'east'), (2, 'west')").await.expect("rows");
    let by_id = first.prepare("SELECT ward FROM beds WHERE id = $1").await.expect("prepared");
    let by_ward = second.prepare("SELECT id FROM beds WHERE ward = $1").await.expect("prepared");
    for _ in 0..ROUNDS {
        let first_query = first.query_one(&by_id, &[&2_i32]);
        let second_query = second.query_one(&by_ward, &[&"east"]);
        let (ward, id) = tokio::join!(first_query, second_query);
        assert_eq!(ward.expect("one row").get::<_, &str>(0), "west");
        assert_eq!(id.expect("one row").get::<_, i32>(0), 1);
    }
    // A statement that one session closes stays prepared in the other, even when both have the same text.
    let same_text = second.prepare("SELECT ward FROM beds WHERE id = $1").await.expect("prepared");
    drop(by_id);
    let row = second.query_one(&same_text, &[&1_i32]).await.expect("one row");
    assert_eq!(row.get::<_, &str>(0), "east");
    dev.stop().await;
}

/// Counts the rows in a new session, which must see every acknowledged write. An older session is only
/// guaranteed to see what it has written or read itself.
async fn count_committed_beds(dev: &Dev) -> String {
    connect_caller(dev, 1).await.query_value("SELECT count(*) FROM beds").await
}

#[actix_rt::test]
async fn a_transaction_is_atomic_and_invisible_until_its_commit() {
    let dev = start_dev().await;
    let mut writer = connect_caller(&dev, 0).await;
    writer.batch_execute("CREATE TABLE beds (id INT PRIMARY KEY)").await.expect("table made");
    let transaction = writer.transaction().await.expect("begun");
    for id in 1..=2_i32 {
        let inserted = transaction.execute("INSERT INTO beds VALUES ($1)", &[&id]).await;
        assert_eq!(inserted.expect("row inserted"), 1);
    }
    assert_eq!(count_committed_beds(&dev).await, "0");
    transaction.commit().await.expect("committed");
    assert_eq!(count_committed_beds(&dev).await, "2");
    let transaction = writer.transaction().await.expect("begun");
    transaction.execute("DELETE FROM beds", &[]).await.expect("rows deleted");
    transaction.rollback().await.expect("rolled back");
    assert_eq!(count_committed_beds(&dev).await, "2");
    // After an error inside a transaction, the whole transaction is rolled back.
    writer.batch_execute("BEGIN; INSERT INTO beds VALUES (3)").await.expect("open");
    let failed =
        writer.batch_execute("INSERT INTO beds VALUES (1)").await.expect_err("a duplicate key");
    assert_eq!(sqlstate(&failed), "23505");
    let aborted = writer.batch_execute("SELECT 1").await.expect_err("aborted");
    assert_eq!(sqlstate(&aborted), "25P02");
    writer.batch_execute("COMMIT").await.expect("ended");
    assert_eq!(count_committed_beds(&dev).await, "2");
    dev.stop().await;
}

#[actix_rt::test]
async fn the_open_transaction_of_a_caller_that_disconnects_is_rolled_back() {
    let dev = start_dev().await;
    let (disconnecting, remaining) = (connect_caller(&dev, 0).await, connect_caller(&dev, 0).await);
    disconnecting
        .batch_execute("CREATE TABLE beds (id INT PRIMARY KEY)")
        .await
        .expect("table made");
    disconnecting.batch_execute("BEGIN; INSERT INTO beds VALUES (1)").await.expect("open");
    drop(disconnecting);
    // The insert waits for the write lock of the transaction that is rolled back.
    remaining.batch_execute("INSERT INTO beds VALUES (2)").await.expect("row inserted");
    assert_eq!(remaining.query_value("SELECT group_concat(id) FROM beds").await, "2");
    dev.stop().await;
}

#[actix_rt::test]
async fn twenty_callers_at_two_proxies_get_their_own_results_and_lose_no_write() {
    let dev = start_dev().await;
    raise_queue_timeout(&dev).await;
    let first = connect_caller(&dev, 0).await;
    let create = "CREATE TABLE counters (id BIGINT PRIMARY KEY, value BIGINT)";
    first.batch_execute(create).await.expect("table made");
    first.batch_execute("INSERT INTO counters VALUES (-1, 0)").await.expect("row inserted");
    let connect = (0..CALLERS).map(|index| {
        let address = proxy_address(&dev, index as usize % 2);
        async move { CallerSettings::new(address).connect().await.expect("the caller is accepted") }
    });
    let callers = join_all(connect).await;
    let numbered = (0..CALLERS).zip(callers);
    join_all(numbered.map(|(id, caller)| run_transactions(id, caller))).await;
    let select_sums = "SELECT sum(value), count(*) FROM counters WHERE id >= 0";
    // A new session sees every acknowledged write.
    let reader = connect_caller(&dev, 1).await;
    let rows = reader.query_rows(select_sums).await.expect("sums");
    let text = |number: i64| Some(number.to_string());
    assert_eq!(rows, [[text(CALLERS * ROUNDS), text(CALLERS)]]);
    let shared = reader.query_value("SELECT value FROM counters WHERE id = -1").await;
    assert_eq!(shared, (CALLERS * ROUNDS).to_string());
    dev.stop().await;
}

/// Raises the queue timeout of the demo group and waits until the change is in force.
async fn raise_queue_timeout(dev: &Dev) {
    let shown = run(dev, &["-o", "yaml", "get", "group", "demo"]).await;
    let long_timeout = format!("queueTimeoutMs: {LONG_QUEUE_TIMEOUT_MS}");
    let text = shown.stdout.replace("queueTimeoutMs: 5000", &long_timeout);
    assert!(text.contains(&long_timeout), "{shown:?}");
    let applied = apply_manifest(dev, &text).await;
    assert!(applied.stdout.contains("DatabaseGroup/demo configured"), "{applied:?}");
    wait_until_in_force(dev).await;
}

/// Runs the transactions of one caller: each increments the caller's own row and the shared row (id -1).
/// After each commit, the caller reads its own row back.
async fn run_transactions(id: i64, mut caller: Caller) {
    let insert = "INSERT INTO counters VALUES ($1, 0)";
    caller.execute(insert, &[&id]).await.expect("row inserted");
    let add = "UPDATE counters SET value = value + 1 WHERE id = $1";
    for round in 1..=ROUNDS {
        let transaction = caller.transaction().await.expect("begun");
        for row in [id, -1] {
            assert_eq!(transaction.execute(add, &[&row]).await.expect("row changed"), 1);
        }
        transaction.commit().await.expect("committed");
        let read = "SELECT id, value FROM counters WHERE id = $1";
        let row = caller.query_one(read, &[&id]).await.expect("its row");
        assert_eq!((row.get::<_, i64>(0), row.get::<_, i64>(1)), (id, round));
    }
}
