//! The way of a request to a connection.
//!
//! It is for everyone who needs a connection. It owns the order of the steps: [`choice`](super::choice)
//! decides, [`wait`](super::wait) waits for room, [`connect`](super::connect) opens a connection of this
//! gateway, [`remote`](super::remote) asks others for one of theirs. It relies on
//! [`positions`](super::positions) for what a read must see.

use super::choice::{Step, Taken};
use super::{ConnectionRequest, Group, Lease, Located, Location};
use crate::error::AcquireError;
use crate::wire::Wire;
use corktack_core::gateway::ReadPosition;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Pause between two evaluations while no member that could serve can be reached. Chosen, not measured:
/// lower, statements that wait for a new primary cost processor time; higher, they find it later.
const NO_MEMBER_PAUSE: Duration = Duration::from_millis(30);

impl<W: Wire> Group<W> {
    /// Waits for a connection to a member that could serve the request, local or remote.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        request: &ConnectionRequest<'_>,
    ) -> Result<Located<W>, AcquireError> {
        match self.locate(request).await? {
            Location::Local(located) => Ok(*located),
            Location::Remote(member) => self.acquire_remote(&member, request).await,
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
        let mut has_waited = false;
        loop {
            match self.next_step(request) {
                Step::Take(taken) => return self.use_taken(taken, request, position).await,
                Step::Remote(member) => return Ok(Location::Remote(member)),
                Step::Full(member) => return Err(AcquireError::Full(member)),
                Step::RemoteAndCheck(member, back_end) => {
                    self.check(&member.name, back_end);
                    return Ok(Location::Remote(member));
                }
                Step::Wait => {
                    let waited = std::mem::replace(&mut has_waited, true);
                    if let Some(taken) = self.wait_for_room(request, waited).await? {
                        return self.use_taken(taken, request, position).await;
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

    async fn use_taken(
        self: &Rc<Self>,
        taken: Taken<W>,
        request: &ConnectionRequest<'_>,
        position: Option<ReadPosition>,
    ) -> Result<Location<W>, AcquireError> {
        let lease = match taken {
            Taken::Idle(member, connection) => Lease::new(Rc::clone(self), member, connection),
            Taken::ToOpen(member, back_end) => {
                self.open(member, &back_end, request.principal).await?
            }
        };
        Ok(Location::Local(Box::new(Located { lease, position })))
    }
}
