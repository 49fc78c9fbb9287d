//! Exponential back-off with jitter.
//!
//! [`corktack_core::retry::Backoff`] differs: the caller passes the number of the attempt, the delay is
//! drawn in whole microseconds, and there is no reset. The back-off of this module counts the attempts
//! itself and draws a factor, so the same seed gives another sequence of delays.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Delays that double from `initial` to `max`. Each is drawn from the upper half of its range, so that
/// replicas that lost the same peer don't reconnect at the same time.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    initial: Duration,
    max: Duration,
    current: Duration,
    random: ChaCha8Rng,
}

impl Backoff {
    pub(crate) fn new(initial: Duration, max: Duration, seed: u64) -> Self {
        Self { initial, max, current: initial, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Returns the delay before the next attempt and doubles the one after it.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = self.current;
        self.current = (delay * 2).min(self.max);
        delay.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Starts over with the initial delay, after a success.
    pub(crate) fn reset(&mut self) {
        self.current = self.initial;
    }
}
