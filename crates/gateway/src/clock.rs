//! The steady clock of a gateway.

use corktack_core::time::Timestamp;
use tokio::time::Instant;

/// The steady time since the start of the gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SteadyClock {
    origin: Instant,
}

impl SteadyClock {
    pub(crate) fn start() -> Self {
        Self { origin: Instant::now() }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.at(Instant::now())
    }

    /// The steady time of an instant.
    pub(crate) fn at(&self, instant: Instant) -> Timestamp {
        Timestamp::ZERO + instant.saturating_duration_since(self.origin)
    }
}
