//! Retry budget and backoff.
//!
//! Decides whether a failed attempt may be repeated, and after how long. Owns the tokens of one group's budget and
//! the random source of its delays. Relies on the caller to count first attempts and to say which failures may be
//! repeated at all.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Thousandths of a token that a first attempt earns: one retry per five requests. Chosen, not measured: with
/// more, a failing back end is sent more repeats; with less, callers see failures that a retry would mend.
const EARNED_PER_REQUEST: u32 = 200;
/// Thousandths of a token that one retry costs.
const COST_OF_RETRY: u32 = 1_000;
/// Largest number of retries in a burst, in thousandths of a token: 50. Chosen, not measured: it has to cover
/// the statements under way at a member that is lost.
const BURST: u32 = 50_000;
/// First backoff. Chosen, not measured: with less, a retry meets the same state; with more, it costs callers time.
const BASE_BACKOFF: Duration = Duration::from_millis(2);
/// Longest backoff. Chosen, not measured: with more, a caller's time is over before a further attempt.
const LONGEST_BACKOFF: Duration = Duration::from_millis(100);

/// Token bucket that keeps retries a bounded share of requests, so that a
/// failing back end is not drowned in repeats.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: BURST }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn request(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_REQUEST).min(BURST);
    }

    /// Takes the price of one retry; false when the budget is used up.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        let Some(rest) = self.tokens.checked_sub(COST_OF_RETRY) else {
            return false;
        };
        self.tokens = rest;
        true
    }
}

/// Exponential backoff with full jitter from a seeded source.
#[derive(Debug)]
pub struct Backoff {
    random: ChaCha8Rng,
    base: Duration,
    longest: Duration,
}

impl Backoff {
    /// A source of delays that depends only on the seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self::between(seed, BASE_BACKOFF, LONGEST_BACKOFF)
    }

    /// The same with bounds of the caller's own: those of the first and of the longest delay.
    #[must_use]
    pub fn between(seed: u64, base: Duration, longest: Duration) -> Self {
        Self { random: ChaCha8Rng::seed_from_u64(seed), base, longest }
    }

    /// Delay before the retry with this number, the first being 0.
    pub fn delay(&mut self, attempt: u32) -> Duration {
        let factor = 1_u32.checked_shl(attempt.min(16)).unwrap_or(u32::MAX);
        let ceiling = self.base.saturating_mul(factor).min(self.longest);
        let micros = ceiling.as_micros() as u64;
        Duration::from_micros(self.random.random_range(micros / 2..=micros))
    }
}
