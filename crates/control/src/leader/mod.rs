//! The duties of the leader: proxy membership, failover of primaries, and grants of tenants' limits.
//!
//! The duties begin once the leader has applied an entry of its own term
//! ([`has_applied_own_term`](corktack_core::consensus::Replica::has_applied_own_term)): the state then holds
//! everything that earlier leaders committed. Between the election and that moment no duty reads the state,
//! decides or calls anything; reports are stored until then.
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
mod early_reports;
mod leadership;
mod limits;

pub(crate) use duties::{DutyId, DutyProposal, LeaderDuties};
