//! The ring of recent log records: bounded, and written to a file after an error and a panic.

use corktack_server::telemetry::event_log::{MAX_FILES, MIN_WRITE_INTERVAL};
use corktack_server::telemetry::ring::MAX_RECORD_BYTES;
use corktack_server::telemetry::{EventLog, EventRecord, EventRing, WriteReason, install};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

fn record(text: &str) -> EventRecord {
    EventRecord {
        time: SystemTime::UNIX_EPOCH,
        level: log::Level::Debug,
        target: "corktack".to_owned(),
        text: text.to_owned(),
    }
}

#[test]
fn the_ring_keeps_the_newest_records() {
    let ring = EventRing::new(3);
    for number in 0..10 {
        ring.push(record(&number.to_string()));
    }
    let texts: Vec<String> = ring.records().into_iter().map(|record| record.text).collect();
    assert_eq!(texts, ["7", "8", "9"]);
}

#[test]
fn a_long_record_is_cut_between_characters() {
    let text = "é".repeat(MAX_RECORD_BYTES) + "x";
    let kept = EventRecord::from_log(&log::Record::builder().args(format_args!("a{text}")).build());
    assert_eq!(kept.text.len(), MAX_RECORD_BYTES - 1);
}

#[test]
fn the_number_of_files_is_limited_and_the_newest_stay() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let events = EventLog::new(folder.path(), 4);
    for _ in 0..MAX_FILES + 3 {
        events.write(WriteReason::Signal).expect("events written");
    }
    let names: Vec<String> = event_files(folder.path());
    assert_eq!(names.len() as u64, MAX_FILES);
    assert!(names.contains(&format!("events-{}.log", MAX_FILES + 2)));
}

#[test]
fn writes_for_one_reason_are_rate_limited() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let events = EventLog::new(folder.path(), 4);
    let start = Instant::now();
    assert!(events.reserve_write(WriteReason::Error, start));
    assert!(!events.reserve_write(WriteReason::Error, start + MIN_WRITE_INTERVAL / 2));
    assert!(events.reserve_write(WriteReason::Panic, start));
    assert!(events.reserve_write(WriteReason::Error, start + MIN_WRITE_INTERVAL));
}

/// Errors and panics share a test, because a process has one logger and one panic hook.
#[test]
fn errors_and_panics_write_the_ring_to_a_file() {
    let folder = tempfile::tempdir().expect("temporary folder");
    install(folder.path(), 16).expect("first logger");
    log::debug!(target: "corktack::test", group = "records"; "before the error");
    log::debug!(target: "other", "of another library");
    log::error!(target: "corktack::test", "the error");
    let written = wait_for_event_files(folder.path(), 1);
    assert!(written.contains("before the error group=records"), "{written}");
    assert!(written.contains("the error"), "{written}");
    assert!(!written.contains("of another library"), "{written}");

    let panicked = std::thread::spawn(|| panic!("a broken invariant")).join();
    assert!(panicked.is_err());
    let written = wait_for_event_files(folder.path(), 2);
    assert!(written.contains("a broken invariant"), "{written}");
}

fn event_files(folder: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(folder).expect("folder read");
    let mut names: Vec<String> = entries
        .map(|entry| entry.expect("folder entry").file_name().into_string().expect("UTF-8 name"))
        .collect();
    names.sort();
    names
}

/// Polls until `files` event files exist and the last one has records; returns the text of the last file.
fn wait_for_event_files(folder: &Path, files: usize) -> String {
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        let names = event_files(folder);
        let last = names.last().filter(|_| names.len() == files);
        let text = last.map(|name| std::fs::read_to_string(folder.join(name)).expect("file read"));
        if let Some(text) = text.filter(|text| text.lines().count() > 1) {
            return text;
        }
        std::thread::yield_now();
    }
    panic!("{files} event files expected, found {:?}", event_files(folder));
}
