//! Statements of the owner's own on the leased connection.
//!
//! The module owns their answers, which do not reach the caller; it relies on `send` to wait.

use super::replies::status_of;
use super::state::{Exchange, Step};
use crate::connection::ConnectionError;
use crate::wire::{self, RawMessage};
use corktack_core::backend::POSITION_PARAMETER;
use corktack_core::pool::replies::{Disposition, back};
use corktack_core::position::Position;
use corktack_protocol::peer::TransactionStatus;
use pgwire::messages::response::CommandComplete;

/// An error that the back end answered.
#[derive(Debug)]
pub(super) struct OwnError {
    pub sqlstate: String,
    pub message: RawMessage,
}

/// The whole answer to a statement of the owner's own.
#[derive(Debug)]
pub(super) struct OwnAnswer {
    pub rows: Vec<Vec<Option<String>>>,
    /// Tag of the last statement that completed.
    pub tag: String,
    pub error: Option<OwnError>,
    /// Position reported with it.
    pub position: Option<Position>,
    pub status: TransactionStatus,
}

impl Exchange<'_> {
    /// Runs a statement of the owner's own; its answer does not reach the caller.
    /// A [`Step`] other than [`Step::Ready`] is returned when it did not end.
    pub(super) async fn own(&mut self, text: &str) -> Result<OwnAnswer, Step> {
        self.lease
            .connection()
            .and_then(|connection| connection.queue_query(text))
            .map_err(Step::Lost)?;
        let mut answer = OwnAnswer {
            rows: Vec::new(),
            tag: String::new(),
            error: None,
            position: None,
            status: TransactionStatus::Idle,
        };
        loop {
            if self.read_own(&mut answer).map_err(Step::Lost)? {
                return Ok(answer);
            }
            if let Some(step) = self.wait().await {
                return Err(step);
            }
        }
    }

    /// Takes in the messages received; true when the answer is whole.
    fn read_own(&mut self, answer: &mut OwnAnswer) -> Result<bool, ConnectionError> {
        while let Some((message, reply)) = self.lease.connection()?.next_reply()? {
            match message.tag {
                back::DATA_ROW => answer.rows.push(wire::row_columns(&message)?),
                back::COMMAND_COMPLETE => {
                    answer.tag = wire::decode::<CommandComplete>(&message)?.tag;
                }
                back::PARAMETER_STATUS => answer.note_parameter(&message)?,
                back::ERROR => {
                    let sqlstate = wire::sqlstate(&message)?;
                    answer.error = Some(OwnError { sqlstate, message });
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

impl OwnAnswer {
    fn note_parameter(&mut self, message: &RawMessage) -> Result<(), ConnectionError> {
        let (name, value) = wire::parameter(message)?;
        if name == POSITION_PARAMETER {
            self.position = value.parse().ok();
        }
        Ok(())
    }
}
