//! Growing, jittered delays between attempts.
//!
//! [`corktack_core::retry::Backoff`] differs: it takes the number of the attempt, draws whole microseconds
//! and never starts over; this one counts by itself and draws a factor, so that the same seed gives
//! another sequence.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Delays that double from the first to the last, each drawn from its upper half
/// so that replicas which lost the same peer do not return in step.
#[derive(Clone, Debug)]
pub(crate) struct Backoff {
    first: Duration,
    last: Duration,
    current: Duration,
    random: ChaCha8Rng,
}

impl Backoff {
    pub(crate) fn new(first: Duration, last: Duration, seed: u64) -> Self {
        Self { first, last, current: first, random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// The delay before the next attempt.
    pub(crate) fn next(&mut self) -> Duration {
        let delay = self.current;
        self.current = (delay * 2).min(self.last);
        delay.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Starts over after a success.
    pub(crate) fn reset(&mut self) {
        self.current = self.first;
    }
}
