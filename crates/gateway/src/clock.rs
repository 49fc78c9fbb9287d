//! Steady clock of a gateway: converts the runtime's instants to the timestamps that the core's decisions
//! use.

use corktack_core::gateway::POSITION_RETENTION;
use corktack_core::time::Timestamp;
use std::time::Duration;
use tokio::time::Instant;

/// Time from the clock's origin to the start of the gateway. Positions that other gateways observed before
/// this gateway's start need timestamps too; positions older than the retention aren't reported.
const BEFORE_START: Duration = POSITION_RETENTION;

/// Clock that starts [`BEFORE_START`] before the gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SteadyClock {
    started_at: Instant,
}

impl SteadyClock {
    pub(crate) fn start() -> Self {
        Self { started_at: Instant::now() }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.timestamp_of(Instant::now())
    }

    /// Converts an instant to a timestamp.
    pub(crate) fn timestamp_of(&self, instant: Instant) -> Timestamp {
        Timestamp::ZERO + BEFORE_START + instant.saturating_duration_since(self.started_at)
    }
}
