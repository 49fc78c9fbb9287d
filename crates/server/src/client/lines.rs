//! Splits a response body that arrives in chunks into lines.
//!
//! Buffers the received bytes that have not been returned yet.

use super::error::LostAnswer;
use futures_util::{Stream, StreamExt};
use std::pin::Pin;

/// Stream of the chunks of a response body.
pub(super) type Chunks = Pin<Box<dyn Stream<Item = Result<Vec<u8>, LostAnswer>>>>;

/// Lines of a response body, read as they arrive.
pub struct Lines {
    chunks: Chunks,
    buffer: Vec<u8>,
}

impl Lines {
    pub(super) fn new(chunks: Chunks) -> Self {
        Self { chunks, buffer: Vec::new() }
    }

    /// Returns the next complete line with its line feed, or `None` at the end of the stream. An
    /// incomplete last line is dropped.
    ///
    /// # Errors
    /// Returns [`LostAnswer`] if the connection is lost.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, LostAnswer> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let remainder = self.buffer.split_off(end + 1);
                return Ok(Some(std::mem::replace(&mut self.buffer, remainder)));
            }
            match self.chunks.next().await {
                Some(chunk) => self.buffer.extend(chunk?),
                None => return Ok(None),
            }
        }
    }
}
