//! A member's whole answer to one statement, or why there is none.
//!
//! It is for everything that runs statements. It owns these forms and the collecting of messages into an
//! answer. It decides nothing.

use crate::error::LinkError;
use corktack_core::statement::{ErrorCode, ReadyState, Reply};

/// Why a statement failed, in the member's words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) code: ErrorCode,
    pub(crate) text: String,
}

/// Why a statement has no whole answer.
#[derive(Debug)]
pub(crate) enum Unanswered {
    /// It was not sent: the connection could not be brought to the session's state.
    NotSent(LinkError),
    /// It was sent and may have run.
    Sent(LinkError),
    /// A member refused what had to come before it; it was not sent.
    Refused(Failure),
}

/// A member's whole answer: only one that is complete counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) rows: Vec<String>,
    /// The member's signature, none for statements that carry none.
    pub(crate) outcome: Result<Option<String>, Failure>,
    pub(crate) ready: ReadyState,
}

/// Collects the messages of one answer.
#[derive(Debug, Default)]
pub(crate) struct AnswerReader {
    rows: Vec<String>,
    outcome: Option<Result<Option<String>, Failure>>,
}

impl AnswerReader {
    /// Takes a message; gives the answer once it is whole.
    ///
    /// # Errors
    /// [`LinkError::Closed`] for messages out of order: the connection cannot be trusted.
    pub(crate) fn take(&mut self, reply: Reply) -> Result<Option<Answer>, LinkError> {
        match reply {
            Reply::Row(row) if self.outcome.is_none() => self.rows.push(row),
            Reply::Complete(signature) if self.outcome.is_none() => {
                self.outcome = Some(Ok(signature));
            }
            Reply::Error { code, text } if self.outcome.is_none() => {
                self.outcome = Some(Err(Failure { code, text }));
            }
            Reply::Ready(ready) => {
                let outcome = self.outcome.take().ok_or(LinkError::Closed)?;
                return Ok(Some(Answer { rows: std::mem::take(&mut self.rows), outcome, ready }));
            }
            _ => return Err(LinkError::Closed),
        }
        Ok(None)
    }
}
