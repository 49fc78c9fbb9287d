//! What a caller is answered.
//!
//! It is for everything in [`session`](super) that answers. It owns the texts of the product's own failures and
//! refusals. It relies on [`retry_after`](crate::retry_after) for when to come back.

use crate::answer::{Answer, Failure};
use crate::error::{AcquireError, RefusalReason};
use crate::retry_after::not_run;
use crate::wire::Wire;
use bytes::BytesMut;
use corktack_core::limits::OverLimit;
use corktack_core::position::Position;
use corktack_core::statement::{ErrorCode, ReadyState, Reply, TransactionState};

/// The whole answer to one statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Response {
    rows: Vec<String>,
    outcome: Result<Option<String>, Failure>,
    ready: ReadyState,
    /// Why the product refused it, where it did.
    refusal: Option<RefusalReason>,
}

impl Response {
    /// A member's answer, in the session's state.
    pub(crate) fn of(answer: Answer, state: TransactionState) -> Self {
        let ready = ReadyState { state, position: answer.ready.position };
        Self { rows: answer.rows, outcome: answer.outcome, ready, refusal: None }
    }

    /// A success that no member was asked for.
    pub(crate) fn own_success(state: TransactionState) -> Self {
        let ready = ReadyState { state, position: None };
        Self { rows: Vec::new(), outcome: Ok(None), ready, refusal: None }
    }

    /// A failure in the product's own words.
    pub(crate) fn failure(code: ErrorCode, text: &str, state: TransactionState) -> Self {
        Self::member_failure(Failure { code, text: text.to_owned() }, state)
    }

    /// A refusal of something that did not run, with when to come back. `refusal` is what the last
    /// member said to it, empty where none was asked.
    pub(crate) fn refused(error: &AcquireError, refusal: &str, state: TransactionState) -> Self {
        let said = if refusal.is_empty() { String::new() } else { format!(" ({refusal})") };
        let text = not_run(format_args!("{error}{said}"), error.retry_after());
        Self { refusal: Some(error.reason()), ..Self::failure(ErrorCode::Busy, &text, state) }
    }

    /// A refusal of an operation that its tenant's limit does not allow now.
    pub(crate) fn over_limit(over: &OverLimit, state: TransactionState) -> Self {
        let text = not_run(over, over.retry_after);
        let refusal = Some(RefusalReason::OverLimit);
        Self { refusal, ..Self::failure(ErrorCode::OverLimit, &text, state) }
    }

    /// Whether it promises that the operation did not run.
    pub(crate) fn did_not_run(&self) -> bool {
        self.code().is_some_and(ErrorCode::did_not_run)
    }

    /// A failure in a member's words.
    pub(crate) fn member_failure(failure: Failure, state: TransactionState) -> Self {
        let ready = ReadyState { state, position: None };
        Self { rows: Vec::new(), outcome: Err(failure), ready, refusal: None }
    }

    /// Why the product refused it, where it did.
    pub(crate) const fn refusal(&self) -> Option<RefusalReason> {
        self.refusal
    }

    /// The code of a failure.
    pub(crate) fn code(&self) -> Option<ErrorCode> {
        self.outcome.as_ref().err().map(|failure| failure.code)
    }

    /// The text of a failure.
    pub(crate) fn text(&self) -> &str {
        self.outcome.as_ref().err().map_or("", |failure| &failure.text)
    }

    /// Position reported with the answer.
    pub(crate) const fn position(&self) -> Option<Position> {
        self.ready.position
    }

    pub(crate) fn encode<W: Wire>(self, wire: &W, buffer: &mut BytesMut) {
        for row in self.rows {
            wire.encode_reply(&Reply::Row(row), buffer);
        }
        let last = match self.outcome {
            Ok(signature) => Reply::Complete(signature),
            Err(Failure { code, text }) => Reply::Error { code, text },
        };
        wire.encode_reply(&last, buffer);
        wire.encode_reply(&Reply::Ready(self.ready), buffer);
    }
}
