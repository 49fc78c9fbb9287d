//! State of a write under an idempotency key.

use crate::batch;
use crate::transcript::TranscriptEntry;
use corktack_core::pool::outcomes::ANSWER_LIMIT;
use corktack_protocol::peer::{Access, OpenRequest};

/// State of a keyed write.
#[derive(Debug)]
pub(super) struct KeyedWrite {
    pub key: String,
    /// Batches and answers so far; those of the first request if this request is a repeat.
    pub entries: Vec<TranscriptEntry>,
    /// Number of entries replayed; `None` if this request runs the write itself.
    pub replayed: Option<usize>,
    /// Whether the commit was sent and is not yet answered.
    pub commit_sent: bool,
    /// Whether the buffered answer exceeded the limit and was dropped.
    pub oversized: bool,
}

impl KeyedWrite {
    /// Returns the keyed write of a request, if the request is one and runs a statement.
    pub fn from_request(request: &OpenRequest) -> Option<Self> {
        let key = request.idempotency_key.clone()?;
        let is_keyed_write =
            request.access == Access::Write && batch::runs_statement(&request.batch);
        is_keyed_write.then(|| Self {
            key,
            entries: Vec::new(),
            replayed: None,
            commit_sent: false,
            oversized: false,
        })
    }

    fn stored_bytes(&self) -> usize {
        self.entries.iter().map(|entry| entry.messages.len()).sum()
    }

    /// Reports whether an answer of this size in bytes would exceed the limit of a transcript.
    pub fn is_over_limit(&self, answer_bytes: usize) -> bool {
        self.stored_bytes() + answer_bytes > ANSWER_LIMIT
    }
}
