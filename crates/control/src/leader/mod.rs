//! The duties of the leader: proxy membership, failover of primaries, and grants of tenants' limits.
//!
//! The core makes the decisions. This module passes reports and answers to the core, starts the calls that
//! it requests, and returns its commands to the consensus thread. The consensus thread passes the time, the
//! applied state and the outcomes of the commands.
//!
//! A replica starts with an empty state when it becomes the leader, and drops the state when it steps down,
//! so that answers to an earlier leadership have no effect.

mod contacts;
mod convert;
mod duties;
mod leadership;
mod limits;

pub(crate) use duties::{DutyId, DutyProposal, LeaderDuties};
