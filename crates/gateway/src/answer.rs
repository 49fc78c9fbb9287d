//! A member's whole answer to one statement, the reason if there is none, and the reader that assembles an
//! answer from messages.

use crate::byte_budget::{BudgetExceeded, ByteBudget, HeldBytes};
use crate::error::LinkError;
use corktack_core::statement::{ErrorCode, ReadyState, Reply};
use std::rc::Rc;

/// Error code and text with which a statement failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) code: ErrorCode,
    pub(crate) text: String,
}

/// Reason why a statement has no whole answer.
#[derive(Debug)]
pub(crate) enum Unanswered {
    /// The statement was not sent: the connection failed before it was aligned with the session's values.
    NotSent(LinkError),
    /// The statement was sent and may have run.
    Sent(LinkError),
    /// The member refused a statement that had to run first (a session value, a prepared statement, a begin);
    /// the caller's statement was not sent.
    Refused(Failure),
}

/// A member's whole answer. An incomplete answer counts as none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) rows: Vec<String>,
    /// Signature of the member that ran the statement (none if the answer carries none), or the failure.
    pub(crate) outcome: Result<Option<String>, Failure>,
    pub(crate) ready: ReadyState,
}

/// Collects the messages of one answer.
#[derive(Debug)]
pub(crate) struct AnswerReader {
    rows: Vec<String>,
    /// Memory for the rows, until the answer is whole.
    held: HeldBytes,
    outcome: Option<Result<Option<String>, Failure>>,
}

impl AnswerReader {
    pub(crate) fn new(budget: &Rc<ByteBudget>) -> Self {
        Self { rows: Vec::new(), held: budget.start(), outcome: None }
    }

    /// Adds a message; returns the answer once it is whole.
    ///
    /// # Errors
    /// [`LinkError::Closed`] for messages out of order, [`LinkError::AnswerTooLong`] if there is no memory for
    /// a row: the connection can't be used further.
    pub(crate) fn add(&mut self, reply: Reply) -> Result<Option<Answer>, LinkError> {
        match reply {
            Reply::Row(row) if self.outcome.is_none() => {
                self.held.add(row.len()).map_err(|BudgetExceeded| LinkError::AnswerTooLong)?;
                self.rows.push(row);
            }
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
