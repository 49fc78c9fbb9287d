//! What a tenant's rate means in one window, and how long allowances and counts last.
//!
//! One place for the spans that gateways and the leader must agree on. Owns their defaults. Relies on
//! the deployment for the window and its room.

use crate::tenancy::TenantRate;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Window where the deployment names none: 5 s, that of the users' deployment with tenants.
const DEFAULT_WINDOW: Duration = Duration::from_secs(5);
/// Shortest window that is counted exactly enough: it is kept in fiftieths, 10 ms here. Chosen, not
/// measured.
const SHORTEST_WINDOW: Duration = Duration::from_millis(500);

/// How long an allowance may be used after its gateway asked for it. Regions lose each other for
/// minutes (the aim): a gateway that is cut off serves on for as long. What one that is gone for good
/// held is kept from others meanwhile, which matters only near the limit. Chosen from that aim, not measured:
/// a shorter life ends service where regions stay apart, a longer one holds back longer.
const ALLOWANCE_LIFE: Duration = Duration::from_secs(300);
/// Part by which the leader counts spans longer on its own clock than gateways do: far more than quartz
/// clocks differ (simulated at 0.5 %). A higher part holds back longer what processes that are gone may have
/// begun.
const CLOCK_SLACK: f64 = 0.02;

/// By what the limits of tenants are kept, the same on all machines of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitBounds {
    /// Span in which operations are counted, wherever it falls.
    pub window: Duration,
    /// Part of the limit by which it may be exceeded.
    pub overshoot: f64,
    /// Operations by which it may be exceeded beside that.
    pub slack: f64,
    /// How long an allowance may be used after its gateway asked for it.
    pub allowance_life: Duration,
}

impl Default for LimitBounds {
    fn default() -> Self {
        Self { window: DEFAULT_WINDOW, overshoot: 0.0, slack: 0.0, allowance_life: ALLOWANCE_LIFE }
    }
}

impl LimitBounds {
    /// The bounds with a window that can be counted and room that is not negative.
    #[must_use]
    pub fn checked(self) -> Self {
        Self {
            window: self.window.max(SHORTEST_WINDOW),
            overshoot: self.overshoot.max(0.0),
            slack: self.slack.max(0.0),
            ..self
        }
    }

    /// How long what began counts, on the leader's clock.
    pub(super) fn counted(&self) -> Duration {
        self.window.mul_f64(1.0 + CLOCK_SLACK)
    }

    /// The part of a span reported by a gateway that has surely passed on the leader's clock.
    pub(super) fn at_least(&self, reported: Duration) -> Duration {
        reported.mul_f64(1.0 - CLOCK_SLACK)
    }

    /// After how long without a report an allowance has surely ended, on the leader's clock.
    pub(super) fn longest_life(&self) -> Duration {
        self.allowance_life.mul_f64(1.0 + CLOCK_SLACK)
    }

    /// Operations that a tenant may begin in any window: all that the limit allows, with all the room
    /// there is, so that what lies below the limit need not be refused while allowances move.
    #[must_use]
    pub fn window_limit(&self, rate: TenantRate) -> u64 {
        let allowed = rate.per_second * self.window.as_secs_f64() + rate.burst;
        // Rates that were checked are finite and not negative.
        (allowed * (1.0 + self.overshoot) + self.slack).floor() as u64
    }
}
