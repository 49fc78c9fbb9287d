//! Bounds how many requests are sent again, and when.

use rand::Rng;
use std::time::Duration;

/// Share of a retry that each request earns: retries are at most a fifth of requests.
const EARNED_PER_REQUEST: f64 = 0.2;
/// Retries that may be saved up.
const BUDGET_LIMIT: f64 = 50.0;
/// Bound of the wait before a request is sent again for the first time.
const FIRST_BACKOFF: Duration = Duration::from_millis(10);
/// Largest bound of the wait.
const LAST_BACKOFF: Duration = Duration::from_millis(500);
/// Doublings after which the wait no longer grows.
const BACKOFF_DOUBLINGS: u32 = 6;

/// Token bucket of retries.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: BUDGET_LIMIT }
    }
}

impl RetryBudget {
    /// Counts a request: it earns a part of a retry.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_REQUEST).min(BUDGET_LIMIT);
    }

    /// Takes a retry out of the budget, if it has one.
    pub fn spend(&mut self) -> bool {
        let affordable = self.tokens >= 1.0;
        if affordable {
            self.tokens -= 1.0;
        }
        affordable
    }
}

/// A wait drawn at random below a bound that doubles with each attempt.
pub fn backoff(attempt: u32, random: &mut impl Rng) -> Duration {
    let doubled = FIRST_BACKOFF * 2_u32.pow(attempt.min(BACKOFF_DOUBLINGS));
    let bound = doubled.min(LAST_BACKOFF);
    bound.mul_f64(random.random_range(0.5..=1.0))
}
