//! Types of a call to a back end: the operation, the answer and the errors.

use corktack_core::backend::{MemberStatus, StatusError};
use corktack_core::failover::CallTarget;
use corktack_core::position::{Position, Term};

/// Operation that the leader requests from a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// Reads the status of the back end.
    Probe,
    /// Makes the back end promise a term, so that it rejects lower terms.
    Fence(Term),
    /// Makes the back end the primary of a term.
    Promote(Term),
}

/// A call to one back end.
#[derive(Clone, Debug)]
pub(crate) struct BackEndCall {
    pub(crate) target: CallTarget,
    pub(crate) operation: Operation,
}

/// What a back end answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BackEndAnswer {
    /// Answer to a probe.
    Status(MemberStatus),
    /// Answer to a fence.
    Fenced {
        /// Highest term that the back end has promised.
        promised: Term,
        /// Position of the last entry in the back end's log.
        last_position: Position,
    },
    /// Answer to a promotion: position of an entry of the new term that a majority holds.
    Promoted(Position),
}

/// Why a call to a back end failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BackEndError {
    /// The back end did not answer before the timeout.
    #[error("no answer before the timeout")]
    TimedOut,
    /// The back end has promised a higher term.
    #[error("the back end has promised a higher term")]
    TermTooLow,
    /// The connection or the statement failed.
    #[error("the statement failed")]
    Failed(#[source] tokio_postgres::Error),
    /// The answer has no row, or its columns do not have the expected form.
    #[error("the answer does not have the expected form")]
    Malformed,
    /// The status does not have the expected form.
    #[error(transparent)]
    Status(#[from] StatusError),
}

/// A call together with its answer or error.
#[derive(Debug)]
pub(crate) struct BackEndResult {
    pub(crate) call: BackEndCall,
    pub(crate) answer: Result<BackEndAnswer, BackEndError>,
}
