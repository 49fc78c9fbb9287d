//! State of one member at this gateway.
//!
//! A member has the [`pool`] of this gateway's connections, the pauses after failures ([`MemberPauses`]), the
//! observed [`load`], the other gateways that hold connections to it, and the fallback period. The group
//! updates it from the registry and from the outcome of statements.

mod load;
mod pool;

pub(crate) use pool::ConnectionPool;

use crate::connection::MemberConnection;
use crate::wire::Wire;
use corktack_core::distance::Distance;
use corktack_core::gateway::{
    FALLBACK_CONNECTIONS, FallbackPeriod, Holder, HolderChoice, InFlightLimit, IndirectRoute,
    MemberEstimate, MemberPauses, ObservationPeriod, SilenceDetector,
};
use corktack_core::registry::{BackEndState, RegisteredBackEnd};
use load::ObservedLoad;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// This gateway's share of a member's connections, and the other holders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct MemberShare {
    /// Most connections that this gateway may have; 0 without a share.
    pub(crate) connections: usize,
    /// Other gateways that hold connections, in the order in which they are asked.
    pub(crate) others: Vec<Holder>,
    /// Number of gateways that hold connections.
    pub(crate) holder_count: usize,
    /// Idle time after which a connection is closed.
    pub(crate) idle_limit: Duration,
}

/// A member of a group, with this gateway's connections to it and its observed health and load.
#[derive(Debug)]
pub(crate) struct Member<W: Wire> {
    pub(crate) back_end: Arc<RegisteredBackEnd>,
    /// Connections of this gateway to the member.
    pub(crate) pool: ConnectionPool<W>,
    /// Pauses in the use of the member after failures.
    pub(crate) pauses: MemberPauses<Instant>,
    /// Other gateways that hold connections to the member.
    pub(crate) holders: HolderChoice,
    /// Whether other gateways reach the member while this one does not.
    pub(crate) indirect_route: IndirectRoute,
    /// Connections of other gateways in use by this one.
    pub(crate) remote_in_use: usize,
    /// Requests that the member did not answer.
    pub(crate) silence: SilenceDetector,
    fallback: FallbackPeriod<Instant>,
    /// Period in which this gateway's failures to connect to the member still count.
    witness: ObservationPeriod<Instant>,
    /// Share of this gateway and the other holders, from the registry.
    share: MemberShare,
    observed: ObservedLoad,
}

impl<W: Wire> Member<W> {
    pub(crate) fn new(back_end: Arc<RegisteredBackEnd>, distance: Distance) -> Self {
        let observed = ObservedLoad {
            flight_limit: InFlightLimit::new(1, 1),
            estimate: MemberEstimate::new(distance),
        };
        Self {
            back_end,
            pool: ConnectionPool::new(),
            pauses: MemberPauses::default(),
            holders: HolderChoice::default(),
            indirect_route: IndirectRoute::default(),
            remote_in_use: 0,
            silence: SilenceDetector::default(),
            fallback: FallbackPeriod::default(),
            witness: ObservationPeriod::default(),
            share: MemberShare::default(),
            observed,
        }
    }

    /// Applies the member's registration.
    pub(crate) fn update_back_end(&mut self, back_end: &Arc<RegisteredBackEnd>, now: Instant) {
        if self.back_end.address != back_end.address {
            // The idle connections go to the member's previous address.
            self.pool.drop_idle();
        }
        self.back_end = Arc::clone(back_end);
        if back_end.state == BackEndState::Draining {
            self.pauses.record_draining(now);
        }
    }

    /// Sets this gateway's share of the member; reports whether the share is new and no connection is open
    /// yet.
    pub(crate) fn set_share(&mut self, share: &MemberShare) -> bool {
        if self.share == *share {
            // Keep the order of the other holders, which reflects their earlier replies.
            return false;
        }
        let newly_held = self.share.connections == 0 && share.connections > 0;
        self.share = share.clone();
        self.pool.set_limit(share.connections);
        self.observed.flight_limit = InFlightLimit::new(self.back_end.capacity, share.holder_count);
        self.fallback.cancel();
        self.holders.replace(&share.others);
        self.pool.close_surplus();
        newly_held && self.pool.open() == 0 && !self.pauses.is_draining()
    }

    /// Reports whether this gateway may have connections to the member, by its share or as a fallback.
    pub(crate) const fn holds_connections(&self) -> bool {
        self.pool.limit() > 0
    }

