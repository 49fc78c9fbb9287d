//! Log lines: their form, their bounds, and that nobody waits for them.

use corktack_server::telemetry::lines::{LINES_PER_SECOND, LineLog, QUEUE_LINES};
use log::{Level, Log, Record};
use serde_json::Value;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

fn filter() -> env_logger::Logger {
    env_logger::Builder::new().filter_level(log::LevelFilter::Info).build()
}

/// Keeps what is written.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no writer panics").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Kept {
    fn lines(&self) -> Vec<Value> {
        let bytes = self.0.lock().expect("no writer panics").clone();
        let text = String::from_utf8(bytes).expect("lines are text");
        text.lines().map(|line| serde_json::from_str(line).expect("each line is JSON")).collect()
    }
}

/// A standard output that nobody reads: the first write ends only with the test.
struct Unread(Receiver<()>);

impl Write for Unread {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn log_at(log: &LineLog, level: Level, message: &str) {
    let values = [("id", log::kv::Value::from("r-1")), ("waited_ms", log::kv::Value::from(7_u64))];
    log.log(
        &Record::builder()
            .level(level)
            .target("corktack_gateway::session")
            .args(format_args!("{message}"))
            .key_values(&values)
            .build(),
    );
}

#[test]
fn a_line_is_one_json_object_with_the_keys_of_the_record() {
    let kept = Kept::default();
    let log = LineLog::start(filter(), kept.clone()).expect("the thread starts");
    log_at(&log, Level::Info, "statement \"failed\"\nand more");
    log.flush();
    let lines = kept.lines();
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["level"], "INFO");
    assert_eq!(lines[0]["target"], "corktack_gateway::session");
    assert_eq!(lines[0]["message"], "statement \"failed\"\nand more");
    assert_eq!(lines[0]["id"], "r-1");
    assert_eq!(lines[0]["waited_ms"], 7);
    assert!(lines[0]["time_ms"].is_u64() && lines[0]["up_ms"].is_u64());
}

#[test]
fn records_below_the_level_are_not_written() {
    let kept = Kept::default();
    let log = LineLog::start(filter(), kept.clone()).expect("the thread starts");
    log_at(&log, Level::Debug, "detail");
    log.flush();
    assert!(kept.lines().is_empty());
    assert_eq!(log.dropped(), 0);
}

#[test]
fn nobody_waits_for_an_output_that_is_not_read() {
    let (_held, unread): (Sender<()>, _) = channel();
    let log = LineLog::start(filter(), Unread(unread)).expect("the thread starts");
    let lines = QUEUE_LINES * 3;
    for _ in 0..lines {
        log_at(&log, Level::Warn, "warning");
    }
    // The writer holds one batch at the most beside the queue.
    assert!(log.dropped() >= (QUEUE_LINES - 200) as u64, "{}", log.dropped());
    assert!(log.dropped() <= (lines - QUEUE_LINES) as u64, "{}", log.dropped());
}

#[test]
fn a_flood_is_cut_and_said_so() {
    let kept = Kept::default();
    let log = LineLog::start(filter(), kept.clone()).expect("the thread starts");
    // The flood may straddle a second; more than three budgets cannot fit into two.
    for _ in 0..LINES_PER_SECOND * 4 {
        log_at(&log, Level::Info, "statement failed");
    }
    log_at(&log, Level::Error, "still heard");
    log.flush();
    let lines = kept.lines();
    assert!(log.dropped() > 0);
    assert!(lines.iter().any(|line| line["message"] == "still heard"));
    let told = lines.iter().find(|line| line["message"] == "log lines dropped");
    assert!(told.is_some_and(|line| line["time_ms"].is_u64()), "{told:?}");
}
