//! Log lines: their format, their rate and queue limits, and that logging never blocks.

use corktack_server::telemetry::lines::{LineLog, MAX_LINES_PER_SECOND, MAX_QUEUED_LINES};
use log::{Level, Log, Record};
use serde_json::Value;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

fn filter() -> env_logger::Logger {
    env_logger::Builder::new().filter_level(log::LevelFilter::Info).build()
}

/// A sink that keeps all written bytes.
#[derive(Clone, Default)]
struct WrittenBytes(Arc<Mutex<Vec<u8>>>);

impl Write for WrittenBytes {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no writer panics").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl WrittenBytes {
    fn lines(&self) -> Vec<Value> {
        let bytes = self.0.lock().expect("no writer panics").clone();
        let text = String::from_utf8(bytes).expect("lines are text");
        text.lines().map(|line| serde_json::from_str(line).expect("each line is JSON")).collect()
    }
}

/// A standard output that is not read: the first write blocks until the test ends.
struct BlockedOutput(Receiver<()>);

impl Write for BlockedOutput {
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
    let written = WrittenBytes::default();
    let log = LineLog::start(filter(), written.clone()).expect("the thread starts");
    log_at(&log, Level::Info, "statement \"failed\"\nand more");
    log.flush();
    let lines = written.lines();
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
    let written = WrittenBytes::default();
    let log = LineLog::start(filter(), written.clone()).expect("the thread starts");
    log_at(&log, Level::Debug, "detail");
    log.flush();
    assert!(written.lines().is_empty());
    assert_eq!(log.dropped(), 0);
}

#[test]
fn logging_does_not_block_on_an_output_that_is_not_read() {
    let (_unblock, blocked): (Sender<()>, _) = channel();
    let log = LineLog::start(filter(), BlockedOutput(blocked)).expect("the thread starts");
    let lines = MAX_QUEUED_LINES * 3;
    for _ in 0..lines {
        log_at(&log, Level::Warn, "warning");
    }
    // Besides the queue, only the writing thread's current batch holds lines.
    assert!(log.dropped() >= (MAX_QUEUED_LINES - 200) as u64, "{}", log.dropped());
    assert!(log.dropped() <= (lines - MAX_QUEUED_LINES) as u64, "{}", log.dropped());
}

#[test]
fn a_flood_is_limited_and_reported() {
    let written = WrittenBytes::default();
    let log = LineLog::start(filter(), written.clone()).expect("the thread starts");
    // The flood may extend over two seconds, whose two budgets cannot hold four budgets of lines.
    for _ in 0..MAX_LINES_PER_SECOND * 4 {
        log_at(&log, Level::Info, "statement failed");
    }
    log_at(&log, Level::Error, "still heard");
    log.flush();
    let lines = written.lines();
    assert!(log.dropped() > 0);
    assert!(lines.iter().any(|line| line["message"] == "still heard"));
    let dropped_line = lines.iter().find(|line| line["message"] == "log lines dropped");
    assert!(dropped_line.is_some_and(|line| line["time_ms"].is_u64()), "{dropped_line:?}");
}
