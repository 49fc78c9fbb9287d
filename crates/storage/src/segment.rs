//! Segments, the files of a log: their names and the parsing of their content.
//!
//! This module defines the format of the file names. Only the last segment may end in a torn record.

use crate::disk::Disk;
use crate::error::{Damage, StorageError};
use crate::record::{Record, contains_record_from, decode_record};
use std::path::Path;

const PREFIX: &str = "segment-";
const SUFFIX: &str = ".log";
/// Digits of the largest `u64`. Numbers are padded to this width, so that file names sort by number.
const NUMBER_DIGITS: usize = 20;

/// Returns the file name of a segment.
pub(crate) fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:0NUMBER_DIGITS$}{SUFFIX}")
}

/// Returns the number of the segment with this file name, or `None` for other files.
pub(crate) fn parse_file_name(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?;
    if digits.len() == NUMBER_DIGITS { digits.parse().ok() } else { None }
}

/// Returns the numbers of the segments in a folder, in order.
pub(crate) fn numbers(disk: &impl Disk) -> Result<Vec<u64>, StorageError> {
    let mut numbers: Vec<u64> =
        disk.list()?.iter().filter_map(|name| parse_file_name(name)).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// The records of a segment and the end of the last complete one.
#[derive(Debug)]
pub(crate) struct SegmentContent {
    /// Records with their offsets in the segment.
    pub(crate) records: Vec<(u64, Record)>,
    /// Length up to the end of the last complete record, in bytes.
    pub(crate) length: u64,
    /// Whether a torn record follows, which a crash left.
    pub(crate) torn: bool,
}

impl SegmentContent {
    /// Reports whether the segment makes the entries of earlier segments obsolete.
    pub(crate) fn is_reset(&self) -> bool {
        matches!(self.records.first(), Some((_, Record::Start(start))) if start.reset)
    }
}

/// Parses the content of a segment. Only the last segment may be torn: a new segment is begun only after
/// all earlier ones are synced.
pub(crate) fn parse(
    path: &Path,
    number: u64,
    bytes: &[u8],
    is_last: bool,
) -> Result<SegmentContent, StorageError> {
    let corrupt = |offset: usize, damage| StorageError::Corrupt {
        path: path.to_path_buf(),
        offset: offset as u64,
        damage,
    };
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some((record, record_end)) =
        decode_record(bytes, number, offset).map_err(|damage| corrupt(offset, damage))?
    {
        records.push((offset as u64, record));
        offset = record_end;
    }
    let torn = offset < bytes.len();
    if torn && (!is_last || contains_record_from(bytes, number, offset + 1)) {
        return Err(corrupt(offset, Damage::Checksum));
    }
    Ok(SegmentContent { records, length: offset as u64, torn })
}
