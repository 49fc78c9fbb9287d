//! A caller's socket with its input and output buffers.
//!
//! A session reads from and writes to its caller only through [`CallerSocket`]; `codec` frames and
//! decodes the messages.

use crate::answer;
use crate::codec;
use crate::error::{Rejection, SessionEnd, Severity};
use crate::times::LINGER_TIMEOUT;
use bytes::{BufMut, BytesMut};
use pgwire::messages::PgWireFrontendMessage;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Most bytes read ahead while the caller waits for an answer. Reading ahead detects a caller that has
/// disconnected. A lower bound stalls pipelining callers sooner; a higher one costs memory for each
/// connection.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Buffer space reserved for one read. A smaller buffer costs more system calls for long batches, a
/// larger one memory for each of many idle callers.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Bytes of an answer that are buffered before they are written; whatever is buffered is written at
/// once when no more of the answer is available. A lower threshold costs more system calls, a higher
/// one memory and a later first row.
pub const WRITE_THRESHOLD_BYTES: usize = 32 * 1024;

/// The socket of one caller; input that is not yet decoded and output that is not yet written are buffered.
#[derive(Debug)]
pub struct CallerSocket {
    stream: TcpStream,
    input: BytesMut,
    /// Encoded messages for the caller that are not yet written.
    pub output: BytesMut,
    write_timeout: Duration,
}

impl CallerSocket {
    /// Wraps a connected socket. A caller that accepts no bytes for `write_timeout` is treated as
    /// disconnected.
    #[must_use]
    pub fn new(stream: TcpStream, write_timeout: Duration) -> Self {
        Self { stream, input: BytesMut::new(), output: BytesMut::new(), write_timeout }
    }

    /// Reads the first message of the connection.
    ///
    /// # Errors
    /// Returns a [`SessionEnd`] if the message is malformed or too long, or if the connection ends
    /// first.
    pub async fn read_first_message(
        &mut self,
        limit: usize,
    ) -> Result<codec::FirstMessage, SessionEnd> {
        loop {
            if let Some(message) = codec::decode_first_message(&mut self.input, limit)? {
                return Ok(message);
            }
            self.read_more().await?;
        }
    }

    /// Answers a request for encryption with this byte.
    ///
    /// # Errors
    /// Returns a [`SessionEnd`] if the connection fails.
    pub async fn decline_encryption(&mut self, answer: u8) -> Result<(), SessionEnd> {
        self.output.put_u8(answer);
        self.flush().await
    }

    /// Reads the next message and waits for it if necessary.
    ///
    /// # Errors
    /// Returns a [`SessionEnd`] if the message is malformed or too long, or if the connection ends
    /// first.
    pub async fn read_message(
        &mut self,
        limit: usize,
    ) -> Result<PgWireFrontendMessage, SessionEnd> {
        loop {
            if let Some((message, _)) = self.take_buffered_message(limit)? {
                return Ok(message);
            }
            self.read_more().await?;
        }
    }

    /// Removes the next message from the input buffer if it is complete, and returns it with its size
    /// in bytes.
    ///
    /// # Errors
    /// Returns a [`Rejection`] if the message is malformed or too long.
    pub fn take_buffered_message(
        &mut self,
        limit: usize,
    ) -> Result<Option<(PgWireFrontendMessage, usize)>, Rejection> {
        codec::decode_next_message(&mut self.input, limit)
    }

    /// Reports whether the input buffer is empty.
    #[must_use]
    pub fn input_is_empty(&self) -> bool {
        self.input.is_empty()
    }

    /// Reports whether any input is buffered or can be read without waiting.
    pub fn has_more_input(&mut self) -> bool {
        if self.input.is_empty() {
            // Errors, including `WouldBlock`, are left to the next read, which meets them again.
            let _ = self.stream.try_read_buf(&mut self.input);
        }
        !self.input.is_empty()
    }

    /// Reports whether the next message is buffered, or can be read without waiting, and is `Sync`.
    pub fn next_is_sync(&mut self) -> bool {
        self.has_more_input() && self.input.starts_with(codec::SYNC_MESSAGE)
    }

    /// Reports whether more input may be read ahead while the caller waits for an answer.
    #[must_use]
    pub fn may_read_ahead(&self) -> bool {
        self.input.len() < MAX_READ_AHEAD_BYTES
    }

    /// Reads the available input and waits for it if there is none; safe to cancel.
    ///
    /// # Errors
    /// Returns [`SessionEnd::CallerGone`] at the end of the stream, or [`SessionEnd::Io`] if the read
    /// fails.
    pub async fn read_more(&mut self) -> Result<(), SessionEnd> {
        self.input.reserve(READ_BUFFER_BYTES);
        if self.stream.read_buf(&mut self.input).await? == 0 {
            return Err(SessionEnd::CallerGone);
        }
        Ok(())
    }

    /// Writes all buffered output.
    ///
    /// # Errors
    /// Returns a [`SessionEnd`] if the connection fails or the caller accepts no bytes within the write
    /// timeout.
    pub async fn flush(&mut self) -> Result<(), SessionEnd> {
        while !self.output.is_empty() {
            let write = self.stream.write_buf(&mut self.output);
            let written = timeout(self.write_timeout, write).await;
            if written.map_err(|_| SessionEnd::CallerGone)?? == 0 {
                return Err(SessionEnd::CallerGone);
            }
        }
        Ok(())
    }

    /// Sends a fatal error and closes the connection. Waits up to [`LINGER_TIMEOUT`] for the caller to
    /// close its side, so that the error reaches the caller.
    pub async fn close_with_error(mut self, rejection: &Rejection) {
        answer::put_error_response(&mut self.output, rejection, Severity::Fatal);
        if self.flush().await.is_ok() && self.stream.shutdown().await.is_ok() {
            // Closing a socket with unread input resets the connection, and the reset may overtake the
            // error message.
            let _ = timeout(LINGER_TIMEOUT, self.discard_input()).await;
        }
    }

    async fn discard_input(&mut self) {
        self.input.clear();
        while self.read_more().await.is_ok() {
            self.input.clear();
        }
    }
}
