//! The transaction itself: batches out on a leased connection, answers back.

use crate::batch::{self, BatchFacts};
use crate::connection::{CancelTarget, ConnectionError};
use crate::group::Group;
use crate::lease::Lease;
use crate::router::RetryCause;
use crate::stream::{Input, InputEvent, Outbound};
use crate::wire::{self, RawMessage};
use bytes::BytesMut;
use corktack_core::backend::{NOT_PRIMARY, POSITION_PARAMETER, TOO_MANY_CONNECTIONS};
use corktack_core::pool::replies::{Disposition, Reply, back};
use corktack_core::position::Position;
use corktack_protocol::peer::{Access, Batch, Failure, OpenRequest, ServedBy, TransactionStatus};
use pgwire::messages::copy::CopyFail;
use pgwire::messages::extendedquery::ParseComplete;
use pgwire::messages::response::TransactionStatus as ReadyStatus;
use std::sync::Arc;

/// Answers are held up to this size, so that a request that turns out not to
/// have run, or to have been read from a replica that is behind, can be retried.
const HOLD_BYTES: usize = 64 * 1024;
/// Size of one frame of answers once nothing is held any more.
const FRAME_BYTES: usize = 32 * 1024;
/// SQLSTATE of a back end that takes no work now.
const CANNOT_CONNECT_NOW: &str = "57P03";
/// Answer to a back end that asks for data that no caller can send.
const COPY_REFUSED: &str = "COPY FROM STDIN is not supported";

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The caller has its whole answer, or is gone.
    Ended,
    /// The stream's final answer is a failure.
    Failed(Failure),
    /// Nothing ran, or it only read and nothing was forwarded.
    Retry(RetryCause),
}

/// What happened to the batch in flight.
enum Step {
    /// Its answer is complete; this is the status after it.
    Ready(TransactionStatus),
    /// The connection is lost, or must be given up.
    Lost(ConnectionError),
    /// The caller is gone.
    Gone,
    /// The batch must be tried elsewhere.
    Retry(RetryCause),
    /// The edge broke the rules.
    Violation,
}

/// One transaction on one lease.
pub(crate) struct Exchange<'stream> {
    group: &'stream Arc<Group>,
    lease: Lease,
    request: &'stream OpenRequest,
    minimum: Option<Position>,
    input: &'stream mut Input,
    outbound: &'stream Outbound,
    /// What the batch in flight may do.
    facts: BatchFacts,
    /// Status before the batch in flight.
    status: TransactionStatus,
    /// Answers not forwarded yet.
    held: BytesMut,
    /// Something of the answer was forwarded.
    forwarded: bool,
    /// A statement of the stream completed.
    completed: bool,
    /// SQLSTATE of a refusal that came before anything ran.
    refusal: Option<RetryCause>,
    /// Position reported with the batch in flight.
    observed: Option<Position>,
    /// An error was part of the answer to the batch in flight.
    failed: bool,
    /// A cancel was sent; it may hit the connection late, which is thus not reused.
    cancelled: bool,
}

impl<'stream> Exchange<'stream> {
    pub fn new(
        group: &'stream Arc<Group>,
        lease: Lease,
        request: &'stream OpenRequest,
        minimum: Option<Position>,
        facts: BatchFacts,
        input: &'stream mut Input,
        outbound: &'stream Outbound,
    ) -> Self {
        Self {
            group,
            lease,
            request,
            minimum,
            input,
            outbound,
            facts,
            status: TransactionStatus::Idle,
            held: BytesMut::new(),
            forwarded: false,
            completed: false,
            refusal: None,
            observed: None,
            failed: false,
            cancelled: false,
        }
    }

    /// Runs the transaction to its end.
    pub async fn run(mut self) -> Exit {
        let mut step = self.run_batch(&self.request.batch).await;
        loop {
            match step {
                Step::Ready(TransactionStatus::Idle) => return self.finish().await,
                Step::Ready(status) => {
                    self.answer_ready(status);
                    step = self.next_batch().await;
                }
                Step::Lost(error) => return self.lost(&error),
                Step::Gone => {
                    self.abandon().await;
                    return Exit::Ended;
                }
                Step::Retry(cause) => return Exit::Retry(cause),
                Step::Violation => return Exit::Failed(self.failure_of_loss()),
            }
        }
    }

