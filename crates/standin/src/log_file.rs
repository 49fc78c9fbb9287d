//! Durable log of a member: checksummed records in one file, synced before they count.
//!
//! Each record tells how much of the file was synced when it was written. A bad
//! record is a torn tail, and is cut, unless a good record behind it tells that
//! the bad one had been synced: then the log is damaged, and is refused. Damage
//! to what was synced last cannot be told from a torn write.

use crate::codec;
use crate::entry::LogEntry;
use crate::error::DurableError;
use corktack_core::position::{Position, Term};
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Name of the log file inside a member's data folder.
pub const LOG_FILE_NAME: &str = "replication.log";

/// Length and checksum of what follows, then the offset up to which the file was synced.
const HEADER_BYTES: usize = 16;
const CHECKED_FROM: usize = 8;

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
    /// The file cannot be read, cut or synced, or a synced part of it is damaged.
    pub fn open(data_folder: &Path) -> Result<Self, DurableError> {
        let path = data_folder.join(LOG_FILE_NAME);
        let bytes = read_if_exists(&path)?;
        let Scan { entries, ends } = scan(&bytes).map_err(DurableError::corrupt(&path))?;
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

    /// Entries from an index on, until `limit` of them or `size` bytes are reached.
    #[must_use]
    pub fn batch(&self, first: u64, limit: usize, size: u64) -> Vec<Arc<LogEntry>> {
        let skip = usize::try_from(first.saturating_sub(1)).unwrap_or(usize::MAX);
        let start = skip.checked_sub(1).and_then(|slot| self.ends.get(slot)).copied();
        let full = start.unwrap_or(0).saturating_add(size);
        let fitting = self.ends.iter().skip(skip).take_while(|end| **end < full).count();
        self.range(first, limit.min(fitting + 1))
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
            encode_record(entry, start, &mut bytes)?;
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
/// The file cannot be read, or a synced part of it is damaged.
pub fn read_log(data_folder: &Path) -> Result<Vec<LogEntry>, DurableError> {
    let path = data_folder.join(LOG_FILE_NAME);
    let bytes = read_if_exists(&path)?;
    let found = scan(&bytes).map_err(DurableError::corrupt(&path))?;
    Ok(found.entries.iter().map(|entry| LogEntry::clone(entry)).collect())
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

fn encode_record(entry: &LogEntry, synced: u64, bytes: &mut Vec<u8>) -> Result<(), DurableError> {
    let payload = codec::encode(entry)?;
    if payload.len() > codec::ENTRY_LIMIT {
        return Err(DurableError::TooLarge(payload.len()));
    }
    let synced = synced.to_le_bytes();
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(&synced, &payload).to_le_bytes());
    bytes.extend_from_slice(&synced);
    bytes.extend_from_slice(&payload);
    Ok(())
}

fn checksum(synced: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(synced);
    hasher.update(payload);
    hasher.finalize()
}

/// Reads records up to a torn tail; the offset of damage that is none is an error.
fn scan(bytes: &[u8]) -> Result<Scan, u64> {
    let mut found = Scan { entries: Vec::new(), ends: Vec::new() };
    let mut offset = 0;
    while let Some(Record { entry, end }) = decode_record(bytes, offset) {
        if entry.index != found.entries.len() as u64 + 1 {
            return Err(offset as u64);
        }
        found.entries.push(Arc::new(entry));
        found.ends.push(end as u64);
        offset = end;
    }
    if was_synced(bytes, offset) { Err(offset as u64) } else { Ok(found) }
}

/// Whether a record behind the offset tells that the byte there had been synced.
fn was_synced(bytes: &[u8], offset: usize) -> bool {
    let later = offset.saturating_add(1)..bytes.len();
    let tells = |place: &usize| {
        let synced = synced_before(bytes, *place).unwrap_or(0);
        synced > offset as u64 && synced <= *place as u64
    };
    later.filter(tells).any(|place| decode_record(bytes, place).is_some())
}

/// What a record at the offset, if there is one, says was synced before it.
fn synced_before(bytes: &[u8], offset: usize) -> Option<u64> {
    let field = bytes.get(offset + CHECKED_FROM..offset + HEADER_BYTES)?;
    Some(u64::from_le_bytes(field.try_into().ok()?))
}

/// A decoded record and the offset behind it.
struct Record {
    entry: LogEntry,
    end: usize,
}

fn decode_record(bytes: &[u8], offset: usize) -> Option<Record> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let expected = u32::from_le_bytes(header[4..CHECKED_FROM].try_into().ok()?);
    let start = offset + HEADER_BYTES;
    let end = start + length;
    let payload = bytes.get(start..end)?;
    if checksum(&header[CHECKED_FROM..], payload) != expected {
        return None;
    }
    Some(Record { entry: codec::decode(payload).ok()?, end })
}
