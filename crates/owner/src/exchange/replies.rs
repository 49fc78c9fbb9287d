//! Takes in what the back end answers and passes it on.
//!
//! The module owns what is held of an answer before any of it is forwarded; it relies on the connection's
//! tracker for which messages are the caller's.

use super::state::Exchange;
use crate::connection::ConnectionError;
use crate::decisions::{self, RetryCause};
use crate::wire::{self, RawMessage};
use corktack_core::backend::{NOT_PRIMARY, POSITION_PARAMETER, TOO_MANY_CONNECTIONS};
use corktack_core::pool::replies::{Disposition, Reply, back};
use corktack_core::position::Position;
use corktack_protocol::peer::TransactionStatus;
use pgwire::messages::copy::CopyFail;
use pgwire::messages::extendedquery::ParseComplete;
use pgwire::messages::response::TransactionStatus as ReadyStatus;

/// Answers are held up to this many bytes, so that a request that turns out not to
/// have run, or to have been read from a replica that is behind, can be retried. Chosen, not measured: fewer make
/// large reads of a stale replica fail where they could be repeated, more cost memory and a later first row.
const HOLD_BYTES: usize = 64 * 1024;
/// Bytes of one frame of answers once nothing is held any more. Chosen, not measured: smaller frames cost a header
/// and a wake-up more often, larger ones delay the other streams of the link.
const FRAME_BYTES: usize = 32 * 1024;
/// SQLSTATE of a back end that takes no work now.
pub(super) const CANNOT_CONNECT_NOW: &str = "57P03";
/// Answer to a back end that asks for data that no caller can send.
const COPY_REFUSED: &str = "COPY FROM STDIN is not supported";

impl Exchange<'_> {
    /// Takes in the messages received; the status when the batch is answered.
    pub(super) fn read_replies(&mut self) -> Result<Option<TransactionStatus>, ConnectionError> {
        while let Some((message, reply)) = self.lease.connection()?.next_reply()? {
            for _ in 0..reply.synthesized {
                wire::encode(&ParseComplete::new(), &mut self.held)?;
            }
            if let Some(status) = self.take_reply(message, reply)? {
                return Ok(Some(status));
            }
            self.forward_if_large();
            if self.input.window <= 0 {
                return Ok(None);
            }
        }
        self.read_flush()
    }

    /// The status when everything up to a Flush is answered: the transaction goes on.
    fn read_flush(&mut self) -> Result<Option<TransactionStatus>, ConnectionError> {
        let Some(skipped) = self.lease.connection()?.tracker.pop_answered_flush() else {
            return Ok(None);
        };
        for _ in 0..skipped {
            wire::encode(&ParseComplete::new(), &mut self.held)?;
        }
        Ok(Some(TransactionStatus::Open))
    }

    fn take_reply(
        &mut self,
        message: RawMessage,
        reply: Reply,
    ) -> Result<Option<TransactionStatus>, ConnectionError> {
        match message.tag {
            back::PARAMETER_STATUS => return self.take_parameter(message).map(|()| None),
            back::ERROR => self.take_error(&message)?,
            back::COMMAND_COMPLETE | back::DATA_ROW => self.completed = true,
            back::COPY_IN => return self.refuse_copy().map(|()| None),
            _ => {}
        }
        match reply.disposition {
            Disposition::Forward => self.hold(&message),
            Disposition::Swallow => {}
            Disposition::Ready => {
                let answered = self.lease.connection()?.tracker.is_idle();
                let status = status_of(wire::ready_status(&message)?);
                return Ok(answered.then_some(status));
            }
        }
        Ok(None)
    }

    /// Takes a parameter in: a position is for the edge, others for the caller.
    fn take_parameter(&mut self, message: RawMessage) -> Result<(), ConnectionError> {
        let (name, value) = wire::parameter(&message)?;
        if name != POSITION_PARAMETER {
            self.held.extend_from_slice(&message.bytes);
            return Ok(());
        }
        let Ok(position) = value.parse::<Position>() else {
            return Ok(());
        };
        self.observed = Some(position);
        self.note_position(Some(position));
        Ok(())
    }

    /// Learns a position that the back end reported, and tells the edge.
    pub(super) fn note_position(&mut self, position: Option<Position>) {
        let Some(position) = position else {
            return;
        };
        self.group.learn_position(&self.lease.destination().member, position);
        if !self.is_behind(position) {
            self.outbound.position(position);
        }
    }

    /// Keeps a message until it is forwarded. What a keyed write cannot store is
    /// dropped, since the write is rolled back.
    fn hold(&mut self, message: &RawMessage) {
        self.held.extend_from_slice(&message.bytes);
        if let Some(keyed) = &mut self.keyed
            && keyed.is_over_limit(self.held.len())
        {
            keyed.oversized = true;
            self.held.clear();
        }
    }

    /// Notes an error; one that came before anything ran may be a refusal.
    fn take_error(&mut self, message: &RawMessage) -> Result<(), ConnectionError> {
        self.failed = true;
        let nothing_ran = self.status == TransactionStatus::Idle && !self.completed;
        if nothing_ran && !self.forwarded {
            self.refusal = match wire::sqlstate(message)?.as_str() {
                NOT_PRIMARY => Some(RetryCause::NotPrimary),
                CANNOT_CONNECT_NOW | TOO_MANY_CONNECTIONS => Some(RetryCause::BackEndRefused),
                _ => None,
            };
        }
        Ok(())
    }

    /// The protocol between edge and owner has no way to send copy data.
    fn refuse_copy(&mut self) -> Result<(), ConnectionError> {
        let connection = self.lease.connection()?;
        wire::encode(&CopyFail::new(COPY_REFUSED.to_owned()), &mut connection.output)?;
        Ok(())
    }

    fn is_behind(&self, position: Position) -> bool {
        decisions::is_behind(self.lease.destination().served_by, position, self.minimum)
    }

    fn forward_if_large(&mut self) {
        if self.keyed.is_some() {
            // Its answer counts only once it is stored.
            return;
        }
        let limit = if self.forwarded { FRAME_BYTES } else { HOLD_BYTES };
        if self.held.len() >= limit {
            self.forward();
        }
    }

    /// Sends what is held to the edge; from then on the request cannot be tried again.
    pub(super) fn forward(&mut self) {
        if self.held.is_empty() {
            return;
        }
        self.forwarded = true;
        let messages = self.held.split();
        self.input.window -= messages.len() as i64;
        self.outbound.data(messages.to_vec());
    }
}

/// The status of `ReadyForQuery` in the words of the protocol between edge and owner.
pub(super) fn status_of(status: ReadyStatus) -> TransactionStatus {
    match status {
        ReadyStatus::Idle => TransactionStatus::Idle,
        ReadyStatus::Transaction => TransactionStatus::Open,
        ReadyStatus::Error => TransactionStatus::Failed,
    }
}
