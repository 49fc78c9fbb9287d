//! Timeout for an answer, derived from the round trips seen so far.
//!
//! [`RoundTrip`] owns a smoothed round trip and its variation, computed as for TCP's retransmission
//! timeout. [`super::PeerTable`] keeps one for each distance to other gateways.

use std::time::Duration;

/// Weight of the newest sample in the smoothed round trip, from RFC 6298 (TCP's retransmission
/// timer).
const SMOOTHING: f64 = 1.0 / 8.0;
/// Weight of the newest sample in the variation, from RFC 6298.
const VARIATION_SMOOTHING: f64 = 1.0 / 4.0;
/// Number of variations that the limit adds to the smoothed round trip, from RFC 6298.
const VARIATION_FACTOR: u32 = 4;
/// Limit before the first sample: somewhat more than two round trips between regions (42 ms each).
const FIRST_LIMIT: Duration = Duration::from_millis(100);
/// Shortest limit: a busy machine may be late by some timer ticks. With a shorter limit, working
/// gateways count as silent.
const SHORTEST_LIMIT: Duration = Duration::from_millis(30);
/// Longest limit. Sending the request to another machine is better than waiting longer.
const LONGEST_LIMIT: Duration = Duration::from_millis(200);

/// Smoothed round trip and its variation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoundTrip {
    smoothed: Option<Duration>,
    variation: Duration,
}

impl RoundTrip {
    /// Records a round trip that took `taken`.
    pub fn record(&mut self, taken: Duration) {
        let Some(smoothed) = self.smoothed else {
            self.smoothed = Some(taken);
            self.variation = taken / 2;
            return;
        };
        let weighted_mean = |old: Duration, new: Duration, weight: f64| {
            old.mul_f64(1.0 - weight) + new.mul_f64(weight)
        };
        self.variation =
            weighted_mean(self.variation, smoothed.abs_diff(taken), VARIATION_SMOOTHING);
        self.smoothed = Some(weighted_mean(smoothed, taken, SMOOTHING));
    }

    /// Returns the time after which an answer is no longer to be expected.
    #[must_use]
    pub fn limit(&self) -> Duration {
        let Some(smoothed) = self.smoothed else { return FIRST_LIMIT };
        let limit = smoothed + self.variation * VARIATION_FACTOR;
        limit.clamp(SHORTEST_LIMIT, LONGEST_LIMIT)
    }
}
