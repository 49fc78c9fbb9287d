//! Outcomes of requests for operations.

use super::queue::OperationRequestNumber;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Refusal of an operation that a tenant's limit does not allow now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("the tenant's limit is reached: {allowance} operations in a window at this gateway")]
pub struct OverLimit {
    /// Operations that the gateway that counts the tenant's operations may begin in a window.
    pub allowance: u64,
    /// Time until an operation may begin, as far as that gateway knows.
    pub retry_after: Duration,
}

/// Operations that were counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmittedOperations {
    /// Number of operations.
    pub operations: u64,
    /// Time at which they were counted, on the clock of the gateway that counted them.
    pub counted_at: Timestamp,
}

/// Outcome of a request for operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationOutcome {
    /// The tenant has no limit.
    Unlimited,
    /// This many operations begin now, possibly fewer than requested.
    Admitted(AdmittedOperations),
    /// The operations wait; [`crate::limits::GatewayLimits::settle`] decides on them.
    Waiting(OperationRequestNumber),
    /// No operation begins.
    Refused(OverLimit),
}
