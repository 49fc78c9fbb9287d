//! Fallback connections of a gateway to a member whose holders don't answer, and the lifetime of
//! what the gateway observed through them.
//!
//! The module owns the ends of both periods and the number of fallback connections. The caller
//! supplies the time and the connections themselves.

use super::member_pauses::ClockInstant;
use std::time::Duration;

/// Connections that a gateway opens to a member without holding a share of it. With fewer, all
/// statements for the member queue behind one; more take connections that the member's holders
/// count as theirs when they are back.
pub const FALLBACK_CONNECTIONS: usize = 2;
/// How long fallback connections stay open; by then the view names other holders or the old ones
/// are back. With a shorter time, silent holders are asked again while they are still gone; with a
/// longer one, the connections occupy the member beside the holders' shares.
const FALLBACK_DURATION: Duration = Duration::from_secs(2);
/// How long a gateway's observations of a member stay valid after it has no connections of its own.
/// The time outlasts the longest pause between two attempts to connect plus the requests to holders
/// before the next fallback. With a shorter time, the report that a primary is gone is withdrawn
/// between two fallbacks and the control service starts its suspicion period anew; with a longer
/// one, a recovered primary stays suspected for longer.
const OBSERVATION_RETENTION: Duration = Duration::from_secs(4);

/// The period in which a gateway has fallback connections to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FallbackPeriod<I> {
    until: Option<I>,
}

impl<I> Default for FallbackPeriod<I> {
    fn default() -> Self {
        Self { until: None }
    }
}

impl<I: ClockInstant> FallbackPeriod<I> {
    /// Starts the period.
    pub fn begin(&mut self, now: I) {
        self.until = Some(now + FALLBACK_DURATION);
    }

    /// Ends the period if its time has passed. Returns whether it ended with this call.
    pub fn end_if_over(&mut self, now: I) -> bool {
        let is_over = self.until.is_some_and(|until| now >= until);
        if is_over {
            self.until = None;
        }
        is_over
    }

    /// Ends the period early, because the gateway was given a share or lost one.
    pub fn cancel(&mut self) {
        self.until = None;
    }
}

/// The period in which a gateway's observations of a member are valid. Without connections of its
/// own the gateway would never notice that the member is back, so the observations expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservationPeriod<I> {
    unconnected_since: Option<I>,
}

impl<I> Default for ObservationPeriod<I> {
    fn default() -> Self {
        Self { unconnected_since: None }
    }
}

impl<I: ClockInstant> ObservationPeriod<I> {
    /// Records whether the gateway may have connections to the member now. Returns whether it has
    /// been without them for so long that its observations must be discarded.
    pub fn update_and_check_expired(&mut self, now: I, holds_connections: bool) -> bool {
        if holds_connections {
            self.unconnected_since = None;
            return false;
        }
        now - *self.unconnected_since.get_or_insert(now) >= OBSERVATION_RETENTION
    }
}
