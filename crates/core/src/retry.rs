//! Retry budget and back-off.
//!
//! [`RetryBudget`] decides whether a failed attempt may be repeated, and [`Backoff`] after which
//! delay. They own the tokens of one group's budget and the random source of its delays. The caller
//! counts first attempts and decides which failures may be repeated at all.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Thousandths of a token that a first attempt earns, which allows one retry for every five
/// requests. With a larger share, a failing back end gets more repeated requests; with a smaller
/// one, callers see failures that a retry would avoid.
const TOKENS_PER_REQUEST: u32 = 200;
/// Thousandths of a token that one retry costs.
const TOKENS_PER_RETRY: u32 = 1_000;
/// Capacity of the bucket in thousandths of a token, enough for 50 retries in a burst. The capacity
/// has to cover the statements in flight at a member that is lost.
const BUCKET_CAPACITY: u32 = 50_000;
/// Bound of the first delay. With a shorter delay, a retry meets the same state; a longer one costs
/// callers time.
const BASE_BACKOFF: Duration = Duration::from_millis(2);
/// Longest delay. With a longer one, a caller's time is over before a further attempt.
const LONGEST_BACKOFF: Duration = Duration::from_millis(100);

/// Token bucket that limits retries to a share of the requests, so that a failing back end is not
/// overloaded by repeated requests.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: BUCKET_CAPACITY }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(BUCKET_CAPACITY);
    }

    /// Takes the tokens for one retry. Returns false if the budget is used up.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        let Some(remaining) = self.tokens.checked_sub(TOKENS_PER_RETRY) else {
            return false;
        };
        self.tokens = remaining;
        true
    }
}

/// Exponential back-off with random jitter from a seeded source.
#[derive(Debug)]
pub struct Backoff {
    random: ChaCha8Rng,
    base: Duration,
    longest: Duration,
}

impl Backoff {
    /// Creates a source of delays that depend only on the seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self::between(seed, BASE_BACKOFF, LONGEST_BACKOFF)
    }

    /// Creates a source of delays with the given bounds for the first and the longest delay.
    #[must_use]
    pub fn between(seed: u64, base: Duration, longest: Duration) -> Self {
        Self { random: ChaCha8Rng::seed_from_u64(seed), base, longest }
    }

    /// Returns the delay before a retry, between half of the bound and the bound. `attempt` is 0
    /// for the first retry.
    pub fn delay(&mut self, attempt: u32) -> Duration {
        let factor = 1_u32.checked_shl(attempt.min(16)).unwrap_or(u32::MAX);
        let ceiling = self.base.saturating_mul(factor).min(self.longest);
        let micros = ceiling.as_micros() as u64;
        Duration::from_micros(self.random.random_range(micros / 2..=micros))
    }
}
