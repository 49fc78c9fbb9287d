//! Finds where a wish can be served, waits for room there, and opens connections.

use super::choice::Step;
use super::{Group, LOG_TARGET, Located, Place, Target, Wish};
use crate::connection::MemberConnection;
use crate::dial::{Destination, dial};
use crate::error::{AcquireError, DialError, LinkError};
use crate::lease::Lease;
use crate::wire::Wire;
use corktack_core::identity::MemberName;
use corktack_core::registry::RegisteredBackEnd;
use corktack_core::scheduling::{Capacity, NoSlotInTime, SlotRequest, SlotTarget, SlotTicket};
use corktack_core::statement::ErrorCode;
use corktack_core::tenancy::Principal;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

/// Pause between two looks while no member that could serve can be reached.
const NO_MEMBER_PAUSE: Duration = Duration::from_millis(30);
/// Longest wait before a waiter looks by itself: what kept a member from having room may pass
/// without a connection being given back.
const WAIT_LOOK: Duration = Duration::from_millis(25);

impl<W: Wire> Group<W> {
    /// Waits for a connection to a member that could serve the wish, here or elsewhere.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        wish: &Wish<'_>,
    ) -> Result<Located<W>, AcquireError> {
        match self.place(wish).await? {
            Place::Here(located) => Ok(*located),
            Place::Elsewhere(member, holders) => self.forward(member, &holders, wish).await,
        }
    }

    /// Waits until it is clear where the wish can be served.
    pub(crate) async fn place(self: &Rc<Self>, wish: &Wish<'_>) -> Result<Place<W>, AcquireError> {
        let asked = Instant::now();
        let place = self.find_place(wish).await;
        // The product's own questions are no statements.
        if let Ok(Place::Here(_)) = place
            && wish.needs_slot
        {
            self.metrics.note_wait(asked.elapsed());
        }
        place
    }

    async fn find_place(self: &Rc<Self>, wish: &Wish<'_>) -> Result<Place<W>, AcquireError> {
        let position = self.position_for(wish).await?;
        let here = |lease| Place::Here(Box::new(Located { lease, position }));
        let mut has_waited = false;
        loop {
            match self.next_step(wish) {
                Step::Use(member, connection) => return Ok(here(self.leased(member, connection))),
                Step::Dial(member, back_end) => {
                    return self.open(member, &back_end, wish.principal).await.map(here);
                }
                Step::Forward(member, holders) => return Ok(Place::Elsewhere(member, holders)),
                Step::ForwardAndCheck(member, holders, back_end) => {
                    self.check(&member, back_end);
                    return Ok(Place::Elsewhere(member, holders));
                }
                Step::Wait => {
                    let woken = self.wait(wish, std::mem::replace(&mut has_waited, true)).await?;
                    let Some(member) = woken else { continue };
                    let step = self.state.borrow_mut().take_reserved(&member, wish, &self.settings);
                    match step {
                        Step::Use(member, connection) => {
                            return Ok(here(self.leased(member, connection)));
                        }
                        Step::Dial(member, back_end) => {
                            return self.open(member, &back_end, wish.principal).await.map(here);
                        }
                        Step::Forward(..)
                        | Step::ForwardAndCheck(..)
                        | Step::NoHolder(_)
                        | Step::Wait
                        | Step::NoMember => (),
                    }
                }
                Step::NoHolder(member) => {
                    self.begin_fallback(&member);
                    return Err(AcquireError::NoHolder(member));
                }
                // Another gateway asks the next one at once, and the primary may serve a read that
                // others refused.
                Step::NoMember if wish.target.has_another_way() => {
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

    fn next_step(&self, wish: &Wish<'_>) -> Step<W> {
        let mut state = self.state.borrow_mut();
        state.step(wish, &self.settings, self.clock, &self.tunnels)
    }

    fn leased(self: &Rc<Self>, member: MemberName, connection: MemberConnection<W>) -> Lease<W> {
        Lease::new(Rc::clone(self), member, connection)
    }

    /// Waits for a member with room that is kept for this waiter, or until it is time to look.
    async fn wait(
        &self,
        wish: &Wish<'_>,
        has_waited: bool,
    ) -> Result<Option<MemberName>, AcquireError> {
        let (waker, woken) = oneshot::channel();
        let (request, capacity) = self.slot_request(wish);
        let ticket = {
            let waiting = &mut self.state.borrow_mut().waiting;
            if has_waited {
                waiting.wait_on(request.clone(), waker)
            } else {
                let enqueued = waiting.enqueue(self.now(), request.clone(), capacity, waker);
                enqueued.map_err(none_free)?
            }
        };
        let mut place = QueuePlace { group: self, ticket, woken };
        let look = (Instant::now() + WAIT_LOOK).min(wish.give_up);
        match timeout_at(look, &mut place.woken).await {
            Ok(member) => Ok(member.ok()),
            Err(_) if Instant::now() < wish.give_up => Ok(None),
            Err(_) => {
                self.explain_wait(wish);
                let over =
                    self.state.borrow_mut().waiting.time_over(self.now(), &request, capacity);
                Err(none_free(over))
            }
        }
    }

    /// What the queue is told of a wish, and what serves it.
    fn slot_request(&self, wish: &Wish<'_>) -> (SlotRequest, Capacity) {
        let state = self.state.borrow();
        let request = SlotRequest {
            wish: match &wish.target {
                Target::Primary => SlotTarget::Primary,
                Target::Reader { refused } => SlotTarget::AnyBut(refused.clone()),
                Target::Held(member) => SlotTarget::At(member.clone()),
            },
            priority: wish.kind.priority,
            tenant: wish.principal.and_then(Principal::tenant).cloned(),
            cost: state.service_times.estimate(wish.kind),
            give_up: self.clock.at(wish.give_up),
        };
        let capacity = state.capacity(&request.wish);
        (request, capacity)
    }

    /// Says what kept a wish from being served in its time.
    fn explain_wait(&self, wish: &Wish<'_>) {
        let state = self.state.borrow();
        let waiting = state.waiting.len();
        for (name, member) in state.members.iter().filter(|(_, member)| member.holds_connections())
        {
            log::debug!(
                target: LOG_TARGET, group:% = self.name, member:% = name, wish:? = wish.target,
                waiting, open = member.pool.open(), idle = member.pool.idle(),
                resting = member.pool.idle_in_transaction(), limit = member.pool.limit();
                "no room at a member in time"
            );
        }
    }

    pub(super) async fn open(
        self: &Rc<Self>,
        member: MemberName,
        back_end: &RegisteredBackEnd,
        principal: Option<&Principal>,
    ) -> Result<Lease<W>, AcquireError> {
        let place = OpenPlace { group: Rc::clone(self), member: Some(member.clone()) };
        let destination = Destination {
            group: &self.name,
            member: &member,
            address: back_end.address,
            principal: principal.unwrap_or(&Principal::Unnamed),
        };
        let dialed = dial(&self.wire, &self.settings, destination).await;
        match dialed {
            Ok((connection, _)) => {
                self.note_reached(&member);
                place.keep();
                Ok(Lease::new(Rc::clone(self), member, connection))
            }
            Err(error) => {
                log::info!(
                    target: LOG_TARGET, group:% = self.name, member:% = member, error:% = error;
                    "member cannot be connected to"
                );
                match &error {
                    DialError::Refused { code: ErrorCode::TooManyConnections, .. } => {
                        let now = Instant::now();
                        self.with_member(&member, |it| it.pauses.note_full(now));
                        return Err(AcquireError::Full(member));
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
                        self.with_member(&member, |it| it.pauses.note_busy(now));
                    }
                }
                Err(AcquireError::Unreachable(member))
            }
        }
    }
}

fn none_free(NoSlotInTime { retry_after }: NoSlotInTime) -> AcquireError {
    AcquireError::NoneFree { retry_after }
}

/// A place among those who wait; left where who waits goes, or looks around.
struct QueuePlace<'g, W: Wire> {
    group: &'g Group<W>,
    ticket: SlotTicket,
    woken: oneshot::Receiver<MemberName>,
}

impl<W: Wire> Drop for QueuePlace<'_, W> {
    fn drop(&mut self) {
        let mut state = self.group.state.borrow_mut();
        if state.waiting.leave(self.group.now(), self.ticket) {
            return;
        }
        // Woken, and not there any more to take what was kept: the next one may.
        if let Ok(member) = self.woken.try_recv() {
            state.release_reserved(self.group.now(), &member);
        }
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
