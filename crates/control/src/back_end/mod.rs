//! Statements to back ends on behalf of the leader: probes, fences, promotions.
//!
//! Owns how a call is made and how long it may take. Which calls are made is decided by the core's failover
//! manager, which takes their results.

mod call;
mod caller;
mod statement;

pub(crate) use call::{BackEndAnswer, BackEndCall, BackEndError, BackEndResult, Operation};
pub(crate) use caller::BackEnds;
