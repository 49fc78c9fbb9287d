//! A group of back ends: serves connections to its members to sessions and to other gateways.
//!
//! A group owns the state of its members and the queue of waiting requests. A request passes through the
//! modules in this order, in which [`acquire`] calls them:
//!
//! 1. [`request`]: the members that could serve the request, and how long it may wait
//!    ([`ConnectionRequest`]);
//! 2. [`positions`]: the position that a read must see;
//! 3. [`choice`]: chooses the member, and whether this gateway or another one serves; awaits nothing;
//! 4. [`wait`]: waits for room, in the queue of [`state`];
//! 5. [`connect`]: opens a connection of this gateway, or [`remote`]: asks other gateways for one of theirs;
//! 6. [`lease`]: the connection while it is in use; goes back when dropped;
//! 7. [`notes`] and [`reach`]: record what the outcome shows about the member, for later requests.
//!
//! [`member`](crate::member) keeps one member's connections and pauses, [`tunnel`](crate::tunnel) the
//! connections to other gateways. The routes pass on changes of the registry ([`facts`]).

mod acquire;
mod choice;
mod connect;
mod facts;
mod lease;
mod notes;
mod positions;
mod reach;
mod remote;
mod request;
mod state;
mod wait;

pub(crate) use facts::{GroupUpdate, MemberUpdate};
pub(crate) use lease::Lease;
pub(crate) use remote::RemoteOpening;
pub(crate) use request::{ConnectionRequest, LocatedConnection, Location, RemoteMember, Target};

use crate::byte_budget::ByteBudget;
use crate::clock::SteadyClock;
use crate::connection::MemberConnection;
use crate::member::Member;
use crate::metrics::{ConnectionTotals, Metrics};
use crate::settings::GatewaySettings;
use crate::tunnel::Tunnels;
use crate::wire::Wire;
use corktack_core::distance::Distance;
use corktack_core::gateway::Freshness;
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::registry::RegisteredBackEnd;
use state::GroupState;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// Target of the log lines of `connect`, `wait` and `reach`, by which operators may filter.
const LOG_TARGET: &str = module_path!();

/// Whether a member could be reached when it was last connected to; reported to control on each change. A
/// gateway that no longer connects to the member reports it as reached, so that control doesn't suspect the
/// member because of this gateway's old report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReach {
    /// The member's group.
    pub group: GroupName,
    /// Name of the member.
    pub member: MemberName,
    /// Whether the member could be reached.
    pub reached: bool,
}

/// A group of back ends, with this gateway's connections to its members.
pub(crate) struct Group<W: Wire> {
    pub(crate) name: GroupName,
    wire: W,
    settings: Rc<GatewaySettings>,
    state: RefCell<GroupState<W>>,
    freshness: RefCell<Freshness>,
    /// Whether a request for the primary's position is in flight.
    is_refreshing_position: Cell<bool>,
    /// Notified whenever a request for the primary's position has ended.
    position_refreshed: Notify,
    clock: SteadyClock,
    reach: mpsc::UnboundedSender<MemberReach>,
    tunnels: Rc<Tunnels>,
    /// Budget of the answers that arrive from members.
    answers: Rc<ByteBudget>,
    metrics: Metrics,
}

/// What a group shares with the others of its gateway.
#[derive(Clone)]
pub(crate) struct SharedParts {
    pub(crate) settings: Rc<GatewaySettings>,
    pub(crate) clock: SteadyClock,
    pub(crate) reach: mpsc::UnboundedSender<MemberReach>,
    pub(crate) tunnels: Rc<Tunnels>,
    pub(crate) answers: Rc<ByteBudget>,
    pub(crate) metrics: Metrics,
}

impl<W: Wire> Group<W> {
    pub(crate) fn new(name: GroupName, wire: W, shared: SharedParts) -> Self {
        let SharedParts { settings, clock, reach, tunnels, answers, metrics } = shared;
        let freshness = RefCell::default();
        let state = RefCell::new(GroupState::new(&settings.name));
        Self {
            name,
            wire,
            settings,
            state,
            freshness,
            is_refreshing_position: Cell::new(false),
            position_refreshed: Notify::new(),
            clock,
            reach,
            tunnels,
            answers,
            metrics,
        }
    }

