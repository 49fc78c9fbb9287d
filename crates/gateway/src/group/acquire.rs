//! Finds where a request can be served, waits for room there, and opens connections.

use super::choice::Step;
use super::{ConnectionRequest, Group, LOG_TARGET, Lease, Located, Location, Target};
use crate::connection::MemberConnection;
use crate::dial::{Destination, dial};
use crate::error::{AcquireError, DialError, LinkError};
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

/// Pause between two evaluations while no member that could serve can be reached.
const NO_MEMBER_PAUSE: Duration = Duration::from_millis(30);
/// Longest wait before a waiter evaluates by itself: what kept a member from having room may pass
/// without a connection being given back.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

impl<W: Wire> Group<W> {
    /// Waits for a connection to a member that could serve the request, local or remote.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        request: &ConnectionRequest<'_>,
    ) -> Result<Located<W>, AcquireError> {
        match self.locate(request).await? {
            Location::Local(located) => Ok(*located),
            Location::Remote(member, holders) => {
                self.acquire_remote(member, &holders, request).await
            }
        }
    }

    /// Waits until it is clear where the request can be served.
    pub(crate) async fn locate(
        self: &Rc<Self>,
        request: &ConnectionRequest<'_>,
    ) -> Result<Location<W>, AcquireError> {
        let asked = Instant::now();
        let location = self.find_location(request).await;
        // The product's own questions are no statements.
        if let Ok(Location::Local(_)) = location
            && request.needs_slot
        {
            self.metrics.note_wait(asked.elapsed());
        }
        location
    }

    async fn find_location(
        self: &Rc<Self>,
        request: &ConnectionRequest<'_>,
    ) -> Result<Location<W>, AcquireError> {
        let position = self.position_for(request).await?;
        let local = |lease| Location::Local(Box::new(Located { lease, position }));
        let mut has_waited = false;
        loop {
            match self.next_step(request) {
                Step::Use(member, connection) => return Ok(local(self.leased(member, connection))),
                Step::Dial(member, back_end) => {
                    return self.open(member, &back_end, request.principal).await.map(local);
                }
                Step::Remote(member, holders) => return Ok(Location::Remote(member, holders)),
                Step::RemoteAndCheck(member, holders, back_end) => {
                    self.check(&member, back_end);
                    return Ok(Location::Remote(member, holders));
                }
                Step::Wait => {
                    let woken =
                        self.wait(request, std::mem::replace(&mut has_waited, true)).await?;
                    let Some(member) = woken else { continue };
                    let step =
                        self.state.borrow_mut().take_reserved(&member, request, &self.settings);
                    match step {
                        Step::Use(member, connection) => {
                            return Ok(local(self.leased(member, connection)));
                        }
                        Step::Dial(member, back_end) => {
                            return self
                                .open(member, &back_end, request.principal)
                                .await
                                .map(local);
                        }
                        Step::Remote(..)
                        | Step::RemoteAndCheck(..)
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
                Step::NoMember if request.target.has_another_way() => {
                    return Err(AcquireError::NoMember);
                }
                Step::NoMember => {
                    let until = Instant::now() + NO_MEMBER_PAUSE;
                    if until >= request.give_up {
                        return Err(AcquireError::NoMember);
                    }
                    tokio::time::sleep_until(until).await;
                }
            }
        }
    }

    fn next_step(&self, request: &ConnectionRequest<'_>) -> Step<W> {
        let mut state = self.state.borrow_mut();
        state.step(request, &self.settings, self.clock, &self.tunnels)
    }

    fn leased(self: &Rc<Self>, member: MemberName, connection: MemberConnection<W>) -> Lease<W> {
        Lease::new(Rc::clone(self), member, connection)
    }

    /// Waits for a member with room that is kept for this waiter, or until it is time to evaluate again.
    async fn wait(
        &self,
        request: &ConnectionRequest<'_>,
        has_waited: bool,
    ) -> Result<Option<MemberName>, AcquireError> {
        let (waker, woken) = oneshot::channel();
        let (slot_request, capacity) = self.slot_request(request);
        let ticket = {
            let waiting = &mut self.state.borrow_mut().waiting;
            if has_waited {
                waiting.wait_on(slot_request.clone(), waker)
            } else {
                let enqueued = waiting.enqueue(self.now(), slot_request.clone(), capacity, waker);
                enqueued.map_err(none_free)?
            }
        };
        let mut place = QueuePlace { group: self, ticket, woken };
        let recheck_at = (Instant::now() + RECHECK_INTERVAL).min(request.give_up);
        match timeout_at(recheck_at, &mut place.woken).await {
            Ok(member) => Ok(member.ok()),
            Err(_) if Instant::now() < request.give_up => Ok(None),
            Err(_) => {
                self.explain_wait(request);
                let over =
                    self.state.borrow_mut().waiting.time_over(self.now(), &slot_request, capacity);
                Err(none_free(over))
            }
        }
    }

    /// What the queue is told of a request, and what serves it.
    fn slot_request(&self, request: &ConnectionRequest<'_>) -> (SlotRequest, Capacity) {
        let state = self.state.borrow();
        let slot_request = SlotRequest {
            wish: match &request.target {
                Target::Primary => SlotTarget::Primary,
                Target::Reader { refused } => SlotTarget::AnyBut(refused.clone()),
                Target::Held(member) => SlotTarget::At(member.clone()),
            },
            priority: request.kind.priority,
            tenant: request.principal.and_then(Principal::tenant).cloned(),
            cost: state.service_times.estimate(request.kind),
            give_up: self.clock.at(request.give_up),
        };
        let capacity = state.capacity(&slot_request.wish);
        (slot_request, capacity)
    }

    /// Says what kept a request from being served in its time.
    fn explain_wait(&self, request: &ConnectionRequest<'_>) {
        let state = self.state.borrow();
        let waiting = state.waiting.len();
        for (name, member) in state.members.iter().filter(|(_, member)| member.holds_connections())
        {
            log::debug!(
                target: LOG_TARGET, group:% = self.name, member:% = name, wish:? = request.target,
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

/// A place among those who wait; left where who waits goes, or evaluates again.
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
