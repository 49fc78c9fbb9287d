//! The monotonic clock that the core's timestamps are read from.
//!
//! Owns the origin. All parts of a replica share one clock, so that their timestamps compare.

use corktack_core::time::Timestamp;
use std::time::Instant;

/// A monotonic clock whose origin is its own start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The time since the start.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let micros = self.origin.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
