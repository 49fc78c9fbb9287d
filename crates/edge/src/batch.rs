//! Groups a caller's messages into batches. The collector does no I/O and holds the messages of the
//! batch that is not complete yet.
//!
//! `Sync` or a simple query ends a batch. `Flush` ends a part of a batch: the messages before `Flush`
//! are sent at once, because the caller may wait for their answer before it sends more. If a `Sync` at
//! this point would commit nothing (inside an open transaction, or after only `Parse`, `Describe` and
//! `Close` of statements), the edge sends the part with a `Sync` of its own and withholds the
//! `ReadyForQuery` from the caller. Otherwise the part is sent with the `Flush`, and the batch stays
//! unfinished on its server connection until the caller's `Sync`.

use crate::error::Rejection;
use pgwire::messages::PgWireFrontendMessage as Message;
use pgwire::messages::extendedquery::TARGET_TYPE_BYTE_PORTAL;

/// The message that ended a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchEnd {
    /// `Sync` or a simple query: the caller expects `ReadyForQuery`.
    Ready,
    /// `Flush`: the caller expects no `ReadyForQuery`.
    Flush,
}

/// A caller's messages that are answered together.
#[derive(Debug)]
pub struct CallerBatch {
    /// The messages without `Sync` and `Flush`.
    pub messages: Vec<Message>,
    /// The message that ended the batch.
    pub end: BatchEnd,
    /// Size of the messages in bytes.
    pub bytes: usize,
    /// The reason why the batch is refused, if it is.
    pub rejection: Option<Rejection>,
}

/// State of the batch after a message was added.
#[derive(Debug)]
pub enum CollectorState {
    /// The batch is incomplete.
    More,
    /// The batch is complete.
    Batch(CallerBatch),
    /// The caller sent `Terminate`.
    Terminate,
}

/// Collects the messages of one session into batches.
#[derive(Debug)]
pub struct BatchCollector {
    max_bytes: usize,
    messages: Vec<Message>,
    bytes: usize,
    rejection: Option<Rejection>,
    discarding: bool,
}

impl BatchCollector {
    /// Creates an empty collector; a batch may hold at most `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes, messages: Vec::new(), bytes: 0, rejection: None, discarding: false }
    }

    /// Reports whether no message waits for the end of its batch.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty() && self.rejection.is_none() && !self.discarding
    }

    /// Ignores all messages up to the next `Sync`, as the protocol asks after an error in a batch that
    /// was flushed.
    pub fn discard_until_sync(&mut self) {
        self.messages.clear();
        self.bytes = 0;
        self.rejection = None;
        self.discarding = true;
    }

    /// Adds the next message, whose size is `bytes`.
    ///
    /// # Errors
    /// Returns a [`Rejection`] that ends the session if a message of this type is not allowed after
    /// startup.
    pub fn push(&mut self, message: Message, bytes: usize) -> Result<CollectorState, Rejection> {
        match message {
            Message::Terminate(_) => Ok(CollectorState::Terminate),
            Message::Sync(_) => Ok(CollectorState::Batch(self.finish_batch(BatchEnd::Ready))),
            Message::Flush(_) if self.has_nothing_to_flush() => Ok(CollectorState::More),
            Message::Flush(_) => Ok(CollectorState::Batch(self.finish_batch(BatchEnd::Flush))),
            Message::Query(_) if self.discarding => Ok(CollectorState::More),
            Message::Query(_) => {
                self.add_message(message, bytes);
                Ok(CollectorState::Batch(self.finish_batch(BatchEnd::Ready)))
            }
            Message::Parse(_)
            | Message::Bind(_)
            | Message::Describe(_)
            | Message::Execute(_)
            | Message::Close(_) => {
                self.add_message(message, bytes);
                Ok(CollectorState::More)
            }
            // The caller may still send the data of a COPY that was refused.
            Message::CopyData(_) | Message::CopyDone(_) | Message::CopyFail(_) => {
                Ok(CollectorState::More)
            }
            Message::PasswordMessageFamily(_) => Err(Rejection::MalformedMessage('p')),
            _ => Err(Rejection::MalformedMessage('?')),
        }
    }

    fn has_nothing_to_flush(&self) -> bool {
        self.discarding || (self.messages.is_empty() && self.rejection.is_none())
    }

    fn add_message(&mut self, message: Message, bytes: usize) {
        if self.discarding {
            return;
        }
        self.bytes += bytes;
        if self.bytes > self.max_bytes {
            self.messages.clear();
            self.rejection = Some(Rejection::BatchTooLarge(self.max_bytes));
            return;
        }
        self.messages.push(message);
    }

    fn finish_batch(&mut self, end: BatchEnd) -> CallerBatch {
        self.discarding = false;
        let bytes = std::mem::take(&mut self.bytes);
        let messages = std::mem::take(&mut self.messages);
        CallerBatch { messages, end, bytes, rejection: self.rejection.take() }
    }
}

impl CallerBatch {
    /// Reports whether the batch only prepares, describes and closes statements, so that a `Sync` in
    /// place of the caller's `Flush` commits nothing outside a transaction.
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
