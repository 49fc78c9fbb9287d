//! Decides when the edge sends a lost request again, and what its caller is answered otherwise.
//!
//! [`decide_retry`] decides from how a request was lost and how far it had progressed whether it may be
//! sent again without running twice; [`RetryScheduler`] decides whether it is sent again within the
//! group's retry budget, and after which wait. Neither does I/O. The back-off bounds are in `times`;
//! the budget and back-off algorithms are in [`corktack_core::retry`]. The module is public for its
//! tests.

mod budget;
mod loss;

pub use budget::{LostRequest, RetryScheduler};
pub use loss::{Loss, Progress, RetryDecision, decide_retry, rejection_of_unfinished};
