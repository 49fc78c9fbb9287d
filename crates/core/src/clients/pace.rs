//! Paces the bytes that a process takes from its clients.

use crate::time::Timestamp;
use std::time::Duration;

/// Time in which bytes may come faster than the pace.
const BURST: Duration = Duration::from_millis(250);

/// Paces bytes to a rate, in the order in which they come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BytePace {
    bytes_per_second: usize,
    /// Time at which all bytes so far have come at the rate.
    on_pace_at: Timestamp,
}

impl BytePace {
    /// Returns a pace by which no bytes have come yet.
    #[must_use]
    pub const fn new(bytes_per_second: usize) -> Self {
        Self { bytes_per_second, on_pace_at: Timestamp::ZERO }
    }

    /// Counts bytes that have come now; returns how long to wait before more are taken from the same client.
    pub fn record(&mut self, bytes: usize, now: Timestamp) -> Duration {
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        self.on_pace_at = self.on_pace_at.max(now) + duration;
        self.on_pace_at.saturating_since(now).saturating_sub(BURST)
    }
}
