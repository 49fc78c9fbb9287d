//! The owner's decisions about one request or probe, as functions without I/O or state.
//!
//! `waiting` limits the wait of a request and gives the reason of its refusal, `loss` decides what follows
//! from a lost server connection or an answer that is not valid, and `refusal` defines the types that both
//! use. `health` says whether a probe makes the primary suspect. The module is public so that its tests can
//! call it.

mod health;
mod loss;
mod refusal;
mod waiting;

pub use health::{ProbeResult, primary_is_suspect};
pub use loss::{
    AfterLoss, Answer, InFlight, after_loss, failure_of_loss, is_behind, is_unverified,
    retry_after_refusal,
};
pub use refusal::{Refusal, RetryCause};
pub use waiting::{max_wait, reason_after_retry, slot_timeout_reason};
