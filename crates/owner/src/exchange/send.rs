//! Sends one batch on the leased connection and waits until it is answered or lost.
//!
//! While a batch is in flight, the module waits for both the back end and the caller. `replies` reads the
//! answer, and `decisions` says whether the answer is valid.

use super::state::{BatchOutcome, Exchange};
use crate::batch;
use crate::connection::{CancelTarget, ConnectionError};
use crate::decisions::{Answer, RetryCause, is_unverified, retry_after_refusal};
use crate::stream_input::InputEvent;
use corktack_protocol::peer::{Access, Batch, ServedBy, TransactionStatus};

impl Exchange<'_> {
    /// Sends a batch and reads its answer.
    pub(super) async fn run_batch(&mut self, batch: &Batch) -> BatchOutcome {
        self.reported_position = None;
        self.failed = false;
        let Ok(connection) = self.lease.connection() else {
            return BatchOutcome::Lost(ConnectionError::Closed);
        };
        connection.sent_bytes = 0;
        connection.session_changed |= self.properties.may_change_session;
        self.unfinished.record_sent(&self.properties);
        if batch::queue(batch, &mut connection.tracker, &mut connection.output).is_err() {
            return BatchOutcome::Violation;
        }
        loop {
            match self.read_replies() {
                Ok(Some(status)) => return self.end_of_batch(status),
                Ok(None) => {}
                Err(error) => return BatchOutcome::Lost(error),
            }
            if let Some(outcome) = self.wait().await {
                return outcome;
            }
        }
    }

    /// Waits for input of the back end or the caller while a batch is in flight; returns an outcome if the
    /// input ends the batch.
    pub(super) async fn wait(&mut self) -> Option<BatchOutcome> {
        let may_read = self.input.window > 0;
        let may_retry = self.request.access == Access::Read && !self.forwarded;
        let (replaced, unresponsive) =
            (self.lease.wait_until_replaced(), self.lease.wait_until_silent());
        let unreachable = self.lease.wait_until_unreachable();
        let Ok(connection) = self.lease.connection() else {
            return Some(BatchOutcome::Lost(ConnectionError::Closed));
        };
        tokio::select! {
            result = connection.progress(may_read) => result.err().map(BatchOutcome::Lost),
            () = replaced => Some(BatchOutcome::Lost(ConnectionError::Closed)),
            () = unresponsive => Some(BatchOutcome::Lost(ConnectionError::TimedOut)),
            () = unreachable, if may_retry => Some(BatchOutcome::Lost(ConnectionError::TimedOut)),
            event = self.input.next_event() => match event {
                InputEvent::CallerGone => Some(BatchOutcome::CallerGone),
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

    /// Decides whether the complete answer to the batch is valid.
    fn end_of_batch(&mut self, status: TransactionStatus) -> BatchOutcome {
        let is_only_batch = status == TransactionStatus::Idle || self.is_first_flush();
        if let Some(cause) = self.refusal.filter(|_| is_only_batch) {
            return self.outcome_of_refusal(cause);
        }
        self.unfinished.record_answered(&self.properties);
        if self.is_unverified(status) && !self.forwarded {
            let member = &self.lease.destination().member;
            let reported_position = self.reported_position;
            self.group.with_state(|state| state.routing.reset_position(member, reported_position));
            return BatchOutcome::Retry(RetryCause::ReplicaBehind);
        }
        BatchOutcome::Ready(status)
    }

    /// Returns the outcome of a request that the member refused before any statement ran.
    pub(super) fn outcome_of_refusal(&self, cause: RetryCause) -> BatchOutcome {
        let destination = self.lease.destination();
        if (cause, destination.served_by) == (RetryCause::NotPrimary, ServedBy::Primary) {
            self.group.mark_primary_suspect(&destination.member, destination.term);
        }
        BatchOutcome::Retry(retry_after_refusal(cause, destination.served_by))
    }

    /// Reports whether a replica answered a read without evidence that it has applied the minimum.
    fn is_unverified(&self, status: TransactionStatus) -> bool {
        let answer = Answer {
            served_by: self.lease.destination().served_by,
            before: self.status,
            after: status,
            failed: self.failed,
            completed: self.completed,
            position: self.reported_position,
        };
        is_unverified(&answer, self.minimum)
    }

    /// Reports whether the batch in flight is the first of the stream and ends with a Flush.
    fn is_first_flush(&self) -> bool {
        self.properties.flushes && self.status == TransactionStatus::Idle
    }
}

async fn deliver_cancel(target: CancelTarget) {
    if let Err(error) = target.send().await {
        log::debug!(error:? = error; "cancel request not delivered");
    }
}
