//! A group of back ends as this gateway uses it.
//!
//! It is for sessions, which need connections to members, and for other gateways that ask this one. It owns
//! the group's state and decides with nothing else. A request goes one way through its modules:
//!
//! 1. [`request`]: who could serve it, until when it may wait ([`ConnectionRequest`]);
//! 2. [`positions`]: what a read must see;
//! 3. [`choice`]: which member, and whether here or through another gateway; decides, awaits nothing;
//! 4. [`wait`]: for room, by the queue of [`state`];
//! 5. [`connect`]: opens a connection of this gateway, or [`remote`]: asks others for one of theirs;
//! 6. [`lease`]: the connection while it is used; it goes back when dropped;
//! 7. [`notes`] and [`reach`]: what the outcome shows of the member, for the requests that come.
//!
//! [`acquire`] carries the steps out in this order. It relies on [`member`](crate::member) for one member's
//! connections and pauses, on [`tunnel`](crate::tunnel) for other gateways, and on the routes to hand on what
//! the registry says ([`facts`]).

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

pub(crate) use facts::{GroupFacts, MemberFacts};
pub(crate) use lease::Lease;
pub(crate) use remote::RemoteOpening;
pub(crate) use request::{ConnectionRequest, Located, Location, RemoteMember, Target};

use crate::clock::SteadyClock;
use crate::connection::MemberConnection;
use crate::member::Member;
use crate::metrics::{Holdings, Metrics};
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

/// Whether a member could be reached when it was used as primary; reported once on change. A gateway that
/// no longer connects to it says that it is reached: control is not to suspect it on that gateway's word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReach {
    /// Its group.
    pub group: GroupName,
    /// The member.
    pub member: MemberName,
    /// Whether it could.
    pub reached: bool,
}

/// A group of back ends as this gateway uses it.
pub(crate) struct Group<W: Wire> {
    pub(crate) name: GroupName,
    wire: W,
    settings: Rc<GatewaySettings>,
    state: RefCell<GroupState<W>>,
    freshness: RefCell<Freshness>,
    /// Whether a question for the primary's position is under way.
    asking_position: Cell<bool>,
    /// Told whenever such a question has ended.
    position_asked: Notify,
    clock: SteadyClock,
    reach: mpsc::UnboundedSender<MemberReach>,
    tunnels: Rc<Tunnels>,
    metrics: Metrics,
}

impl<W: Wire> Group<W> {
    pub(crate) fn new(
        name: GroupName,
        wire: W,
        settings: Rc<GatewaySettings>,
        clock: SteadyClock,
        reach: mpsc::UnboundedSender<MemberReach>,
        tunnels: Rc<Tunnels>,
        metrics: Metrics,
    ) -> Self {
        let freshness = RefCell::default();
        let state = RefCell::new(GroupState::new(&settings.name));
        Self {
            name,
            wire,
            settings,
            state,
            freshness,
            asking_position: Cell::new(false),
            position_asked: Notify::new(),
            clock,
            reach,
            tunnels,
            metrics,
        }
    }

    /// Takes what the registry says now. Members that left get no new work; those that this gateway
    /// holds connections to from now on are connected to before the first statement comes.
    pub(crate) fn follow(self: &Rc<Self>, facts: &GroupFacts) {
        let held = self.take_facts(facts);
        if held.is_empty() {
            return;
        }
        for (name, back_end) in held {
            self.check(&name, back_end);
        }
        self.refresh_position();
    }

    /// Gives the members that this gateway holds connections to from now on; a place for one
    /// connection to each is taken.
    fn take_facts(&self, facts: &GroupFacts) -> Vec<(MemberName, Arc<RegisteredBackEnd>)> {
        let now = Instant::now();
        let mut held = Vec::new();
        let mut state = self.state.borrow_mut();
        state.members.retain(|name, member| {
            let stays = facts.members.contains_key(name);
            if !stays && member.pauses.is_unreached() {
                // If it came back under its name, it would be reached without a word to control.
                self.take_back(name);
            }
            stays
        });
        for (name, MemberFacts { back_end, share }) in &facts.members {
            let distance = Distance::between(&self.settings.zone, &back_end.zone);
            let new = || Member::new(Arc::clone(back_end), distance);
            let member = state.members.entry(name.clone()).or_insert_with(new);
            member.follow(back_end, now);
            if member.set_share(share) {
                member.pool.begin_opening();
                held.push((name.clone(), Arc::clone(back_end)));
            }
        }
        state.follow_promotion(facts.promotion.as_ref());
        held
    }

    /// Runs `change` on a member that is still there.
    pub(crate) fn with_member(&self, name: &MemberName, change: impl FnOnce(&mut Member<W>)) {
        if let Some(member) = self.state.borrow_mut().members.get_mut(name) {
            change(member);
        }
    }

    /// Takes a connection back; it is kept where the member still takes work.
    pub(crate) fn give_back(&self, name: &MemberName, connection: MemberConnection<W>) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let Some(member) = state.members.get_mut(name) else { return connection.terminate() };
        member.silence.answered(self.clock.at(connection.answered_at()));
        member.give_back(connection, now, self.settings.drain_limit);
        state.wake_next(self.now(), name);
    }

    /// Closes connections that have not been used for long: what one gateway does not need others
    /// may have. Takes back what was reported of members that this gateway no longer connects to.
    pub(crate) fn close_unused(&self) {
        let now = Instant::now();
        for (name, member) in &mut self.state.borrow_mut().members {
            member.close_unused(now);
            if member.forget_old_failures(now) {
                self.take_back(name);
            }
        }
    }

    /// Adds what is held here and who waits.
    pub(crate) fn add_holdings(&self, holdings: &mut Holdings) {
        let (state, now) = (self.state.borrow(), self.now());
        for (priority, waiting) in state.waiting.lengths() {
            *holdings.waiting.entry(priority).or_default() += waiting;
        }
        for member in state.members.values() {
            holdings.idle += member.pool.idle();
            holdings.in_use += member.pool.in_use();
            holdings.unreached += usize::from(member.pauses.is_unreached());
            holdings.unserving += usize::from(member.is_unserving(now));
        }
    }

    /// A transaction is idle between two statements, or goes on.
    pub(crate) fn note_idle_in_transaction(&self, name: &MemberName, idle_in_transaction: bool) {
        let mut state = self.state.borrow_mut();
        let Some(member) = state.members.get_mut(name) else { return };
        if idle_in_transaction {
            member.pool.begin_idle_in_transaction();
            state.wake_next(self.now(), name);
        } else {
            member.pool.end_idle_in_transaction();
        }
    }

    /// A connection is gone.
    pub(crate) fn closed(&self, name: &MemberName) {
        let mut state = self.state.borrow_mut();
        if let Some(member) = state.members.get_mut(name) {
            member.pool.closed();
        }
        state.wake_next(self.now(), name);
    }

    /// A member acted as only the primary can.
    pub(crate) fn note_primary(&self, name: &MemberName) {
        if self.state.borrow_mut().note_primary(name) {
            log::info!(group:% = self.name, member:% = name; "primary found");
        }
    }

    /// A member refused what only the primary takes.
    pub(crate) fn note_not_primary(&self, name: &MemberName) {
        self.state.borrow_mut().note_not_primary(name);
    }
}
