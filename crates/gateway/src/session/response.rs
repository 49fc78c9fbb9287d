//! Answers to callers: those of members, and the gateway's own successes, failures and refusals.
//!
//! The retry time of a refusal comes from [`retry_after`](crate::retry_after).

use crate::answer::{Answer, Failure};
use crate::error::{AcquireError, RefusalReason};
use crate::retry_after::{self, not_run};
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
    /// Reason if the gateway refused the statement.
    refusal: Option<RefusalReason>,
}

impl Response {
    /// Returns a member's answer, with the session's transaction state in place of the member's.
    pub(crate) fn of(answer: Answer, state: TransactionState) -> Self {
        let ready = ReadyState { state, position: answer.ready.position };
        Self { rows: answer.rows, outcome: answer.outcome, ready, refusal: None }
    }

    /// Returns a success of a statement that the gateway handled without a member.
    pub(crate) fn own_success(state: TransactionState) -> Self {
        let ready = ReadyState { state, position: None };
        Self { rows: Vec::new(), outcome: Ok(None), ready, refusal: None }
    }

    /// Returns a failure detected by the gateway.
    pub(crate) fn failure(code: ErrorCode, text: &str, state: TransactionState) -> Self {
        Self::member_failure(Failure { code, text: text.to_owned() }, state)
    }

    /// Returns a refusal of a statement that did not run, with the time to retry. `refusal` is the reason of
    /// the last member that didn't run it; empty if none was asked.
    pub(crate) fn refused(error: &AcquireError, refusal: &str, state: TransactionState) -> Self {
        let detail = if refusal.is_empty() { String::new() } else { format!(" ({refusal})") };
        let text = not_run(format_args!("{error}{detail}"), error.retry_after());
        Self { refusal: Some(error.reason()), ..Self::failure(ErrorCode::Busy, &text, state) }
    }

    /// Returns a refusal of an operation that its tenant's limit doesn't allow now.
    pub(crate) fn over_limit(over: &OverLimit, state: TransactionState) -> Self {
        let text = not_run(over, over.retry_after);
        let refusal = Some(RefusalReason::OverLimit);
        Self { refusal, ..Self::failure(ErrorCode::OverLimit, &text, state) }
    }

    /// Returns a refusal of a statement for which there is no memory, with the time to retry.
    pub(crate) fn memory_short(code: ErrorCode, state: TransactionState) -> Self {
        let text = not_run("no memory for the statement", retry_after::CLIENT_LIMITS);
        let refusal = Some(RefusalReason::MemoryShort);
        Self { refusal, ..Self::failure(code, &text, state) }
    }

    /// Reports whether the answer promises that the operation did not run.
    pub(crate) fn did_not_run(&self) -> bool {
        self.code().is_some_and(ErrorCode::did_not_run)
    }

    /// Returns a failure with a member's code and text.
    pub(crate) fn member_failure(failure: Failure, state: TransactionState) -> Self {
        let ready = ReadyState { state, position: None };
        Self { rows: Vec::new(), outcome: Err(failure), ready, refusal: None }
    }

    /// Returns the reason if the gateway refused the statement.
    pub(crate) const fn refusal(&self) -> Option<RefusalReason> {
        self.refusal
    }

    /// Returns the code of a failure; none for a success.
    pub(crate) fn code(&self) -> Option<ErrorCode> {
        self.outcome.as_ref().err().map(|failure| failure.code)
    }

    /// Returns the text of a failure; empty for a success.
    pub(crate) fn text(&self) -> &str {
        self.outcome.as_ref().err().map_or("", |failure| &failure.text)
    }

    /// Returns the position that the member reported with the answer.
    pub(crate) const fn position(&self) -> Option<Position> {
        self.ready.position
    }

    /// Appends the messages of the answer to `buffer`.
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
