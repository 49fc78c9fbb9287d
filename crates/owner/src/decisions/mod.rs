//! What the owner decides about one request or probe, as functions without I/O.
//!
//! `waiting` says how long a request may wait and which reason it is refused with, `loss` what it comes to when
//! its server connection is lost or its answer cannot count, `refusal` has the words for both; `health` says what a
//! probe means for the primary. The module owns
//! no state. It is public so that its tests reach it.

mod health;
mod loss;
mod refusal;
mod waiting;

pub use health::{Probed, primary_is_suspect};
pub use loss::{
    AfterLoss, Answer, InFlight, after_loss, failure_of_loss, is_behind, is_unverified,
    retry_after_refusal,
};
pub use refusal::{Refusal, RetryCause};
pub use waiting::{late_reason, longest_wait, reason_when_late};
