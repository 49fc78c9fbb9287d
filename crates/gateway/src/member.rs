//! One member as this gateway uses it: its idle connections, its load, its troubles.

use crate::connection::MemberConnection;
use crate::group::MemberShare;
use crate::wire::Wire;
use corktack_core::distance::Distance;
use corktack_core::gateway::{Detour, MemberLoad, SessionProfile, Silence};
use corktack_core::registry::{BackEndState, RegisteredBackEnd};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Weight of the newest statement in the mean time of a statement.
const LATENCY_WEIGHT: f64 = 0.1;
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

/// How long a connection may rest before it is closed.
const IDLE_LIMIT: Duration = Duration::from_millis(800);
/// Connections that rest for as long as they like.
const IDLE_KEPT: usize = 1;

/// A connection that nobody uses.
#[derive(Debug)]
pub(crate) struct IdleConnection<W: Wire> {
    pub(crate) connection: MemberConnection<W>,
    pub(crate) since: Instant,
}

/// A member as this gateway uses it.
#[derive(Debug)]
pub(crate) struct Member<W: Wire> {
    pub(crate) back_end: Arc<RegisteredBackEnd>,
    /// The last one used is the last.
    pub(crate) idle: Vec<IdleConnection<W>>,
    /// Connections in use, idle or being opened.
    pub(crate) open: usize,
    /// Other gateways that hold connections to it, in the order to ask.
    pub(crate) holders: Vec<SocketAddr>,
    /// Whether those reach it while this gateway does not.
    pub(crate) detour: Detour,
    /// Connections of other gateways in use by this one.
    pub(crate) forwarded: usize,
    /// Connections that this gateway may have open; none where it holds no share.
    pub(crate) limit: usize,
    /// Places kept for waiters that were woken.
    pub(crate) reserved: usize,
    /// What the registry says of the gateways that hold connections to it.
    share: MemberShare,
    latency: Duration,
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
            holders: Vec::new(),
            detour: Detour::default(),
            forwarded: 0,
            open: 0,
            limit: 0,
            reserved: 0,
            share: MemberShare::default(),
            latency: distance.expected_latency(),
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

    /// Sets this gateway's share of the member.
    pub(crate) fn share(&mut self, share: &MemberShare) {
        if self.share == *share {
            // The order in which others are asked stays as experience has made it.
            return;
        }
        self.share = share.clone();
        self.limit = share.connections;
        self.holders.clone_from(&share.others);
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
    pub(crate) fn has_room(&self, now: Instant) -> bool {
        if self.limit == 0 {
            return !self.holders.is_empty();
        }
        let full = is_pending(self.full_until, now);
        let may_open = if full { 0 } else { self.limit.saturating_sub(self.open) };
        self.idle.len() + may_open > self.reserved
    }

    /// A gateway reaches it: it is asked first from now on.
    pub(crate) fn ask_first(&mut self, holder: SocketAddr) {
        self.detour.reached();
        if let Some(place) = self.holders.iter().position(|it| *it == holder) {
            self.holders[..=place].rotate_right(1);
        }
    }

    /// A gateway does not reach it, or is not reached itself.
    pub(crate) fn ask_last(&mut self, holder: SocketAddr) {
        if let Some(place) = self.holders.iter().position(|it| *it == holder) {
            self.holders[place..].rotate_left(1);
        }
    }

    pub(crate) fn load(&self) -> MemberLoad {
        MemberLoad {
            latency: self.latency,
            running: self.open - self.idle.len() + self.forwarded,
            capacity_share: f64::from(self.back_end.capacity)
                / self.share.holder_count.max(1) as f64,
        }
    }

    /// Takes the idle connection that is nearest to the session's values.
    pub(crate) fn take_idle(&mut self, session: &SessionProfile) -> Option<MemberConnection<W>> {
        while !self.idle.is_empty() {
            // The last one used comes first among equals, so that the others may rest.
            let places = self.idle.iter().enumerate().rev();
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

    pub(crate) fn close_unused(&mut self, now: Instant) {
        while self.idle.len() > IDLE_KEPT && now - self.idle[0].since >= IDLE_LIMIT {
            self.idle.remove(0).connection.terminate();
            self.open -= 1;
        }
    }

    pub(crate) fn note_latency(&mut self, latency: Duration) {
        let old = self.latency.mul_f64(1.0 - LATENCY_WEIGHT);
        self.latency = old + latency.mul_f64(LATENCY_WEIGHT);
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

    pub(crate) fn note_lagging(&mut self, now: Instant) {
        self.passed_over_until = Some(now + LAGGING_PAUSE);
    }

    pub(crate) fn note_busy(&mut self, now: Instant) {
        self.passed_over_until = Some(now + BUSY_PAUSE);
    }
}

fn is_pending(until: Option<Instant>, now: Instant) -> bool {
    until.is_some_and(|until| now < until)
}
