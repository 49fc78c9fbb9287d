//! Stops of a proxy, of a group's primary and of the program: work in flight is finished, idle callers are
//! told to reconnect, and no acknowledged write is lost.

use crate::support::{
    Caller, CallerSettings, TEST_TIMEOUT, ThirdProxy, connect_caller, sqlstate, start_dev,
};
use corktack_server::dev::Dev;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use tokio::time::timeout;

/// Repeats a query until it fails because the proxy stops; returns the SQLSTATE, or `closed` when the error
/// has none.
async fn wait_for_stop_error(caller: &Caller) -> String {
    let failed = async {
        loop {
            if let Err(error) = caller.query_rows("SELECT 1 AS n").await {
                // The message may arrive before the client reads, or the connection may close first.
                return error.code().map_or("closed", |code| code.code()).to_owned();
            }
        }
    };
    timeout(TEST_TIMEOUT, failed).await.expect("an error in time")
}

#[actix_rt::test]
async fn an_open_transaction_is_finished_and_an_idle_caller_told_to_reconnect() {
    let dev = start_dev().await;
    let proxy = ThirdProxy::start(&dev, "").await;
    let callers = proxy.handle.addresses().callers;
    let connect = || CallerSettings::new(callers).connect();
    let busy = connect().await.expect("the caller is accepted");
    let idle = connect().await.expect("the caller is accepted");
    busy.batch_execute("CREATE TABLE beds (id INT)").await.expect("table made");
    busy.batch_execute("BEGIN; INSERT INTO beds VALUES (1)").await.expect("open");
    let stop = actix_rt::spawn(proxy.handle.stop());
    let idle_error = wait_for_stop_error(&idle).await;
    assert!(["57P01", "closed"].contains(&idle_error.as_str()), "{idle_error}");
    // The proxy refuses new callers while the transaction is open.
    assert!(connect().await.is_err());
    busy.batch_execute("INSERT INTO beds VALUES (2)").await.expect("still open");
    busy.batch_execute("COMMIT").await.expect("committed");
    let busy_error = wait_for_stop_error(&busy).await;
    assert!(["57P01", "closed"].contains(&busy_error.as_str()), "{busy_error}");
    timeout(TEST_TIMEOUT, stop).await.expect("the stop ends in time").expect("the stop's task");
    assert_eq!(connect_caller(&dev, 1).await.query_value("SELECT count(*) FROM beds").await, "2");
    dev.stop().await;
}

/// Retries an insert at the second proxy until it succeeds. After a refusal the insert has not run; only
/// after an unknown outcome may the row exist already.
async fn insert_with_retries(dev: &Dev, id: i32) {
    let insert = format!("INSERT INTO beds VALUES ({id})");
    let written = async {
        let mut outcome_unknown = false;
        loop {
            let Err(error) = connect_caller(dev, 1).await.batch_execute(&insert).await else {
                return;
            };
            match sqlstate(&error) {
                "57P03" | "53400" => {}
                "08007" => outcome_unknown = true,
                "23505" if outcome_unknown => return,
                _ => panic!("{error:?}"),
            }
        }
    };
    timeout(TEST_TIMEOUT, written).await.expect("written in time");
}

#[actix_rt::test]
async fn a_stopped_primary_is_replaced_and_nothing_acknowledged_is_lost() {
    let mut dev = start_dev().await;
    let first = connect_caller(&dev, 0).await;
    first.batch_execute("CREATE TABLE beds (id INT PRIMARY KEY)").await.expect("table made");
    insert_with_retries(&dev, 1).await;
    dev.group().stop_member(0);
    insert_with_retries(&dev, 2).await;
    let select_ids = "SELECT group_concat(id) FROM beds";
    assert_eq!(connect_caller(&dev, 0).await.query_value(select_ids).await, "1,2");
    dev.stop().await;
}

#[test]
fn dev_prints_its_addresses_and_exits_with_0_on_sigterm() {
    let arguments = ["dev", "--port", "0", "--operators-port", "0"];
    let mut command = Command::new(env!("CARGO_BIN_EXE_corktack"));
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped());
    let mut child = command.spawn().expect("the program starts");
    let output = child.stdout.take().expect("a pipe");
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line).expect("one line");
    let process_id = rustix::process::Pid::from_child(&child);
    let signalled = rustix::process::kill_process(process_id, rustix::process::Signal::TERM);
    let exit_status = child.wait().expect("the program's end");
    signalled.expect("signal sent");
    assert_eq!(exit_status.code(), Some(0), "{line}");
    assert!(line.starts_with("psql -h 127.0.0.1 -p "), "{line}");
    assert!(line.contains("operators http://127.0.0.1:"), "{line}");
}