    /// Begins a fallback period: no holder answers, so that this gateway may open a few connections of its
    /// own.
    pub(crate) fn begin_fallback(&mut self, now: Instant) {
        if !self.holds_connections() {
            self.pool.set_limit(FALLBACK_CONNECTIONS);
            self.fallback.begin(now);
        }
    }

    /// Ends a fallback period whose time is over, so that the holders are asked again.
    pub(crate) fn end_fallback_if_over(&mut self, now: Instant) {
        if self.fallback.end_if_over(now) {
            self.pool.set_limit(self.share.connections);
            self.pool.close_surplus();
        }
    }

    /// Reports whether other gateways have to be asked for a connection to the member, because this gateway
    /// may hold connections but does not reach the member.
    pub(crate) fn needs_indirect_route(&self, now: Instant) -> bool {
        let unreached = self.pauses.is_unreachable(now)
            || (self.pauses.has_failed_attempts() && self.indirect_route.is_open());
        self.holds_connections() && unreached && !self.holders.is_empty()
    }

    /// Reports whether the member is full while this gateway may hold connections and has none.
    pub(crate) fn is_full_without_connections(&self, now: Instant) -> bool {
        self.holds_connections() && self.pool.open() == 0 && self.pauses.is_full(now)
    }

    /// Begins an attempt to reconnect in the background, while statements go through other gateways. Counts
    /// the connection as open and returns the back end to connect to; none before the next attempt is due.
    pub(crate) fn begin_reconnect(&mut self, now: Instant) -> Option<Arc<RegisteredBackEnd>> {
        if !self.pauses.begin_check(now) {
            return None;
        }
        self.pool.begin_opening();
        Some(Arc::clone(&self.back_end))
    }

    /// Reports whether a statement could be sent to the member now.
    pub(crate) fn has_room(&self, now: Instant, needs_slot: bool) -> bool {
        if !self.holds_connections() {
            return !self.holders.is_empty();
        }
        let in_flight = self.pool.in_flight() + self.pool.reserved();
        if needs_slot && !self.observed.flight_limit.allows(in_flight) {
            return false;
        }
        self.pool.idle() + self.openable_connections(now) > self.pool.reserved()
    }

    /// Returns how many more connections may be opened now.
    fn openable_connections(&self, now: Instant) -> usize {
        if self.pauses.is_full(now) { 0 } else { self.pool.remaining_connections() }
    }

    /// Reports whether one more connection may be opened now.
    pub(crate) fn may_open(&self, now: Instant) -> bool {
        self.openable_connections(now) > 0
    }

    /// Takes a connection back; keeps it if the member still takes work and the limit allows it.
    pub(crate) fn give_back(
        &mut self,
        mut connection: MemberConnection<W>,
        now: Instant,
        drain_limit: Duration,
    ) {
        let is_small = connection.shrink();
        let takes_no_work =
            self.pauses.is_draining() && !self.pauses.accepts_writes(now, drain_limit);
        if takes_no_work || !is_small || self.pool.open() > self.pool.limit() {
            self.pool.close(connection);
        } else {
            self.pool.add_idle(connection, now);
        }
    }

    /// Closes connections that have been idle for too long, and fallback connections whose period is over.
    pub(crate) fn close_unused(&mut self, now: Instant) {
        self.end_fallback_if_over(now);
        self.pool.close_unused(self.share.idle_limit, now);
    }

    /// Forgets failures to connect once this gateway, having no connections, can no longer find out that the
    /// member is back; reports whether there were any.
    pub(crate) fn forget_old_failures(&mut self, now: Instant) -> bool {
        self.witness.update_and_check_expired(now, self.holds_connections())
            && self.pauses.clear_failures()
    }

    /// Records that the member could not be reached; reports whether it was reached before.
    pub(crate) fn record_unreachable(&mut self, now: Instant) -> bool {
        let is_newly_unreached = self.pauses.record_unreachable(now);
        self.pool.drop_idle();
        is_newly_unreached
    }

    /// Records that an answer of the member is overdue, and drops the idle connections, which may be dead
    /// too. Returns the back end to reconnect to, unless an attempt is already in flight.
    pub(crate) fn record_silence(&mut self, now: Instant) -> Option<Arc<RegisteredBackEnd>> {
        self.pool.drop_idle();
        self.pauses.record_silence(now);
        if self.holds_connections() { self.begin_reconnect(now) } else { None }
    }
}
