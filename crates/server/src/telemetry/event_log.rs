//! Writes the ring to the data folder when something goes wrong.
//!
//! Owns the ring, the files' numbers and when each reason last wrote. Old files go as new ones come, so that
//! the folder stays bounded.

use super::ring::{EventRecord, EventRing};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Files kept in the data folder; the next one replaces the oldest. Chosen, not measured; more take more of the
/// disk, fewer lose the first of several faults.
pub const FILES_LIMIT: u64 = 8;
/// Shortest time between two files written for the same reason. Chosen, not measured; a lower value lets a flood
/// of errors write more, a higher one loses what led to the later ones.
pub const WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// Why the ring is written out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteReason {
    /// A record of level error was logged.
    Error,
    /// A thread panicked.
    Panic,
    /// An operator asked for it by SIGUSR1.
    Signal,
}

/// Variants of [`WriteReason`].
const REASONS: usize = 3;

/// Why the ring could not be written out.
#[derive(Debug, thiserror::Error)]
#[error("event log {}: cannot be written", file.display())]
pub struct WriteError {
    /// The file or folder.
    pub file: PathBuf,
    /// Why.
    pub source: std::io::Error,
}

/// The ring together with the folder it is written to.
#[derive(Debug)]
pub struct EventLog {
    ring: EventRing,
    folder: PathBuf,
    last_written: Mutex<[Option<Instant>; REASONS]>,
    files: Mutex<()>,
}

impl EventLog {
    /// An empty log that will be written to `folder`.
    #[must_use]
    pub fn new(folder: &Path, records: usize) -> Arc<Self> {
        Arc::new(Self {
            ring: EventRing::new(records),
            folder: folder.to_owned(),
            last_written: Mutex::new([None; REASONS]),
            files: Mutex::new(()),
        })
    }

    /// Keeps a record.
    pub fn push(&self, record: EventRecord) {
        self.ring.push(record);
    }

    /// Whether the ring may be written now, at `now`; an answer of yes counts as a write.
    pub fn may_write(&self, reason: WriteReason, now: Instant) -> bool {
        let mut written = self.last_written.lock().unwrap_or_else(PoisonError::into_inner);
        let last = &mut written[reason as usize];
        if last.is_some_and(|last| now.saturating_duration_since(last) < WRITE_INTERVAL) {
            return false;
        }
        *last = Some(now);
        true
    }

    /// Writes the ring to the next file, whatever was written before.
    ///
    /// # Errors
    /// [`WriteError`] names the file.
    pub fn write(&self, reason: WriteReason) -> Result<PathBuf, WriteError> {
        // One file at a time, so that two threads do not choose the same number.
        let _writing = self.files.lock().unwrap_or_else(PoisonError::into_inner);
        let numbers = self.numbers()?;
        let number = numbers.last().map_or(0, |last| last + 1);
        let file = self.file(number);
        self.write_file(&file, reason)
            .map_err(|source| WriteError { file: file.clone(), source })?;
        for old in numbers.into_iter().filter(|old| old + FILES_LIMIT <= number) {
            let file = self.file(old);
            std::fs::remove_file(&file).map_err(|source| WriteError { file, source })?;
        }
        Ok(file)
    }

    /// Writes the ring unless that was done for the same reason a short while ago. A failure
    /// goes to standard error: the log itself is what failed.
    pub fn write_limited(&self, reason: WriteReason) {
        if !self.may_write(reason, Instant::now()) {
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

    fn file(&self, number: u64) -> PathBuf {
        self.folder.join(format!("events-{number}.log"))
    }

    /// Numbers of the files in the folder, rising.
    fn numbers(&self) -> Result<Vec<u64>, WriteError> {
        let failed = |source| WriteError { file: self.folder.clone(), source };
        let mut numbers = Vec::new();
        for entry in std::fs::read_dir(&self.folder).map_err(failed)? {
            let name = entry.map_err(failed)?.file_name();
            numbers.extend(name.to_str().and_then(file_number));
        }
        numbers.sort_unstable();
        Ok(numbers)
    }
}

fn file_number(name: &str) -> Option<u64> {
    name.strip_prefix("events-")?.strip_suffix(".log")?.parse().ok()
}
