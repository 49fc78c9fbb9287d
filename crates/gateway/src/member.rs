//! One member as this gateway uses it: its idle connections, its load, its troubles.

use crate::connection::MemberConnection;
use crate::group::MemberShare;
use crate::wire::Wire;
use corktack_core::distance::Distance;
use corktack_core::gateway::{
    Detour, FlightLimit, HolderChoice, MemberEstimate, MemberLoad, ReportedLoad, SessionProfile,
    Silence,
};
use corktack_core::registry::{BackEndState, RegisteredBackEnd};
use corktack_core::tenancy::Principal;
use corktack_core::time::Timestamp;
use corktack_protocol::tunnel::MemberLoadReport;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Part of what was sent to a member lately below which operators are told that it does not serve.
const UNSERVING: f64 = 0.5;
/// Connections that a gateway opens to a member whose holders are all out of reach, and for how long:
/// the view names others by then, or those are back.
const STAND_IN_CONNECTIONS: usize = 2;
const STAND_IN_TIME: Duration = Duration::from_secs(2);
/// First and longest pause after a member could not be connected to.
const UNREACHABLE_FIRST: Duration = Duration::from_millis(100);
const UNREACHABLE_LAST: Duration = Duration::from_secs(2);
/// How long a member that lacked a position is passed over while others can serve.
const LAGGING_PAUSE: Duration = Duration::from_millis(150);
/// How long a member that had no room is passed over while others can serve.
const BUSY_PAUSE: Duration = Duration::from_millis(50);
/// How long a member that owed an answer is passed over while it is connected to anew.
const SILENT_PAUSE: Duration = Duration::from_millis(300);
/// How long a refused connection keeps the gateway from asking for more of them.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// Connections that rest for as long as they like.
const IDLE_KEPT: usize = 1;

/// A connection that nobody uses.
#[derive(Debug)]
pub(crate) struct IdleConnection<W: Wire> {
    pub(crate) connection: MemberConnection<W>,
    pub(crate) since: Instant,
}

impl<W: Wire> IdleConnection<W> {
    fn may_serve(&self, principal: Option<&Principal>) -> bool {
        principal.is_none_or(|principal| self.connection.principal() == principal)
    }
}

/// A member as this gateway uses it.
#[derive(Debug)]
pub(crate) struct Member<W: Wire> {
    pub(crate) back_end: Arc<RegisteredBackEnd>,
    /// The last one used is the last.
    pub(crate) idle: Vec<IdleConnection<W>>,
    /// Connections in use, idle or being opened.
    pub(crate) open: usize,
    /// Other gateways that hold connections to it.
    pub(crate) holders: HolderChoice,
    /// Whether those reach it while this gateway does not.
    pub(crate) detour: Detour,
    /// Connections of other gateways in use by this one.
    pub(crate) forwarded: usize,
    /// Connections that this gateway may have open; none where it holds no share.
    pub(crate) limit: usize,
    /// Until when it has connections that it holds no share of.
    stand_in_until: Option<Instant>,
    /// Connections in use by transactions that rest between two statements.
    pub(crate) resting: usize,
    /// Places kept for waiters that were woken.
    pub(crate) reserved: usize,
    flight_limit: FlightLimit,
    /// What the registry says of the gateways that hold connections to it.
    share: MemberShare,
    estimate: MemberEstimate,
    failures: u32,
    unreachable_until: Option<Instant>,
    passed_over_until: Option<Instant>,
    full_until: Option<Instant>,
    checked_until: Option<Instant>,
    pub(crate) draining_since: Option<Instant>,
    /// Questions that it did not answer.
    pub(crate) silence: Silence,
}

impl<W: Wire> Member<W> {
    pub(crate) fn new(back_end: Arc<RegisteredBackEnd>, distance: Distance) -> Self {
        Self {
            back_end,
            idle: Vec::new(),
            holders: HolderChoice::default(),
            detour: Detour::default(),
            forwarded: 0,
            open: 0,
            limit: 0,
            stand_in_until: None,
            resting: 0,
            reserved: 0,
            flight_limit: FlightLimit::new(1, 1),
            share: MemberShare::default(),
            estimate: MemberEstimate::new(distance),
            failures: 0,
            unreachable_until: None,
            passed_over_until: None,
            full_until: None,
            checked_until: None,
            draining_since: None,
            silence: Silence::default(),
        }
    }

    /// Takes what the registry says now.
    pub(crate) fn follow(&mut self, back_end: &Arc<RegisteredBackEnd>, now: Instant) {
        if self.back_end.address != back_end.address {
            self.idle.clear();
        }
        self.back_end = Arc::clone(back_end);
        if back_end.state == BackEndState::Draining {
            self.draining_since.get_or_insert(now);
        }
    }