    async fn next_batch(&mut self) -> Step {
        loop {
            if let Some(batch) = self.input.batches.pop_front() {
                let Ok(facts) = batch::facts(&batch) else {
                    return Step::Violation;
                };
                self.facts = facts;
                return self.run_batch(&batch).await;
            }
            let replaced = self.lease.replaced();
            let Ok(connection) = self.lease.connection() else {
                return Step::Lost(ConnectionError::Closed);
            };
            connection.sent_bytes = 0;
            // Anything that arrives now answers nothing, and is found out here.
            let lost = connection.progress(true);
            tokio::select! {
                () = replaced => return Step::Lost(ConnectionError::Closed),
                event = self.input.next() => if event == InputEvent::Gone {
                    return Step::Gone;
                },
                result = lost => if let Err(error) = result {
                    return Step::Lost(error);
                },
            }
            if let Err(error) = self.read_replies() {
                return Step::Lost(error);
            }
        }
    }

    async fn run_batch(&mut self, batch: &Batch) -> Step {
        self.observed = None;
        self.failed = false;
        let Ok(connection) = self.lease.connection() else {
            return Step::Lost(ConnectionError::Closed);
        };
        connection.sent_bytes = 0;
        connection.session_changed |= self.facts.may_change_session;
        if batch::queue(batch, &mut connection.tracker, &mut connection.output).is_err() {
            return Step::Violation;
        }
        loop {
            match self.read_replies() {
                Ok(Some(status)) => return self.end_of_batch(status),
                Ok(None) => {}
                Err(error) => return Step::Lost(error),
            }
            if let Some(step) = self.wait().await {
                return step;
            }
        }
    }

    /// Waits for input of either side while a batch is in flight.
    async fn wait(&mut self) -> Option<Step> {
        let may_read = self.input.window > 0;
        let may_retry = self.request.access == Access::Read && !self.forwarded;
        let replaced = self.lease.replaced();
        let unreachable = self.lease.unreachable();
        let Ok(connection) = self.lease.connection() else {
            return Some(Step::Lost(ConnectionError::Closed));
        };
        tokio::select! {
            result = connection.progress(may_read) => result.err().map(Step::Lost),
            () = replaced => Some(Step::Lost(ConnectionError::Closed)),
            () = unreachable, if may_retry => Some(Step::Lost(ConnectionError::TimedOut)),
            event = self.input.next() => match event {
                InputEvent::Gone => Some(Step::Gone),
                InputEvent::Cancel => {
                    self.send_cancel();
                    None
                }
                InputEvent::Batch | InputEvent::Window => None,
            },
        }
    }

    fn send_cancel(&mut self) {
        self.cancelled = true;
        let target = self.lease.connection().ok().and_then(|connection| connection.cancel_target());
        if let Some(target) = target {
            actix_rt::spawn(deliver_cancel(target));
        }
    }

