//! What only the leader does: watch over proxies, replace failed primaries and lease tenants' limits.
//!
//! The decisions are the core's. This module feeds it with reports and answers,
//! starts the calls it wants and hands its commands to the consensus thread. A
//! replica that becomes leader starts afresh, and one that stops leading drops
//! everything, so that answers to an earlier leadership find no one.
//!
//! Owns what lasts as long as one leadership. Relies on the consensus thread for the time, the state and
//! the outcomes of its commands.

mod contacts;
mod convert;
mod duties;
mod leadership;
mod limits;

pub(crate) use duties::{DutyId, DutyProposal, LeaderDuties};
