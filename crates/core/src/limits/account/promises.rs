//! Retry times that were given to refused callers and have not passed yet.
//!
//! Lets each further refused caller be given a later time. An entry is dropped when its time comes,
//! whether the caller retries or not.

use crate::time::Timestamp;
use std::collections::VecDeque;

/// Limit on the remembered retry times, which bounds memory; callers beyond it are given the same time.
/// The largest window of the users' tenants holds 2,060 operations. A lower limit makes more callers of
/// a flood retry together; a higher one costs 8 bytes for each caller.
const MAX_SCHEDULED_RETRIES: usize = 4_096;

/// Times at which refused callers were told to retry, the earliest first.
#[derive(Clone, Debug, Default)]
pub(super) struct ScheduledRetries(VecDeque<Timestamp>);

impl ScheduledRetries {
    /// Drops the times that have passed, and returns how many are still to come.
    pub(super) fn count_pending(&mut self, now: Timestamp) -> u64 {
        while self.0.front().is_some_and(|retry_at| *retry_at <= now) {
            self.0.pop_front();
        }
        self.0.len() as u64
    }

    /// Records that callers with this many operations were told to retry at the given time.
    pub(super) fn add(&mut self, retry_at: Timestamp, operations: u64) {
        let free = MAX_SCHEDULED_RETRIES.saturating_sub(self.0.len());
        let count = usize::try_from(operations).unwrap_or(usize::MAX).min(free);
        // A caller told to retry after the leader's answer gets an earlier time than callers before it.
        let index = self.0.partition_point(|scheduled| *scheduled <= retry_at);
        (0..count).for_each(|_| self.0.insert(index, retry_at));
    }
}
