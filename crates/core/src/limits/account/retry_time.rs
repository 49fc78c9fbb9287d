//! When a refused caller is told to come back.
//!
//! Gives each refused caller a time at which a place is likely to be free for it, so that callers
//! come back one after the other. Owns the rule and its bounds in time. Relies on the counts of the last
//! window, on what the leader said of more to come, and on the times that were told before
//! ([`super::promises`]).
//!
//! Inputs, the first that applies decides:
//! 1. The leader may allow more as soon as it answers: [`ANSWER_RETRY`], or sooner where a place becomes
//!    free before.
//! 2. The earlier of two, as far as they are known: when a place becomes free by age (the operation that holds
//!    it is older than a window); and when the leader said that it can give more, one caller after the other
//!    at the pace of the requests.
//! 3. Nothing is allowed and nothing is known: [`RETRY_PART`] of a window.
//!
//! Never sooner than [`SHORTEST_RETRY`] or later than [`LONGEST_RETRY_WINDOWS`].

use super::{Account, OverLimit};
use crate::limits::bounds::LimitBounds;
use crate::time::Timestamp;
use std::time::Duration;

/// Shortest time after which a caller is told to come back. Chosen, not measured: with less, callers ask
/// again before anything can have changed; with more, places stand free while callers stay away.
const SHORTEST_RETRY: Duration = Duration::from_millis(50);
/// Part of a window after which a caller comes back where nothing is allowed. Chosen, not measured: with
/// less, callers ask in vain more often; with more, an allowance that comes at last is used later.
const RETRY_PART: f64 = 0.2;
/// When a caller comes back where the leader has not answered yet: a round trip between the users'
/// regions and an entry in the log take 0.1 s.
const ANSWER_RETRY: Duration = Duration::from_millis(100);
/// Windows after which a caller is told to come back at the latest: what others will have asked for by
/// then is not known. Without a bound callers of a flooding tenant were told up to 430 s, where the flood
/// was over after 6 s. The number is chosen, not measured: with one, callers come back before the place
/// that they were promised is free; with more, they stay away after a flood is over.
const LONGEST_RETRY_WINDOWS: u32 = 2;

impl Account {
    /// A refusal that says when the next place is free that nobody waits for or was promised.
    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        bounds: &LimitBounds,
        operations: u64,
    ) -> OverLimit {
        let place = self.queue.operations() + self.promises.open(now) + 1;
        let retry_after = self.retry_after(now, bounds, place).max(SHORTEST_RETRY);
        self.promises.add(now + retry_after, operations);
        OverLimit { allowance: self.allowed(now), retry_after }
    }

    /// When a caller should come back that may hope for a place, counted from the next one that becomes
    /// free: by what is allowed now, or once the leader allows more.
    fn retry_after(&self, now: Timestamp, bounds: &LimitBounds, place: u64) -> Duration {
        let free_after = self.free_after(now, bounds, place);
        if self.awaits_answer(now) {
            return free_after.map_or(ANSWER_RETRY, |after| after.min(ANSWER_RETRY));
        }
        let more_after = self.more_at.filter(|at| now < *at).map(|at| {
            // Those who come back then come one after the other, at the pace of what is asked for.
            let pace = bounds.window.div_f64(self.requested.total().max(1) as f64);
            let behind = u32::try_from(place - 1).unwrap_or(u32::MAX);
            at.saturating_since(now) + pace.saturating_mul(behind).min(bounds.window)
        });
        let after = free_after.into_iter().chain(more_after).min();
        let after = after.unwrap_or(bounds.window.mul_f64(RETRY_PART));
        after.min(bounds.window * LONGEST_RETRY_WINDOWS)
    }

    /// Whether the leader may allow more as soon as it answers, or its log does.
    fn awaits_answer(&self, now: Timestamp) -> bool {
        let is_asked = self.awaits_grant || self.delayed > 0 || self.more_follows;
        is_asked && now >= self.exhausted_until && self.allowed(now) < self.limit
    }

    /// Time until a place becomes free, counted from the next one on; none where nothing is allowed.
    pub(super) fn free_after(
        &self,
        now: Timestamp,
        bounds: &LimitBounds,
        place: u64,
    ) -> Option<Duration> {
        let allowance = self.allowed(now);
        if allowance == 0 {
            return None;
        }
        // Who takes a place keeps it for a window: further places are the same ones again.
        let rounds = u32::try_from((place - 1) / allowance).unwrap_or(u32::MAX);
        let place = (place - 1) % allowance + 1;
        let above = self.begun.total().saturating_sub(allowance);
        let after = self.begun.until_fewer(now, bounds.window, above + place);
        Some(after.unwrap_or_default() + bounds.window.saturating_mul(rounds))
    }
}
