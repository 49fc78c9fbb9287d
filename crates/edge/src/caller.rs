//! A caller's socket with its buffers.
//!
//! The module owns the socket and what is read and not yet decoded, or gathered and not yet written. It
//! relies on `codec` to cut messages. A session reads and writes nothing beside it.

use crate::answer;
use crate::codec;
use crate::error::{Rejection, SessionEnd, Severity};
use crate::times::LINGER;
use bytes::{BufMut, BytesMut};
use pgwire::messages::PgWireFrontendMessage;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Bytes read ahead while an answer is under way, so that a caller that goes away is noticed. Chosen, not
/// measured: a lower bound stops pipelining callers sooner, a higher one costs memory a connection.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Bytes asked for by one read. Chosen, not measured: fewer mean more system calls for long batches, more
/// mean memory for each of many idle callers.
const READ_BYTES: usize = 8 * 1024;
/// Bytes of an answer that are gathered before they are written; the end of what has come is written at
/// once. Chosen, not measured: fewer mean more system calls, more mean memory and a later first row.
pub const WRITE_BYTES: usize = 32 * 1024;

/// A caller's socket with its buffers.
#[derive(Debug)]
pub struct CallerSocket {
    stream: TcpStream,
    input: BytesMut,
    /// Messages for the caller that are not yet written.
    pub output: BytesMut,
    write_timeout: Duration,
}

impl CallerSocket {
    /// Wraps a connected socket; a caller that takes nothing for this long is gone.
    #[must_use]
    pub fn new(stream: TcpStream, write_timeout: Duration) -> Self {
        Self { stream, input: BytesMut::new(), output: BytesMut::new(), write_timeout }
    }

    /// The first message of the connection.
    ///
    /// # Errors
    /// [`SessionEnd`] when it is malformed, too long, or does not come.
    pub async fn first_message(&mut self, limit: usize) -> Result<codec::FirstMessage, SessionEnd> {
        loop {
            if let Some(message) = codec::first_message(&mut self.input, limit)? {
                return Ok(message);
            }
            self.read_more().await?;
        }
    }

    /// Declines encryption.
    ///
    /// # Errors
    /// [`SessionEnd`] when the connection fails.
    pub async fn decline_encryption(&mut self, answer: u8) -> Result<(), SessionEnd> {
        self.output.put_u8(answer);
        self.flush().await
    }

    /// The next message, waiting for it.
    ///
    /// # Errors
    /// [`SessionEnd`] when it is malformed, too long, or does not come.
    pub async fn message(&mut self, limit: usize) -> Result<PgWireFrontendMessage, SessionEnd> {
        loop {
            if let Some((message, _)) = self.buffered_message(limit)? {
                return Ok(message);
            }
            self.read_more().await?;
        }
    }

    /// The next message with its length, if it is already here.
    ///
    /// # Errors
    /// A [`Rejection`] when it is malformed or too long.
    pub fn buffered_message(
        &mut self,
        limit: usize,
    ) -> Result<Option<(PgWireFrontendMessage, usize)>, Rejection> {
        codec::next_message(&mut self.input, limit)
    }

    /// Whether nothing of a further message is here.
    #[must_use]
    pub fn input_is_empty(&self) -> bool {
        self.input.is_empty()
    }

    /// Whether anything of a further message is here or can be read at once.
    pub fn has_more_input(&mut self) -> bool {
        if self.input.is_empty() {
            // An error, as for want of input, is found again by the next read.
            let _ = self.stream.try_read_buf(&mut self.input);
        }
        !self.input.is_empty()
    }

    /// Whether the next message is here, or can be read at once, and is `Sync`.
    pub fn next_is_sync(&mut self) -> bool {
        self.has_more_input() && self.input.starts_with(codec::SYNC)
    }

    /// Whether more may be read ahead while an answer is under way.
    #[must_use]
    pub fn may_read_ahead(&self) -> bool {
        self.input.len() < READ_AHEAD_BYTES
    }

    /// Reads what has come; safe to cancel.
    ///
    /// # Errors
    /// [`SessionEnd::CallerGone`] at the end of the stream.
    pub async fn read_more(&mut self) -> Result<(), SessionEnd> {
        self.input.reserve(READ_BYTES);
        if self.stream.read_buf(&mut self.input).await? == 0 {
            return Err(SessionEnd::CallerGone);
        }
        Ok(())
    }

    /// Writes everything gathered.
    ///
    /// # Errors
    /// [`SessionEnd`] when the connection fails or the caller takes nothing for too long.
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

    /// Tells the caller why the session is over, then closes without cutting the message.
    pub async fn finish(mut self, rejection: &Rejection) {
        answer::put_rejection(&mut self.output, rejection, Severity::Fatal);
        if self.flush().await.is_ok() && self.stream.shutdown().await.is_ok() {
            // Unread input would make the close a reset, which may overtake the message.
            let _ = timeout(LINGER, self.discard_input()).await;
        }
    }

    async fn discard_input(&mut self) {
        self.input.clear();
        while self.read_more().await.is_ok() {
            self.input.clear();
        }
    }
}
