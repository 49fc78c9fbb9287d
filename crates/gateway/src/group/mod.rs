//! A group of back ends as this gateway uses it.

mod choice;
mod elsewhere;
mod notes;

use crate::clock::SteadyClock;
use crate::connection::MemberConnection;
use crate::dial::dial;
use crate::error::{AcquireError, DialError, LinkError};
use crate::lease::Lease;
use crate::member::{IdleConnection, Member};
use crate::metrics::{Holdings, Metrics};
use crate::settings::GatewaySettings;
use crate::tunnel::Tunnels;
use crate::wire::Wire;
use choice::{GroupState, Step};
use corktack_core::gateway::{
    Detour, Distance, Freshness, SessionProfile, Ticket, WaitQueue, WaitingFor,
};
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::registry::{Promotion, RegisteredBackEnd};
use corktack_core::statement::ErrorCode;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

/// How long a member that said it is no primary is not asked again, unless control says it is.
const NOT_PRIMARY_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two looks while no member that could serve can be reached.
const NO_MEMBER_PAUSE: Duration = Duration::from_millis(30);
/// Longest wait before a waiter looks by itself: what kept a member from having room may pass
/// without a connection being given back.
const WAIT_LOOK: Duration = Duration::from_millis(25);

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

/// A wish for a connection.
#[derive(Clone, Debug)]
pub(crate) struct Wish<'s> {
    pub(crate) target: Target,
    pub(crate) session: &'s SessionProfile,
    pub(crate) priority: u32,
    /// When waiting for a connection ends.
    pub(crate) give_up: Instant,
}

/// Where a wish can be served.
pub(crate) enum Place<W: Wire> {
    /// On a connection of this gateway.
    Here(Lease<W>),
    /// On one of these gateways' connections to a member.
    Elsewhere(MemberName, Vec<SocketAddr>),
}

/// What the registry says of a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupFacts {
    pub(crate) members: BTreeMap<MemberName, Arc<RegisteredBackEnd>>,
    pub(crate) promotion: Option<Promotion>,
    /// Connections to each member that this gateway may have; none where it holds no share.
    pub(crate) shares: BTreeMap<MemberName, usize>,
    /// Other gateways that hold connections to each member, in the order to ask.
    pub(crate) holders: BTreeMap<MemberName, Vec<SocketAddr>>,
    /// Gateways that share each member.
    pub(crate) gateways: usize,
}

