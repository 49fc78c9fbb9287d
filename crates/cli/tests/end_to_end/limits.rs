//! Limits of a proxy, as its settings set them.

use crate::support::{CallerSettings, LIMIT, ThirdProxy, sqlstate, start_dev};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Sends bytes on a fresh connection, and reads what comes until the proxy closes it.
async fn talk(address: SocketAddr, bytes: &[u8]) -> String {
    let talk = async {
        let mut stream = TcpStream::connect(address).await.expect("connected");
        stream.write_all(bytes).await.expect("sent");
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.expect("read to the end");
        String::from_utf8_lossy(&answer).into_owned()
    };
    timeout(LIMIT, talk).await.expect("the proxy closes in time")
}

#[actix_rt::test]
async fn callers_over_the_limit_are_refused_and_let_in_once_others_left() {
    let dev = start_dev().await;
    let proxy = ThirdProxy::start(&dev, "[limits]\ncallers = 2").await;
    let connect = || CallerSettings::new(proxy.handle.addresses().callers).connect();
    let first = connect().await.expect("let in");
    let _second = connect().await.expect("let in");
    let refused = connect().await.err().expect("refused");
    assert_eq!(sqlstate(&refused), "53300");
    let hint = refused.as_db_error().and_then(|error| error.hint()).unwrap_or_default();
    assert!(hint.starts_with("retry_after_ms="), "{hint}");
    drop(first);
    let let_in = async {
        loop {
            if let Ok(caller) = connect().await {
                return caller;
            }
            actix_rt::task::yield_now().await;
        }
    };
    let third = timeout(LIMIT, let_in).await.expect("let in once the first one left");
    assert_eq!(third.value("SELECT 1 AS n").await, "1");
    dev.stop().await;
}

#[actix_rt::test]
async fn a_message_over_the_limit_is_refused_and_did_not_run() {
    let dev = start_dev().await;
    let proxy = ThirdProxy::start(&dev, "[limits]\nmessage_bytes = 1024").await;
    let connect = || CallerSettings::new(proxy.handle.addresses().callers).connect();
    let caller = connect().await.expect("let in");
    caller.batch_execute("CREATE TABLE beds (note TEXT)").await.expect("table made");
    let long = format!("INSERT INTO beds VALUES ('{}')", "x".repeat(2_000));
    let refused = caller.batch_execute(&long).await.expect_err("refused");
    assert_eq!(sqlstate(&refused), "54000");
    let again = connect().await.expect("let in");
    assert_eq!(again.value("SELECT count(*) FROM beds").await, "0");
    dev.stop().await;
}

#[actix_rt::test]
async fn who_says_nothing_or_too_much_before_authentication_is_turned_away() {
    let dev = start_dev().await;
    let limits = "[limits]\nstartup_message_bytes = 1024\n[timeouts]\nauthentication_ms = 50";
    let proxy = ThirdProxy::start(&dev, limits).await;
    let callers = proxy.handle.addresses().callers;
    let silent = talk(callers, b"").await;
    assert!(silent.contains("57P05"), "{silent:?}");
    // A length of 2 KiB, under the limit of a proxy without the setting.
    let long = talk(callers, &[0, 0, 8, 0, 0, 3, 0, 0]).await;
    assert!(long.contains("54000"), "{long:?}");
    dev.stop().await;
}
