//! Structured log lines on standard output, rate-limited and non-blocking.
//!
//! Each record is one JSON object on a line: `time_ms` (time of day), `up_ms` (monotonic time since the
//! start of the process), `level`, `target`, `message`, then the record's own keys. The threads that log
//! put lines into a bounded queue; a separate thread writes them. Lines that exceed the budget of a second,
//! or find the queue full, are dropped, and a further line reports how many were dropped.

use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value as Json};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Capacity of the queue, in lines; further lines are dropped. A lower value drops more lines in a burst, a
/// higher one takes more memory.
pub const MAX_QUEUED_LINES: usize = 2_048;
/// Largest number of lines of level info and below in one second; warnings and errors are not counted. A
/// lower value drops more of the lines that explain a request, a higher one writes more in a flood.
pub const MAX_LINES_PER_SECOND: u64 = 400;
/// Queued lines that are written together with the first one. A lower value makes more writes, a higher one
/// larger ones.
const MAX_BATCH_LINES: usize = 128;
/// Longest time that a flush waits for the queue to be written at the end of the process. A shorter timeout
/// may lose the last lines, a longer one delays the end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum QueueItem {
    Line(String),
    /// Is answered once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Number of rate-limited lines in the current second since the start.
#[derive(Debug, Default)]
struct Budget {
    second: u64,
    used: u64,
}

/// A logger that queues lines for a writing thread.
pub struct LineLog {
    filter: env_logger::Logger,
    queue: SyncSender<QueueItem>,
    dropped: Arc<AtomicU64>,
    budget: Mutex<Budget>,
    started: Instant,
}

impl LineLog {
    /// Starts the writing thread. `filter` selects the records that are written to `sink`.
    ///
    /// # Errors
    /// The I/O error of the operating system when the thread cannot be started.
    pub fn start(
        filter: env_logger::Logger,
        sink: impl Write + Send + 'static,
    ) -> std::io::Result<Self> {
        let (queue, items) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_counter = Arc::clone(&dropped);
        let thread = std::thread::Builder::new().name("log-lines".to_owned());
        thread.spawn(move || write_lines(sink, &items, &dropped_counter))?;
        Ok(Self { filter, queue, dropped, budget: Mutex::default(), started: Instant::now() })
    }

    /// Returns the most detailed level that the filter allows.
    #[must_use]
    pub fn level(&self) -> LevelFilter {
        self.filter.filter()
    }

    /// Returns the number of lines dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn spend_budget(&self, level: Level) -> bool {
        if level <= Level::Warn {
            return true;
        }
        let second = self.started.elapsed().as_secs();
        // A panic while the lock was held leaves the two counters usable.
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if budget.second != second {
            *budget = Budget { second, used: 0 };
        }
        budget.used += 1;
        budget.used <= MAX_LINES_PER_SECOND
    }

    fn format_line(&self, record: &Record<'_>) -> String {
        let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let mut fields = Map::new();
        fields.insert("time_ms".to_owned(), millis(time));
        fields.insert("up_ms".to_owned(), millis(self.started.elapsed()));
        fields.insert("level".to_owned(), record.level().as_str().into());
        fields.insert("target".to_owned(), record.target().into());
        fields.insert("message".to_owned(), record.args().to_string().into());
        // A value that cannot be read ends the visit; the line keeps the fields collected before it.
        let _ = record.key_values().visit(&mut FieldCollector(&mut fields));
        let mut line = Json::Object(fields).to_string();
        line.push('\n');
        line
    }
}

fn millis(duration: Duration) -> Json {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX).into()
}

/// Collects a record's keys and values as JSON fields.
struct FieldCollector<'f>(&'f mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(boolean) = value.to_bool() {
            boolean.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

impl Log for LineLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.filter.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.filter.matches(record) {
            return;
        }
        let queued = self.spend_budget(record.level())
            && self.queue.try_send(QueueItem::Line(self.format_line(record))).is_ok();
        if !queued {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (written, acknowledged) = sync_channel(1);
        if self.queue.try_send(QueueItem::Flush(written)).is_ok() {
            // A timeout means that standard output is not read; the lines are lost with the process.
            let _ = acknowledged.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Writes queued lines in batches. Lines that the sink fails to write are lost.
fn write_lines(mut sink: impl Write, items: &Receiver<QueueItem>, dropped: &AtomicU64) {
    let mut reported = 0;
    while let Ok(first) = items.recv() {
        let mut batch = String::new();
        let mut flushed = Vec::new();
        for item in std::iter::once(first).chain(items.try_iter().take(MAX_BATCH_LINES)) {
            match item {
                QueueItem::Line(line) => batch.push_str(&line),
                QueueItem::Flush(written) => flushed.push(written),
            }
        }
        let dropped_total = dropped.load(Ordering::Relaxed);
        if dropped_total > reported {
            batch.push_str(&format_dropped_line(dropped_total - reported));
            reported = dropped_total;
        }
        let _ = sink.write_all(batch.as_bytes()).and_then(|()| sink.flush());
        for written in flushed {
            let _ = written.try_send(());
        }
    }
}

fn format_dropped_line(lines: u64) -> String {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let line = serde_json::json!({
        "time_ms": millis(time),
        "level": "WARN", "target": "corktack_server::telemetry", "message": "log lines dropped",
        "lines": lines,
    });
    format!("{line}\n")
}
