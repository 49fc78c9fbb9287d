//! Frames of the replication protocol over TCP.

use super::steps::BATCH_BYTES;
use crate::codec::{self, CodecError};
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio_util::bytes::Bytes;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest frame accepted, in bytes: a largest entry behind a full batch, and the rest of a request.
const FRAME_LIMIT: usize = codec::ENTRY_LIMIT + 2 * BATCH_BYTES;

/// Why a replication connection ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection broke.
    #[error("the replication connection broke: {0}")]
    Connection(#[from] std::io::Error),
    /// The peer closed the connection.
    #[error("the peer closed the replication connection")]
    Closed,
    /// The peer did not answer in time.
    #[error("the peer did not answer in time")]
    Silent,
    /// A message could not be encoded.
    #[error("a replication message cannot be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// A message could not be decoded.
    #[error("a replication message cannot be decoded: {0}")]
    Decode(#[from] CodecError),
}

/// A connection between two members that carries typed messages.
pub struct Link {
    frames: Framed<TcpStream, LengthDelimitedCodec>,
}

impl Link {
    /// Wraps a connected stream.
    ///
    /// # Errors
    /// The stream does not take its options.
    pub fn new(stream: TcpStream) -> Result<Self, LinkError> {
        stream.set_nodelay(true)?;
        let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec();
        Ok(Self { frames: Framed::new(stream, codec) })
    }

    /// Sends one message.
    ///
    /// # Errors
    /// The message cannot be encoded or the connection broke.
    pub async fn send<M: Serialize>(&mut self, message: &M) -> Result<(), LinkError> {
        let bytes = codec::encode(message)?;
        Ok(self.frames.send(Bytes::from(bytes)).await?)
    }

    /// Receives one message.
    ///
    /// # Errors
    /// The connection ended or the message cannot be decoded.
    pub async fn receive<M: DeserializeOwned>(&mut self) -> Result<M, LinkError> {
        let frame = self.frames.next().await.ok_or(LinkError::Closed)??;
        Ok(codec::decode(&frame)?)
    }
}
