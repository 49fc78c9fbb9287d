//! Messages of one PostgreSQL connection over TCP.

use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Why a connection of a caller ended.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Connection(#[from] std::io::Error),
    /// Bytes that are no message of the protocol.
    #[error("the wire protocol was violated: {0}")]
    Protocol(#[from] PgWireError),
}

/// Reads frontend messages and writes backend messages.
pub struct MessageStream {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    /// State of the decoder.
    pub context: DecodeContext,
}

impl MessageStream {
    /// Wraps a connected stream.
    ///
    /// # Errors
    /// The stream does not take its options.
    pub fn new(stream: TcpStream) -> Result<Self, StreamError> {
        stream.set_nodelay(true)?;
        let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        Ok(Self { stream, input: BytesMut::new(), output: BytesMut::new(), context })
    }

    /// The next message; `None` when the caller closed the connection.
    ///
    /// # Errors
    /// The connection broke or the bytes are no message.
    pub async fn read(&mut self) -> Result<Option<PgWireFrontendMessage>, StreamError> {
        loop {
            if let Some(message) = PgWireFrontendMessage::decode(&mut self.input, &self.context)? {
                return Ok(Some(message));
            }
            self.input.reserve(READ_BUFFER_BYTES);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Adds a message to what the next flush sends.
    ///
    /// # Errors
    /// The message is too large.
    pub fn put(&mut self, message: PgWireBackendMessage) -> Result<(), StreamError> {
        Ok(message.encode(&mut self.output)?)
    }

    /// Sends what was added.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn flush(&mut self) -> Result<(), StreamError> {
        self.stream.write_all(&self.output).await?;
        self.output.clear();
        Ok(())
    }
}
