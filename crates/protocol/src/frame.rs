//! Frames: version, length, checksum, then one `bincode` message.
//!
//! The header has [`HEADER_BYTES`] bytes: the version, two zero bytes, the
//! compression of the payload, the payload's length and its CRC-32, both in network byte
//! order. A frame that breaks a rule is an error of the connection, which is then
//! closed, because the position of the next frame in the sender's later bytes is unknown.

use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::marker::PhantomData;
use tokio_util::codec::{Decoder, Encoder};

/// Version of the internal protocol; a frame of another version is refused.
pub const PROTOCOL_VERSION: u8 = 1;
/// Size of a frame's header, in bytes: three numbers of four bytes.
pub const HEADER_BYTES: usize = 12;
/// Largest payload of a frame, in bytes, before and after compression. A lower limit refuses long statements
/// and large configurations; a higher one lets a peer fill more memory with one frame.
pub const PAYLOAD_LIMIT: usize = 8 * 1024 * 1024;

/// Smallest payload that a compressing codec compresses, in bytes. For smaller payloads compression saves
/// little for the time that it takes; a higher threshold sends more bytes over narrow links.
const MIN_COMPRESSED_BYTES: usize = 4 * 1024;
/// DEFLATE compression level: the fastest, which shrinks a snapshot of 1,500 routes from 66 KB to a third.
const COMPRESSION_LEVEL: u8 = 1;

/// Compression of a payload, with its code in the header as the discriminant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Compression {
    /// Not compressed.
    Plain,
    /// Compressed with DEFLATE (RFC 1951).
    Deflate,
}

impl Compression {
    /// Returns the first four bytes of the header, as a number.
    const fn header_word(self) -> u32 {
        ((PROTOCOL_VERSION as u32) << 24) | self as u32
    }

    fn from_header_word(header_word: u32) -> Option<Self> {
        [Self::Plain, Self::Deflate]
            .into_iter()
            .find(|compression| compression.header_word() == header_word)
    }
}

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The frame has another protocol version, or an unknown compression.
    #[error("frame of protocol version {0}, this process speaks {PROTOCOL_VERSION}")]
    Version(u8),
    /// The payload is larger than [`PAYLOAD_LIMIT`].
    #[error("frame of {0} bytes, at most {PAYLOAD_LIMIT} are allowed")]
    TooLarge(usize),
    /// The payload does not match its checksum.
    #[error("frame with a wrong checksum")]
    Checksum,
    /// The payload cannot be decompressed, or is larger than [`PAYLOAD_LIMIT`] once decompressed.
    #[error("frame whose payload cannot be decompressed")]
    Packing,
    /// The payload is not exactly one message of the expected type.
    #[error("frame that holds no valid message")]
    Decode(#[from] bincode::error::DecodeError),
    /// The message could not be encoded.
    #[error("message that cannot be encoded")]
    Encode(#[from] bincode::error::EncodeError),
    /// The connection failed.
    #[error("connection failed")]
    Io(#[from] std::io::Error),
}

/// Encodes a message as the payload of a frame or the content of a record on disk.
///
/// # Errors
/// [`FrameError::Encode`] when the message has no encoding.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    Ok(bincode::serde::encode_to_vec(message, bincode::config::standard())?)
}

/// Decodes a message that [`encode`] wrote. A false length inside `bytes` makes the decoder allocate no
/// more than [`PAYLOAD_LIMIT`].
///
/// # Errors
/// [`FrameError::Decode`] when the bytes are not exactly one message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    let config = bincode::config::standard().with_limit::<PAYLOAD_LIMIT>();
    let (message, used) = bincode::serde::decode_from_slice(bytes, config)?;
    if used != bytes.len() {
        let error = bincode::error::DecodeError::Other("bytes after the message");
        return Err(FrameError::Decode(error));
    }
    Ok(message)
}

/// Codec for `tokio_util::codec::Framed` that sends `Out` and receives `In`.
#[derive(Debug)]
pub struct FrameCodec<Out, In> {
    is_compressing: bool,
    messages: PhantomData<fn(Out) -> In>,
}

impl<Out, In> Default for FrameCodec<Out, In> {
    fn default() -> Self {
        Self { is_compressing: false, messages: PhantomData }
    }
}

impl<Out, In> FrameCodec<Out, In> {
    /// Returns a codec that compresses large messages, for message types of which many go over narrow links.
    #[must_use]
    pub fn compressing() -> Self {
        Self { is_compressing: true, messages: PhantomData }
    }

    /// Compresses a payload where that makes it smaller, and returns the compression used.
    fn compress(&self, payload: Vec<u8>) -> (Compression, Vec<u8>) {
        if !self.is_compressing || payload.len() < MIN_COMPRESSED_BYTES {
            return (Compression::Plain, payload);
        }
        let compressed = miniz_oxide::deflate::compress_to_vec(&payload, COMPRESSION_LEVEL);
        if compressed.len() < payload.len() {
            (Compression::Deflate, compressed)
        } else {
            (Compression::Plain, payload)
        }
    }
}

/// Restores a payload that [`FrameCodec::compress`] returned.
fn decompress(compression: Compression, payload: BytesMut) -> Result<Vec<u8>, FrameError> {
    match compression {
        Compression::Plain => Ok(payload.into()),
        Compression::Deflate => {
            miniz_oxide::inflate::decompress_to_vec_with_limit(&payload, PAYLOAD_LIMIT)
                .map_err(|_| FrameError::Packing)
        }
    }
}

impl<Out: Serialize, In> Encoder<Out> for FrameCodec<Out, In> {
    type Error = FrameError;

    fn encode(&mut self, message: Out, buffer: &mut BytesMut) -> Result<(), FrameError> {
        let payload = encode(&message)?;
        if payload.len() > PAYLOAD_LIMIT {
            return Err(FrameError::TooLarge(payload.len()));
        }
        let (compression, payload) = self.compress(payload);
        buffer.reserve(HEADER_BYTES + payload.len());
        buffer.put_u32(compression.header_word());
        // The limit above keeps the length far below `u32::MAX`.
        buffer.put_u32(payload.len() as u32);
        buffer.put_u32(crc32fast::hash(&payload));
        buffer.put_slice(&payload);
        Ok(())
    }
}

impl<Out, In: DeserializeOwned> Decoder for FrameCodec<Out, In> {
    type Item = In;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<In>, FrameError> {
        if buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let mut header = &buffer[..HEADER_BYTES];
        let header_word = header.get_u32();
        let length = header.get_u32() as usize;
        let checksum = header.get_u32();
        let compression = Compression::from_header_word(header_word)
            .ok_or(FrameError::Version((header_word >> 24) as u8))?;
        if length > PAYLOAD_LIMIT {
            return Err(FrameError::TooLarge(length));
        }
        if buffer.len() < HEADER_BYTES + length {
            buffer.reserve(HEADER_BYTES + length - buffer.len());
            return Ok(None);
        }
        buffer.advance(HEADER_BYTES);
        let payload = buffer.split_to(length);
        if crc32fast::hash(&payload) != checksum {
            return Err(FrameError::Checksum);
        }
        decode(&decompress(compression, payload)?).map(Some)
    }
}
