//! Encoding of log records, promises and replication messages, with bounded decoding.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::error::{DecodeError, EncodeError};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Most bytes of one encoded log entry.
pub const ENTRY_LIMIT: usize = 16 * 1024 * 1024;

/// Bytes that one encoded byte may claim at most; a number claims its full width.
const CLAIM: usize = 16;
const SMALL: usize = 4 * 1024;
const MEDIUM: usize = 64 * 1024;
const LARGE: usize = 1024 * 1024;
const CODEC: Configuration = bincode::config::standard();

/// Why bytes are not a value of the expected type.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The bytes are malformed, or claim more memory than their length allows.
    #[error("malformed value: {0}")]
    Malformed(#[from] DecodeError),
    /// Bytes follow the value.
    #[error("{0} bytes follow the value")]
    Trailing(usize),
}

/// Encodes a value.
///
/// # Errors
/// The value has no encoding.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, EncodeError> {
    bincode::serde::encode_to_vec(value, CODEC)
}

/// Decodes a value that fills the bytes exactly.
///
/// What the bytes claim to hold is checked against their length before it is
/// allocated, so that a short input cannot ask for much memory.
///
/// # Errors
/// The bytes are no such value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let length = bytes.len();
    let (value, used) = if length <= SMALL {
        limited::<T, { SMALL * CLAIM }>(bytes)?
    } else if length <= MEDIUM {
        limited::<T, { MEDIUM * CLAIM }>(bytes)?
    } else if length <= LARGE {
        limited::<T, { LARGE * CLAIM }>(bytes)?
    } else {
        limited::<T, { ENTRY_LIMIT * 2 * CLAIM }>(bytes)?
    };
    match length - used {
        0 => Ok(value),
        rest => Err(CodecError::Trailing(rest)),
    }
}

fn limited<T: DeserializeOwned, const LIMIT: usize>(
    bytes: &[u8],
) -> Result<(T, usize), DecodeError> {
    let codec: Configuration<LittleEndian, Varint, Limit<LIMIT>> = CODEC.with_limit::<LIMIT>();
    bincode::serde::decode_from_slice(bytes, codec)
}
