//! A bounded in-memory ring of recent log records; a new record replaces the oldest.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

/// Largest length of a record's text, in bytes; longer texts are cut. Bounds the ring's memory.
pub const MAX_RECORD_BYTES: usize = 1_024;

/// A log record as the ring keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventRecord {
    /// Time of day at which the record was logged.
    pub time: SystemTime,
    /// Level of the record.
    pub level: log::Level,
    /// Target of the record: the module that logged it, unless the call names another.
    pub target: String,
    /// Message, followed by ` key=value` for each key, on one line.
    pub text: String,
}

/// The most recent log records of all levels.
#[derive(Debug)]
pub struct EventRing {
    capacity: usize,
    records: Mutex<VecDeque<EventRecord>>,
}

impl EventRing {
    /// Returns a ring that keeps the last `capacity` records, at least one.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        let capacity = capacity.max(1);
        Self { capacity, records: Mutex::new(VecDeque::new()) }
    }

    /// Adds a record; a full ring drops its oldest record.
    pub fn push(&self, record: EventRecord) {
        let mut records = self.lock();
        if records.len() == self.capacity {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Returns a copy of the records, oldest first.
    #[must_use]
    pub fn records(&self) -> Vec<EventRecord> {
        self.lock().iter().cloned().collect()
    }

    /// Writes the records as lines, oldest first. The ring is not locked during the write.
    ///
    /// # Errors
    /// The I/O error of the writer.
    pub fn write_to(&self, mut writer: impl Write) -> std::io::Result<()> {
        for record in self.records() {
            let since_epoch =
                record.time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
            let (seconds, micros) = (since_epoch.as_secs(), since_epoch.subsec_micros());
            let EventRecord { level, target, text, .. } = record;
            writeln!(writer, "{seconds}.{micros:06} {level:5} {target} {text}")?;
        }
        writer.flush()
    }

    /// Locks the records, which stay usable when a thread panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, VecDeque<EventRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EventRecord {
    /// Converts a record of the `log` crate; the text becomes one line of at most [`MAX_RECORD_BYTES`] bytes.
    #[must_use]
    pub fn from_log(record: &log::Record<'_>) -> Self {
        let mut text = record.args().to_string();
        // The visitor below cannot fail: it only appends to a string.
        let _ = record.key_values().visit(&mut AppendFields(&mut text));
        Self {
            time: SystemTime::now(),
            level: record.level(),
            target: record.target().to_owned(),
            text: to_bounded_line(text),
        }
    }
}

fn to_bounded_line(mut text: String) -> String {
    let mut end = text.len().min(MAX_RECORD_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    if text.contains('\n') {
        text = text.replace('\n', "\\n");
    }
    text
}

struct AppendFields<'a>(&'a mut String);

impl<'kvs> log::kv::VisitSource<'kvs> for AppendFields<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}