    /// Sets this gateway's share of the member; says whether it holds connections from now on and has
    /// none yet.
    pub(crate) fn share(&mut self, share: &MemberShare) -> bool {
        if self.share == *share {
            // The order in which others are asked stays as experience has made it.
            return false;
        }
        let newly_held = self.share.connections == 0 && share.connections > 0;
        self.share = share.clone();
        self.limit = share.connections;
        self.flight_limit = FlightLimit::new(self.back_end.capacity, share.holder_count);
        self.stand_in_until = None;
        self.holders.replace(&share.others);
        self.close_surplus();
        newly_held && self.open == 0 && self.draining_since.is_none()
    }

    /// None of the gateways that hold connections to it answers: this one opens a few of its own.
    pub(crate) fn stand_in(&mut self, now: Instant) {
        if self.limit == 0 {
            self.limit = STAND_IN_CONNECTIONS;
            self.stand_in_until = Some(now + STAND_IN_TIME);
        }
    }

    /// The others are asked again after some time.
    pub(crate) fn end_stand_in(&mut self, now: Instant) {
        if self.stand_in_until.is_some_and(|until| now >= until) {
            self.stand_in_until = None;
            self.limit = self.share.connections;
            self.close_surplus();
        }
    }

    /// Whether it takes reads as far as is known.
    pub(crate) fn takes_reads(&self, now: Instant) -> bool {
        self.draining_since.is_none() && !is_pending(self.unreachable_until, now)
    }

    /// Whether it takes writes as far as is known, if it is the primary: one that is leaving does
    /// until it is replaced, or until the end of its time.
    pub(crate) fn takes_writes(&self, now: Instant, drain_limit: Duration) -> bool {
        !self.has_left(now, drain_limit) && !is_pending(self.unreachable_until, now)
    }

    /// Whether it is leaving and its time is over.
    pub(crate) fn has_left(&self, now: Instant, drain_limit: Duration) -> bool {
        self.draining_since.is_some_and(|since| now - since >= drain_limit)
    }

    /// Whether others have to be asked for a connection to it: this gateway holds none, or does
    /// not reach it.
    pub(crate) fn needs_detour(&self, now: Instant) -> bool {
        let unreached =
            is_pending(self.unreachable_until, now) || (self.failures > 0 && self.detour.is_open());
        self.limit > 0 && unreached && !self.holders.is_empty()
    }

    /// The back end to connect to anew, beside the statements that take a detour; none before it
    /// is time.
    pub(crate) fn due_check(&mut self, now: Instant) -> Option<Arc<RegisteredBackEnd>> {
        if is_pending(self.unreachable_until, now) || is_pending(self.checked_until, now) {
            return None;
        }
        self.checked_until = Some(now + SILENT_PAUSE);
        self.open += 1;
        Some(Arc::clone(&self.back_end))
    }

    /// Whether others should be preferred for a moment.
    pub(crate) fn is_passed_over(&self, now: Instant) -> bool {
        is_pending(self.passed_over_until, now)
    }

    /// Whether a statement could be sent there now.
    pub(crate) fn has_room(&self, now: Instant, needs_slot: bool) -> bool {
        if self.limit == 0 {
            return !self.holders.is_empty();
        }
        let under_way = self.under_way() + self.reserved;
        if needs_slot && !self.flight_limit.allows(under_way) {
            return false;
        }
        self.idle.len() + self.openable(now) > self.reserved
    }

    /// Statements that this gateway may have under way there.
    pub(crate) fn slots(&self) -> usize {
        self.limit.min(self.flight_limit.current())
    }

    /// Connections that may be opened beside those that there are.
    fn openable(&self, now: Instant) -> usize {
        let full = is_pending(self.full_until, now);
        if full { 0 } else { self.limit.saturating_sub(self.open) }
    }

    /// Whether a connection may be opened beside those that there are.
    pub(crate) fn may_open(&self, now: Instant) -> bool {
        self.openable(now) > 0
    }

    /// Statements of this gateway under way there, on connections of its own.
    fn under_way(&self) -> usize {
        self.open.saturating_sub(self.idle.len() + self.resting)
    }

    /// What it is expected to take for one more statement.
    pub(crate) fn load(&self, now: Timestamp) -> MemberLoad {
        // What a gateway without connections runs there is a small part of what holders run.
        let sharers = if self.limit > 0 { self.share.holder_count.max(1) } else { 1 };
        let capacity_share = f64::from(self.back_end.capacity) / sharers as f64;
        self.estimate.load(self.under_way() + self.forwarded, capacity_share, now)
    }

    /// Whether it served less than half of what was sent to it lately.
    pub(crate) fn is_unserving(&self, now: Timestamp) -> bool {
        self.load(now).served < UNSERVING
    }

