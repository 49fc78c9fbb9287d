//! Limits on callers and messages that a proxy's settings set.

use crate::support::{CallerSettings, TEST_TIMEOUT, ThirdProxy, sqlstate, start_dev};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Sends bytes on a new connection and returns everything that the proxy sends until it closes the
/// connection.
async fn exchange_bytes(address: SocketAddr, bytes: &[u8]) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.expect("connected");
        stream.write_all(bytes).await.expect("sent");
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.expect("read to the end");
        String::from_utf8_lossy(&answer).into_owned()
    };
    timeout(TEST_TIMEOUT, exchange).await.expect("the proxy closes in time")
}

#[actix_rt::test]
async fn callers_over_the_limit_are_refused_and_accepted_once_another_has_disconnected() {
    let dev = start_dev().await;
    let proxy = ThirdProxy::start(&dev, "[limits]\ncallers = 2").await;
    let connect = || CallerSettings::new(proxy.handle.addresses().callers).connect();
    let first = connect().await.expect("the caller is accepted");
    let _second = connect().await.expect("the caller is accepted");
    let refused = connect().await.err().expect("refused");
    assert_eq!(sqlstate(&refused), "53300");
    let hint = refused.as_db_error().and_then(|error| error.hint()).unwrap_or_default();
    assert!(hint.starts_with("retry_after_ms="), "{hint}");
    drop(first);
    let accepted = async {
        loop {
            if let Ok(caller) = connect().await {
                return caller;
            }
            actix_rt::task::yield_now().await;
        }
    };
    let third = timeout(TEST_TIMEOUT, accepted)
        .await
        .expect("accepted once the first caller has disconnected");
    assert_eq!(third.query_value("SELECT 1 AS n").await, "1");
    dev.stop().await;
}

#[actix_rt::test]
async fn a_message_over_the_size_limit_is_refused_and_not_run() {
    let dev = start_dev().await;
    let proxy = ThirdProxy::start(&dev, "[limits]\nmessage_bytes = 1024").await;
    let connect = || CallerSettings::new(proxy.handle.addresses().callers).connect();
    let caller = connect().await.expect("the caller is accepted");
    caller.batch_execute("CREATE TABLE beds (note TEXT)").await.expect("table made");
    let oversized = format!("INSERT INTO beds VALUES ('{}')", "x".repeat(2_000));
    let refused = caller.batch_execute(&oversized).await.expect_err("refused");
    assert_eq!(sqlstate(&refused), "54000");
    let reconnected = connect().await.expect("the caller is accepted");
    assert_eq!(reconnected.query_value("SELECT count(*) FROM beds").await, "0");
    dev.stop().await;
}

#[actix_rt::test]
async fn silent_connections_and_oversized_startup_messages_are_refused_before_authentication() {
    let dev = start_dev().await;
    let limits = "[limits]\nstartup_message_bytes = 1024\n[timeouts]\nauthentication_ms = 50";
    let proxy = ThirdProxy::start(&dev, limits).await;
    let callers = proxy.handle.addresses().callers;
    let silent = exchange_bytes(callers, b"").await;
    assert!(silent.contains("57P05"), "{silent:?}");
    // The startup message announces a length of 2 KiB, which a proxy without the setting accepts.
    let oversized = exchange_bytes(callers, &[0, 0, 8, 0, 0, 3, 0, 0]).await;
    assert!(oversized.contains("54000"), "{oversized:?}");
    dev.stop().await;
}
