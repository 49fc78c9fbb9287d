//! Gathers a caller's messages into batches.
//!
//! A batch ends with `Sync` or a simple query. `Flush` ends a part of one: what is
//! before it is sent at once, so that no caller waits for an answer that does not
//! come. Where a `Sync` commits nothing (inside an open transaction, or after
//! nothing but `Parse`, `Describe` and `Close` of statements) the part is sent with
//! a `Sync` of the edge's own whose `ReadyForQuery` the caller does not see.
//! Elsewhere it is sent with the `Flush`, and the batch stays unfinished on its
//! server connection until the caller's `Sync`.
//!
//! The module owns the messages of the batch that is not whole yet, and decides without I/O; it relies on
//! `codec` for whole messages.

use crate::error::Rejection;
use pgwire::messages::PgWireFrontendMessage as Message;
use pgwire::messages::extendedquery::TARGET_TYPE_BYTE_PORTAL;

/// What ended a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchEnd {
    /// `Sync` or a simple query: the caller expects `ReadyForQuery`.
    Ready,
    /// `Flush`: the caller expects no `ReadyForQuery`.
    Flush,
}

/// Messages to be answered together.
#[derive(Debug)]
pub struct CallerBatch {
    /// The messages without `Sync` and `Flush`.
    pub messages: Vec<Message>,
    /// What ended it.
    pub end: BatchEnd,
    /// Bytes of its messages.
    pub bytes: usize,
    /// Why it is refused, if it is.
    pub rejection: Option<Rejection>,
}

/// What a message leads to.
#[derive(Debug)]
pub enum Gathered {
    /// More messages are needed.
    More,
    /// A batch is whole.
    Batch(CallerBatch),
    /// The caller ends the session.
    Terminate,
}

/// Gathers messages.
#[derive(Debug)]
pub struct BatchCollector {
    limit: usize,
    messages: Vec<Message>,
    bytes: usize,
    rejection: Option<Rejection>,
    discarding: bool,
}

impl BatchCollector {
    /// Batches hold at most this many bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, messages: Vec::new(), bytes: 0, rejection: None, discarding: false }
    }

    /// Whether no message waits for the end of its batch.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty() && self.rejection.is_none() && !self.discarding
    }

    /// After an error before a `Flush`: ignores everything up to the next `Sync`.
    pub fn discard_until_sync(&mut self) {
        self.messages.clear();
        self.bytes = 0;
        self.rejection = None;
        self.discarding = true;
    }

    /// Takes the next message, which has this many bytes.
    ///
    /// # Errors
    /// A [`Rejection`] that ends the session when the message has no place here.
    pub fn push(&mut self, message: Message, bytes: usize) -> Result<Gathered, Rejection> {
        match message {
            Message::Terminate(_) => Ok(Gathered::Terminate),
            Message::Sync(_) => Ok(Gathered::Batch(self.take(BatchEnd::Ready))),
            Message::Flush(_) if self.has_nothing_to_flush() => Ok(Gathered::More),
            Message::Flush(_) => Ok(Gathered::Batch(self.take(BatchEnd::Flush))),
            Message::Query(_) if self.discarding => Ok(Gathered::More),
            Message::Query(_) => {
                self.keep(message, bytes);
                Ok(Gathered::Batch(self.take(BatchEnd::Ready)))
            }
            Message::Parse(_)
            | Message::Bind(_)
            | Message::Describe(_)
            | Message::Execute(_)
            | Message::Close(_) => {
                self.keep(message, bytes);
                Ok(Gathered::More)
            }
            // What remains of a COPY that was refused.
            Message::CopyData(_) | Message::CopyDone(_) | Message::CopyFail(_) => {
                Ok(Gathered::More)
            }
            Message::PasswordMessageFamily(_) => Err(Rejection::MalformedMessage('p')),
            _ => Err(Rejection::MalformedMessage('?')),
        }
    }

    fn has_nothing_to_flush(&self) -> bool {
        self.discarding || (self.messages.is_empty() && self.rejection.is_none())
    }

    fn keep(&mut self, message: Message, bytes: usize) {
        if self.discarding {
            return;
        }
        self.bytes += bytes;
        if self.bytes > self.limit {
            self.messages.clear();
            self.rejection = Some(Rejection::BatchTooLarge(self.limit));
            return;
        }
        self.messages.push(message);
    }

    fn take(&mut self, end: BatchEnd) -> CallerBatch {
        self.discarding = false;
        let bytes = std::mem::take(&mut self.bytes);
        let messages = std::mem::take(&mut self.messages);
        CallerBatch { messages, end, bytes, rejection: self.rejection.take() }
    }
}

impl CallerBatch {
    /// Whether the batch may be sent with a `Sync` where the caller wrote `Flush`
    /// outside a transaction, with nothing before it.
    #[must_use]
    pub fn only_prepares(&self) -> bool {
        self.messages.iter().all(|message| match message {
            Message::Parse(_) => true,
            Message::Describe(describe) => describe.target_type != TARGET_TYPE_BYTE_PORTAL,
            Message::Close(close) => close.target_type != TARGET_TYPE_BYTE_PORTAL,
            _ => false,
        })
    }
}
