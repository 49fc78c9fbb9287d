//! Reads the back end's answers, buffers them and forwards them to the edge.
//!
//! The connection's reply tracker says which messages are for the caller.

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

/// Size in bytes up to which an answer is buffered, so that the request can be retried if it turns out not to
/// have run or to have read from a stale replica. A smaller buffer makes large reads of a stale replica fail
/// where they could be repeated; a larger one costs memory and delays the first row.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Size in bytes of one frame of answers once a first part was forwarded. Smaller frames cost more headers
/// and wake-ups; larger ones delay the other streams of the link.
const TARGET_FRAME_BYTES: usize = 32 * 1024;
/// SQLSTATE `cannot_connect_now`: the back end accepts no work at present.
pub(super) const CANNOT_CONNECT_NOW: &str = "57P03";
/// Error text sent to a back end that asks for copy data, which no caller can send.
const COPY_REFUSED: &str = "COPY FROM STDIN is not supported";

impl Exchange<'_> {
    /// Reads the messages received; returns the status when the batch is answered.
    pub(super) fn read_replies(&mut self) -> Result<Option<TransactionStatus>, ConnectionError> {
        while let Some((message, reply)) = self.lease.connection()?.next_reply()? {
            for _ in 0..reply.synthesized {
                wire::encode(&ParseComplete::new(), &mut self.buffered)?;
            }
            if let Some(status) = self.process_reply(message, reply)? {
                return Ok(Some(status));
            }
            self.forward_if_large();
            if self.input.window <= 0 {
                return Ok(None);
            }
        }
        self.read_flush()
    }

    /// Returns an open status when everything up to a Flush is answered: the transaction continues.
    fn read_flush(&mut self) -> Result<Option<TransactionStatus>, ConnectionError> {
        let Some(skipped) = self.lease.connection()?.tracker.pop_answered_flush() else {
            return Ok(None);
        };
        for _ in 0..skipped {
            wire::encode(&ParseComplete::new(), &mut self.buffered)?;
        }
        Ok(Some(TransactionStatus::Open))
    }

    fn process_reply(
        &mut self,
        message: RawMessage,
        reply: Reply,
    ) -> Result<Option<TransactionStatus>, ConnectionError> {
        match message.tag {
            back::PARAMETER_STATUS => return self.process_parameter(message).map(|()| None),
            back::ERROR => self.process_error(&message)?,
            back::COMMAND_COMPLETE | back::DATA_ROW => self.completed = true,
            back::COPY_IN => return self.refuse_copy().map(|()| None),
            _ => {}
        }
        match reply.disposition {
            Disposition::Forward => self.buffer(&message),
            Disposition::Discard => {}
            Disposition::Ready => {
                let answered = self.lease.connection()?.tracker.is_idle();
                let status = status_of(wire::ready_status(&message)?);
                return Ok(answered.then_some(status));
            }
        }
        Ok(None)
    }

    /// Records a reported position for the edge, and buffers any other parameter for the caller.
    fn process_parameter(&mut self, message: RawMessage) -> Result<(), ConnectionError> {
        let (name, value) = wire::parameter(&message)?;
        if name != POSITION_PARAMETER {
            self.buffered.extend_from_slice(&message.bytes);
            return Ok(());
        }
        let Ok(position) = value.parse::<Position>() else {
            return Ok(());
        };
        self.reported_position = Some(position);
        self.record_position(Some(position));
        Ok(())
    }

    /// Records a position that the back end reported, and reports it to the edge unless it is behind the
    /// session.
    pub(super) fn record_position(&mut self, position: Option<Position>) {
        let Some(position) = position else {
            return;
        };
        self.group.record_position(&self.lease.destination().member, position);
        if !self.is_behind(position) {
            self.outbound.send_position(position);
        }
    }

    /// Buffers a message until it is forwarded. Drops the answer of a keyed write if it is too large to
    /// store, since the write is rolled back then.
    fn buffer(&mut self, message: &RawMessage) {
        self.buffered.extend_from_slice(&message.bytes);
        if let Some(keyed) = &mut self.keyed
            && keyed.is_over_limit(self.buffered.len())
        {
            keyed.oversized = true;
            self.buffered.clear();
        }
    }

    /// Records an error answer. An error before any statement ran may be a refusal of the request.
    fn process_error(&mut self, message: &RawMessage) -> Result<(), ConnectionError> {
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

    /// Refuses `COPY FROM STDIN`: the protocol between edge and owner cannot carry copy data.
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
            // The answer of a keyed write is valid only once it is stored.
            return;
        }
        let limit = if self.forwarded { TARGET_FRAME_BYTES } else { MAX_BUFFERED_BYTES };
        if self.buffered.len() >= limit {
            self.forward();
        }
    }

    /// Sends the buffered answer to the edge. The request cannot be retried afterwards.
    pub(super) fn forward(&mut self) {
        if self.buffered.is_empty() {
            return;
        }
        self.forwarded = true;
        let messages = self.buffered.split();
        self.input.window -= messages.len() as i64;
        self.outbound.send_data(messages.to_vec());
    }
}

/// Converts the status of `ReadyForQuery` to that of the protocol between edge and owner.
pub(super) fn status_of(status: ReadyStatus) -> TransactionStatus {
    match status {
        ReadyStatus::Idle => TransactionStatus::Idle,
        ReadyStatus::Transaction => TransactionStatus::Open,
        ReadyStatus::Error => TransactionStatus::Failed,
    }
}
