//! What is reported to the leader of one tenant at one gateway, and when.
//!
//! Asks for an allowance that is enough for what is likely to come, and gives back what is not used.
//! Owns the rules for how much is wanted and for what is worth a message. Relies on the counts of the last
//! window and on what was reported last.
//!
//! Inputs, all in operations in a window: what is held, begun, asked for and waits. Both sides cost
//! callers: what is not held costs the first caller a round trip to the leader, over regions; what is held
//! and not used is missing where it is needed, and after a loss of everything to all until a window has
//! passed.

use super::Account;
use crate::limits::bounds::LimitBounds;
use crate::time::Timestamp;
use std::time::Duration;

/// What is asked for beside the operations of the last window: a part of them, their square root, and one.
/// It has to last until the leader has answered, some 0.25 s after the count began to rise: at 2.5 times
/// the usual rate a window holds 0.08 of its operations more by then, and what arrives by chance in that
/// time differs by three deviations of a twentieth of a window. More would be held back from a new leader
/// that does not know who may have begun what. In the load test of the limits 0.011 % of the operations of
/// tenants below their limits were refused with this, and 0.027 % with three roots and one.
const HEADROOM_PART: f64 = 0.1;
/// Square roots of the operations of the last window beside that part; see [`HEADROOM_PART`].
const HEADROOM_ROOTS: f64 = 1.0;
/// Operations beside both; see [`HEADROOM_PART`].
const HEADROOM_LEAST: f64 = 1.0;
/// More is asked for once less than this part of the headroom is left; measured together with it. With a
/// higher part more messages are sent, with a lower one the answer comes after the headroom is used up.
const EARLY_PART: f64 = 0.5;
/// How long after the last operation a few are kept at hand for the next: without them it waits for the
/// leader, a round trip over regions. On the users' deployment with tenants the smaller half begin less
/// than one operation in 3 s in a zone. Chosen, not measured: with less time more first operations wait,
/// with more, more is held for tenants that are gone.
const ACTIVE_TIME: Duration = Duration::from_secs(60);
/// An allowance is lowered to what is wanted once that is less than this part of it. What is held and not
/// used is held back from all after a loss of everything: in the load test of the limits 0.26 of the callers
/// that came back after one began within 0.4 s with 0.85 here and 0.9 in the ceilings, and 0.39 with 0.95.
const KEPT_PART: f64 = 0.95;
/// The leader hears that less is needed once that is less than this part of what was reported: it
/// shares what there is by what all need. Chosen, not measured: with a higher part more messages are sent, with a
/// lower one the leader shares by needs that are over.
const NEEDED_LESS_PART: f64 = 0.8;

/// What a gateway reports to the leader of one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::limits) struct ReportedDemand {
    /// Operations that it may begin in a window, and those that it has begun in the last one.
    pub(in crate::limits) held: u64,
    /// Operations begun within the last window, and those that wait.
    pub(in crate::limits) needed: u64,
    /// Operations that it could use.
    pub(in crate::limits) wanted: u64,
}

impl Account {
    /// What is held and wanted, where the leader should hear of it; always where `renews`.
    pub(in crate::limits) fn report(
        &mut self,
        now: Timestamp,
        bounds: &LimitBounds,
        renews: bool,
    ) -> Option<ReportedDemand> {
        let requested = self.requested.count(now, bounds.window);
        let wanted = self.wanted(now, requested);
        self.give_back_surplus(now, wanted);
        let held = self.held(now, bounds);
        let waiting = self.delayed.max(self.queue.operations());
        let needed = self.begun.count(now, bounds.window) + waiting;
        let demand = ReportedDemand { held, needed, wanted };
        if !self.is_worth_reporting(demand, requested, renews) {
            return None;
        }
        self.reported = Some(demand);
        self.awaits_grant = true;
        self.delayed = 0;
        self.lowered = false;
        Some(demand)
    }

    /// Whether the leader should hear of this: something changed that it decides by, or everything is
    /// reported and there is something to say.
    fn is_worth_reporting(&self, demand: ReportedDemand, requested: u64, renews: bool) -> bool {
        let ReportedDemand { held, needed, wanted } = demand;
        let before = self.reported.unwrap_or_default();
        let is_known_nothing = held == 0 && wanted == 0 && before.held == 0;
        let needs_less = (needed as f64) < before.needed as f64 * NEEDED_LESS_PART;
        let has_delayed = self.delayed > 0;
        // Somebody has come, and nothing is held for what is asked first.
        let is_first = held == 0 && wanted > before.wanted;
        let is_news = before.held != held
            || needs_less
            || has_delayed
            || self.runs_short(requested, held)
            || is_first;
        !is_known_nothing && (renews || is_news)
    }

    /// Operations that could be used in a window.
    fn wanted(&self, now: Timestamp, requested: u64) -> u64 {
        if !self.is_active(now) {
            return 0;
        }
        (requested + headroom(requested).ceil() as u64).min(self.limit)
    }

    pub(super) fn is_active(&self, now: Timestamp) -> bool {
        self.active_at.is_some_and(|at| now.saturating_since(at) < ACTIVE_TIME)
    }

    /// Whether the allowance will not be enough for long.
    fn runs_short(&self, requested: u64, held: u64) -> bool {
        let soon = requested as f64 + headroom(requested) * EARLY_PART;
        requested > 0 && (soon.ceil() as u64).min(self.limit) > held
    }

    /// Lowers the allowance to what may be used of it now, before that is reported: it must not rise again
    /// with the limit in force here. What is much more than wanted is given back.
    fn give_back_surplus(&mut self, now: Timestamp, wanted: u64) {
        let allowed = self.allowed(now);
        let has_surplus = (wanted as f64) < allowed as f64 * KEPT_PART;
        self.allowance.lower(now, self.limit, if has_surplus { wanted } else { allowed });
    }

    /// Whether the leader should hear at once: an operation was delayed that it may allow, or a lower
    /// allowance was taken that others may wait for.
    pub(in crate::limits) fn is_urgent(&self, now: Timestamp) -> bool {
        let may_allow = self.delayed > 0 && !self.awaits_grant && now >= self.exhausted_until;
        may_allow || self.lowered
    }
}

/// Operations that are wanted beside those of the last window.
fn headroom(requested: u64) -> f64 {
    let requested = requested as f64;
    requested * HEADROOM_PART + requested.sqrt() * HEADROOM_ROOTS + HEADROOM_LEAST
}
