//! The monotonic clock behind the core's timestamps.
//!
//! All parts of a replica share one clock, so that their timestamps can be compared.

use corktack_core::time::Timestamp;
use std::time::Instant;

/// A monotonic clock whose timestamps count from its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at timestamp 0.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the start, in microseconds.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let micros = self.origin.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
