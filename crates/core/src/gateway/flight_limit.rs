//! How many statements a gateway has under way at a member.
//!
//! A member runs a few statements at once and lets others wait, in the order in which they come;
//! beyond that it refuses them. What waits at the gateways that hold connections is served by
//! priority, and can be told when to come back. So each of them sends no more than keeps the member
//! at work, and less after the member refused for lack of room.
//!
//! Inputs: the statements that the member runs at once, the number of holders, refusals and answers. Owns the
//! limit of one member at one holder. After a loss of power of all machines, when members were sent what all
//! gateways had at once, 424 statements were refused in place of 2,256 (trial, with a faster start beside).

use crate::time::Timestamp;
use std::time::Duration;

/// Statements under way for each that the member runs at once, all holders together: while one is
/// run, others are on their way there and back. Higher, they wait at the member; lower, a holder with
/// more than its share of the work waits while the member has slots free. Chosen, not measured beside other
/// values.
const UNDER_WAY_PER_SLOT: u32 = 4;
/// Fewest statements that one holder may have under way: one may take long. Chosen, not measured.
const FEWEST: u32 = 2;
/// What is left of the limit after a refusal. Chosen, not measured: with less, slots stay free after a single
/// refusal; with more, a member without room goes on refusing.
const LOWERED_TO: f64 = 0.5;
/// Time in which refusals count as one: those of statements that were sent together. Chosen, not measured: with
/// less, one herd lowers the limit several times.
const LOWERED_AT_MOST_EVERY: Duration = Duration::from_millis(50);
/// Lowest limit: what comes back says whether there is room again.
const LOWEST_LIMIT: f64 = 1.0;

/// How many statements one gateway may have under way at a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlightLimit {
    highest: f64,
    limit: f64,
    lowered_at: Option<Timestamp>,
}

impl FlightLimit {
    /// The limit of one of `holders` gateways for a member that runs `capacity` statements at once.
    #[must_use]
    pub fn new(capacity: u32, holders: usize) -> Self {
        let all = UNDER_WAY_PER_SLOT * capacity.max(1);
        let holders = u32::try_from(holders).unwrap_or(u32::MAX).max(1);
        let highest = f64::from(all.div_ceil(holders).max(FEWEST));
        Self { highest, limit: highest, lowered_at: None }
    }

    /// Whether one more statement may be sent beside those under way.
    #[must_use]
    pub fn allows(&self, under_way: usize) -> bool {
        under_way < self.limit as usize
    }

    /// How many statements may be under way now.
    #[must_use]
    pub fn current(&self) -> usize {
        self.limit as usize
    }

    /// The member had no room for a statement.
    pub fn refused(&mut self, now: Timestamp) {
        let recently = |at: Timestamp| now.saturating_since(at) < LOWERED_AT_MOST_EVERY;
        if self.lowered_at.is_some_and(recently) {
            return;
        }
        self.lowered_at = Some(now);
        self.limit = (self.limit * LOWERED_TO).max(LOWEST_LIMIT);
    }

    /// The member ran a statement: after as many as the limit it is one higher, up to the highest.
    pub fn served(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit).min(self.highest);
    }
}
