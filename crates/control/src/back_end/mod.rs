//! Calls to back ends on behalf of the leader: probes, fences and promotions.
//!
//! This module connects, runs the statement and enforces the timeout of each call. The failover manager of
//! the core decides which calls are made and processes their results.

mod call;
mod caller;
mod statement;

pub(crate) use call::{BackEndAnswer, BackEndCall, BackEndError, BackEndResult, Operation};
pub(crate) use caller::BackEndCaller;
