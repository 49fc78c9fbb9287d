//! How long an answer is worth waiting for, by the round trips seen so far.
//!
//! Owns a smoothed round trip and its variation, as TCP does for its retransmissions. Used for other gateways,
//! one for each distance ([`super::PeerTable`]).

use std::time::Duration;

/// Weights of the newest sample in the smoothed time and in its variation, and how many variations
/// are allowed for: those of RFC 6298, for the retransmission timer of TCP.
const SMOOTHING: f64 = 1.0 / 8.0;
/// See [`SMOOTHING`].
const VARIATION_SMOOTHING: f64 = 1.0 / 4.0;
/// See [`SMOOTHING`].
const VARIATIONS: u32 = 4;
/// The limit before the first sample: two round trips between regions of the users' deployments (42 ms each).
const FIRST_LIMIT: Duration = Duration::from_millis(100);
/// Shortest limit: a busy machine may be late by some timer ticks. Chosen, not measured: with less, gateways at
/// work count as silent.
const SHORTEST_LIMIT: Duration = Duration::from_millis(30);
/// Longest limit: after so long another machine is the better choice. Chosen, not measured.
const LONGEST_LIMIT: Duration = Duration::from_millis(200);

/// Smoothed round trip and its variation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoundTrip {
    smoothed: Option<Duration>,
    variation: Duration,
}

impl RoundTrip {
    /// A round trip took so long.
    pub fn note(&mut self, taken: Duration) {
        let Some(smoothed) = self.smoothed else {
            self.smoothed = Some(taken);
            self.variation = taken / 2;
            return;
        };
        let mix = |old: Duration, new: Duration, weight: f64| {
            old.mul_f64(1.0 - weight) + new.mul_f64(weight)
        };
        self.variation = mix(self.variation, smoothed.abs_diff(taken), VARIATION_SMOOTHING);
        self.smoothed = Some(mix(smoothed, taken, SMOOTHING));
    }

    /// Time after which an answer is not to be expected any more.
    #[must_use]
    pub fn limit(&self) -> Duration {
        let Some(smoothed) = self.smoothed else { return FIRST_LIMIT };
        let limit = smoothed + self.variation * VARIATIONS;
        limit.clamp(SHORTEST_LIMIT, LONGEST_LIMIT)
    }
}
