//! Durable log of a member: checksummed records in one file, synced before they count.

use crate::entry::LogEntry;
use crate::error::DurableError;
use corktack_core::position::{Position, Term};
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Name of the log file inside a member's data folder.
pub const LOG_FILE_NAME: &str = "replication.log";

const HEADER_BYTES: usize = 8;
const CODEC: bincode::config::Configuration = bincode::config::standard();

/// An open log with its entries in memory.
pub struct DurableLog {
    path: PathBuf,
    file: File,
    entries: Vec<Arc<LogEntry>>,
    /// File offset behind each entry.
    ends: Vec<u64>,
}

/// Entries read from bytes, with the offset behind each.
struct Scan {
    entries: Vec<Arc<LogEntry>>,
    ends: Vec<u64>,
}

impl DurableLog {
    /// Opens or creates the log of a data folder and cuts a torn tail.
    ///
    /// # Errors
    /// The file cannot be read, cut or synced.
    pub fn open(data_folder: &Path) -> Result<Self, DurableError> {
        let path = data_folder.join(LOG_FILE_NAME);
        let bytes = read_if_exists(&path)?;
        let Scan { entries, ends } = scan(&bytes);
        let file = OpenOptions::new().create(true).append(true).open(&path);
        let file = file.map_err(DurableError::file(&path))?;
        let valid = ends.last().copied().unwrap_or(0);
        if valid < bytes.len() as u64 {
            log::warn!(kept = valid, found = bytes.len(); "torn tail of the log cut");
            file.set_len(valid).map_err(DurableError::file(&path))?;
        }
        file.sync_all().map_err(DurableError::file(&path))?;
        sync_folder(data_folder)?;
        Ok(Self { path, file, entries, ends })
    }

    /// Term and index of the last entry; both 0 when the log is empty.
    #[must_use]
    pub fn last_position(&self) -> Position {
        self.entries.last().map(|entry| entry.position()).unwrap_or_default()
    }

    /// Term of the entry at an index; index 0 has term 0.
    #[must_use]
    pub fn term_at(&self, index: u64) -> Option<Term> {
        if index == 0 {
            return Some(Term(0));
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at an index.
    #[must_use]
    pub fn get(&self, index: u64) -> Option<&Arc<LogEntry>> {
        let slot = usize::try_from(index.checked_sub(1)?).ok()?;
        self.entries.get(slot)
    }

    /// At most `limit` entries from an index on.
    #[must_use]
    pub fn range(&self, first: u64, limit: usize) -> Vec<Arc<LogEntry>> {
        let skip = usize::try_from(first.saturating_sub(1)).unwrap_or(usize::MAX);
        self.entries.iter().skip(skip).take(limit).cloned().collect()
    }

    /// Appends entries and syncs them.
    ///
    /// # Errors
    /// The entries cannot be encoded, written or synced; the log is then cut
    /// back to what it held.
    pub fn append(&mut self, entries: Vec<Arc<LogEntry>>) -> Result<(), DurableError> {
        if entries.is_empty() {
            return Ok(());
        }
        let start = self.ends.last().copied().unwrap_or(0);
        let mut bytes = Vec::new();
        let mut ends = Vec::with_capacity(entries.len());
        for entry in &entries {
            encode_record(entry, &mut bytes)?;
            ends.push(start + bytes.len() as u64);
        }
        let written = self.file.write_all(&bytes).and_then(|()| self.file.sync_data());
        if let Err(error) = written {
            self.file.set_len(start).map_err(DurableError::file(&self.path))?;
            return Err(DurableError::file(&self.path)(error));
        }
        self.entries.extend(entries);
        self.ends.extend(ends);
        Ok(())
    }

    /// Removes every entry from an index on, and syncs.
    ///
    /// # Errors
    /// The index is 0 or the file cannot be cut.
    pub fn truncate_from(&mut self, first: u64) -> Result<(), DurableError> {
        let keep = first.checked_sub(1).ok_or(DurableError::Index(first))?;
        let keep = usize::try_from(keep).map_err(|_| DurableError::Index(first))?;
        if keep >= self.entries.len() {
            return Ok(());
        }
        let length = if keep == 0 { 0 } else { self.ends[keep - 1] };
        self.file.set_len(length).map_err(DurableError::file(&self.path))?;
        self.file.seek(SeekFrom::End(0)).map_err(DurableError::file(&self.path))?;
        self.file.sync_data().map_err(DurableError::file(&self.path))?;
        self.entries.truncate(keep);
        self.ends.truncate(keep);
        Ok(())
    }
}

/// Reads the log of a data folder without changing it.
///
/// # Errors
/// The file cannot be read.
pub fn read_log(data_folder: &Path) -> Result<Vec<LogEntry>, DurableError> {
    let bytes = read_if_exists(&data_folder.join(LOG_FILE_NAME))?;
    Ok(scan(&bytes).entries.iter().map(|entry| LogEntry::clone(entry)).collect())
}

/// Syncs a folder, so that new names in it last.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), DurableError> {
    let opened = File::open(folder).map_err(DurableError::file(folder))?;
    opened.sync_all().map_err(DurableError::file(folder))
}

fn read_if_exists(path: &Path) -> Result<Vec<u8>, DurableError> {
    let mut bytes = Vec::new();
    match File::open(path) {
        Ok(mut file) => file.read_to_end(&mut bytes).map_err(DurableError::file(path))?,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => 0,
        Err(error) => return Err(DurableError::file(path)(error)),
    };
    Ok(bytes)
}

fn encode_record(entry: &LogEntry, bytes: &mut Vec<u8>) -> Result<(), DurableError> {
    let payload = bincode::serde::encode_to_vec(entry, CODEC)?;
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Ok(())
}

fn scan(bytes: &[u8]) -> Scan {
    let mut found = Scan { entries: Vec::new(), ends: Vec::new() };
    let mut offset = 0;
    while let Some((entry, end)) = decode_record(bytes, offset) {
        if entry.index != found.entries.len() as u64 + 1 {
            break;
        }
        found.entries.push(Arc::new(entry));
        found.ends.push(end as u64);
        offset = end;
    }
    found
}

fn decode_record(bytes: &[u8], offset: usize) -> Option<(LogEntry, usize)> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[4..].try_into().ok()?);
    let end = offset + HEADER_BYTES + length;
    let payload = bytes.get(offset + HEADER_BYTES..end)?;
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    let (entry, _) = bincode::serde::decode_from_slice(payload, CODEC).ok()?;
    Some((entry, end))
}
