//! Frames: version, length, checksum, then one `bincode` message.
//!
//! The header has [`HEADER_BYTES`] bytes: the version, two zero bytes, how the
//! payload is packed, the payload's length and its CRC-32, both in network byte
//! order. A frame that breaks a rule is an error of the connection, which is then
//! closed: the sender's later bytes cannot be trusted to start at a frame.

use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::marker::PhantomData;
use tokio_util::codec::{Decoder, Encoder};

/// Version of the internal protocol; a frame of another one is refused.
pub const PROTOCOL_VERSION: u8 = 1;
/// Bytes of a frame's header: three numbers of four bytes.
pub const HEADER_BYTES: usize = 12;
/// Largest payload of a frame, in bytes, packed or not. Chosen, not measured: a lower one refuses long statements
/// and large configurations, a higher one lets a peer fill more memory with one frame.
pub const PAYLOAD_LIMIT: usize = 8 * 1024 * 1024;

/// Payloads from this size on are compressed where the codec does so, in bytes. Chosen, not measured: below it
/// little is saved against the time that it takes, with a higher one more goes over narrow links.
const COMPRESSED_FROM: usize = 4 * 1024;
/// Effort of the compression. The fastest; a snapshot of 1,500 routes shrinks from 66 KB to a third.
const COMPRESSION_LEVEL: u8 = 1;

/// How a payload is packed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Packing {
    /// As it is.
    Plain,
    /// Compressed by DEFLATE (RFC 1951).
    Deflate,
}

impl Packing {
    /// First four bytes of the header.
    const fn head(self) -> u32 {
        ((PROTOCOL_VERSION as u32) << 24) | self as u32
    }

    fn of_head(head: u32) -> Option<Self> {
        [Self::Plain, Self::Deflate].into_iter().find(|packing| packing.head() == head)
    }
}

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The peer speaks another version.
    #[error("frame of protocol version {0}, this process speaks {PROTOCOL_VERSION}")]
    Version(u8),
    /// The payload is over [`PAYLOAD_LIMIT`].
    #[error("frame of {0} bytes, at most {PAYLOAD_LIMIT} are allowed")]
    TooLarge(usize),
    /// The payload does not match its checksum.
    #[error("frame with a wrong checksum")]
    Checksum,
    /// The payload cannot be unpacked, or is over [`PAYLOAD_LIMIT`] then.
    #[error("frame whose payload cannot be unpacked")]
    Packing,
    /// The payload is not a message.
    #[error("frame that holds no valid message")]
    Decode(#[from] bincode::error::DecodeError),
    /// The message could not be encoded.
    #[error("message that cannot be encoded")]
    Encode(#[from] bincode::error::EncodeError),
    /// The connection failed.
    #[error("connection failed")]
    Io(#[from] std::io::Error),
}

/// Encodes a message as a frame's payload or a record on disk.
///
/// # Errors
/// [`FrameError::Encode`] when the message has no encoding.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    Ok(bincode::serde::encode_to_vec(message, bincode::config::standard())?)
}

/// Decodes what [`encode`] wrote; allocates no more than the bytes justify.
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

/// Codec for `tokio_util::codec::Framed`: sends `Out`, receives `In`.
#[derive(Debug)]
pub struct FrameCodec<Out, In> {
    compresses: bool,
    messages: PhantomData<fn(Out) -> In>,
}

impl<Out, In> Default for FrameCodec<Out, In> {
    fn default() -> Self {
        Self { compresses: false, messages: PhantomData }
    }
}

impl<Out, In> FrameCodec<Out, In> {
    /// A codec that compresses large messages: for what many are sent over narrow links.
    #[must_use]
    pub fn compressing() -> Self {
        Self { compresses: true, messages: PhantomData }
    }

    /// The payload as it is sent.
    fn pack(&self, payload: Vec<u8>) -> (Packing, Vec<u8>) {
        if !self.compresses || payload.len() < COMPRESSED_FROM {
            return (Packing::Plain, payload);
        }
        let packed = miniz_oxide::deflate::compress_to_vec(&payload, COMPRESSION_LEVEL);
        if packed.len() < payload.len() {
            (Packing::Deflate, packed)
        } else {
            (Packing::Plain, payload)
        }
    }
}

/// The payload as it was before it was packed.
fn unpack(packing: Packing, payload: BytesMut) -> Result<Vec<u8>, FrameError> {
    match packing {
        Packing::Plain => Ok(payload.into()),
        Packing::Deflate => {
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
        let (packing, payload) = self.pack(payload);
        buffer.reserve(HEADER_BYTES + payload.len());
        buffer.put_u32(packing.head());
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
        let head = header.get_u32();
        let length = header.get_u32() as usize;
        let checksum = header.get_u32();
        let packing = Packing::of_head(head).ok_or(FrameError::Version((head >> 24) as u8))?;
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
        decode(&unpack(packing, payload)?).map(Some)
    }
}
