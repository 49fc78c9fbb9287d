//! The times at which refused callers were told to come back.
//!
//! Lets each further caller be told a later place. Owns the open promises, the earliest first; one is
//! over when its time comes, whether the caller comes back or not.

use crate::time::Timestamp;
use std::collections::VecDeque;

/// Most promises that are remembered, a bound on memory; beyond them callers are told the same time.
/// Chosen, not measured (the largest window of the users' tenants holds 2,060 operations): lower values
/// send more callers of a flood back together, higher ones cost eight bytes a caller.
const PROMISES_REMEMBERED: usize = 4_096;

/// When refused callers were told to come back, the earliest first.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryPromises(VecDeque<Timestamp>);

impl RetryPromises {
    /// How many callers have not come back yet by their promise.
    pub(super) fn open(&mut self, now: Timestamp) -> u64 {
        while self.0.front().is_some_and(|at| *at <= now) {
            self.0.pop_front();
        }
        self.0.len() as u64
    }

    /// Notes that callers with so many operations are to come back then.
    pub(super) fn add(&mut self, at: Timestamp, operations: u64) {
        let room = PROMISES_REMEMBERED.saturating_sub(self.0.len());
        let count = usize::try_from(operations).unwrap_or(usize::MAX).min(room);
        // Who waits for the leader's answer is told an earlier time than those before.
        let place = self.0.partition_point(|promised| *promised <= at);
        (0..count).for_each(|_| self.0.insert(place, at));
    }
}
