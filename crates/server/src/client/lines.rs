//! A body that arrives in pieces, as lines.
//!
//! Owns what arrived of the next line.

use super::error::LostAnswer;
use futures_util::{Stream, StreamExt};
use std::pin::Pin;

/// Pieces of a body as they arrive.
pub(super) type Chunks = Pin<Box<dyn Stream<Item = Result<Vec<u8>, LostAnswer>>>>;

/// A stream cut into lines.
pub struct Lines {
    chunks: Chunks,
    buffer: Vec<u8>,
}

impl Lines {
    pub(super) fn new(chunks: Chunks) -> Self {
        Self { chunks, buffer: Vec::new() }
    }

    /// The next whole line; none at the end of the stream. A cut last line is dropped.
    ///
    /// # Errors
    /// [`LostAnswer`] when the connection is lost.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, LostAnswer> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let rest = self.buffer.split_off(end + 1);
                return Ok(Some(std::mem::replace(&mut self.buffer, rest)));
            }
            match self.chunks.next().await {
                Some(chunk) => self.buffer.extend(chunk?),
                None => return Ok(None),
            }
        }
    }
}
