//! How the transaction ends: answered, given up, left by its caller, or to be tried again.
//!
//! The module owns what happens to the lease then; it relies on `decisions` for what a lost connection comes to.

use super::claim;
use super::state::{Exchange, Exit};
use crate::connection::ConnectionError;
use crate::decisions::{AfterLoss, InFlight, RetryCause, after_loss, failure_of_loss};
use crate::group::GroupState;
use crate::wire::{self, WireError};
use corktack_core::pool::outcomes::sweep_statement;
use corktack_protocol::peer::{Access, Failure, TransactionStatus};
use std::time::Duration;

/// Longest wait for the removal of old outcomes; the slot is held meanwhile. Chosen, not measured: a shorter
/// one closes connections for a removal that is a little slow, a longer one keeps the slot from the next
/// request.
const SWEEP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// SQLSTATE of an answer that is over a limit.
const LIMIT_EXCEEDED: &str = "54000";
/// Answer to a read whose answer holds a message that does not fit a frame.
const ANSWER_REFUSED: &str = "a row of the answer is over the limit of 7.8 MiB";

impl Exchange<'_> {
    /// Forwards what is held, and tells the edge that the batch is answered.
    pub(super) fn answer_ready(&mut self, status: TransactionStatus) {
        self.forward();
        self.status = status;
        self.outbound.ready(status, self.lease.destination().served_by);
    }

    /// The transaction is over and answered: the connection is given back where it may be used again.
    pub(super) async fn finish(mut self) -> Exit {
        self.answer_ready(TransactionStatus::Idle);
        if self.request.access == Access::Read {
            let served_by = self.lease.destination().served_by;
            self.group.metrics.read_served(self.group.name.as_str(), served_by);
        }
        if !self.cancelled && self.sweep_outcomes().await {
            self.lease.recycle().await;
        }
        Exit::Ended
    }

    /// Removes old outcomes of keyed writes now and then, after the caller's
    /// answer; false when the connection must not be reused.
    async fn sweep_outcomes(&mut self) -> bool {
        if self.keyed.is_none() || !self.group.with_state(GroupState::sweep_is_due) {
            return true;
        }
        let before = claim::now_ms().saturating_sub(self.group.outcome_retention_ms());
        let Ok(connection) = self.lease.connection() else {
            return false;
        };
        let swept = connection.query(&sweep_statement(before), SWEEP_TIMEOUT).await;
        if let Err(error) = &swept {
            log::warn!(group:% = self.group.name, error:? = error; "old outcomes not removed");
        }
        swept.is_ok()
    }

    /// The caller is gone. A connection in an unfinished batch is closed, for which the
    /// back end rolls back: a Sync would commit, and after an error it hears nothing else.
    pub(super) async fn abandon(self) {
        if !self.cancelled && !self.unfinished.is_open() {
            self.lease.roll_back().await;
        }
    }

    /// The stream is tried again. A keyed write is safe to repeat even after its
    /// commit was sent: the key tells whether it ran.
    pub(super) fn retried(&self, cause: RetryCause) -> Exit {
        let unresolved = self.keyed.as_ref().is_some_and(|keyed| keyed.commit_sent);
        if unresolved { Exit::Unresolved(cause) } else { Exit::Retry(cause) }
    }

    /// The connection is lost.
    pub(super) fn lost(mut self, error: &ConnectionError) -> Exit {
        log::debug!(group:% = self.group.name, error:? = error; "server connection lost");
        match after_loss(&self.in_flight(), is_too_large(error)) {
            AfterLoss::RepeatUnderKey => self.retried(RetryCause::ConnectionLost),
            AfterLoss::Repeat => Exit::Retry(RetryCause::ConnectionLost),
            AfterLoss::RefuseAnswer => self.refuse_answer(),
            AfterLoss::Final(failure) => Exit::Failed(failure),
        }
    }

    /// The answer to a read cannot be passed on; another member would give the same.
    fn refuse_answer(&mut self) -> Exit {
        let Ok(message) = wire::error_response(LIMIT_EXCEEDED, ANSWER_REFUSED) else {
            return Exit::Failed(Failure::TransactionLost);
        };
        self.held.extend_from_slice(&message);
        self.answer_ready(TransactionStatus::Idle);
        Exit::Ended
    }

    /// The final answer when the batch in flight breaks the rules between edge and owner.
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
            may_commit: self.facts.may_commit,
            only_begins: self.facts.only_begins,
            unfinished_may_be_committed: self.unfinished.may_have_committed(sent_bytes),
        }
    }
}

fn is_too_large(error: &ConnectionError) -> bool {
    let limit = wire::MESSAGE_LIMIT;
    matches!(error, ConnectionError::Wire(WireError::Length { length, .. }) if *length > limit)
}
