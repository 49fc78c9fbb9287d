//! Errors that callers receive when a statement or a connection is refused, fails or is cancelled.

use crate::support::{CallerSettings, connect_caller, proxy_address, sqlstate, start_dev};
use corktack_server::dev::Dev;
use rstest::rstest;
use tokio_postgres::error::DbError;
use tokio_postgres::{Error, NoTls};

fn database_error(error: &Error) -> &DbError {
    error.as_db_error().expect("an error of the server")
}

#[actix_rt::test]
async fn an_error_of_the_back_end_arrives_with_every_field_and_the_session_continues() {
    let mut dev = start_dev().await;
    let primary = dev.group().postgres_addresses()[0];
    let proxied = connect_caller(&dev, 0).await;
    let direct = CallerSettings::new(primary).connect().await.expect("the caller is accepted");
    proxied.batch_execute("CREATE TABLE beds (id INT PRIMARY KEY)").await.expect("table made");
    proxied.batch_execute("INSERT INTO beds VALUES (1)").await.expect("row inserted");
    for invalid in ["INSERT INTO beds VALUES (1)", "SELECT hut FROM beds", "SELEKT 1"] {
        let expected = direct.batch_execute(invalid).await.expect_err("refused by the back end");
        let simple = proxied.batch_execute(invalid).await.expect_err("refused by the back end");
        assert_eq!(database_error(&simple), database_error(&expected), "{invalid}");
        let extended = proxied.query(invalid, &[]).await.expect_err("refused by the back end");
        assert_eq!(database_error(&extended).code(), database_error(&expected).code(), "{invalid}");
    }
    assert_eq!(proxied.query_value("SELECT count(*) FROM beds").await, "1");
    dev.stop().await;
}

#[actix_rt::test]
async fn statements_that_cannot_be_pooled_are_refused_before_they_run() {
    let dev = start_dev().await;
    let caller = connect_caller(&dev, 0).await;
    caller.batch_execute("CREATE TABLE beds (id INT)").await.expect("table made");
    let refused = [
        "LISTEN beds",
        "NOTIFY beds",
        "CREATE TEMPORARY TABLE huts (id INT)",
        "CREATE TEMP TABLE huts AS SELECT * FROM beds",
        "SELECT * INTO TEMP huts FROM beds",
        "COPY beds FROM STDIN",
        "COPY beds TO STDOUT",
        "PREPARE one AS SELECT 1",
        "SELECT pg_advisory_lock(1)",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        "RESET ALL",
    ];
    for statement in refused {
        let simple = caller.batch_execute(statement).await.expect_err("refused");
        assert_not_run(&simple, statement);
        let extended = caller.query(statement, &[]).await.expect_err("refused");
        assert_not_run(&extended, statement);
        // No statement of a query string runs when one of them is refused.
        let mixed = format!("INSERT INTO beds VALUES (1); {statement}");
        assert_not_run(&caller.batch_execute(&mixed).await.expect_err("refused"), &mixed);
    }
    assert_eq!(caller.query_value("SELECT count(*) FROM beds").await, "0");
    let count_huts = "SELECT count(*) FROM sqlite_master WHERE name = 'huts'";
    assert_eq!(caller.query_value(count_huts).await, "0");
    dev.stop().await;
}

fn assert_not_run(error: &Error, statement: &str) {
    let error = database_error(error);
    assert_eq!(error.code().code(), "0A000", "{statement}: {error}");
    assert!(error.message().contains("not run"), "{statement}: {error}");
}

#[actix_rt::test]
async fn an_unknown_database_is_refused_at_connection_startup() {
    let dev = start_dev().await;
    let mut settings = CallerSettings::new(proxy_address(&dev, 0));
    settings.config.dbname("no_such");
    let error = settings.connect().await.err().expect("refused");
    assert_eq!(sqlstate(&error), "3D000");
    assert!(database_error(&error).message().contains("no_such"), "{error}");
    dev.stop().await;
}

#[rstest]
#[case::garbage("garbage")]
#[case::no_number("demo=1/x")]
#[actix_rt::test]
async fn a_malformed_token_is_refused_at_connection_startup(#[case] token: &str) {
    let dev = start_dev().await;
    let connected = CallerSettings::new(proxy_address(&dev, 0)).with_token(token).connect().await;
    assert_eq!(sqlstate(&connected.err().expect("refused")), "22023");
    dev.stop().await;
}

#[rstest]
#[case::read("SELECT pg_sleep(3600)")]
#[case::write("INSERT INTO naps SELECT pg_sleep(3600)")]
#[actix_rt::test]
async fn a_cancel_request_ends_only_the_statement(#[case] statement: &'static str) {
    let dev = start_dev().await;
    let sleeper = connect_caller(&dev, 0).await;
    sleeper.batch_execute("CREATE TABLE naps (nap TEXT)").await.expect("table made");
    let error = run_and_cancel(&dev, &sleeper, statement).await;
    assert_eq!(sqlstate(&error), "57014");
    sleeper.batch_execute("INSERT INTO naps VALUES ('short')").await.expect("row inserted");
    assert_eq!(sleeper.query_value("SELECT count(*) FROM naps").await, "1");
    dev.stop().await;
}

/// Runs a statement and repeats the cancel request until the statement ends; returns its error. A cancel
/// request that arrives before the statement has begun finds nothing to cancel.
async fn run_and_cancel(dev: &Dev, sleeper: &crate::support::Caller, statement: &str) -> Error {
    let token = sleeper.cancel_token();
    let other = connect_caller(dev, 0).await;
    let run = sleeper.batch_execute(statement);
    tokio::pin!(run);
    loop {
        tokio::select! {
            ended = &mut run => return ended.expect_err("cancelled"),
            sent = token.cancel_query(NoTls) => sent.expect("cancel request sent"),
        }
        // The proxy serves other callers meanwhile.
        assert_eq!(other.query_value("SELECT 1 AS n").await, "1");
    }
}
