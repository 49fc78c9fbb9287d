//! When the edge sends a lost request again, and what its caller is answered if not.
//!
//! [`judge`] says from the way a request was lost and from how far it had come whether it may be sent again
//! without running twice; [`Retries`] says whether it is, and after which wait. Both decide without I/O. The
//! module owns the budgets of one arbiter's groups; it relies on the times in `times` and on
//! [`corktack_core::retry`]. It is public so that its tests reach it.

mod budget;
mod loss;

pub use budget::{Lost, Retries};
pub use loss::{Loss, Progress, Verdict, judge, judge_unfinished};
