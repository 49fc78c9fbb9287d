//! Demand of one tenant at one gateway: what is reported to the leader, and when.
//!
//! Asks for an allowance that suffices for the operations that are likely to come, and gives back what
//! is not used. Defines how much is wanted and which changes are worth a message, from the counts of
//! the last window and from the last report.
//!
//! Inputs, all in operations in a window: what is held, begun, requested and waiting. Too low and too
//! high a demand both cost callers: an operation for which nothing is held waits a round trip to the
//! leader, across regions; an allowance that is held and not used is missing where it is needed, and
//! after a loss of all processes it is withheld from everyone until a window has passed.

use super::Account;
use crate::limits::bounds::LimitBounds;
use crate::time::Timestamp;
use std::time::Duration;

/// Headroom that is asked for in addition to the operations of the last window: this fraction of them,
/// their square root, and one.
///
/// The headroom has to last until the leader has answered, about 0.25 s after the count began to rise.
/// At 2.5 times the usual rate a window holds 0.08 of its operations more by then, and the number of
/// random arrivals in that time, 1/20 of a window, varies by up to three standard deviations. More
/// headroom would be withheld by a new leader that doesn't know which operations may have begun. In the
/// load test of the limits 0.011 % of the operations of tenants below their limits are refused with
/// this headroom, and 0.027 % with three square roots and one.
const HEADROOM_FRACTION: f64 = 0.1;
/// Factor of the square root of the last window's operations; see [`HEADROOM_FRACTION`].
const HEADROOM_SQRT_FACTOR: f64 = 1.0;
/// Operations in addition to both; see [`HEADROOM_FRACTION`].
const HEADROOM_MINIMUM: f64 = 1.0;
/// More is asked for once less than this fraction of the headroom is left. A higher fraction sends more
/// messages; with a lower one the answer arrives after the headroom is used up.
const LOW_HEADROOM_FRACTION: f64 = 0.5;
/// Time after the last operation for which an allowance of a few operations is kept: without it the
/// next operation waits for the leader, a round trip across regions. On the users' deployment with
/// tenants, the smaller half of the tenants begin less than one operation in 3 s in a zone. With less
/// time more first operations wait; with more, allowances are held for tenants that are gone.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// An allowance is lowered to what is wanted once that is less than this fraction of it. An allowance
/// that is held and not used is withheld from everyone after a loss of all processes: in the load test
/// of the limits 0.26 of the callers that retried after one began within 0.4 s with 0.85 here and 0.9
/// for ceilings, and 0.39 with 0.95.
const KEPT_FRACTION: f64 = 0.95;
/// A lower need is reported once it is less than this fraction of the reported one, as the leader
/// shares the limit by what all gateways need. A higher fraction sends more messages; with a lower one
/// the leader shares by outdated needs.
const NEED_DECREASE_FRACTION: f64 = 0.8;

/// Demand of one tenant that a gateway reports to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::limits) struct ReportedDemand {
    /// Operations that the gateway may begin in a window, or has begun in the last one if that is more.
    pub(in crate::limits) held: u64,
    /// Operations begun within the last window, and those that wait.
    pub(in crate::limits) needed: u64,
    /// Operations that the gateway could use in a window.
    pub(in crate::limits) wanted: u64,
}

impl Account {
    /// Returns the demand if it should be reported now; with `is_renewal`, also if it has not changed.
    pub(in crate::limits) fn report(
        &mut self,
        now: Timestamp,
        bounds: &LimitBounds,
        is_renewal: bool,
    ) -> Option<ReportedDemand> {
        let requested = self.requested.count(now, bounds.window);
        let wanted = self.wanted(now, requested);
        self.give_back_surplus(now, wanted);
        let held = self.held(now, bounds);
        let waiting = self.delayed.max(self.queue.operations());
        let needed = self.begun.count(now, bounds.window) + waiting;
        let demand = ReportedDemand { held, needed, wanted };
        if !self.should_report(demand, requested, is_renewal) {
            return None;
        }
        self.last_reported = Some(demand);
        self.awaits_grant = true;
        self.delayed = 0;
        self.reduction_unreported = false;
        Some(demand)
    }

    /// Reports whether a demand should be reported: something changed that the leader decides by, or a
    /// full report is due and there is something to report.
    fn should_report(&self, demand: ReportedDemand, requested: u64, is_renewal: bool) -> bool {
        let ReportedDemand { held, needed, wanted } = demand;
        let previous = self.last_reported.unwrap_or_default();
        let has_nothing_to_report = held == 0 && wanted == 0 && previous.held == 0;
        let needs_less = (needed as f64) < previous.needed as f64 * NEED_DECREASE_FRACTION;
        let has_delayed = self.delayed > 0;
        // A caller has come, and no allowance is held for its first operation.
        let is_first = held == 0 && wanted > previous.wanted;
        let has_changed = previous.held != held
            || needs_less
            || has_delayed
            || self.is_running_short(requested, held)
            || is_first;
        !has_nothing_to_report && (is_renewal || has_changed)
    }

    /// Returns the operations that could be used in a window.
    fn wanted(&self, now: Timestamp, requested: u64) -> u64 {
        if !self.is_active(now) {
            return 0;
        }
        (requested + headroom(requested).ceil() as u64).min(self.limit)
    }

    pub(super) fn is_active(&self, now: Timestamp) -> bool {
        self.last_active_at.is_some_and(|active_at| now.saturating_since(active_at) < IDLE_TIMEOUT)
    }

    /// Reports whether the allowance will soon be insufficient.
    fn is_running_short(&self, requested: u64, held: u64) -> bool {
        let expected = requested as f64 + headroom(requested) * LOW_HEADROOM_FRACTION;
        requested > 0 && (expected.ceil() as u64).min(self.limit) > held
    }

    /// Lowers the allowance to what may be used of it now, before that is reported: the allowance must
    /// not rise again when the limit in force here does. Where much more is held than wanted, the
    /// surplus is given back.
    fn give_back_surplus(&mut self, now: Timestamp, wanted: u64) {
        let allowed = self.allowed(now);
        let has_surplus = (wanted as f64) < allowed as f64 * KEPT_FRACTION;
        self.allowance.lower(now, self.limit, if has_surplus { wanted } else { allowed });
    }

    /// Reports whether the leader should be sent a report at once: an operation was delayed that the
    /// leader may allow, or the allowance was lowered and others may wait for the difference.
    pub(in crate::limits) fn is_urgent(&self, now: Timestamp) -> bool {
        let may_allow = self.delayed > 0 && !self.awaits_grant && now >= self.exhausted_until;
        may_allow || self.reduction_unreported
    }
}

/// Returns the operations that are wanted in addition to those of the last window.
fn headroom(requested: u64) -> f64 {
    let requested = requested as f64;
    requested * HEADROOM_FRACTION + requested.sqrt() * HEADROOM_SQRT_FACTOR + HEADROOM_MINIMUM
}
