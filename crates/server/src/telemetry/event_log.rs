//! Writes the ring of recent log records to the data folder after errors and panics, and on request.
//!
//! [`EventLog`] owns the ring, numbers the files and limits the rate of writes for each reason. New files
//! replace the oldest, so that the folder stays bounded.

use super::ring::{EventRecord, EventRing};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Largest number of event files in the data folder; a further file replaces the oldest. A higher value
/// takes more of the disk, a lower one loses the first of several faults.
pub const MAX_FILES: u64 = 8;
/// Shortest time between two files written for the same reason. A lower value lets a flood of errors write
/// more, a higher one loses the records that led to the later errors.
pub const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// Reasons for which the ring is written to a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteReason {
    /// A record of level error was logged.
    Error,
    /// A thread panicked.
    Panic,
    /// An operator sent SIGUSR1.
    Signal,
}

/// Number of variants of [`WriteReason`].
const REASON_COUNT: usize = 3;

/// Failure to write the ring to a file.
#[derive(Debug, thiserror::Error)]
#[error("event log {}: cannot be written", file.display())]
pub struct WriteError {
    /// The file or folder that the failed operation was on.
    pub file: PathBuf,
    /// The error of the operating system.
    pub source: std::io::Error,
}

/// The ring of recent log records and the folder that it is written to.
#[derive(Debug)]
pub struct EventLog {
    ring: EventRing,
    folder: PathBuf,
    last_written: Mutex<[Option<Instant>; REASON_COUNT]>,
    file_lock: Mutex<()>,
}

impl EventLog {
    /// Returns an empty log that keeps up to `records` records and is written to `folder`.
    #[must_use]
    pub fn new(folder: &Path, records: usize) -> Arc<Self> {
        Arc::new(Self {
            ring: EventRing::new(records),
            folder: folder.to_owned(),
            last_written: Mutex::new([None; REASON_COUNT]),
            file_lock: Mutex::new(()),
        })
    }

    /// Adds a record to the ring; a full ring drops its oldest record.
    pub fn push(&self, record: EventRecord) {
        self.ring.push(record);
    }

    /// Reports whether the rate limit allows a write for `reason` at `now`, and if so counts it as written.
    pub fn reserve_write(&self, reason: WriteReason, now: Instant) -> bool {
        let mut written = self.last_written.lock().unwrap_or_else(PoisonError::into_inner);
        let last = &mut written[reason as usize];
        if last.is_some_and(|last| now.saturating_duration_since(last) < MIN_WRITE_INTERVAL) {
            return false;
        }
        *last = Some(now);
        true
    }

    /// Writes the ring to the next file, without regard to the rate limit, and removes files beyond
    /// [`MAX_FILES`].
    ///
    /// # Errors
    /// [`WriteError`] names the file that could not be written or removed, or the folder that could not be
    /// listed.
    pub fn write(&self, reason: WriteReason) -> Result<PathBuf, WriteError> {
        // Writes are serialised, so that two threads do not choose the same file number.
        let _writing = self.file_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let numbers = self.file_numbers()?;
        let number = numbers.last().map_or(0, |last| last + 1);
        let file = self.file_path(number);
        self.write_file(&file, reason)
            .map_err(|source| WriteError { file: file.clone(), source })?;
        for old in numbers.into_iter().filter(|old| old + MAX_FILES <= number) {
            let file = self.file_path(old);
            std::fs::remove_file(&file).map_err(|source| WriteError { file, source })?;
        }
        Ok(file)
    }

    /// Writes the ring unless it was written for the same reason within [`MIN_WRITE_INTERVAL`]. A failure
    /// is printed to standard error, since the log itself failed.
    pub fn write_limited(&self, reason: WriteReason) {
        if !self.reserve_write(reason, Instant::now()) {
            return;
        }
        if let Err(error) = self.write(reason) {
            let _ = writeln!(std::io::stderr(), "{error}: {}", error.source);
        }
    }

    fn write_file(&self, file: &Path, reason: WriteReason) -> std::io::Result<()> {
        let mut writer = BufWriter::new(File::create(file)?);
        writeln!(writer, "# written on {reason:?}")?;
        self.ring.write_to(writer)
    }

    fn file_path(&self, number: u64) -> PathBuf {
        self.folder.join(format!("events-{number}.log"))
    }

    /// Returns the numbers of the event files in the folder, in ascending order.
    fn file_numbers(&self) -> Result<Vec<u64>, WriteError> {
        let failed = |source| WriteError { file: self.folder.clone(), source };
        let mut numbers = Vec::new();
        for entry in std::fs::read_dir(&self.folder).map_err(failed)? {
            let name = entry.map_err(failed)?.file_name();
            numbers.extend(name.to_str().and_then(parse_file_number));
        }
        numbers.sort_unstable();
        Ok(numbers)
    }
}

fn parse_file_number(name: &str) -> Option<u64> {
    name.strip_prefix("events-")?.strip_suffix(".log")?.parse().ok()
}