/// A group of back ends as this gateway uses it.
pub(crate) struct Group<W: Wire> {
    pub(crate) name: GroupName,
    wire: W,
    settings: Rc<GatewaySettings>,
    state: RefCell<GroupState<W>>,
    pub(crate) freshness: RefCell<Freshness>,
    /// Told whenever a question for the primary's position has ended.
    pub(crate) position_asked: Notify,
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
            waiting: WaitQueue::default(),
        };
        let freshness = RefCell::default();
        let state = RefCell::new(state);
        Self {
            name,
            wire,
            settings,
            state,
            freshness,
            position_asked: Notify::new(),
            clock,
            reach,
            tunnels,
            metrics,
        }
    }

    /// Takes what the registry says now. Members that left get no new work.
    pub(crate) fn follow(&self, facts: &GroupFacts) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.members.retain(|name, _| facts.members.contains_key(name));
        for (name, back_end) in &facts.members {
            let distance = Distance::between(&self.settings.zone, &back_end.zone);
            let new = || Member::new(Arc::clone(back_end), distance);
            let member = state.members.entry(name.clone()).or_insert_with(new);
            member.follow(back_end, now);
            let share = facts.shares.get(name).copied().unwrap_or_default();
            let holders = facts.holders.get(name).cloned().unwrap_or_default();
            member.share(share, holders, facts.gateways);
        }
        if state.promotion != facts.promotion {
            state.members.values_mut().for_each(|member| member.detour = Detour::default());
            state.promotion.clone_from(&facts.promotion);
            state.not_primary_until.clear();
            state.proven_primary = None;
        }
    }

    /// A place in the order of waiters.
    pub(crate) fn ticket(&self, priority: u32) -> Ticket {
        self.state.borrow_mut().waiting.ticket(priority)
    }

    /// Waits for a connection to a member that could serve the wish, here or elsewhere.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        wish: &Wish<'_>,
    ) -> Result<Lease<W>, AcquireError> {
        match self.place(wish).await? {
            Place::Here(lease) => Ok(lease),
            Place::Elsewhere(member, holders) => self.forward(member, &holders, wish).await,
        }
    }

    /// Waits until it is clear where the wish can be served.
    pub(crate) async fn place(self: &Rc<Self>, wish: &Wish<'_>) -> Result<Place<W>, AcquireError> {
        let asked = Instant::now();
        let place = self.find_place(wish).await;
        if let Ok(Place::Here(_)) = place {
            self.metrics.note_wait(asked.elapsed());
        }
        place
    }

    async fn find_place(self: &Rc<Self>, wish: &Wish<'_>) -> Result<Place<W>, AcquireError> {
        let ticket = self.ticket(wish.priority);
        loop {
            let step = self.state.borrow_mut().step(wish, &self.settings, self.clock);
            match step {
                Step::Use(member, connection) => return Ok(self.leased(member, connection)),
                Step::Dial(member, back_end) => {
                    return self.open(member, &back_end).await.map(Place::Here);
                }
                Step::Forward(member, holders) => return Ok(Place::Elsewhere(member, holders)),
                Step::ForwardAndCheck(member, holders, back_end) => {
                    self.check(&member, back_end);
                    return Ok(Place::Elsewhere(member, holders));
                }
                Step::Wait => {
                    let Some(member) = self.wait(wish, ticket).await? else { continue };
                    let step = self.state.borrow_mut().take_reserved(&member, wish, &self.settings);
                    match step {
                        Step::Use(member, connection) => {
                            return Ok(self.leased(member, connection));
                        }
                        Step::Dial(member, back_end) => {
                            return self.open(member, &back_end).await.map(Place::Here);
                        }
                        Step::Forward(..)
                        | Step::ForwardAndCheck(..)
                        | Step::Wait
                        | Step::NoMember => (),
                    }
                }
                // Another gateway asks the next one at once.
                Step::NoMember if matches!(wish.target, Target::Held(_)) => {
                    return Err(AcquireError::NoMember);
                }
                Step::NoMember => {
                    let until = Instant::now() + NO_MEMBER_PAUSE;
                    if until >= wish.give_up {
                        return Err(AcquireError::NoMember);
                    }
                    tokio::time::sleep_until(until).await;
                }
            }
        }
    }

    fn leased(self: &Rc<Self>, member: MemberName, connection: MemberConnection<W>) -> Place<W> {
        Place::Here(Lease::new(Rc::clone(self), member, connection))
    }

    /// Waits for a member with room that is kept for this waiter, or until it is time to look.
    async fn wait(
        &self,
        wish: &Wish<'_>,
        ticket: Ticket,
    ) -> Result<Option<MemberName>, AcquireError> {
        let (waker, woken) = oneshot::channel();
        let what = match wish.target {
            Target::Primary => WaitingFor::Primary,
            Target::Reader { .. } => WaitingFor::AnyMember,
            Target::Held(_) => WaitingFor::Primary,
        };
        self.state.borrow_mut().waiting.wait(ticket, what, waker);
        let look = (Instant::now() + WAIT_LOOK).min(wish.give_up);
        let woken = timeout_at(look, woken).await;
        self.state.borrow_mut().waiting.leave(ticket);
        match woken {
            Ok(member) => Ok(member.ok()),
            Err(_) if Instant::now() < wish.give_up => Ok(None),
            Err(_) => Err(AcquireError::NoneFree),
        }
    }

    async fn open(
        self: &Rc<Self>,
        member: MemberName,
        back_end: &RegisteredBackEnd,
    ) -> Result<Lease<W>, AcquireError> {
        let place = OpenPlace { group: Rc::clone(self), member: Some(member.clone()) };
        let dialed = dial(&self.wire, &self.settings, &self.name, &member, back_end.address).await;
        match dialed {
            Ok((connection, _)) => {
                self.note_reached(&member);
                place.keep();
                Ok(Lease::new(Rc::clone(self), member, connection))
            }
            Err(error) => {
                log::info!(
                    group:% = self.name, member:% = member, error:% = error;
                    "member cannot be connected to"
                );
                match &error {
                    DialError::Refused { code: ErrorCode::TooManyConnections, .. } => {
                        let now = Instant::now();
                        self.with_member(&member, |it| it.note_full(now));
                    }
                    DialError::Unreachable(_)
                    | DialError::Refused { code: ErrorCode::WrongMember, .. } => {
                        self.note_unreachable(&member);
                    }
                    DialError::Link(LinkError::TimedOut) if self.is_gone(&member) => {
                        self.note_unreachable(&member);
                    }
                    _ => {
                        let now = Instant::now();
                        self.with_member(&member, |it| it.note_busy(now));
                    }
                }
                Err(AcquireError::Unreachable(member))
            }
        }
    }

    /// Runs `change` on a member that is still there.
    pub(crate) fn with_member(&self, name: &MemberName, change: impl FnOnce(&mut Member<W>)) {
        if let Some(member) = self.state.borrow_mut().members.get_mut(name) {
            change(member);
        }
    }

    /// A member answered; control hears of it if it counted as unreachable.
    pub(crate) fn note_reached(&self, name: &MemberName) {
        let now = self.clock.now();
        let mut news = false;
        self.with_member(name, |member| {
            member.silence.answered(now);
            news = member.note_reached();
        });
        if news {
            self.tell(name, true);
        }
    }

    /// A member gave no answer; control hears of it if it counted as reachable.
    pub(crate) fn note_unreachable(&self, name: &MemberName) {
        let now = Instant::now();
        let mut news = false;
        self.with_member(name, |member| news = member.note_unreachable(now));
        if news {
            self.tell(name, false);
        }
    }

    /// Whether a member that has just left one more question without an answer counts as gone.
    fn is_gone(&self, name: &MemberName) -> bool {
        let now = self.clock.now();
        let mut gone = false;
        // Through another gateway, it is that one that may be slow.
        self.with_member(name, |it| gone = it.limit > 0 && it.silence.unanswered(now));
        if gone {
            log::warn!(
                group:% = self.name, member:% = name;
                "member accepts connections and answers nothing: it counts as unreachable"
            );
        }
        gone
    }

    /// A member owes an answer that should have come. Slow or gone: a new connection will tell.
    pub(crate) fn note_silent(self: &Rc<Self>, name: &MemberName) {
        let now = Instant::now();
        if self.is_gone(name) {
            return self.note_unreachable(name);
        }
        let mut checked = None;
        self.with_member(name, |member| checked = member.note_silent(now));
        if let Some(back_end) = checked {
            self.check(name, back_end);
        }
    }

    /// Connects to a member in the background; its place counts as open already.
    fn check(self: &Rc<Self>, name: &MemberName, back_end: Arc<RegisteredBackEnd>) {
        let (group, name) = (Rc::clone(self), name.clone());
        actix_rt::spawn(async move {
            // The connection goes to the idle ones, or says that the member cannot be reached.
            drop(group.open(name, &back_end).await);
        });
    }

    fn tell(&self, member: &MemberName, reached: bool) {
        let (group, member) = (self.name.clone(), member.clone());
        // Nobody listens at the end of the process only.
        let _ = self.reach.send(MemberReach { group, member, reached });
    }

    /// Takes a connection back; it is kept where the member still takes work.
    pub(crate) fn give_back(&self, name: &MemberName, connection: MemberConnection<W>) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let Some(member) = state.members.get_mut(name) else { return connection.terminate() };
        member.silence.answered(self.clock.at(connection.answered_at()));
        if member.draining_since.is_some() && !member.takes_writes(now, self.settings.drain_limit)
            || member.open > member.limit
        {
            member.open -= 1;
            connection.terminate();
        } else {
            member.idle.push(IdleConnection { connection, since: now });
        }
        state.wake_next(name);
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
        let state = self.state.borrow();
        holdings.waiting += state.waiting.len();
        for member in state.members.values() {
            holdings.idle += member.idle.len();
            holdings.in_use += member.open.saturating_sub(member.idle.len());
            holdings.unreached += usize::from(member.is_unreached());
        }
    }

    /// A connection is gone.
    pub(crate) fn closed(&self, name: &MemberName) {
        let mut state = self.state.borrow_mut();
        if let Some(member) = state.members.get_mut(name) {
            member.open = member.open.saturating_sub(1);
        }
        state.wake_next(name);
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

/// A connection being opened counts as open; the place is given back if it never is.
struct OpenPlace<W: Wire> {
    group: Rc<Group<W>>,
    member: Option<MemberName>,
}

impl<W: Wire> OpenPlace<W> {
    fn keep(mut self) {
        self.member = None;
    }
}

impl<W: Wire> Drop for OpenPlace<W> {
    fn drop(&mut self) {
        if let Some(member) = self.member.take() {
            self.group.closed(&member);
        }
    }
}
