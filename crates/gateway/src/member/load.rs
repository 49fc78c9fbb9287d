//! What statements at a member have shown of its load, and what may be sent to it because of that.
//!
//! It is for the choice of members by load, and for what other gateways and operators are told of it. It
//! owns the member's estimate and the limit of statements under way. It relies on the pool for what is
//! under way now.

use super::Member;
use crate::wire::Wire;
use corktack_core::gateway::{FlightLimit, MemberEstimate, MemberLoad, ReportedLoad};
use corktack_core::time::Timestamp;
use corktack_protocol::tunnel::MemberLoadReport;
use std::time::Duration;
use tokio::time::Instant;

/// Part of what was sent to a member lately below which operators are told that it does not serve: the
/// half that the metric's help names. Chosen, not measured: higher tells of every member with a burst of
/// refusals, lower only of those that are as good as gone.
const UNSERVING: f64 = 0.5;

/// What statements at a member have shown.
#[derive(Debug)]
pub(super) struct ObservedLoad {
    pub(super) flight_limit: FlightLimit,
    pub(super) estimate: MemberEstimate,
}

impl<W: Wire> Member<W> {
    /// Statements that this gateway may have under way there.
    pub(crate) fn slots(&self) -> usize {
        self.pool.limit().min(self.observed.flight_limit.current())
    }

    /// What it is expected to take for one more statement.
    pub(crate) fn load(&self, now: Timestamp) -> MemberLoad {
        // What a gateway without connections runs there is a small part of what holders run.
        let sharers = if self.holds_connections() { self.share.holder_count.max(1) } else { 1 };
        let capacity_share = f64::from(self.back_end.capacity) / sharers as f64;
        let running = self.pool.under_way() + self.remote_in_use;
        self.observed.estimate.load(running, capacity_share, now)
    }

    /// Whether it served less than half of what was sent to it lately.
    pub(crate) fn is_unserving(&self, now: Timestamp) -> bool {
        self.load(now).served < UNSERVING
    }

    /// How busy it is, as another gateway is told.
    pub(crate) fn load_report(&self, spent: Duration, waiting: usize) -> MemberLoadReport {
        let percent = waiting * 100 / self.back_end.capacity.max(1) as usize;
        MemberLoadReport {
            spent,
            latency: self.observed.estimate.latency(),
            waiting_percent: u32::try_from(percent).unwrap_or(u32::MAX),
        }
    }

    /// Another gateway ran a statement there in `taken`, the way included.
    pub(crate) fn note_reported_load(
        &mut self,
        report: &MemberLoadReport,
        taken: Duration,
        now: Timestamp,
    ) {
        let MemberLoadReport { spent, latency, waiting_percent } = *report;
        let waiting = f64::from(waiting_percent) / 100.0;
        let reported = ReportedLoad { spent, latency, waiting };
        self.observed.estimate.note_reported(&reported, taken, now);
    }

    /// A statement of this gateway was served there through another one.
    pub(crate) fn note_served_remotely(&mut self, now: Timestamp) {
        self.observed.estimate.note_served_remotely(now);
    }

    /// It ran a statement of this gateway in `taken`.
    pub(crate) fn note_served(&mut self, taken: Duration, now: Timestamp) {
        self.observed.flight_limit.served();
        self.observed.estimate.note_served(taken, now);
    }

    /// It gave no answer, or failed a read.
    pub(crate) fn note_failed(&mut self, now: Timestamp) {
        self.observed.estimate.note_unserved(now);
    }

    /// It lacked a position that a read had to see.
    pub(crate) fn note_lagging(&mut self, steady: Timestamp, now: Instant) {
        self.observed.estimate.note_unserved(steady);
        self.pauses.note_lagging(now);
    }

    /// It had no room for a statement of this gateway.
    pub(crate) fn note_refused(&mut self, steady: Timestamp, now: Instant) {
        self.observed.flight_limit.refused(steady);
        self.note_unserved(steady, now);
    }

    /// It did not serve a statement; others are preferred for a moment, and less so for longer.
    pub(crate) fn note_unserved(&mut self, steady: Timestamp, now: Instant) {
        self.observed.estimate.note_unserved(steady);
        self.pauses.note_busy(now);
    }
}
