//! Why a request does not run, or is tried again.

use corktack_core::admission::AdmissionError;
use corktack_protocol::peer::NotRunReason;

/// A request that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: NotRunReason,
    /// When to come back, in milliseconds; estimated from the queue when absent.
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

/// Why a request that did not run, or only read, is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// The connection broke.
    ConnectionLost,
    /// The back end is not the primary (any longer).
    NotPrimary,
    /// The back end takes no work now.
    BackEndRefused,
    /// A replica was behind what was known of it.
    ReplicaBehind,
}
