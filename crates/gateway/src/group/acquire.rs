//! Finds where a wish can be served, waits for room there, and opens connections.

use super::choice::Step;
use super::{Group, LOG_TARGET, Located, Place, Target, Wish};
use crate::connection::MemberConnection;
use crate::dial::{Destination, dial};
use crate::error::{AcquireError, DialError, LinkError};
use crate::lease::Lease;
use crate::wire::Wire;
use corktack_core::gateway::{Ticket, WaitingFor};
use corktack_core::identity::MemberName;
use corktack_core::registry::RegisteredBackEnd;
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
        let ticket = self.ticket(wish.priority);
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
                    let Some(member) = self.wait(wish, ticket).await? else { continue };
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
                    self.stand_in(&member);
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
            Err(_) => {
                self.explain_wait(wish);
                Err(AcquireError::NoneFree)
            }
        }
    }

    /// Says what kept a wish from being served in its time.
    fn explain_wait(&self, wish: &Wish<'_>) {
        let state = self.state.borrow();
        let waiting = state.waiting.len();
        for (name, member) in state.members.iter().filter(|(_, member)| member.limit > 0) {
            log::debug!(
                target: LOG_TARGET, group:% = self.name, member:% = name, wish:? = wish.target,
                waiting, open = member.open, idle = member.idle.len(), resting = member.resting,
                limit = member.limit;
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
                        self.with_member(&member, |it| it.note_full(now));
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
                        self.with_member(&member, |it| it.note_busy(now));
                    }
                }
                Err(AcquireError::Unreachable(member))
            }
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
