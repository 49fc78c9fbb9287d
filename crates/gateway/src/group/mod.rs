//! A group of back ends as this gateway uses it: its state, how it follows the registry, and what
//! becomes of connections that are given back.

mod acquire;
mod choice;
mod elsewhere;
mod lease;
mod notes;
mod positions;
mod reach;

use crate::clock::SteadyClock;
use crate::connection::MemberConnection;
use crate::member::{Member, MemberShare};
use crate::metrics::{Holdings, Metrics};
use crate::settings::GatewaySettings;
use crate::tunnel::Tunnels;
use crate::wire::Wire;
use choice::GroupState;
use corktack_core::distance::Distance;
use corktack_core::gateway::{
    Detour, Freshness, Holder, ReadBound, ReadPosition, ReaderPreferences, SessionProfile,
};
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::registry::{Promotion, RegisteredBackEnd};
use corktack_core::scheduling::{ServiceTimes, SlotQueue, StatementKind};
use corktack_core::tenancy::Principal;
pub(crate) use elsewhere::RemoteOpening;
pub(crate) use lease::Lease;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// Target of the log lines of `acquire` and `reach`: operators may filter by it.
const LOG_TARGET: &str = module_path!();
/// How long a member that said it is no primary is not asked again, unless control says it is.
const NOT_PRIMARY_PAUSE: Duration = Duration::from_millis(150);

/// Whether a member could be reached when it was used as primary; told once on change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReach {
    /// Its group.
    pub group: GroupName,
    /// The member.
    pub member: MemberName,
    /// Whether it could.
    pub reached: bool,
}

/// Who could serve a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// The primary.
    Primary,
    /// A member that this gateway holds connections to, for another gateway.
    Held(MemberName),
    /// Any member but those that have already refused it.
    Reader {
        /// Members that refused it.
        refused: BTreeSet<MemberName>,
    },
}

impl Target {
    /// Whether who asks can go on at once where no member is there.
    fn has_another_way(&self) -> bool {
        match self {
            Self::Held(_) => true,
            Self::Reader { refused } => !refused.is_empty(),
            Self::Primary => false,
        }
    }
}

/// A request for a connection.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionRequest<'s> {
    pub(crate) target: Target,
    pub(crate) session: &'s SessionProfile,
    /// On whose behalf; none for questions of the product's own, which any connection will do for.
    pub(crate) principal: Option<&'s Principal>,
    /// What tells how long it is likely to keep a slot.
    pub(crate) kind: StatementKind,
    /// What a read that any member may serve must see.
    pub(crate) bound: Option<ReadBound>,
    /// Whether it takes one of the slots of the member.
    pub(crate) needs_slot: bool,
    /// When waiting for a connection ends.
    pub(crate) give_up: Instant,
}

/// A connection, and the position that a read on it must see.
pub(crate) struct Located<W: Wire> {
    pub(crate) lease: Lease<W>,
    /// There for a request with a bound.
    pub(crate) position: Option<ReadPosition>,
}

/// Where a request can be served.
pub(crate) enum Location<W: Wire> {
    /// On a connection of this gateway.
    Local(Box<Located<W>>),
    /// On one of these gateways' connections to a member.
    Remote(MemberName, Vec<Holder>),
}

/// What the registry says of a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupFacts {
    pub(crate) members: BTreeMap<MemberName, MemberFacts>,
    pub(crate) promotion: Option<Promotion>,
}

/// What the registry says of a member, and who holds connections to it.
#[derive(Clone, Debug)]
pub(crate) struct MemberFacts {
    pub(crate) back_end: Arc<RegisteredBackEnd>,
    pub(crate) share: MemberShare,
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
        let state = GroupState {
            members: BTreeMap::new(),
            promotion: None,
            proven_primary: None,
            not_primary_until: BTreeMap::new(),
            waiting: SlotQueue::default(),
            service_times: ServiceTimes::default(),
            preferences: ReaderPreferences::of(&settings.name),
        };
        let freshness = RefCell::default();
        let state = RefCell::new(state);
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
        state.members.retain(|name, _| facts.members.contains_key(name));
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
        if state.promotion != facts.promotion {
            state.members.values_mut().for_each(|member| member.detour = Detour::default());
            state.promotion.clone_from(&facts.promotion);
            state.not_primary_until.clear();
            state.proven_primary = None;
        }
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
    /// may have.
    pub(crate) fn close_unused(&self) {
        let now = Instant::now();
        for member in self.state.borrow_mut().members.values_mut() {
            member.close_unused(now);
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
        let mut state = self.state.borrow_mut();
        if state.proven_primary.as_ref() != Some(name) {
            log::info!(group:% = self.name, member:% = name; "primary found");
            state.proven_primary = Some(name.clone());
        }
        state.not_primary_until.remove(name);
    }

    /// A member refused what only the primary takes.
    pub(crate) fn note_not_primary(&self, name: &MemberName) {
        let mut state = self.state.borrow_mut();
        if state.proven_primary.as_ref() == Some(name) {
            state.proven_primary = None;
        }
        let until = Instant::now() + NOT_PRIMARY_PAUSE;
        state.not_primary_until.insert(name.clone(), until);
    }
}
