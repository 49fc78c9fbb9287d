//! Planned stops: what is in flight is finished, who is idle is told to reconnect.

use crate::support::{Caller, CallerSettings, LIMIT, ThirdProxy, caller, sqlstate, start_dev};
use corktack_server::dev::Dev;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use tokio::time::timeout;

/// Asks again until the session is told that its proxy stops.
async fn told_to_reconnect(caller: &Caller) -> String {
    let told = async {
        loop {
            if let Err(error) = caller.rows("SELECT 1 AS n").await {
                // The message may come before the client reads, or end the connection.
                return error.code().map_or("closed", |code| code.code()).to_owned();
            }
        }
    };
    timeout(LIMIT, told).await.expect("told in time")
}

#[actix_rt::test]
async fn an_open_transaction_is_finished_and_an_idle_caller_told_to_reconnect() {
    let dev = start_dev().await;
    let proxy = ThirdProxy::start(&dev, "").await;
    let callers = proxy.handle.addresses().callers;
    let connect = || CallerSettings::new(callers).connect();
    let busy = connect().await.expect("let in");
    let idle = connect().await.expect("let in");
    busy.batch_execute("CREATE TABLE beds (id INT)").await.expect("table made");
    busy.batch_execute("BEGIN; INSERT INTO beds VALUES (1)").await.expect("open");
    let stop = actix_rt::spawn(proxy.handle.stop());
    let idle_told = told_to_reconnect(&idle).await;
    assert!(["57P01", "closed"].contains(&idle_told.as_str()), "{idle_told}");
    // No new caller is let in while the transaction goes on.
    assert!(connect().await.is_err());
    busy.batch_execute("INSERT INTO beds VALUES (2)").await.expect("still open");
    busy.batch_execute("COMMIT").await.expect("committed");
    let busy_told = told_to_reconnect(&busy).await;
    assert!(["57P01", "closed"].contains(&busy_told.as_str()), "{busy_told}");
    timeout(LIMIT, stop).await.expect("the stop ends in time").expect("the stop's task");
    assert_eq!(caller(&dev, 1).await.value("SELECT count(*) FROM beds").await, "2");
    dev.stop().await;
}

/// Writes a row at the second proxy until it is taken. A refusal says that it did not run;
/// only after an unknown outcome may the row be there already.
async fn write(dev: &Dev, id: i32) {
    let insert = format!("INSERT INTO beds VALUES ({id})");
    let written = async {
        let mut unknown = false;
        loop {
            let Err(error) = caller(dev, 1).await.batch_execute(&insert).await else { return };
            match sqlstate(&error) {
                "57P03" | "53400" => {}
                "08007" => unknown = true,
                "23505" if unknown => return,
                _ => panic!("{error:?}"),
            }
        }
    };
    timeout(LIMIT, written).await.expect("written in time");
}

#[actix_rt::test]
async fn a_stopped_primary_is_replaced_and_nothing_acknowledged_is_lost() {
    let mut dev = start_dev().await;
    let first = caller(&dev, 0).await;
    first.batch_execute("CREATE TABLE beds (id INT PRIMARY KEY)").await.expect("table made");
    write(&dev, 1).await;
    dev.group().stop_member(0);
    write(&dev, 2).await;
    let ids = "SELECT group_concat(id) FROM beds";
    assert_eq!(caller(&dev, 0).await.value(ids).await, "1,2");
    dev.stop().await;
}

#[test]
fn the_program_says_where_it_is_and_ends_with_0_on_sigterm() {
    let arguments = ["dev", "--port", "0", "--operators-port", "0"];
    let mut command = Command::new(env!("CARGO_BIN_EXE_corktack"));
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped());
    let mut child = command.spawn().expect("the program starts");
    let output = child.stdout.take().expect("a pipe");
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line).expect("one line");
    let id = rustix::process::Pid::from_child(&child);
    let asked = rustix::process::kill_process(id, rustix::process::Signal::TERM);
    let ended = child.wait().expect("the program's end");
    asked.expect("signal sent");
    assert_eq!(ended.code(), Some(0), "{line}");
    assert!(line.starts_with("psql -h 127.0.0.1 -p "), "{line}");
    assert!(line.contains("operators http://127.0.0.1:"), "{line}");
}