    /// Takes in the messages received; the status when the batch is answered.
    fn read_replies(&mut self) -> Result<Option<TransactionStatus>, ConnectionError> {
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
        Ok(None)
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
            Disposition::Forward => self.held.extend_from_slice(&message.bytes),
            Disposition::Swallow => {}
            Disposition::Ready => {
                let answered = self.lease.connection()?.tracker.is_idle();
                let status = status_of(wire::ready_status(&message)?);
                return Ok(answered.then_some(status));
            }
        }
        Ok(None)
    }

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
        self.group.learn_position(&self.lease.destination().member, position);
        if !self.is_behind(position) {
            self.outbound.position(position);
        }
        Ok(())
    }

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
        let replica = self.lease.destination().served_by == ServedBy::Replica;
        replica && self.minimum.is_some_and(|minimum| !position.covers(minimum))
    }

    fn forward_if_large(&mut self) {
        let limit = if self.forwarded { FRAME_BYTES } else { HOLD_BYTES };
        if self.held.len() >= limit {
            self.forward();
        }
    }

    fn forward(&mut self) {
        if self.held.is_empty() {
            return;
        }
        self.forwarded = true;
        let messages = self.held.split();
        self.input.window -= messages.len() as i64;
        self.outbound.data(messages.to_vec());
    }

    /// The batch is answered: decides whether the answer counts.
    fn end_of_batch(&mut self, status: TransactionStatus) -> Step {
        if let Some(cause) = self.refusal.filter(|_| status == TransactionStatus::Idle) {
            return self.refused(cause);
        }
        if self.is_unverified(status) && !self.forwarded {
            let member = &self.lease.destination().member;
            let observed = self.observed;
            self.group.with_state(|state| state.routing.reset_position(member, observed));
            return Step::Retry(RetryCause::ReplicaBehind);
        }
        Step::Ready(status)
    }

    fn refused(&self, cause: RetryCause) -> Step {
        let destination = self.lease.destination();
        match (cause, destination.served_by) {
            (RetryCause::NotPrimary, ServedBy::Primary) => {
                self.group.suspect_primary(&destination.member, destination.term);
                Step::Retry(cause)
            }
            // A statement that a replica does not run is one for the primary.
            (RetryCause::NotPrimary, ServedBy::Replica) => Step::Retry(RetryCause::ReplicaBehind),
            _ => Step::Retry(cause),
        }
    }

    /// Whether a replica answered a read without proof that it holds the minimum.
    fn is_unverified(&self, status: TransactionStatus) -> bool {
        let replica = self.lease.destination().served_by == ServedBy::Replica;
        let alone = self.status == TransactionStatus::Idle && status == TransactionStatus::Idle;
        if !replica || !alone || self.failed || !self.completed {
            return false;
        }
        self.observed.is_none_or(|position| self.is_behind(position))
    }

    fn answer_ready(&mut self, status: TransactionStatus) {
        self.forward();
        self.status = status;
        self.outbound.ready(status, self.lease.destination().served_by);
    }

    async fn finish(mut self) -> Exit {
        self.answer_ready(TransactionStatus::Idle);
        if self.request.access == Access::Read {
            let served_by = self.lease.destination().served_by;
            self.group.metrics.read_served(self.group.name.as_str(), served_by);
        }
        if !self.cancelled {
            self.lease.recycle().await;
        }
        Exit::Ended
    }

    async fn abandon(self) {
        if !self.cancelled {
            self.lease.roll_back().await;
        }
    }

    /// The connection is lost: what is known of the outcome.
    fn lost(mut self, error: &ConnectionError) -> Exit {
        log::debug!(group:% = self.group.name, error:? = error; "server connection lost");
        let nothing_ran = self.status == TransactionStatus::Idle && !self.forwarded;
        let sent = self.lease.connection().map_or(0, |connection| connection.sent_bytes);
        let only_read = self.request.access == Access::Read;
        if nothing_ran && (only_read || sent == 0 || self.facts.only_begins) {
            return Exit::Retry(RetryCause::ConnectionLost);
        }
        Exit::Failed(self.failure_of_loss())
    }

    fn failure_of_loss(&mut self) -> Failure {
        let sent = self.lease.connection().map_or(0, |connection| connection.sent_bytes);
        let may_have_committed = match self.status {
            TransactionStatus::Idle => sent > 0,
            TransactionStatus::Open => sent > 0 && self.facts.may_commit,
            TransactionStatus::Failed => false,
        };
        if self.request.access == Access::Write && may_have_committed {
            return Failure::Unknown;
        }
        Failure::TransactionLost
    }
}

async fn deliver_cancel(target: CancelTarget) {
    if let Err(error) = target.send().await {
        log::debug!(error:? = error; "cancel request not delivered");
    }
}

fn status_of(status: ReadyStatus) -> TransactionStatus {
    match status {
        ReadyStatus::Idle => TransactionStatus::Idle,
        ReadyStatus::Transaction => TransactionStatus::Open,
        ReadyStatus::Error => TransactionStatus::Failed,
    }
}
