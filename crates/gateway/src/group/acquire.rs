//! Acquires a connection for a request.
//!
//! [`choice`](super::choice) chooses the next step; this module carries it out: [`wait`](super::wait) waits
//! for room, [`connect`](super::connect) opens a connection of this gateway, [`remote`](super::remote) asks
//! other gateways for one of theirs. [`positions`](super::positions) gives the position that a read must see.

use super::choice::{LocalConnection, Step};
use super::{ConnectionRequest, Group, Lease, LocatedConnection, Location};
use crate::error::AcquireError;
use crate::wire::Wire;
use corktack_core::gateway::ReadPosition;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Pause between two evaluations while no member that could serve the request can be reached. A shorter pause
/// costs processor time for statements that wait for a new primary; a longer one lets them find it later.
const NO_MEMBER_PAUSE: Duration = Duration::from_millis(30);

impl<W: Wire> Group<W> {
    /// Waits for a connection to a member that could serve the request, local or remote.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        request: &ConnectionRequest<'_>,
    ) -> Result<LocatedConnection<W>, AcquireError> {
        match self.locate(request).await? {
            Location::Local(located) => Ok(*located),
            Location::Remote(member) => self.acquire_remote(&member, request).await,
        }
    }

    /// Waits until the request can be served on a connection of this gateway, or has to be served by another.
    pub(crate) async fn locate(
        self: &Rc<Self>,
        request: &ConnectionRequest<'_>,
    ) -> Result<Location<W>, AcquireError> {
        let started_at = Instant::now();
        let location = self.find_location(request).await;
        // Position requests of the gateway itself are not statements and don't count in the wait times.
        if let Ok(Location::Local(_)) = location
            && request.needs_slot
        {
            self.metrics.record_wait(started_at.elapsed());
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
                Step::UseLocal(connection) => {
                    return self.lease_connection(connection, request, position).await;
                }
                Step::Remote(member) => return Ok(Location::Remote(member)),
                Step::Full(member) => return Err(AcquireError::Full(member)),
                Step::RemoteAndReconnect(member, back_end) => {
                    self.connect_in_background(&member.name, back_end);
                    return Ok(Location::Remote(member));
                }
                Step::Wait => {
                    let waited_before = std::mem::replace(&mut has_waited, true);
                    if let Some(connection) = self.wait_for_room(request, waited_before).await? {
                        return self.lease_connection(connection, request, position).await;
                    }
                }
                Step::NoHolder(member) => {
                    self.begin_fallback(&member);
                    return Err(AcquireError::NoHolder(member));
                }
                // A gateway that asked for this member can ask the next holder at once, and the primary may
                // serve a read that other members refused.
                Step::NoMember if request.target.has_alternative() => {
                    return Err(AcquireError::NoMember);
                }
                Step::NoMember => {
                    let until = Instant::now() + NO_MEMBER_PAUSE;
                    if until >= request.wait_deadline {
                        return Err(AcquireError::NoMember);
                    }
                    tokio::time::sleep_until(until).await;
                }
            }
        }
    }

    fn next_step(&self, request: &ConnectionRequest<'_>) -> Step<W> {
        let mut state = self.state.borrow_mut();
        state.choose_step(request, &self.settings, self.clock, &self.tunnels)
    }

    async fn lease_connection(
        self: &Rc<Self>,
        connection: LocalConnection<W>,
        request: &ConnectionRequest<'_>,
        position: Option<ReadPosition>,
    ) -> Result<Location<W>, AcquireError> {
        let lease = match connection {
            LocalConnection::Idle(member, connection) => {
                Lease::new(Rc::clone(self), member, *connection)
            }
            LocalConnection::ToOpen(member, back_end) => {
                self.open(member, &back_end, request.principal).await?
            }
        };
        Ok(Location::Local(Box::new(LocatedConnection { lease, position })))
    }
}