    /// How busy it is, as another gateway hears it.
    pub(crate) fn load_report(&self, spent: Duration, waiting: usize) -> MemberLoadReport {
        let percent = waiting * 100 / self.back_end.capacity.max(1) as usize;
        MemberLoadReport {
            spent,
            latency: self.estimate.latency(),
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
        self.estimate.note_reported(&ReportedLoad { spent, latency, waiting }, taken, now);
    }

    /// A statement of this gateway was served there through another one.
    pub(crate) fn note_served_remotely(&mut self, now: Timestamp) {
        self.estimate.note_served_remotely(now);
    }

    /// It gave no answer, or failed a read.
    pub(crate) fn note_failed(&mut self, now: Timestamp) {
        self.estimate.note_unserved(now);
    }

    /// Takes the idle connection that is nearest to the session's values, among those that were opened
    /// on behalf of this principal.
    pub(crate) fn take_idle(
        &mut self,
        session: &SessionProfile,
        principal: Option<&Principal>,
    ) -> Option<MemberConnection<W>> {
        let may_use = |idle: &IdleConnection<W>| idle.may_serve(principal);
        while !self.idle.is_empty() {
            // The last one used comes first among equals, so that the others may rest.
            let places = self.idle.iter().enumerate().rev().filter(|(_, idle)| may_use(idle));
            let distance = |idle: &IdleConnection<W>| idle.connection.profile.distance(session);
            let nearest = places.min_by_key(|(_, idle)| distance(idle));
            let place = nearest.map(|(place, _)| place)?;
            let connection = self.idle.remove(place).connection;
            if !connection.is_broken() {
                return Some(connection);
            }
            self.open -= 1;
        }
        None
    }

    /// Whether there is an idle connection on behalf of this principal.
    pub(crate) fn has_idle_for(&self, principal: Option<&Principal>) -> bool {
        self.idle.iter().any(|idle| idle.may_serve(principal))
    }

    /// Closes the idle connection that has rested longest, for one on behalf of somebody else; says
    /// whether there was one.
    pub(crate) fn make_room(&mut self) -> bool {
        if self.idle.is_empty() {
            return false;
        }
        self.idle.remove(0).connection.terminate();
        self.open -= 1;
        true
    }

    /// Closes idle connections that the share no longer allows: those who hold the share need them.
    fn close_surplus(&mut self) {
        while self.open > self.limit && self.make_room() {}
    }

    pub(crate) fn close_unused(&mut self, now: Instant) {
        self.end_stand_in(now);
        let limit = self.share.idle_limit;
        while self.idle.len() > IDLE_KEPT && now - self.idle[0].since >= limit {
            self.idle.remove(0).connection.terminate();
            self.open -= 1;
        }
    }

    /// It ran a statement of this gateway in `latency`.
    pub(crate) fn note_served(&mut self, taken: Duration, now: Timestamp) {
        self.flight_limit.served();
        self.estimate.note_served(taken, now);
    }

    /// Whether it could not be reached when last tried.
    pub(crate) const fn is_unreached(&self) -> bool {
        self.failures > 0
    }

    /// Says whether that is news.
    pub(crate) fn note_reached(&mut self) -> bool {
        let news = self.failures > 0;
        self.failures = 0;
        self.unreachable_until = None;
        news
    }

    /// Says whether that is news.
    pub(crate) fn note_unreachable(&mut self, now: Instant) -> bool {
        let news = self.failures == 0;
        let pause = UNREACHABLE_FIRST.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        self.unreachable_until = Some(now + pause.min(UNREACHABLE_LAST));
        self.open -= self.idle.len();
        self.idle.clear();
        news
    }

    /// Idle connections may be as dead as the one without an answer. Gives the back end that is to
    /// be connected to, unless that is under way.
    pub(crate) fn note_silent(&mut self, now: Instant) -> Option<Arc<RegisteredBackEnd>> {
        self.open -= self.idle.len();
        self.idle.clear();
        self.passed_over_until = Some(now + SILENT_PAUSE);
        if self.limit == 0
            || is_pending(self.checked_until, now)
            || is_pending(self.unreachable_until, now)
        {
            return None;
        }
        self.checked_until = Some(now + SILENT_PAUSE);
        self.open += 1;
        Some(Arc::clone(&self.back_end))
    }

    pub(crate) fn note_full(&mut self, now: Instant) {
        self.full_until = Some(now + FULL_PAUSE);
    }

    pub(crate) fn note_lagging(&mut self, steady: Timestamp, now: Instant) {
        self.estimate.note_unserved(steady);
        self.passed_over_until = Some(now + LAGGING_PAUSE);
    }

    /// It had no room for a statement of this gateway.
    pub(crate) fn note_refused(&mut self, steady: Timestamp, now: Instant) {
        self.flight_limit.refused(steady);
        self.note_unserved(steady, now);
    }

    /// It did not serve a statement; others are preferred for a moment, and less so for longer.
    pub(crate) fn note_unserved(&mut self, steady: Timestamp, now: Instant) {
        self.estimate.note_unserved(steady);
        self.note_busy(now);
    }

    /// It cannot be used now, for a reason that may not be its own.
    pub(crate) fn note_busy(&mut self, now: Instant) {
        self.passed_over_until = Some(now + BUSY_PAUSE);
    }
}

fn is_pending(until: Option<Instant>, now: Instant) -> bool {
    until.is_some_and(|until| now < until)
}
