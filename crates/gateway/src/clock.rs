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
        Timestamp::ZERO + self.origin.elapsed()
    }
}
