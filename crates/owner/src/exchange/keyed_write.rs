//! State of a write under an idempotency key.

use crate::batch;
use crate::transcript::Turn;
use corktack_core::pool::outcomes::ANSWER_LIMIT;
use corktack_protocol::peer::{Access, OpenRequest};

/// State of a keyed write.
#[derive(Debug)]
pub(super) struct KeyedWrite {
    pub key: String,
    /// Batches and answers so far; those of the first request if this request is a repeat.
    pub turns: Vec<Turn>,
    /// Number of entries replayed; `None` if this request runs the write itself.
    pub replayed: Option<usize>,
    /// Whether the commit was sent and is not yet answered.
    pub commit_sent: bool,
    /// Whether the buffered answer exceeded the limit and was dropped.
    pub oversized: bool,
}

impl KeyedWrite {
    /// Returns the keyed write of a request, if the request is one and runs a statement.
    pub fn of(request: &OpenRequest) -> Option<Self> {
        let key = request.idempotency_key.clone()?;
        let runs = request.access == Access::Write && batch::runs_something(&request.batch);
        runs.then(|| Self {
            key,
            turns: Vec::new(),
            replayed: None,
            commit_sent: false,
            oversized: false,
        })
    }

    fn kept_bytes(&self) -> usize {
        self.turns.iter().map(|turn| turn.messages.len()).sum()
    }

    /// Reports whether an answer of this size in bytes would exceed the limit of a transcript.
    pub fn is_over_limit(&self, held: usize) -> bool {
        self.kept_bytes() + held > ANSWER_LIMIT
    }
}
