//! Records of a log segment.
//!
//! A record is a magic number, the length and the CRC-32 of its content, each
//! of four bytes in little-endian order, and the content. The checksum also
//! covers the segment and the place in it, so bytes that happen to look like a
//! record, or a record copied elsewhere, are not taken for one.

use crate::error::{Damage, StorageError};
use corktack_core::consensus::{Entry, HardState};
use corktack_core::position::Term;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Largest content of a record, and largest value of a small file, in bytes. Chosen, not measured; it bounds what
/// a damaged length can make a reader allocate, and a lower value refuses large configurations.
pub(crate) const RECORD_LIMIT: usize = 64 * 1024 * 1024;
/// First bytes of a record, which hardly stand anywhere else.
const MAGIC: [u8; 4] = *b"\xC0rkR";
/// Magic, length and checksum.
const HEADER_BYTES: usize = 12;

/// The entry before the first one that may follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogBase {
    /// Its index.
    pub index: u64,
    /// Its term.
    pub term: Term,
}

/// First record of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentStart {
    /// Version of the format.
    pub version: u32,
    /// Hard state when the segment was begun, so that older ones may go.
    pub hard_state: HardState,
    /// End of the log when the segment was begun.
    pub base: LogBase,
    /// Whether entries of earlier segments are void.
    pub reset: bool,
}

/// A record of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// First record of a segment.
    Start(SegmentStart),
    /// New hard state and consecutive entries; the log is first cut so that it
    /// ends before them.
    Append {
        /// New hard state, where it changed.
        hard_state: Option<HardState>,
        /// Entries, possibly none.
        entries: Vec<Entry>,
    },
}

impl Record {
    /// Highest index of the entries in it, zero when there are none.
    pub(crate) fn highest_index(&self) -> u64 {
        match self {
            Self::Append { entries, .. } => entries.last().map_or(0, |entry| entry.index),
            Self::Start(_) => 0,
        }
    }
}

/// Encodes a value.
pub(crate) fn encode_value<T: Serialize>(value: &T) -> Result<Vec<u8>, StorageError> {
    let bytes = bincode::serde::encode_to_vec(value, bincode::config::standard())?;
    if bytes.len() > RECORD_LIMIT {
        return Err(StorageError::TooLarge { bytes: bytes.len(), limit: RECORD_LIMIT });
    }
    Ok(bytes)
}

/// Decodes exactly one value, allocating no more than the bytes justify.
pub(crate) fn decode_value<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, used) = decode_prefix(bytes)?;
    (used == bytes.len()).then_some(value)
}

/// Decodes one value at the start of the bytes; also returns how many it took.
pub(crate) fn decode_prefix<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, usize)> {
    let config = bincode::config::standard().with_limit::<RECORD_LIMIT>();
    bincode::serde::decode_from_slice(bytes, config).ok()
}

fn checksum(segment: u64, offset: u64, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&segment.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}

/// Appends a record that will stand at `offset` of a segment.
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

fn field(bytes: &[u8], start: usize) -> Option<u32> {
    let field = bytes.get(start..start + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

/// Content of the record at `offset`, if there is a whole one with the right checksum.
fn content_at(bytes: &[u8], segment: u64, offset: usize) -> Option<&[u8]> {
    let record = bytes.get(offset..)?;
    if !record.starts_with(&MAGIC) {
        return None;
    }
    let length =
        usize::try_from(field(record, 4)?).ok().filter(|length| *length <= RECORD_LIMIT)?;
    let content = record.get(HEADER_BYTES..HEADER_BYTES + length)?;
    (checksum(segment, offset as u64, content) == field(record, 8)?).then_some(content)
}

/// Reads the record at `offset` of a segment's bytes.
///
/// Returns none where no whole record stands, else the record and the offset after it.
///
/// # Errors
/// [`Damage::Undecodable`] when the checksum is right and the content is not.
pub fn decode_record(
    bytes: &[u8],
    segment: u64,
    offset: usize,
) -> Result<Option<(Record, usize)>, Damage> {
    let Some(content) = content_at(bytes, segment, offset) else { return Ok(None) };
    let record = decode_value(content).ok_or(Damage::Undecodable)?;
    Ok(Some((record, offset + HEADER_BYTES + content.len())))
}

/// Whether a whole record stands anywhere from `offset` on. After bytes that are
/// no record this tells damage from a write that a crash cut short: a record is
/// written only after the one before it is synced, so nothing follows a torn one.
pub(crate) fn any_record_from(bytes: &[u8], segment: u64, offset: usize) -> bool {
    let tail = bytes.get(offset..).unwrap_or_default();
    let candidates = tail.windows(MAGIC.len()).enumerate().filter(|(_, window)| *window == MAGIC);
    let mut places = candidates.map(|(place, _)| offset + place);
    places.any(|place| content_at(bytes, segment, place).is_some())
}
