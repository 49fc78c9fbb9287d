//! Reasons why a request does not run, or is retried.

use corktack_core::admission::AdmissionError;
use corktack_protocol::peer::NotRunReason;

/// A request that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason that the caller gets.
    pub reason: NotRunReason,
    /// Retry hint in milliseconds; estimated from the queue when absent.
    pub retry_after_ms: Option<u32>,
}

impl From<NotRunReason> for Refusal {
    fn from(reason: NotRunReason) -> Self {
        Self { reason, retry_after_ms: None }
    }
}

impl From<AdmissionError> for Refusal {
    fn from(error: AdmissionError) -> Self {
        let (reason, retry_after_ms) = match error {
            AdmissionError::QueueFull { retry_after_ms } => {
                (NotRunReason::QueueFull, retry_after_ms)
            }
            AdmissionError::TooLate { retry_after_ms } => {
                (NotRunReason::QueueTimeout, retry_after_ms)
            }
        };
        Self { reason, retry_after_ms: Some(retry_after_ms) }
    }
}

/// Reasons to retry a request that did not run, or only read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// The server connection was lost or could not be opened.
    ConnectionLost,
    /// The back end is not, or no longer, the primary.
    NotPrimary,
    /// The back end accepts no work at present.
    BackEndRefused,
    /// A replica was behind its last known position, or does not run the statement.
    ReplicaBehind,
}
