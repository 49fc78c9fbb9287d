//! Window limits, and the times for which allowances and counts last.
//!
//! Defines in one place the durations that gateways and the leader must agree on, and their defaults.
//! The deployment sets the window and the tolerance above the limit.

use crate::tenancy::TenantRate;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Window where the deployment sets none: 5 s, as in the users' deployment with tenants.
const DEFAULT_WINDOW: Duration = Duration::from_secs(5);
/// Shortest window that can be counted exactly enough: the counter divides it into 50 slots, which are
/// 10 ms each here.
const MIN_WINDOW: Duration = Duration::from_millis(500);

/// How long an allowance may be used after its gateway asked for it. Regions can be cut off from each
/// other for minutes, and a gateway that is cut off should serve on for as long; a shorter life ends
/// service there. The allowance of a gateway that is gone for good is withheld from the others
/// meanwhile, which matters only near the limit; a longer life withholds it longer.
const DEFAULT_ALLOWANCE_LIFE: Duration = Duration::from_secs(300);
/// Fraction by which the leader extends durations on its own clock over those that gateways count: far
/// more than quartz clocks differ (simulated at 0.5 %). A higher fraction withholds for longer what
/// terminated processes may have begun.
const CLOCK_SLACK: f64 = 0.02;

/// Parameters by which the limits of tenants are enforced, the same on all machines of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitBounds {
    /// Sliding span of time in which operations are counted.
    pub window: Duration,
    /// Fraction of the limit by which it may be exceeded.
    pub overshoot: f64,
    /// Operations by which the limit may be exceeded in addition to [`Self::overshoot`].
    pub slack: f64,
    /// How long an allowance may be used after its gateway asked for it.
    pub allowance_life: Duration,
}

impl Default for LimitBounds {
    fn default() -> Self {
        Self {
            window: DEFAULT_WINDOW,
            overshoot: 0.0,
            slack: 0.0,
            allowance_life: DEFAULT_ALLOWANCE_LIFE,
        }
    }
}

impl LimitBounds {
    /// Returns the bounds with a window that can be counted exactly enough, and with tolerances that
    /// are not negative.
    #[must_use]
    pub fn clamped(self) -> Self {
        Self {
            window: self.window.max(MIN_WINDOW),
            overshoot: self.overshoot.max(0.0),
            slack: self.slack.max(0.0),
            ..self
        }
    }

    /// Returns how long a begun operation counts, on the leader's clock.
    pub(super) fn counting_time(&self) -> Duration {
        self.window.mul_f64(1.0 + CLOCK_SLACK)
    }

    /// Returns the time that has certainly passed on the leader's clock for a duration that a gateway
    /// reported.
    pub(super) fn minimum_elapsed(&self, reported: Duration) -> Duration {
        reported.mul_f64(1.0 - CLOCK_SLACK)
    }

    /// Returns the time without a report after which an allowance has certainly expired, on the
    /// leader's clock.
    pub(super) fn maximum_allowance_life(&self) -> Duration {
        self.allowance_life.mul_f64(1.0 + CLOCK_SLACK)
    }

    /// Returns the operations that a tenant may begin in any window. The full tolerance is added to the
    /// limit, so that operations below the limit needn't be refused while allowances move between
    /// gateways.
    #[must_use]
    pub fn window_limit(&self, rate: TenantRate) -> u64 {
        let allowed = rate.per_second * self.window.as_secs_f64() + rate.burst;
        // The cast is safe: checked rates are finite and not negative.
        (allowed * (1.0 + self.overshoot) + self.slack).floor() as u64
    }
}
