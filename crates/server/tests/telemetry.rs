//! The ring of events: bounded, and written out on an error and on a panic.

use corktack_server::telemetry::event_log::{FILES_LIMIT, WRITE_INTERVAL};
use corktack_server::telemetry::ring::RECORD_BYTES_LIMIT;
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
    let text = "é".repeat(RECORD_BYTES_LIMIT) + "x";
    let kept = EventRecord::from_log(&log::Record::builder().args(format_args!("a{text}")).build());
    assert_eq!(kept.text.len(), RECORD_BYTES_LIMIT - 1);
}

#[test]
fn files_are_bounded_in_number_and_the_newest_stay() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let events = EventLog::new(folder.path(), 4);
    for _ in 0..FILES_LIMIT + 3 {
        events.write(WriteReason::Signal).expect("events written");
    }
    let names: Vec<String> = event_files(folder.path());
    assert_eq!(names.len() as u64, FILES_LIMIT);
    assert!(names.contains(&format!("events-{}.log", FILES_LIMIT + 2)));
}

#[test]
fn files_of_one_reason_are_limited_in_rate() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let events = EventLog::new(folder.path(), 4);
    let start = Instant::now();
    assert!(events.may_write(WriteReason::Error, start));
    assert!(!events.may_write(WriteReason::Error, start + WRITE_INTERVAL / 2));
    assert!(events.may_write(WriteReason::Panic, start));
    assert!(events.may_write(WriteReason::Error, start + WRITE_INTERVAL));
}

/// One test, because a process has one logger and one panic hook.
#[test]
fn errors_and_panics_write_the_ring_out() {
    let folder = tempfile::tempdir().expect("temporary folder");
    install(folder.path(), 16).expect("first logger");
    log::debug!(target: "corktack::test", group = "records"; "before the error");
    log::debug!(target: "other", "of another library");
    log::error!(target: "corktack::test", "the error");
    let written = wait_for(folder.path(), 1);
    assert!(written.contains("before the error group=records"), "{written}");
    assert!(written.contains("the error"), "{written}");
    assert!(!written.contains("of another library"), "{written}");

    let panicked = std::thread::spawn(|| panic!("a broken invariant")).join();
    assert!(panicked.is_err());
    let written = wait_for(folder.path(), 2);
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

/// Polls until that many files are there and the last one is whole; returns the last one's text.
fn wait_for(folder: &Path, files: usize) -> String {
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
