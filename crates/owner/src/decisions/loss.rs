//! Decides what follows for a request whose server connection is lost or whose answer is not valid.
//!
//! A batch that may have run is repeated only if running it twice does no harm.

use super::refusal::RetryCause;
use corktack_core::position::Position;
use corktack_protocol::peer::{Access, Failure, ServedBy, TransactionStatus};

/// State of a batch that is sent and not completely answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// Whether the transaction may write.
    pub access: Access,
    /// Status of the transaction before the batch.
    pub status: TransactionStatus,
    /// Whether a part of the transaction's answers was forwarded to the caller.
    pub forwarded: bool,
    /// Whether the write runs under an idempotency key.
    pub keyed: bool,
    /// Number of bytes of the batch that were sent.
    pub sent_bytes: usize,
    /// Whether the batch may commit an open transaction.
    pub may_commit: bool,
    /// Whether the batch opens a transaction and does nothing else.
    pub only_begins: bool,
    /// Whether the batch is unfinished since its `Flush` and one of its statements may be committed.
    pub unfinished_may_be_committed: bool,
}

/// Action after the loss of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterLoss {
    /// Retry the request: its idempotency key shows whether it ran.
    RepeatUnderKey,
    /// Retry the request: no statement ran, or running it twice does no harm.
    Repeat,
    /// Report to the caller that the answer is too large: every member would give the same answer.
    RefuseAnswer,
    /// End the stream with this failure.
    Final(Failure),
}

/// Decides what follows from a lost connection. `answer_too_large` says that the owner closed the connection
/// because a message of the answer does not fit a frame.
#[must_use]
pub fn after_loss(batch: &InFlight, answer_too_large: bool) -> AfterLoss {
    let opens_transaction = batch.status == TransactionStatus::Idle;
    let is_unanswered = opens_transaction && !batch.forwarded;
    if is_unanswered && batch.keyed {
        return AfterLoss::RepeatUnderKey;
    }
    let is_read = batch.access == Access::Read;
    if is_read && opens_transaction && answer_too_large {
        return AfterLoss::RefuseAnswer;
    }
    if is_unanswered && (is_read || batch.sent_bytes == 0 || batch.only_begins) {
        return AfterLoss::Repeat;
    }
    AfterLoss::Final(failure_of_loss(batch))
}

/// Returns the final answer to a request that failed while this batch was in flight.
#[must_use]
pub fn failure_of_loss(batch: &InFlight) -> Failure {
    let was_sent = batch.sent_bytes > 0;
    let may_be_committed = batch.unfinished_may_be_committed
        || match batch.status {
            TransactionStatus::Idle => was_sent,
            TransactionStatus::Open => was_sent && batch.may_commit,
            TransactionStatus::Failed => false,
        };
    if batch.access == Access::Write && may_be_committed {
        return Failure::Unknown;
    }
    Failure::TransactionLost
}

/// Returns the cause to retry a request that a member refused. A statement that a replica refuses as
/// `NotPrimary` is retried at the primary.
#[must_use]
pub fn retry_after_refusal(cause: RetryCause, served_by: ServedBy) -> RetryCause {
    match (cause, served_by) {
        (RetryCause::NotPrimary, ServedBy::Replica) => RetryCause::ReplicaBehind,
        _ => cause,
    }
}

/// Properties of the answer to a batch that show how fresh it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Kind of the member that answered.
    pub served_by: ServedBy,
    /// Status of the transaction before the batch.
    pub before: TransactionStatus,
    /// Status of the transaction after the batch.
    pub after: TransactionStatus,
    /// Whether the answer contains an error.
    pub failed: bool,
    /// Whether a statement of the stream completed.
    pub completed: bool,
    /// Position that the member reported with the answer.
    pub position: Option<Position>,
}

/// Reports whether a replica answered a read outside a transaction without evidence that it has applied the
/// minimum.
#[must_use]
pub fn is_unverified(answer: &Answer, minimum: Option<Position>) -> bool {
    let idle = TransactionStatus::Idle;
    let outside_transaction = answer.before == idle && answer.after == idle;
    if answer.served_by != ServedBy::Replica
        || !outside_transaction
        || answer.failed
        || !answer.completed
    {
        return false;
    }
    answer.position.is_none_or(|position| is_behind(answer.served_by, position, minimum))
}

/// Reports whether a replica's position does not cover the minimum that the session must see. A primary is
/// never behind.
#[must_use]
pub fn is_behind(served_by: ServedBy, position: Position, minimum: Option<Position>) -> bool {
    let replica = served_by == ServedBy::Replica;
    replica && minimum.is_some_and(|minimum| !position.covers(minimum))
}
