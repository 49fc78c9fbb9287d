//! What a request comes to when its server connection is lost, or its answer cannot count.
//!
//! Functions of what is known of the batch in flight; nothing is repeated that may have run and would harm
//! when it runs twice.

use super::refusal::RetryCause;
use corktack_core::position::Position;
use corktack_protocol::peer::{Access, Failure, ServedBy, TransactionStatus};

/// What is known of a batch that is sent and not wholly answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// What the transaction may do.
    pub access: Access,
    /// Status of the transaction before the batch.
    pub status: TransactionStatus,
    /// Whether the caller has a part of the transaction's answers.
    pub forwarded: bool,
    /// Whether the write runs under an idempotency key.
    pub keyed: bool,
    /// Bytes of the batch that were sent.
    pub sent_bytes: usize,
    /// Whether the batch may commit an open transaction.
    pub may_commit: bool,
    /// Whether the batch opens a transaction and does nothing else.
    pub only_begins: bool,
    /// Whether something may be committed of a batch that is unfinished since its `Flush`.
    pub unfinished_may_be_committed: bool,
}

/// What a lost connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterLoss {
    /// It is tried again: its key tells whether it ran.
    RepeatUnderKey,
    /// It is tried again: nothing ran, or nothing that harms when it runs twice.
    Repeat,
    /// The caller hears that the answer is too large: any member would give the same.
    RefuseAnswer,
    /// The caller's final answer.
    Final(Failure),
}

/// Decides what a lost connection leads to. `answer_too_large` tells that the owner gave it up for a
/// message of the answer that does not fit a frame.
#[must_use]
pub fn after_loss(batch: &InFlight, answer_too_large: bool) -> AfterLoss {
    let opens = batch.status == TransactionStatus::Idle;
    let nothing_answered = opens && !batch.forwarded;
    if nothing_answered && batch.keyed {
        return AfterLoss::RepeatUnderKey;
    }
    let only_reads = batch.access == Access::Read;
    if only_reads && opens && answer_too_large {
        return AfterLoss::RefuseAnswer;
    }
    if nothing_answered && (only_reads || batch.sent_bytes == 0 || batch.only_begins) {
        return AfterLoss::Repeat;
    }
    AfterLoss::Final(failure_of_loss(batch))
}

/// The final answer to a request that was given up while this batch was in flight.
#[must_use]
pub fn failure_of_loss(batch: &InFlight) -> Failure {
    let sent = batch.sent_bytes > 0;
    let may_be_committed = batch.unfinished_may_be_committed
        || match batch.status {
            TransactionStatus::Idle => sent,
            TransactionStatus::Open => sent && batch.may_commit,
            TransactionStatus::Failed => false,
        };
    if batch.access == Access::Write && may_be_committed {
        return Failure::Unknown;
    }
    Failure::TransactionLost
}

/// Why a request is tried again that a member refused. A statement that a replica does not run is one for the
/// primary.
#[must_use]
pub fn retry_after_refusal(cause: RetryCause, served_by: ServedBy) -> RetryCause {
    match (cause, served_by) {
        (RetryCause::NotPrimary, ServedBy::Replica) => RetryCause::ReplicaBehind,
        _ => cause,
    }
}

/// The answer to a batch, as far as it tells how fresh it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Who gave it.
    pub served_by: ServedBy,
    /// Status of the transaction before the batch.
    pub before: TransactionStatus,
    /// Status after it.
    pub after: TransactionStatus,
    /// Whether it holds an error.
    pub failed: bool,
    /// Whether a statement of the stream completed.
    pub completed: bool,
    /// Position that the member reported with it.
    pub position: Option<Position>,
}

/// Whether a replica answered a read without proof that it holds the minimum.
#[must_use]
pub fn is_unverified(answer: &Answer, minimum: Option<Position>) -> bool {
    let idle = TransactionStatus::Idle;
    let alone = answer.before == idle && answer.after == idle;
    if answer.served_by != ServedBy::Replica || !alone || answer.failed || !answer.completed {
        return false;
    }
    answer.position.is_none_or(|position| is_behind(answer.served_by, position, minimum))
}

/// Whether a position that a member reported lacks something that the session must see. The primary
/// has everything.
#[must_use]
pub fn is_behind(served_by: ServedBy, position: Position, minimum: Option<Position>) -> bool {
    let replica = served_by == ServedBy::Replica;
    replica && minimum.is_some_and(|minimum| !position.covers(minimum))
}
