//! Calls of back ends, their answers, and why there is none.

use corktack_core::backend::{MemberStatus, StatusError};
use corktack_core::failover::CallTarget;
use corktack_core::position::{Position, Term};

/// What a back end is called for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// How it is.
    Probe,
    /// To promise a term.
    Fence(Term),
    /// To become primary of a term.
    Promote(Term),
}

/// One call of one back end.
#[derive(Clone, Debug)]
pub(crate) struct BackEndCall {
    pub(crate) target: CallTarget,
    pub(crate) operation: Operation,
}

/// What a back end answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BackEndAnswer {
    /// To a probe.
    Status(MemberStatus),
    /// To a fence.
    Fenced {
        /// The highest term it promised.
        promised: Term,
        /// The end of its log.
        last_position: Position,
    },
    /// To a promotion: an entry of the new term that a majority holds.
    Promoted(Position),
}

/// Why a back end gave no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BackEndError {
    /// It did not answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// It promised a higher term.
    #[error("a higher term was promised")]
    TermTooLow,
    /// The connection or the statement failed.
    #[error("the statement failed")]
    Failed(#[source] tokio_postgres::Error),
    /// The answer has no row, or one of another form.
    #[error("the answer is not of the agreed form")]
    Malformed,
    /// The status is not of the agreed form.
    #[error(transparent)]
    Status(#[from] StatusError),
}

/// A call with its result.
#[derive(Debug)]
pub(crate) struct BackEndResult {
    pub(crate) call: BackEndCall,
    pub(crate) answer: Result<BackEndAnswer, BackEndError>,
}
