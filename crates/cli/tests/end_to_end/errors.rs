//! What callers are told when something does not run.

use crate::support::{CallerSettings, caller, proxy, sqlstate, start_dev};
use corktack_server::dev::Dev;
use rstest::rstest;
use tokio_postgres::error::DbError;
use tokio_postgres::{Error, NoTls};

fn server_error(error: &Error) -> &DbError {
    error.as_db_error().expect("an error of the server")
}

#[actix_rt::test]
async fn an_error_of_the_back_end_arrives_with_every_field_and_the_session_goes_on() {
    let mut dev = start_dev().await;
    let primary = dev.group().postgres_addresses()[0];
    let proxied = caller(&dev, 0).await;
    let direct = CallerSettings::new(primary).connect().await.expect("let in");
    proxied.batch_execute("CREATE TABLE beds (id INT PRIMARY KEY)").await.expect("table made");
    proxied.batch_execute("INSERT INTO beds VALUES (1)").await.expect("row inserted");
    for wrong in ["INSERT INTO beds VALUES (1)", "SELECT hut FROM beds", "SELEKT 1"] {
        let expected = direct.batch_execute(wrong).await.expect_err("refused by the back end");
        let simple = proxied.batch_execute(wrong).await.expect_err("refused by the back end");
        assert_eq!(server_error(&simple), server_error(&expected), "{wrong}");
        let extended = proxied.query(wrong, &[]).await.expect_err("refused by the back end");
        assert_eq!(server_error(&extended).code(), server_error(&expected).code(), "{wrong}");
    }
    assert_eq!(proxied.value("SELECT count(*) FROM beds").await, "1");
    dev.stop().await;
}

#[actix_rt::test]
async fn what_cannot_be_pooled_is_refused_before_it_runs() {
    let dev = start_dev().await;
    let caller = caller(&dev, 0).await;
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
        // Nothing of a query string runs where one statement of it is refused.
        let mixed = format!("INSERT INTO beds VALUES (1); {statement}");
        assert_not_run(&caller.batch_execute(&mixed).await.expect_err("refused"), &mixed);
    }
    assert_eq!(caller.value("SELECT count(*) FROM beds").await, "0");
    let made = "SELECT count(*) FROM sqlite_master WHERE name = 'huts'";
    assert_eq!(caller.value(made).await, "0");
    dev.stop().await;
}

fn assert_not_run(error: &Error, statement: &str) {
    let error = server_error(error);
    assert_eq!(error.code().code(), "0A000", "{statement}: {error}");
    assert!(error.message().contains("not run"), "{statement}: {error}");
}

#[actix_rt::test]
async fn an_unknown_database_is_refused_at_the_start() {
    let dev = start_dev().await;
    let mut settings = CallerSettings::new(proxy(&dev, 0));
    settings.config.dbname("no_such");
    let error = settings.connect().await.err().expect("refused");
    assert_eq!(sqlstate(&error), "3D000");
    assert!(server_error(&error).message().contains("no_such"), "{error}");
    dev.stop().await;
}

#[rstest]
#[case::garbage("garbage")]
#[case::no_number("demo=1/x")]
#[actix_rt::test]
async fn a_malformed_token_is_refused_at_the_start(#[case] token: &str) {
    let dev = start_dev().await;
    let connected = CallerSettings::new(proxy(&dev, 0)).token(token).connect().await;
    assert_eq!(sqlstate(&connected.err().expect("refused")), "22023");
    dev.stop().await;
}

#[rstest]
#[case::read("SELECT pg_sleep(3600)")]
#[case::write("INSERT INTO naps SELECT pg_sleep(3600)")]
#[actix_rt::test]
async fn a_cancel_request_ends_the_statement_and_nothing_else(#[case] statement: &'static str) {
    let dev = start_dev().await;
    let sleeper = caller(&dev, 0).await;
    sleeper.batch_execute("CREATE TABLE naps (nap TEXT)").await.expect("table made");
    let error = cancelled(&dev, &sleeper, statement).await;
    assert_eq!(sqlstate(&error), "57014");
    sleeper.batch_execute("INSERT INTO naps VALUES ('short')").await.expect("row inserted");
    assert_eq!(sleeper.value("SELECT count(*) FROM naps").await, "1");
    dev.stop().await;
}

/// Runs a statement and asks to cancel it until it ends. A request that comes before the
/// statement has begun finds nothing to cancel, so it is made again.
async fn cancelled(dev: &Dev, sleeper: &crate::support::Caller, statement: &str) -> Error {
    let token = sleeper.cancel_token();
    let other = caller(dev, 0).await;
    let run = sleeper.batch_execute(statement);
    tokio::pin!(run);
    loop {
        tokio::select! {
            ended = &mut run => return ended.expect_err("cancelled"),
            asked = token.cancel_query(NoTls) => asked.expect("cancel request sent"),
        }
        // Others at the same proxy are served meanwhile.
        assert_eq!(other.value("SELECT 1 AS n").await, "1");
    }
}
