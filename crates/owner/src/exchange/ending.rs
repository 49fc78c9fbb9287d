//! End of a transaction: answered, failed, abandoned by its caller, or to be retried.
//!
//! The module decides whether the connection is reused; `decisions` says what follows from a lost connection.

use super::claim;
use super::state::{Exchange, Exit};
use crate::connection::ConnectionError;
use crate::decisions::{AfterLoss, InFlight, RetryCause, after_loss, failure_of_loss};
use crate::group::GroupState;
use crate::wire::{self, WireError};
use corktack_core::pool::outcomes::sweep_statement;
use corktack_protocol::peer::{Access, Failure, TransactionStatus};
use std::time::Duration;

/// Longest wait for the removal of old outcomes; the slot stays occupied meanwhile. A shorter timeout closes
/// connections whose removal is a little slow; a longer one delays the next request for the slot.
const SWEEP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// SQLSTATE `program_limit_exceeded`.
const LIMIT_EXCEEDED: &str = "54000";
/// Error text for a read whose answer contains a message that does not fit a frame.
const ANSWER_REFUSED: &str = "a row of the answer is over the limit of 7.8 MiB";

impl Exchange<'_> {
    /// Forwards the buffered answer, and reports to the edge that the batch is answered.
    pub(super) fn answer_ready(&mut self, status: TransactionStatus) {
        self.forward();
        self.status = status;
        self.outbound.send_ready(status, self.lease.destination().served_by);
    }

    /// Answers the transaction's last batch, and returns the connection to the pool if it may be reused.
    pub(super) async fn finish(mut self) -> Exit {
        self.answer_ready(TransactionStatus::Idle);
        if self.request.access == Access::Read {
            let served_by = self.lease.destination().served_by;
            self.group.metrics.count_read(self.group.name.as_str(), served_by);
        }
        if !self.cancelled && self.sweep_outcomes().await {
            self.lease.recycle().await;
        }
        Exit::Ended
    }

    /// Removes old outcomes of keyed writes after the caller's answer, once per `COMMITS_BETWEEN_SWEEPS`
    /// keyed commits. Returns false when the connection must not be reused.
    async fn sweep_outcomes(&mut self) -> bool {
        if self.keyed.is_none() || !self.group.with_state(GroupState::record_commit_and_check_sweep)
        {
            return true;
        }
        let before = claim::unix_time_ms().saturating_sub(self.group.outcome_retention_ms());
        let Ok(connection) = self.lease.connection() else {
            return false;
        };
        let swept = connection.query(&sweep_statement(before), SWEEP_TIMEOUT).await;
        if let Err(error) = &swept {
            log::warn!(group:% = self.group.name, error:? = error; "old outcomes not removed");
        }
        swept.is_ok()
    }

    /// Ends the transaction of a caller that is gone. Rolls back, or closes the connection if a batch is
    /// unfinished, so that the back end rolls back: a Sync would commit the batch, and after an error the
    /// back end ignores every other message.
    pub(super) async fn abandon(self) {
        if !self.cancelled && !self.unfinished.is_open() {
            self.lease.roll_back().await;
        }
    }

    /// Returns the result of an exchange that must be retried. A keyed write is safe to repeat even after its
    /// commit was sent: the key shows whether the write ran.
    pub(super) fn retry_exit(&self, cause: RetryCause) -> Exit {
        let is_unresolved = self.keyed.as_ref().is_some_and(|keyed| keyed.commit_sent);
        if is_unresolved { Exit::Unresolved(cause) } else { Exit::Retry(cause) }
    }

    /// Returns the result of an exchange whose connection is lost.
    pub(super) fn finish_lost(mut self, error: &ConnectionError) -> Exit {
        log::debug!(group:% = self.group.name, error:? = error; "server connection lost");
        match after_loss(&self.in_flight(), is_too_large(error)) {
            AfterLoss::RepeatUnderKey => self.retry_exit(RetryCause::ConnectionLost),
            AfterLoss::Repeat => Exit::Retry(RetryCause::ConnectionLost),
            AfterLoss::RefuseAnswer => self.refuse_answer(),
            AfterLoss::Final(failure) => Exit::Failed(failure),
        }
    }

    /// Answers a read with an error because its answer is too large; another member would give the same
    /// answer.
    fn refuse_answer(&mut self) -> Exit {
        let Ok(message) = wire::error_response(LIMIT_EXCEEDED, ANSWER_REFUSED) else {
            return Exit::Failed(Failure::TransactionLost);
        };
        self.buffered.extend_from_slice(&message);
        self.answer_ready(TransactionStatus::Idle);
        Exit::Ended
    }

    /// Returns the final answer to a batch that violates the protocol between edge and owner.
    pub(super) fn failure_of_violation(&mut self) -> Failure {
        failure_of_loss(&self.in_flight())
    }

    fn in_flight(&mut self) -> InFlight {
        let sent_bytes = self.lease.connection().map_or(0, |connection| connection.sent_bytes);
        InFlight {
            access: self.request.access,
            status: self.status,
            forwarded: self.forwarded,
            keyed: self.keyed.is_some(),
            sent_bytes,
            may_commit: self.properties.may_commit,
            only_begins: self.properties.only_begins,
            unfinished_may_be_committed: self.unfinished.may_have_committed(sent_bytes),
        }
    }
}

fn is_too_large(error: &ConnectionError) -> bool {
    let limit = wire::MESSAGE_LIMIT;
    matches!(error, ConnectionError::Wire(WireError::Length { length, .. }) if *length > limit)
}
