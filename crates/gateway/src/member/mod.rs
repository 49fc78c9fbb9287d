//! One member as this gateway uses it.
//!
//! It is for the choice among members and for what happens to their connections. It owns what this gateway
//! knows and holds of one member: the [`pool`] of connections, the pauses after trouble
//! ([`MemberPauses`]), the [`load`], which other gateways hold connections to it, the fallback connections.
//! It relies on the group to tell it what the registry says and what statements have shown.

mod load;
mod pool;

pub(crate) use pool::ConnectionPool;

use crate::connection::MemberConnection;
use crate::wire::Wire;
use corktack_core::distance::Distance;
use corktack_core::gateway::{
    Detour, FALLBACK_CONNECTIONS, FallbackPeriod, FlightLimit, Holder, HolderChoice,
    MemberEstimate, MemberPauses, Silence, WitnessPeriod,
};
use corktack_core::registry::{BackEndState, RegisteredBackEnd};
use load::ObservedLoad;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Who holds connections to a member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct MemberShare {
    /// Connections that this gateway may have; none where it holds no share.
    pub(crate) connections: usize,
    /// Other gateways that hold some, in the order to ask.
    pub(crate) others: Vec<Holder>,
    /// All that hold some.
    pub(crate) holder_count: usize,
    /// How long a connection may be idle before it is closed.
    pub(crate) idle_limit: Duration,
}

/// A member as this gateway uses it.
#[derive(Debug)]
pub(crate) struct Member<W: Wire> {
    pub(crate) back_end: Arc<RegisteredBackEnd>,
    /// Connections of this gateway.
    pub(crate) pool: ConnectionPool<W>,
    /// For how long it is left alone after trouble.
    pub(crate) pauses: MemberPauses<Instant>,
    /// Other gateways that hold connections to it.
    pub(crate) holders: HolderChoice,
    /// Whether those reach it while this gateway does not.
    pub(crate) detour: Detour,
    /// Connections of other gateways in use by this one.
    pub(crate) remote_in_use: usize,
    /// Questions that it did not answer.
    pub(crate) silence: Silence,
    fallback: FallbackPeriod<Instant>,
    /// Whether failures to connect to it still count.
    witness: WitnessPeriod<Instant>,
    /// What the registry says of the gateways that hold connections to it.
    share: MemberShare,
    observed: ObservedLoad,
}

impl<W: Wire> Member<W> {
    pub(crate) fn new(back_end: Arc<RegisteredBackEnd>, distance: Distance) -> Self {
        let observed = ObservedLoad {
            flight_limit: FlightLimit::new(1, 1),
            estimate: MemberEstimate::new(distance),
        };
        Self {
            back_end,
            pool: ConnectionPool::new(),
            pauses: MemberPauses::default(),
            holders: HolderChoice::default(),
            detour: Detour::default(),
            remote_in_use: 0,
            silence: Silence::default(),
            fallback: FallbackPeriod::default(),
            witness: WitnessPeriod::default(),
            share: MemberShare::default(),
            observed,
        }
    }

    /// Takes what the registry says now.
    pub(crate) fn follow(&mut self, back_end: &Arc<RegisteredBackEnd>, now: Instant) {
        if self.back_end.address != back_end.address {
            // They lead to an address that the member has left.
            self.pool.drop_idle();
        }
        self.back_end = Arc::clone(back_end);
        if back_end.state == BackEndState::Draining {
            self.pauses.note_draining(now);
        }
    }

    /// Sets this gateway's share of the member; says whether it holds connections from now on and has
    /// none yet.
    pub(crate) fn set_share(&mut self, share: &MemberShare) -> bool {
        if self.share == *share {
            // The order in which others are asked stays as experience has made it.
            return false;
        }
        let newly_held = self.share.connections == 0 && share.connections > 0;
        self.share = share.clone();
        self.pool.set_limit(share.connections);
        self.observed.flight_limit = FlightLimit::new(self.back_end.capacity, share.holder_count);
        self.fallback.cancel();
        self.holders.replace(&share.others);
        self.pool.close_surplus();
        newly_held && self.pool.open() == 0 && !self.pauses.is_draining()
    }

