//! Decides what a request that got no whole answer comes to.
//!
//! Functions without state. Inputs are how the request was lost and how far it had come; a request is sent
//! again only where running it twice is impossible or harms nobody.

use crate::error::Rejection;
use crate::times::OWNER_RETRY_MS;
use corktack_protocol::peer::{Access, Failure, NotRunReason};

/// How a request was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The connection to the owner failed.
    Link {
        /// Whether the batch may have reached the owner.
        sent: bool,
    },
    /// The owner gave the final answer.
    Failed(Failure),
    /// Nothing came in time.
    TimedOut {
        /// Whether the batch may have reached the owner.
        sent: bool,
    },
}

/// How far a request had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// What the transaction may do.
    pub access: Access,
    /// Whether the batch opened the transaction.
    pub first_batch: bool,
    /// Whether the caller has been sent a part of the answer.
    pub answered: bool,
    /// Whether the batch may commit a transaction that was open before it.
    pub may_commit: bool,
    /// Whether running the batch twice harms nobody.
    pub repeatable: bool,
    /// Whether an idempotency key lets the batch run once at most.
    pub keyed: bool,
}

/// What the request comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent again; the rejection is the answer if it is not.
    Retry(Rejection),
    /// The final answer.
    Final(Rejection),
}

/// Decides what a lost request comes to.
#[must_use]
pub fn judge(loss: Loss, progress: Progress) -> Verdict {
    if progress.first_batch {
        judge_first(loss, progress)
    } else {
        Verdict::Final(judge_later(loss, progress))
    }
}

fn judge_first(loss: Loss, progress: Progress) -> Verdict {
    match loss {
        Loss::Link { sent: false } => {
            let reason = NotRunReason::OwnerUnreachable;
            Verdict::Retry(Rejection::NotRun { reason, retry_after_ms: OWNER_RETRY_MS })
        }
        Loss::TimedOut { sent: false } => {
            let reason = NotRunReason::OwnerUnreachable;
            Verdict::Final(Rejection::NotRun { reason, retry_after_ms: OWNER_RETRY_MS })
        }
        Loss::Failed(Failure::NotRun { reason, retry_after_ms }) if !progress.answered => {
            let rejection = Rejection::NotRun { reason, retry_after_ms };
            if is_passing(reason) { Verdict::Retry(rejection) } else { Verdict::Final(rejection) }
        }
        Loss::Failed(Failure::TransactionLost) => Verdict::Final(Rejection::TransactionLost),
        Loss::Link { sent: true } | Loss::Failed(_) => judge_sent(progress),
        Loss::TimedOut { sent: true } => Verdict::Final(lost_after_sending(progress)),
    }
}

fn judge_sent(progress: Progress) -> Verdict {
    let rejection = lost_after_sending(progress);
    let harmless = progress.access == Access::Read || progress.repeatable || progress.keyed;
    if harmless && !progress.answered {
        Verdict::Retry(rejection)
    } else {
        Verdict::Final(rejection)
    }
}

fn lost_after_sending(progress: Progress) -> Rejection {
    if progress.access == Access::Read {
        Rejection::ReadInterrupted
    } else if progress.repeatable {
        Rejection::TransactionLost
    } else {
        Rejection::Unknown
    }
}

fn judge_later(loss: Loss, progress: Progress) -> Rejection {
    let writes = progress.access == Access::Write;
    match loss {
        Loss::Link { sent: false } | Loss::TimedOut { sent: false } => Rejection::TransactionLost,
        Loss::Failed(Failure::NotRun { .. } | Failure::TransactionLost) => {
            Rejection::TransactionLost
        }
        Loss::Failed(Failure::Unknown) if writes => Rejection::Unknown,
        Loss::Link { sent: true } | Loss::TimedOut { sent: true }
            if writes && progress.may_commit =>
        {
            Rejection::Unknown
        }
        _ => Rejection::TransactionLost,
    }
}

/// Decides what a part of an unfinished batch comes to that was lost after an earlier
/// part was answered. It is never sent again. Its `Sync` would have committed it, and
/// some statements commit as they run, so a write that may have run has no known outcome.
#[must_use]
pub fn judge_unfinished(loss: Loss, ran_write: bool, runs_write: bool) -> Rejection {
    let sent = match loss {
        Loss::Link { sent } | Loss::TimedOut { sent } => sent,
        Loss::Failed(failure) => failure == Failure::Unknown,
    };
    if ran_write || (runs_write && sent) { Rejection::Unknown } else { Rejection::TransactionLost }
}

/// Whether a later try may find another owner or primary.
fn is_passing(reason: NotRunReason) -> bool {
    match reason {
        NotRunReason::NoBackEnd
        | NotRunReason::NotOwner
        | NotRunReason::UnknownGroup
        | NotRunReason::Stopping
        | NotRunReason::OwnerUnreachable
        | NotRunReason::BackEndRefused => true,
        NotRunReason::QueueFull | NotRunReason::QueueTimeout | NotRunReason::RetryBudget => false,
    }
}
