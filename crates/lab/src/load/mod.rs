//! Load: callers of a profile, what they ask and what they were answered.
//!
//! Arrivals are open-loop: operations start at times drawn beforehand, and the
//! latency of an operation counts from its drawn time, so a slow system cannot
//! hide its queue by slowing the callers down.

pub mod caller;
pub mod history;
pub mod operation;
pub mod outcome;
pub mod run;
pub mod schema;
mod session;
