//! Files of a log: names, and what stands in one.
//!
//! Owns the form of their names. Only the last segment may end in a torn record.

use crate::error::{Damage, StorageError};
use crate::record::{Record, any_record_from, decode_record};
use std::path::Path;

const PREFIX: &str = "segment-";
const SUFFIX: &str = ".log";
/// Digits of the largest number, so that names sort by number.
const DIGITS: usize = 20;

/// File name of a segment.
pub(crate) fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:0DIGITS$}{SUFFIX}")
}

/// Number of the segment that a file name stands for, if it is one.
pub(crate) fn number_of(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?;
    if digits.len() == DIGITS { digits.parse().ok() } else { None }
}

/// The records of a segment and where the last whole one ends.
#[derive(Debug)]
pub(crate) struct Content {
    /// Records with their places.
    pub(crate) records: Vec<(u64, Record)>,
    /// Bytes up to the end of the last whole record.
    pub(crate) length: u64,
    /// Whether bytes follow that a crash left.
    pub(crate) torn: bool,
}

impl Content {
    /// Whether the segment makes entries of earlier ones void.
    pub(crate) fn resets(&self) -> bool {
        matches!(self.records.first(), Some((_, Record::Start(start))) if start.reset)
    }
}

/// Reads a segment. Only the last one may be torn: a new one is begun when all
/// before it is synced.
pub(crate) fn parse(
    path: &Path,
    number: u64,
    bytes: &[u8],
    is_last: bool,
) -> Result<Content, StorageError> {
    let corrupt = |offset: usize, damage| StorageError::Corrupt {
        path: path.to_path_buf(),
        offset: offset as u64,
        damage,
    };
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some((record, next)) =
        decode_record(bytes, number, offset).map_err(|damage| corrupt(offset, damage))?
    {
        records.push((offset as u64, record));
        offset = next;
    }
    let torn = offset < bytes.len();
    if torn && (!is_last || any_record_from(bytes, number, offset + 1)) {
        return Err(corrupt(offset, Damage::Checksum));
    }
    Ok(Content { records, length: offset as u64, torn })
}
