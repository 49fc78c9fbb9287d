//! Records of a log segment.
//!
//! A record consists of a magic number, the length and the CRC-32 of its content, each
//! of four bytes in little-endian order, and the content. The checksum also
//! covers the number of the segment and the offset in it. Bytes that happen to look like a
//! record, or a record copied to another offset, therefore fail the check.

use crate::error::{Damage, StorageError};
use corktack_core::consensus::{Entry, HardState};
use corktack_core::position::Term;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Largest content of a record, and largest value in a small file, in bytes. The limit bounds the
/// allocation that a damaged length can cause; a lower limit refuses large configurations.
pub(crate) const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;
/// First bytes of a record, which are unlikely to occur elsewhere.
const MAGIC: [u8; 4] = *b"\xC0rkR";
/// Size of the magic number, the length and the checksum.
const HEADER_BYTES: usize = 12;

/// Index and term of an entry that the next entry of the log follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogBase {
    /// Index of that entry; zero if no entry precedes.
    pub index: u64,
    /// Term of that entry.
    pub term: Term,
}

/// First record of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentStart {
    /// Version of the format.
    pub version: u32,
    /// Hard state when the segment was begun, so that older segments may be removed.
    pub hard_state: HardState,
    /// End of the log when the segment was begun.
    pub base: LogBase,
    /// Whether this segment makes the entries of earlier segments obsolete.
    pub reset: bool,
}

/// A record of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// First record of a segment.
    Start(SegmentStart),
    /// New hard state and consecutive entries. Replaying the record first cuts the log so
    /// that it ends before the entries.
    Append {
        /// New hard state, if it changed.
        hard_state: Option<HardState>,
        /// The entries; may be empty.
        entries: Vec<Entry>,
    },
}

impl Record {
    /// Returns the highest index of the entries in the record, or zero if there are none.
    pub(crate) fn highest_index(&self) -> u64 {
        match self {
            Self::Append { entries, .. } => entries.last().map_or(0, |entry| entry.index),
            Self::Start(_) => 0,
        }
    }
}

/// Encodes a value of at most [`MAX_RECORD_BYTES`].
pub(crate) fn encode_value<T: Serialize>(value: &T) -> Result<Vec<u8>, StorageError> {
    let bytes = bincode::serde::encode_to_vec(value, bincode::config::standard())?;
    if bytes.len() > MAX_RECORD_BYTES {
        return Err(StorageError::TooLarge { bytes: bytes.len(), limit: MAX_RECORD_BYTES });
    }
    Ok(bytes)
}

/// Decodes a value that takes up all of the bytes. A false length inside the bytes makes the decoder
/// allocate no more than [`MAX_RECORD_BYTES`].
pub(crate) fn decode_value<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, used) = decode_prefix(bytes)?;
    (used == bytes.len()).then_some(value)
}

/// Decodes one value at the start of the bytes, and returns it with its encoded length.
pub(crate) fn decode_prefix<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, usize)> {
    let config = bincode::config::standard().with_limit::<MAX_RECORD_BYTES>();
    bincode::serde::decode_from_slice(bytes, config).ok()
}

fn checksum(segment: u64, offset: u64, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&segment.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}

/// Appends a record to `buffer`, encoded for `offset` of a segment.
pub(crate) fn encode_record(
    record: &Record,
    segment: u64,
    offset: u64,
    buffer: &mut Vec<u8>,
) -> Result<(), StorageError> {
    let content = encode_value(record)?;
    buffer.extend_from_slice(&MAGIC);
    // The limit on values keeps the length far below `u32::MAX`.
    buffer.extend_from_slice(&(content.len() as u32).to_le_bytes());
    buffer.extend_from_slice(&checksum(segment, offset, &content).to_le_bytes());
    buffer.extend_from_slice(&content);
    Ok(())
}

fn read_u32(bytes: &[u8], start: usize) -> Option<u32> {
    let field = bytes.get(start..start + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

/// Returns the content of the record at `offset`, if a complete record with a valid checksum starts there.
fn record_content_at(bytes: &[u8], segment: u64, offset: usize) -> Option<&[u8]> {
    let record = bytes.get(offset..)?;
    if !record.starts_with(&MAGIC) {
        return None;
    }
    let length =
        usize::try_from(read_u32(record, 4)?).ok().filter(|length| *length <= MAX_RECORD_BYTES)?;
    let content = record.get(HEADER_BYTES..HEADER_BYTES + length)?;
    (checksum(segment, offset as u64, content) == read_u32(record, 8)?).then_some(content)
}

/// Reads the record at `offset` of a segment's bytes.
///
/// Returns the record and the offset after it, or `None` if no complete record with a valid checksum starts
/// at `offset`.
///
/// # Errors
/// [`Damage::Undecodable`] when the checksum is valid and the content is not a record.
pub fn decode_record(
    bytes: &[u8],
    segment: u64,
    offset: usize,
) -> Result<Option<(Record, usize)>, Damage> {
    let Some(content) = record_content_at(bytes, segment, offset) else { return Ok(None) };
    let record = decode_value(content).ok_or(Damage::Undecodable)?;
    Ok(Some((record, offset + HEADER_BYTES + content.len())))
}

/// Reports whether a complete record starts anywhere at or after `offset`. After bytes that are
/// not a record, this distinguishes damage from a write that a crash interrupted: a record is
/// written only after the previous one is synced, so no record follows a torn one.
pub(crate) fn contains_record_from(bytes: &[u8], segment: u64, offset: usize) -> bool {
    let tail = bytes.get(offset..).unwrap_or_default();
    let candidates = tail.windows(MAGIC.len()).enumerate().filter(|(_, window)| *window == MAGIC);
    let mut offsets = candidates.map(|(position, _)| offset + position);
    offsets.any(|candidate| record_content_at(bytes, segment, candidate).is_some())
}