    /// Whether this gateway may have connections to it: its share, or fallback connections.
    pub(crate) const fn holds_connections(&self) -> bool {
        self.pool.limit() > 0
    }

    /// None of the gateways that hold connections to it answers: this one opens a few of its own.
    pub(crate) fn begin_fallback(&mut self, now: Instant) {
        if !self.holds_connections() {
            self.pool.set_limit(FALLBACK_CONNECTIONS);
            self.fallback.begin(now);
        }
    }

    /// The others are asked again after some time.
    pub(crate) fn end_fallback_if_over(&mut self, now: Instant) {
        if self.fallback.end_if_over(now) {
            self.pool.set_limit(self.share.connections);
            self.pool.close_surplus();
        }
    }

    /// Whether others have to be asked for a connection to it: this gateway holds some, and does not
    /// reach it.
    pub(crate) fn needs_detour(&self, now: Instant) -> bool {
        let unreached = self.pauses.is_unreachable(now)
            || (self.pauses.is_unreached() && self.detour.is_open());
        self.holds_connections() && unreached && !self.holders.is_empty()
    }

    /// Whether it takes no connection of this gateway, which has none.
    pub(crate) fn is_kept_out(&self, now: Instant) -> bool {
        self.holds_connections() && self.pool.open() == 0 && self.pauses.is_full(now)
    }

    /// The back end to connect to anew, beside the statements that take a detour; none before it
    /// is time.
    pub(crate) fn due_check(&mut self, now: Instant) -> Option<Arc<RegisteredBackEnd>> {
        if !self.pauses.begin_check(now) {
            return None;
        }
        self.pool.begin_opening();
        Some(Arc::clone(&self.back_end))
    }

    /// Whether a statement could be sent there now.
    pub(crate) fn has_room(&self, now: Instant, needs_slot: bool) -> bool {
        if !self.holds_connections() {
            return !self.holders.is_empty();
        }
        let under_way = self.pool.under_way() + self.pool.reserved();
        if needs_slot && !self.observed.flight_limit.allows(under_way) {
            return false;
        }
        self.pool.idle() + self.openable(now) > self.pool.reserved()
    }

    /// Connections that may be opened now beside those that there are.
    fn openable(&self, now: Instant) -> usize {
        if self.pauses.is_full(now) { 0 } else { self.pool.unopened() }
    }

    /// Whether a connection may be opened beside those that there are.
    pub(crate) fn may_open(&self, now: Instant) -> bool {
        self.openable(now) > 0
    }

    /// Takes a connection back; it is kept where the member still takes work and the share allows it.
    pub(crate) fn give_back(
        &mut self,
        connection: MemberConnection<W>,
        now: Instant,
        drain_limit: Duration,
    ) {
        let takes_no_work =
            self.pauses.is_draining() && !self.pauses.takes_writes(now, drain_limit);
        if takes_no_work || self.pool.open() > self.pool.limit() {
            self.pool.close(connection);
        } else {
            self.pool.keep(connection, now);
        }
    }

    /// Closes connections that have not been used for long, and fallback connections whose time is over.
    pub(crate) fn close_unused(&mut self, now: Instant) {
        self.end_fallback_if_over(now);
        self.pool.close_unused(self.share.idle_limit, now);
    }

    /// Forgets failures to connect once this gateway, without connections, cannot find out that it is back;
    /// says whether there were any.
    pub(crate) fn forget_old_failures(&mut self, now: Instant) -> bool {
        self.witness.is_over(now, self.holds_connections()) && self.pauses.forget_failures()
    }

    /// It could not be reached; says whether that is news.
    pub(crate) fn note_unreachable(&mut self, now: Instant) -> bool {
        let news = self.pauses.note_unreachable(now);
        self.pool.drop_idle();
        news
    }

    /// It owes an answer. Idle connections may be as dead as the one without it. Gives the back end that
    /// is to be connected to, unless that is under way.
    pub(crate) fn note_silent(&mut self, now: Instant) -> Option<Arc<RegisteredBackEnd>> {
        self.pool.drop_idle();
        self.pauses.note_silent(now);
        if self.holds_connections() { self.due_check(now) } else { None }
    }
}