    /// Applies the registry's state of the group. Removed members get no new work. The gateway connects to
    /// newly held members before the first statement arrives.
    pub(crate) fn apply_update(self: &Rc<Self>, update: &GroupUpdate) {
        let newly_held = self.update_members(update);
        if newly_held.is_empty() {
            return;
        }
        for (name, back_end) in newly_held {
            self.connect_in_background(&name, back_end);
        }
        self.refresh_position();
    }

    /// Updates the members, and returns those that this gateway holds connections to from now on; one
    /// connection to each is already counted as open.
    fn update_members(&self, update: &GroupUpdate) -> Vec<(MemberName, Arc<RegisteredBackEnd>)> {
        let now = Instant::now();
        let mut newly_held = Vec::new();
        let mut state = self.state.borrow_mut();
        state.members.retain(|name, member| {
            let stays = update.members.contains_key(name);
            if !stays && member.pauses.has_failed_attempts() {
                // If the member came back under its name, it would start as reached without a report to
                // control.
                self.retract_unreachable(name);
            }
            stays
        });
        for (name, MemberUpdate { back_end, share }) in &update.members {
            let distance = Distance::between(&self.settings.zone, &back_end.zone);
            let new = || Member::new(Arc::clone(back_end), distance);
            let member = state.members.entry(name.clone()).or_insert_with(new);
            member.update_back_end(back_end, now);
            if member.set_share(share) {
                member.pool.begin_opening();
                newly_held.push((name.clone(), Arc::clone(back_end)));
            }
        }
        state.update_promotion(update.promotion.as_ref());
        newly_held
    }

    /// Runs `change` on a member, unless it has left the group.
    pub(crate) fn with_member(&self, name: &MemberName, change: impl FnOnce(&mut Member<W>)) {
        if let Some(member) = self.state.borrow_mut().members.get_mut(name) {
            change(member);
        }
    }

    /// Takes a connection back; keeps it if the member still takes work.
    pub(crate) fn give_back(&self, name: &MemberName, connection: MemberConnection<W>) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let Some(member) = state.members.get_mut(name) else { return connection.terminate() };
        member.silence.record_answer(self.clock.timestamp_of(connection.answered_at()));
        member.give_back(connection, now, self.settings.drain_limit);
        state.wake_next(self.now(), name);
    }

    /// Closes connections that have been idle for too long, so that other gateways may open theirs. Retracts
    /// the reports about unreachable members that this gateway no longer connects to.
    pub(crate) fn close_unused(&self) {
        let now = Instant::now();
        for (name, member) in &mut self.state.borrow_mut().members {
            member.close_unused(now);
            if member.forget_old_failures(now) {
                self.retract_unreachable(name);
            }
        }
    }

    /// Adds the group's connections, waiting statements and unreached or unserving members to the totals.
    pub(crate) fn add_connection_totals(&self, totals: &mut ConnectionTotals) {
        let (state, now) = (self.state.borrow(), self.now());
        for (priority, waiting) in state.waiting.lengths() {
            *totals.waiting.entry(priority).or_default() += waiting;
        }
        for member in state.members.values() {
            totals.idle += member.pool.idle();
            totals.in_use += member.pool.in_use();
            totals.unreached += usize::from(member.pauses.has_failed_attempts());
            totals.unserving += usize::from(member.is_unserving(now));
        }
    }

    /// Records that a transaction is idle between two statements, or continues.
    pub(crate) fn update_idle_in_transaction(&self, name: &MemberName, idle_in_transaction: bool) {
        let mut state = self.state.borrow_mut();
        let Some(member) = state.members.get_mut(name) else { return };
        if idle_in_transaction {
            member.pool.begin_idle_in_transaction();
            state.wake_next(self.now(), name);
        } else {
            member.pool.end_idle_in_transaction();
        }
    }

    /// Records that a connection was closed, and wakes the next waiter.
    pub(crate) fn record_closed(&self, name: &MemberName) {
        let mut state = self.state.borrow_mut();
        if let Some(member) = state.members.get_mut(name) {
            member.pool.record_closed();
        }
        state.wake_next(self.now(), name);
    }

    /// Records that a member did what only the primary can do.
    pub(crate) fn record_primary(&self, name: &MemberName) {
        if self.state.borrow_mut().record_primary(name) {
            log::info!(group:% = self.name, member:% = name; "primary found");
        }
    }

    /// Records that a member refused what only the primary accepts.
    pub(crate) fn record_not_primary(&self, name: &MemberName) {
        self.state.borrow_mut().record_not_primary(name);
    }
}
