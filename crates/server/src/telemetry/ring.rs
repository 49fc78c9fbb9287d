//! A bounded ring of recent log records in memory.
//!
//! Owns the records; the oldest leave first.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

/// Most bytes kept of one record's text. Chosen, not measured; it bounds the ring's memory.
pub const RECORD_BYTES_LIMIT: usize = 1_024;

/// One log record as kept in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventRecord {
    /// When it was logged.
    pub time: SystemTime,
    /// Its level.
    pub level: log::Level,
    /// The module that logged it.
    pub target: String,
    /// Message and key-values.
    pub text: String,
}

/// The most recent log records of all levels.
#[derive(Debug)]
pub struct EventRing {
    capacity: usize,
    records: Mutex<VecDeque<EventRecord>>,
}

impl EventRing {
    /// A ring that keeps the last `capacity` records, at least one.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        Self { capacity, records: Mutex::new(VecDeque::new()) }
    }

    /// Adds a record; the oldest one leaves a full ring.
    pub fn push(&self, record: EventRecord) {
        let mut records = self.lock();
        if records.len() == self.capacity {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// The records, oldest first.
    #[must_use]
    pub fn records(&self) -> Vec<EventRecord> {
        self.lock().iter().cloned().collect()
    }

    /// Writes the records as lines, oldest first. The ring is not locked meanwhile.
    ///
    /// # Errors
    /// What the writer reports.
    pub fn write_to(&self, mut writer: impl Write) -> std::io::Result<()> {
        for record in self.records() {
            let since = record.time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
            let (seconds, micros) = (since.as_secs(), since.subsec_micros());
            let EventRecord { level, target, text, .. } = record;
            writeln!(writer, "{seconds}.{micros:06} {level:5} {target} {text}")?;
        }
        writer.flush()
    }

    /// The records stay usable when a thread panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, VecDeque<EventRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EventRecord {
    /// A record of the `log` crate as kept in memory: one line, cut at [`RECORD_BYTES_LIMIT`].
    #[must_use]
    pub fn from_log(record: &log::Record<'_>) -> Self {
        let mut text = record.args().to_string();
        // The visitor below cannot fail: it only appends to a string.
        let _ = record.key_values().visit(&mut Append(&mut text));
        Self {
            time: SystemTime::now(),
            level: record.level(),
            target: record.target().to_owned(),
            text: one_line(text),
        }
    }
}

fn one_line(mut text: String) -> String {
    let mut end = text.len().min(RECORD_BYTES_LIMIT);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    if text.contains('\n') {
        text = text.replace('\n', "\\n");
    }
    text
}

struct Append<'a>(&'a mut String);

impl<'kvs> log::kv::VisitSource<'kvs> for Append<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}
