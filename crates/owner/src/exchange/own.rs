//! Statements that the owner itself runs on the leased connection. Their answers are not forwarded to the
//! caller.

use super::replies::status_of;
use super::state::{BatchOutcome, Exchange};
use crate::connection::ConnectionError;
use crate::wire::{self, RawMessage};
use corktack_core::backend::POSITION_PARAMETER;
use corktack_core::pool::replies::{Disposition, back};
use corktack_core::position::Position;
use corktack_protocol::peer::TransactionStatus;
use pgwire::messages::response::CommandComplete;

/// An error answer of the back end to a statement of the owner.
#[derive(Debug)]
pub(super) struct OwnStatementError {
    pub sqlstate: String,
    pub message: RawMessage,
}

/// The complete answer to a statement of the owner.
#[derive(Debug)]
pub(super) struct OwnStatementAnswer {
    pub rows: Vec<Vec<Option<String>>>,
    /// Command tag of the last completed statement.
    pub tag: String,
    pub error: Option<OwnStatementError>,
    /// Position that the member reported with the answer.
    pub position: Option<Position>,
    pub status: TransactionStatus,
}

impl Exchange<'_> {
    /// Runs a statement of the owner, whose answer is not forwarded to the caller. Fails with the outcome of
    /// the batch, never [`BatchOutcome::Ready`], if the statement is not answered completely.
    pub(super) async fn run_own_statement(
        &mut self,
        text: &str,
    ) -> Result<OwnStatementAnswer, BatchOutcome> {
        self.lease
            .connection()
            .and_then(|connection| connection.queue_query(text))
            .map_err(BatchOutcome::Lost)?;
        let mut answer = OwnStatementAnswer {
            rows: Vec::new(),
            tag: String::new(),
            error: None,
            position: None,
            status: TransactionStatus::Idle,
        };
        loop {
            if self.read_own_replies(&mut answer).map_err(BatchOutcome::Lost)? {
                return Ok(answer);
            }
            if let Some(outcome) = self.wait().await {
                return Err(outcome);
            }
        }
    }

    /// Reads the messages received; returns true when the answer is complete.
    fn read_own_replies(
        &mut self,
        answer: &mut OwnStatementAnswer,
    ) -> Result<bool, ConnectionError> {
        while let Some((message, reply)) = self.lease.connection()?.next_reply()? {
            match message.tag {
                back::DATA_ROW => answer.rows.push(wire::row_columns(&message)?),
                back::COMMAND_COMPLETE => {
                    answer.tag = wire::decode::<CommandComplete>(&message)?.tag;
                }
                back::PARAMETER_STATUS => answer.record_parameter(&message)?,
                back::ERROR => {
                    let sqlstate = wire::sqlstate(&message)?;
                    answer.error = Some(OwnStatementError { sqlstate, message });
                }
                _ if reply.disposition == Disposition::Ready => {
                    answer.status = status_of(wire::ready_status(&message)?);
                    return Ok(true);
                }
                _ => {}
            }
        }
        Ok(false)
    }
}

impl OwnStatementAnswer {
    fn record_parameter(&mut self, message: &RawMessage) -> Result<(), ConnectionError> {
        let (name, value) = wire::parameter(message)?;
        if name == POSITION_PARAMETER {
            self.position = value.parse().ok();
        }
        Ok(())
    }
}
