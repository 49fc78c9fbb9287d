//! What is known of a write under an idempotency key.

use crate::batch;
use crate::transcript::Turn;
use corktack_core::pool::outcomes::ANSWER_LIMIT;
use corktack_protocol::peer::{Access, OpenRequest};

/// What is known of a keyed write.
#[derive(Debug)]
pub(super) struct KeyedWrite {
    pub key: String,
    /// Answers so far, or those of the first request.
    pub turns: Vec<Turn>,
    /// Turns already replayed; none while the write itself runs.
    pub replayed: Option<usize>,
    /// Its commit was sent and not yet answered.
    pub commit_sent: bool,
    /// The answer held is over the limit, and was dropped.
    pub oversized: bool,
}

impl KeyedWrite {
    /// The keyed write of a request, if it is one and runs something.
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

    /// Whether an answer of this size would be over the limit.
    pub fn is_over_limit(&self, held: usize) -> bool {
        self.kept_bytes() + held > ANSWER_LIMIT
    }
}
