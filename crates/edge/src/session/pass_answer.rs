//! Passes the owner's answer to one batch on to the caller.
//!
//! The answer is written to the caller as it arrives, and the owner's window is granted back
//! accordingly. Meanwhile the session reads the caller's input ahead and forwards its cancel requests.

use super::state::Session;
use crate::answer;
use crate::caller::WRITE_THRESHOLD_BYTES;
use crate::context::DrainPhase;
use crate::error::SessionEnd;
use crate::link::{OwnerStream, StreamEvent};
use crate::retry::{Loss, Progress};
use bytes::Buf;
use corktack_core::classify::TOKEN_SETTING;
use corktack_core::identity::GroupName;
use corktack_protocol::peer::{Failure, ServedBy, TransactionStatus};
use pgwire::messages::extendedquery::{
    MESSAGE_TYPE_BYTE_CLOSE_COMPLETE, MESSAGE_TYPE_BYTE_PARSE_COMPLETE,
};
use pgwire::messages::response::MESSAGE_TYPE_BYTE_ERROR_RESPONSE;
use tokio::time::Instant;

/// Size of a message's type and length fields.
const HEADER_BYTES: usize = 5;

/// How the answer to a batch ended.
pub(super) enum AnswerOutcome {
    /// The answer is complete.
    Ready {
        /// State of the transaction after the batch.
        status: TransactionStatus,
        /// Whether the primary or a replica answered.
        served_by: ServedBy,
        /// Whether the answer contains an error.
        failed: bool,
    },
    /// The answer is incomplete.
    Lost(Loss),
}

/// What ended one wait for the owner's answer.
enum WaitResult {
    Event(StreamEvent),
    Input(Result<(), SessionEnd>),
    Cancelled,
    /// The request timed out, or the edge ends all sessions.
    Expired,
}

impl Session {
    /// Passes one answer on. Returns an error as soon as the caller is gone.
    pub(super) async fn pass_answer(
        &mut self,
        stream: &mut OwnerStream,
        group: &GroupName,
        progress: &mut Progress,
    ) -> Result<AnswerOutcome, SessionEnd> {
        let mut failed = false;
        loop {
            let event = match stream.try_event() {
                Some(event) => event,
                None => match self.next_event(stream).await? {
                    Some(event) => event,
                    None => return Ok(AnswerOutcome::Lost(timed_out(stream))),
                },
            };
            match event {
                StreamEvent::Data(messages) => {
                    let Some(contains_error) = self.confirm_statements(&messages) else {
                        return Ok(AnswerOutcome::Lost(Loss::Failed(Failure::Unknown)));
                    };
                    failed |= contains_error;
                    progress.answered = true;
                    self.pass_messages(stream, &messages).await?;
                }
                StreamEvent::Position(position) => {
                    self.token.advance(group, position);
                    let token = self.token.to_string();
                    answer::put_parameter_status(&mut self.caller.output, TOKEN_SETTING, &token);
                }
                StreamEvent::Ready { status, served_by } => {
                    return Ok(AnswerOutcome::Ready { status, served_by, failed });
                }
                StreamEvent::Failed(failure) => {
                    return Ok(AnswerOutcome::Lost(Loss::Failed(failure)));
                }
                StreamEvent::LinkLost { sent } => {
                    return Ok(AnswerOutcome::Lost(Loss::Link { sent }));
                }
            }
        }
    }

    /// Appends messages to the caller's output, and writes the output once it reaches the threshold.
    async fn pass_messages(
        &mut self,
        stream: &mut OwnerStream,
        messages: &[u8],
    ) -> Result<(), SessionEnd> {
        self.caller.output.extend_from_slice(messages);
        if self.caller.output.len() >= WRITE_THRESHOLD_BYTES || stream.must_grant() {
            self.caller.flush().await?;
            stream.grant();
        }
        Ok(())
    }

    /// Returns the next event, or nothing if none arrives within the request timeout or the edge ends
    /// all sessions.
    async fn next_event(
        &mut self,
        stream: &mut OwnerStream,
    ) -> Result<Option<StreamEvent>, SessionEnd> {
        self.caller.flush().await?;
        stream.grant();
        let deadline = Instant::now() + self.context.settings.request_timeout;
        let mut drain_phase = self.context.drain_phase.clone();
        loop {
            let read_ahead = self.caller.may_read_ahead();
            let wait_result = tokio::select! {
                biased;
                event = stream.event() => WaitResult::Event(event),
                Ok(()) = self.registration.cancelled.changed() => WaitResult::Cancelled,
                result = self.caller.read_more(), if read_ahead => WaitResult::Input(result),
                () = tokio::time::sleep_until(deadline) => WaitResult::Expired,
                _ = drain_phase.wait_for(|phase| *phase == DrainPhase::Ending) =>
                    WaitResult::Expired,
            };
            match wait_result {
                WaitResult::Event(event) => return Ok(Some(event)),
                WaitResult::Input(result) => result?,
                WaitResult::Cancelled => stream.cancel(),
                WaitResult::Expired => return Ok(None),
            }
        }
    }

    /// Confirms the prepared statements that the messages acknowledge. Returns whether one of the
    /// messages is an error, or nothing if the bytes are not complete messages.
    fn confirm_statements(&mut self, messages: &[u8]) -> Option<bool> {
        let mut contains_error = false;
        let mut remaining = messages;
        while !remaining.is_empty() {
            let length = remaining.get(1..HEADER_BYTES)?.get_u32() as usize;
            match remaining[0] {
                MESSAGE_TYPE_BYTE_PARSE_COMPLETE | MESSAGE_TYPE_BYTE_CLOSE_COMPLETE => {
                    self.statements.confirm();
                }
                MESSAGE_TYPE_BYTE_ERROR_RESPONSE => contains_error = true,
                _ => {}
            }
            remaining = remaining.get(1 + length..).filter(|_| length >= HEADER_BYTES - 1)?;
        }
        Some(contains_error)
    }
}

fn timed_out(stream: &OwnerStream) -> Loss {
    Loss::TimedOut { sent: stream.was_sent() }
}
