//! What becomes of operations that are asked for.

use super::queue::OperationRequestNumber;
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An operation that a tenant's limit does not allow now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("the tenant's limit is reached: {allowance} operations in a window at this gateway")]
pub struct OverLimit {
    /// Operations that the gateway that counts them may let begin in a window.
    pub allowance: u64,
    /// When one may begin, as far as that gateway knows.
    pub retry_after: Duration,
}

/// Operations that were counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmittedOperations {
    /// How many.
    pub operations: u64,
    /// When, on the clock of the gateway that counted them.
    pub marked: Timestamp,
}

/// What becomes of operations that are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationOutcome {
    /// Nothing limits them.
    Unlimited,
    /// So many begin now, perhaps fewer than were asked for.
    Admitted(AdmittedOperations),
    /// They wait; [`crate::limits::GatewayLimits::settle`] tells what becomes of them.
    Waiting(OperationRequestNumber),
    /// None begins.
    Refused(OverLimit),
}
