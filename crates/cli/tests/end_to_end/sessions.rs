//! Session consistency: a session reads its own writes through any proxy, however far replicas lag, and a
//! write repeated under one idempotency key runs once.

use crate::support::{Caller, CallerSettings, connect_caller, proxy_address, start_dev};
use corktack_server::dev::Dev;

/// Sets a replication lag of 1 h (3600000 ms), longer than any test: reads on a replica never see what is
/// committed afterwards.
const SET_REPLICATION_LAG: &str = "ALTER SYSTEM SET REPLICATION LAG 3600000";

/// Sets the replication lag on every member of the group.
async fn make_replicas_lag(dev: &mut Dev) {
    for address in dev.group().postgres_addresses().to_vec() {
        let member = CallerSettings::new(address).connect().await.expect("the caller is accepted");
        member.batch_execute(SET_REPLICATION_LAG).await.expect("lag set");
    }
}

async fn insert_bed(caller: &Caller, id: i32) {
    let inserted = caller.execute("INSERT INTO beds VALUES ($1)", &[&id]).await;
    assert_eq!(inserted.expect("row inserted"), 1);
}

const COUNT_BEDS: &str = "SELECT count(*) FROM beds";

#[actix_rt::test]
async fn a_write_is_read_back_on_another_proxy_with_its_token_and_without() {
    let mut dev = start_dev().await;
    let writer = connect_caller(&dev, 0).await;
    writer.batch_execute("CREATE TABLE beds (id INT PRIMARY KEY)").await.expect("table made");
    make_replicas_lag(&mut dev).await;
    for id in 1..=5 {
        insert_bed(&writer, id).await;
        assert_eq!(writer.query_value(COUNT_BEDS).await, id.to_string());
        let resumed =
            CallerSettings::new(proxy_address(&dev, 1)).with_token(&writer.token()).connect().await;
        let resumed = resumed.expect("the caller is accepted");
        assert_eq!(resumed.query_value(COUNT_BEDS).await, id.to_string(), "with the token");
        let fresh = connect_caller(&dev, 1).await;
        assert_eq!(fresh.query_value(COUNT_BEDS).await, id.to_string(), "without a token");
    }
    dev.stop().await;
}

#[actix_rt::test]
async fn the_token_is_reported_and_shown_and_advances_with_each_write() {
    let dev = start_dev().await;
    let session = connect_caller(&dev, 0).await;
    session.batch_execute("CREATE TABLE beds (id INT PRIMARY KEY)").await.expect("table made");
    let mut last_position = parse_position(&session.token());
    for id in 1..=3 {
        insert_bed(&session, id).await;
        let reported = session.token();
        assert_eq!(session.query_value("SHOW corktack.token").await, reported);
        let current = parse_position(&reported);
        assert!(current > last_position, "{current:?} after {last_position:?}");
        last_position = current;
    }
    // A session adopts a newer token of another session; an older token does not move its position back.
    let other = connect_caller(&dev, 1).await;
    let set = format!("SET corktack.token = '{}'", session.token());
    other.batch_execute(&set).await.expect("token set");
    assert_eq!(parse_position(&other.query_value("SHOW corktack.token").await), last_position);
    let term = last_position.0;
    other.batch_execute(&format!("SET corktack.token = 'demo={term}/1'")).await.expect("set");
    assert_eq!(parse_position(&other.query_value("SHOW corktack.token").await), last_position);
    dev.stop().await;
}

/// Parses the term and index of a token of the form `demo=TERM/INDEX`.
fn parse_position(token: &str) -> (u64, u64) {
    let numbers = token.strip_prefix("demo=").and_then(|text| text.split_once('/'));
    let (term, index) = numbers.unwrap_or_else(|| panic!("{token:?} is no token of demo"));
    (term.parse().expect("a term"), index.parse().expect("an index"))
}

#[actix_rt::test]
async fn a_repeated_write_under_one_key_runs_once_on_any_proxy() {
    let dev = start_dev().await;
    let (first, second) = (connect_caller(&dev, 0).await, connect_caller(&dev, 1).await);
    first.batch_execute("CREATE TABLE beds (id INT)").await.expect("table made");
    for session in [&first, &second, &first] {
        let key = "SET corktack.idempotency_key = 'admission-1'";
        session.batch_execute(key).await.expect("key set");
        session.batch_execute("INSERT INTO beds VALUES (1)").await.expect("outcome of the first");
    }
    assert_eq!(second.query_value(COUNT_BEDS).await, "1");
    dev.stop().await;
}
