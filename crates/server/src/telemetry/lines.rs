//! Structured log lines on standard output, bounded and never blocking.
//!
//! Each record is one JSON object on a line: `time_ms` (time of day), `up_ms` (steady time since
//! the start of the process), `level`, `target`, `message`, then the record's own keys. A thread of
//! its own writes; the threads that log only put a line into a bounded queue. Lines beyond the
//! budget of a second, or that find the queue full, are dropped and counted, and the count is a
//! line of its own.

use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value as Json};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Lines that wait to be written before further ones are dropped. Chosen, not measured; a lower value drops more
/// in a burst, a higher one takes more memory.
pub const QUEUE_LINES: usize = 2_048;
/// Lines of level info and below in one second; warnings and errors are not counted. Chosen, not
/// measured; a lower value drops more of what explains a request, a higher one writes more in a flood.
pub const LINES_PER_SECOND: u64 = 400;
/// Lines written together. Chosen, not measured; a lower value makes more writes, a higher one larger ones.
const BATCH_LINES: usize = 128;
/// Longest wait for the queue to be written at the end of the process. Chosen, not measured; a lower value may
/// lose the last lines, a higher one holds up the end.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

enum Item {
    Line(String),
    /// Answered once everything before it is written.
    Flush(SyncSender<()>),
}

/// The lines of the current second.
#[derive(Debug, Default)]
struct Budget {
    second: u64,
    used: u64,
}

/// A logger that hands lines to a writing thread.
pub struct LineLog {
    filter: env_logger::Logger,
    queue: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
    budget: Mutex<Budget>,
    started: Instant,
}

impl LineLog {
    /// Starts the writing thread. `filter` says which records are written.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(
        filter: env_logger::Logger,
        sink: impl Write + Send + 'static,
    ) -> std::io::Result<Self> {
        let (queue, items) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        let thread = std::thread::Builder::new().name("log-lines".to_owned());
        thread.spawn(move || write_lines(sink, &items, &counted))?;
        Ok(Self { filter, queue, dropped, budget: Mutex::default(), started: Instant::now() })
    }

    /// The most detailed level that may be written.
    #[must_use]
    pub fn level(&self) -> LevelFilter {
        self.filter.filter()
    }

    /// Lines dropped so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn within_budget(&self, level: Level) -> bool {
        if level <= Level::Warn {
            return true;
        }
        let second = self.started.elapsed().as_secs();
        // A panic while the lock was held leaves numbers that are still numbers.
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if budget.second != second {
            *budget = Budget { second, used: 0 };
        }
        budget.used += 1;
        budget.used <= LINES_PER_SECOND
    }

    fn line(&self, record: &Record<'_>) -> String {
        let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let mut fields = Map::new();
        fields.insert("time_ms".to_owned(), millis(time));
        fields.insert("up_ms".to_owned(), millis(self.started.elapsed()));
        fields.insert("level".to_owned(), record.level().as_str().into());
        fields.insert("target".to_owned(), record.target().into());
        fields.insert("message".to_owned(), record.args().to_string().into());
        // A value that cannot be read is left out; the rest of the line still says something.
        let _ = record.key_values().visit(&mut Fields(&mut fields));
        let mut line = Json::Object(fields).to_string();
        line.push('\n');
        line
    }
}

fn millis(duration: Duration) -> Json {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX).into()
}

/// Collects a record's keys and values.
struct Fields<'f>(&'f mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(truth) = value.to_bool() {
            truth.into()
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
        let taken = self.within_budget(record.level())
            && self.queue.try_send(Item::Line(self.line(record))).is_ok();
        if !taken {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (written, wait) = sync_channel(1);
        if self.queue.try_send(Item::Flush(written)).is_ok() {
            // Nobody reads the lines: they are lost with the process.
            let _ = wait.recv_timeout(FLUSH_LIMIT);
        }
    }
}

/// Writes what is queued, many lines at a time. A sink that fails loses the lines.
fn write_lines(mut sink: impl Write, items: &Receiver<Item>, dropped: &AtomicU64) {
    let mut reported = 0;
    while let Ok(first) = items.recv() {
        let mut batch = String::new();
        let mut flushed = Vec::new();
        for item in std::iter::once(first).chain(items.try_iter().take(BATCH_LINES)) {
            match item {
                Item::Line(line) => batch.push_str(&line),
                Item::Flush(written) => flushed.push(written),
            }
        }
        let lost = dropped.load(Ordering::Relaxed);
        if lost > reported {
            batch.push_str(&dropped_line(lost - reported));
            reported = lost;
        }
        let _ = sink.write_all(batch.as_bytes()).and_then(|()| sink.flush());
        for written in flushed {
            let _ = written.try_send(());
        }
    }
}

fn dropped_line(lines: u64) -> String {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let line = serde_json::json!({
        "time_ms": millis(time),
        "level": "WARN", "target": "corktack_server::telemetry", "message": "log lines dropped",
        "lines": lines,
    });
    format!("{line}\n")
}
