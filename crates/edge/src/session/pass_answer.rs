//! Passes the owner's answer to one batch on to the caller.
//!
//! The caller is written to, and the owner granted further bytes, as the answer comes; a cancel request of the
//! caller and what it sends ahead are taken meanwhile.

use super::state::Session;
use crate::answer;
use crate::caller::WRITE_BYTES;
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

/// Bytes of a message's type and length.
const HEADER_BYTES: usize = 5;

/// How the answer to a batch ended.
pub(super) enum Answered {
    /// The back end is ready.
    Ready {
        /// State of the transaction.
        status: TransactionStatus,
        /// Who served it.
        served_by: ServedBy,
        /// Whether the answer held an error.
        failed: bool,
    },
    /// The answer is not whole.
    Lost(Loss),
}

/// What comes next while an answer is under way.
enum Next {
    Event(StreamEvent),
    Input(Result<(), SessionEnd>),
    Cancelled,
    /// No longer waited for: the time is over, or the edge ends.
    GivenUp,
}

impl Session {
    /// Passes one answer on; returns early with an error when the caller is gone.
    pub(super) async fn pass_answer(
        &mut self,
        stream: &mut OwnerStream,
        group: &GroupName,
        progress: &mut Progress,
    ) -> Result<Answered, SessionEnd> {
        let mut failed = false;
        loop {
            let event = match stream.ready_event() {
                Some(event) => event,
                None => match self.next_event(stream).await? {
                    Some(event) => event,
                    None => return Ok(Answered::Lost(timed_out(stream))),
                },
            };
            match event {
                StreamEvent::Data(messages) => {
                    let Some(holds_error) = self.note_messages(&messages) else {
                        return Ok(Answered::Lost(Loss::Failed(Failure::Unknown)));
                    };
                    failed |= holds_error;
                    progress.answered = true;
                    self.pass_messages(stream, &messages).await?;
                }
                StreamEvent::Position(position) => {
                    self.token.advance(group, position);
                    let token = self.token.to_string();
                    answer::put_parameter(&mut self.caller.output, TOKEN_SETTING, &token);
                }
                StreamEvent::Ready { status, served_by } => {
                    return Ok(Answered::Ready { status, served_by, failed });
                }
                StreamEvent::Failed(failure) => return Ok(Answered::Lost(Loss::Failed(failure))),
                StreamEvent::LinkLost { sent } => {
                    return Ok(Answered::Lost(Loss::Link { sent }));
                }
            }
        }
    }

    /// Adds messages to what is written to the caller, and writes once there is enough.
    async fn pass_messages(
        &mut self,
        stream: &mut OwnerStream,
        messages: &[u8],
    ) -> Result<(), SessionEnd> {
        self.caller.output.extend_from_slice(messages);
        if self.caller.output.len() >= WRITE_BYTES || stream.must_grant() {
            self.caller.flush().await?;
            stream.grant();
        }
        Ok(())
    }

    /// The next event, or nothing when none comes in time.
    async fn next_event(
        &mut self,
        stream: &mut OwnerStream,
    ) -> Result<Option<StreamEvent>, SessionEnd> {
        self.caller.flush().await?;
        stream.grant();
        let deadline = Instant::now() + self.context.settings.request_timeout;
        let mut drain = self.context.drain.clone();
        loop {
            let read_ahead = self.caller.may_read_ahead();
            let next = tokio::select! {
                biased;
                event = stream.event() => Next::Event(event),
                Ok(()) = self.registration.cancelled.changed() => Next::Cancelled,
                result = self.caller.read_more(), if read_ahead => Next::Input(result),
                () = tokio::time::sleep_until(deadline) => Next::GivenUp,
                _ = drain.wait_for(|phase| *phase == DrainPhase::Ending) => Next::GivenUp,
            };
            match next {
                Next::Event(event) => return Ok(Some(event)),
                Next::Input(result) => result?,
                Next::Cancelled => stream.cancel(),
                Next::GivenUp => return Ok(None),
            }
        }
    }

    /// Notes what the messages say of prepared statements. Tells whether one is an error;
    /// nothing is returned when they are not whole messages.
    fn note_messages(&mut self, messages: &[u8]) -> Option<bool> {
        let mut holds_error = false;
        let mut rest = messages;
        while !rest.is_empty() {
            let length = rest.get(1..HEADER_BYTES)?.get_u32() as usize;
            match rest[0] {
                MESSAGE_TYPE_BYTE_PARSE_COMPLETE | MESSAGE_TYPE_BYTE_CLOSE_COMPLETE => {
                    self.statements.confirm();
                }
                MESSAGE_TYPE_BYTE_ERROR_RESPONSE => holds_error = true,
                _ => {}
            }
            rest = rest.get(1 + length..).filter(|_| length >= HEADER_BYTES - 1)?;
        }
        Some(holds_error)
    }
}

fn timed_out(stream: &OwnerStream) -> Loss {
    Loss::TimedOut { sent: stream.was_sent() }
}
