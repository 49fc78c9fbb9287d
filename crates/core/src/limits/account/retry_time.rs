//! Retry times of refused callers.
//!
//! Gives each refused caller a time at which capacity is likely to be free for it, so that callers
//! return one after the other. The time follows from the counts of the last window, from when the
//! leader announced that it can grant more, and from the retry times given before
//! ([`super::promises`]).
//!
//! The first rule that applies decides:
//!
//! 1. The leader may grant more as soon as it answers: [`ANSWER_RETRY`], or sooner where capacity
//!    becomes free before.
//! 2. The earlier of two times, as far as they are known: when capacity becomes free because an
//!    operation becomes older than a window; and when the leader announced that it can grant more,
//!    spaced for several callers by the mean time between requests.
//! 3. Nothing is allowed and neither time is known: [`NO_ALLOWANCE_RETRY_FRACTION`] of a window.
//!
//! The result is never shorter than [`MIN_RETRY`] or longer than [`MAX_RETRY_WINDOWS`].

use super::{Account, OverLimit};
use crate::limits::bounds::LimitBounds;
use crate::time::Timestamp;
use std::time::Duration;

/// Shortest retry time. With less, callers retry before anything can have changed; with more, capacity
/// stays unused while callers stay away.
const MIN_RETRY: Duration = Duration::from_millis(50);
/// Retry time where nothing is allowed, as a fraction of a window. With less, more retries are in vain;
/// with more, a new allowance is used later.
const NO_ALLOWANCE_RETRY_FRACTION: f64 = 0.2;
/// Retry time where the leader has not answered yet: a round trip between the users' regions and an
/// entry in the log take 0.1 s.
const ANSWER_RETRY: Duration = Duration::from_millis(100);
/// Longest retry time, in windows: what others will have requested by then is not known. Without a
/// bound, callers of a flooding tenant were told up to 430 s, where the flood was over after 6 s. With
/// one window, callers return before the capacity that they were told of is free; with more than two,
/// they stay away after a flood is over.
const MAX_RETRY_WINDOWS: u32 = 2;

impl Account {
    /// Returns a refusal whose retry time leads to the next free capacity that no waiting request and
    /// no earlier refused caller is expected to use.
    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        bounds: &LimitBounds,
        operations: u64,
    ) -> OverLimit {
        let position = self.queue.operations() + self.scheduled_retries.count_pending(now) + 1;
        let retry_after = self.retry_after(now, bounds, position).max(MIN_RETRY);
        self.scheduled_retries.add(now + retry_after, operations);
        OverLimit { allowance: self.allowed(now), retry_after }
    }

    /// Returns the retry time of a caller that is the `position`-th in line for capacity: until
    /// capacity becomes free, or until the leader grants more.
    fn retry_after(&self, now: Timestamp, bounds: &LimitBounds, position: u64) -> Duration {
        let time_until_free = self.time_until_free(now, bounds, position);
        if self.expects_more(now) {
            return time_until_free.map_or(ANSWER_RETRY, |after| after.min(ANSWER_RETRY));
        }
        let time_until_more =
            self.more_available_at.filter(|available_at| now < *available_at).map(|available_at| {
                // Callers that return then are spaced by the mean time between requests.
                let interval = bounds.window.div_f64(self.requested.total().max(1) as f64);
                let callers_ahead = u32::try_from(position - 1).unwrap_or(u32::MAX);
                available_at.saturating_since(now)
                    + interval.saturating_mul(callers_ahead).min(bounds.window)
            });
        let after = time_until_free.into_iter().chain(time_until_more).min();
        let after = after.unwrap_or(bounds.window.mul_f64(NO_ALLOWANCE_RETRY_FRACTION));
        after.min(bounds.window * MAX_RETRY_WINDOWS)
    }

    /// Reports whether more may be granted soon: by the next answer of the leader, or because the leader
    /// announced that more follows.
    fn expects_more(&self, now: Timestamp) -> bool {
        let is_pending = self.awaits_grant || self.delayed > 0 || self.more_follows;
        is_pending && now >= self.exhausted_until && self.allowed(now) < self.limit
    }

    /// Returns the time until capacity becomes free for the `position`-th operation in line; none where
    /// nothing is allowed.
    pub(super) fn time_until_free(
        &self,
        now: Timestamp,
        bounds: &LimitBounds,
        position: u64,
    ) -> Option<Duration> {
        let allowance = self.allowed(now);
        if allowance == 0 {
            return None;
        }
        // An operation occupies its capacity for a window: later positions use the same capacity again.
        let windows_ahead = u32::try_from((position - 1) / allowance).unwrap_or(u32::MAX);
        let position = (position - 1) % allowance + 1;
        let excess = self.begun.total().saturating_sub(allowance);
        let after = self.begun.time_until_expired(now, bounds.window, excess + position);
        Some(after.unwrap_or_default() + bounds.window.saturating_mul(windows_ahead))
    }
}
