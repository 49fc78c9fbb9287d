//! Load of a member as observed from statements, and the limit of statements in flight that follows from it.
//!
//! The choice among members uses the estimate; other gateways and operators get it reported. The pool counts
//! the statements in flight.

use super::Member;
use crate::wire::Wire;
use corktack_core::gateway::{InFlightLimit, MemberEstimate, MemberLoad, ReportedLoad};
use corktack_core::time::Timestamp;
use corktack_protocol::tunnel::MemberLoadReport;
use std::time::Duration;
use tokio::time::Instant;

/// Served fraction of the statements sent to a member lately below which the member counts as unserving in
/// the metrics; the metric's help text names this half. A higher value reports every member with a burst of
/// refusals; a lower one only members that are almost gone.
const UNSERVING_THRESHOLD: f64 = 0.5;

/// Load limit and load estimate of a member, from the statements that it served and refused.
#[derive(Debug)]
pub(super) struct ObservedLoad {
    pub(super) flight_limit: InFlightLimit,
    pub(super) estimate: MemberEstimate,
}

impl<W: Wire> Member<W> {
    /// Returns how many statements this gateway may have in flight at the member.
    pub(crate) fn slots(&self) -> usize {
        self.pool.limit().min(self.observed.flight_limit.current())
    }

    /// Returns the load that one more statement is expected to meet at the member.
    pub(crate) fn load(&self, now: Timestamp) -> MemberLoad {
        // A gateway without connections runs few statements there compared with the holders, so that it
        // counts the whole capacity.
        let sharing_gateways =
            if self.holds_connections() { self.share.holder_count.max(1) } else { 1 };
        let capacity_share = f64::from(self.back_end.capacity) / sharing_gateways as f64;
        let running = self.pool.in_flight() + self.remote_in_use;
        self.observed.estimate.load(running, capacity_share, now)
    }

    /// Reports whether the member served less than half of the statements sent to it lately.
    pub(crate) fn is_unserving(&self, now: Timestamp) -> bool {
        self.load(now).served < UNSERVING_THRESHOLD
    }

    /// Returns the member's load as reported to another gateway.
    pub(crate) fn load_report(&self, spent: Duration, waiting: usize) -> MemberLoadReport {
        let percent = waiting * 100 / self.back_end.capacity.max(1) as usize;
        MemberLoadReport {
            spent,
            latency: self.observed.estimate.latency(),
            waiting_percent: u32::try_from(percent).unwrap_or(u32::MAX),
        }
    }

    /// Records the load that another gateway reported with a statement's result, `taken` after the statement
    /// was sent to that gateway.
    pub(crate) fn record_reported_load(
        &mut self,
        report: &MemberLoadReport,
        elapsed: Duration,
        now: Timestamp,
    ) {
        let MemberLoadReport { spent, latency, waiting_percent } = *report;
        let waiting = f64::from(waiting_percent) / 100.0;
        let reported = ReportedLoad { spent, latency, waiting };
        self.observed.estimate.record_reported(&reported, elapsed, now);
    }

    /// Records that the member served a statement of this gateway through another gateway.
    pub(crate) fn record_served_remotely(&mut self, now: Timestamp) {
        self.observed.estimate.record_served_remotely(now);
    }

    /// Records that the member ran a statement of this gateway in `taken`.
    pub(crate) fn record_served(&mut self, elapsed: Duration, now: Timestamp) {
        self.observed.flight_limit.record_served();
        self.observed.estimate.record_served(elapsed, now);
    }

    /// Records that the member gave no answer, or failed a read.
    pub(crate) fn record_failed(&mut self, now: Timestamp) {
        self.observed.estimate.record_unserved(now);
    }

    /// Records that the member had not yet applied the position that a read had to see.
    pub(crate) fn record_lagging(&mut self, steady: Timestamp, now: Instant) {
        self.observed.estimate.record_unserved(steady);
        self.pauses.record_lagging(now);
    }

    /// Records that the member had no room for a statement of this gateway.
    pub(crate) fn record_refused(&mut self, steady: Timestamp, now: Instant) {
        self.observed.flight_limit.record_refusal(steady);
        self.record_unserved(steady, now);
    }

    /// Records that the member did not serve a statement; other members are preferred strongly for a moment,
    /// and less strongly for longer.
    pub(crate) fn record_unserved(&mut self, steady: Timestamp, now: Instant) {
        self.observed.estimate.record_unserved(steady);
        self.pauses.record_busy(now);
    }
}
