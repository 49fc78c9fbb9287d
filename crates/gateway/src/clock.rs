//! The steady clock of a gateway.
//!
//! It is for the decisions of the core, which take times as numbers. It owns the origin. It relies on the
//! runtime's clock.

use corktack_core::gateway::POSITION_RETENTION;
use corktack_core::time::Timestamp;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the clock's origin to the start of the gateway. What other gateways found out before
/// the start has its time as well; what is older than positions are kept is not reported.
const BEFORE_START: Duration = POSITION_RETENTION;

/// The steady time of a gateway, from some time before its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SteadyClock {
    started: Instant,
}

impl SteadyClock {
    pub(crate) fn start() -> Self {
        Self { started: Instant::now() }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.at(Instant::now())
    }

    /// The steady time of an instant.
    pub(crate) fn at(&self, instant: Instant) -> Timestamp {
        Timestamp::ZERO + BEFORE_START + instant.saturating_duration_since(self.started)
    }
}
