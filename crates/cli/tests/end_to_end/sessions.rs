//! A session sees its own writes, on any proxy and whatever replicas lag.

use crate::support::{Caller, CallerSettings, caller, proxy, start_dev};
use corktack_server::dev::Dev;

/// Longer than any test: what is committed after it is set never gets to a replica's reads.
const LAG: &str = "ALTER SYSTEM SET REPLICATION LAG 3600000";

/// Makes every replica lag from now on.
async fn let_replicas_lag(dev: &mut Dev) {
    for address in dev.group().postgres_addresses().to_vec() {
        let member = CallerSettings::new(address).connect().await.expect("let in");
        member.batch_execute(LAG).await.expect("lag set");
    }
}

async fn insert(caller: &Caller, id: i32) {
    let inserted = caller.execute("INSERT INTO beds VALUES ($1)", &[&id]).await;
    assert_eq!(inserted.expect("row inserted"), 1);
}

const COUNT: &str = "SELECT count(*) FROM beds";

#[actix_rt::test]
async fn a_write_is_read_back_on_another_proxy_with_its_token_and_without() {
    let mut dev = start_dev().await;
    let writer = caller(&dev, 0).await;
    writer.batch_execute("CREATE TABLE beds (id INT PRIMARY KEY)").await.expect("table made");
    let_replicas_lag(&mut dev).await;
    for id in 1..=5 {
        insert(&writer, id).await;
        assert_eq!(writer.value(COUNT).await, id.to_string());
        let moved = CallerSettings::new(proxy(&dev, 1)).token(&writer.token()).connect().await;
        let moved = moved.expect("let in");
        assert_eq!(moved.value(COUNT).await, id.to_string(), "with the token");
        let fresh = caller(&dev, 1).await;
        assert_eq!(fresh.value(COUNT).await, id.to_string(), "without a token");
    }
    dev.stop().await;
}

#[actix_rt::test]
async fn the_token_is_shown_reported_and_rises_with_each_write() {
    let dev = start_dev().await;
    let session = caller(&dev, 0).await;
    session.batch_execute("CREATE TABLE beds (id INT PRIMARY KEY)").await.expect("table made");
    let mut last = position(&session.token());
    for id in 1..=3 {
        insert(&session, id).await;
        let reported = session.token();
        assert_eq!(session.value("SHOW corktack.token").await, reported);
        let now = position(&reported);
        assert!(now > last, "{now:?} after {last:?}");
        last = now;
    }
    // A session takes over a token of another one, and never falls behind its own.
    let other = caller(&dev, 1).await;
    let set = format!("SET corktack.token = '{}'", session.token());
    other.batch_execute(&set).await.expect("token set");
    assert_eq!(position(&other.value("SHOW corktack.token").await), last);
    let term = last.0;
    other.batch_execute(&format!("SET corktack.token = 'demo={term}/1'")).await.expect("set");
    assert_eq!(position(&other.value("SHOW corktack.token").await), last);
    dev.stop().await;
}

/// Term and index of a token of the form `demo=TERM/INDEX`.
fn position(token: &str) -> (u64, u64) {
    let numbers = token.strip_prefix("demo=").and_then(|text| text.split_once('/'));
    let (term, index) = numbers.unwrap_or_else(|| panic!("{token:?} is no token of demo"));
    (term.parse().expect("a term"), index.parse().expect("an index"))
}

#[actix_rt::test]
async fn a_repeated_write_under_one_key_runs_once_on_any_proxy() {
    let dev = start_dev().await;
    let (first, second) = (caller(&dev, 0).await, caller(&dev, 1).await);
    first.batch_execute("CREATE TABLE beds (id INT)").await.expect("table made");
    for session in [&first, &second, &first] {
        let key = "SET corktack.idempotency_key = 'admission-1'";
        session.batch_execute(key).await.expect("key set");
        session.batch_execute("INSERT INTO beds VALUES (1)").await.expect("outcome of the first");
    }
    assert_eq!(second.value(COUNT).await, "1");
    dev.stop().await;
}
