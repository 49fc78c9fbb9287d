//! Waits for room at a member, for requests that find none.
//!
//! [`corktack_core::scheduling::SlotQueue`] orders the waiting requests and refuses those that can't be
//! served in time. The group wakes a waiter when a connection is free; a place reserved for a waiter that has
//! gone passes to the next one.

use super::choice::LocalConnection;
use super::{ConnectionRequest, Group, LOG_TARGET, Target};
use crate::error::AcquireError;
use crate::wire::Wire;
use corktack_core::identity::MemberName;
use corktack_core::scheduling::{Capacity, NoSlotInTime, SlotRequest, SlotTarget, SlotTicket};
use corktack_core::tenancy::Principal;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

/// Longest wait before a waiter evaluates the members again without being woken: a member may get room
/// without a connection being returned, so that waiters that rely on wake-ups alone starve although members
/// have room. A shorter interval costs processor time for each waiter; a longer one leaves room unused for
/// that long.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

impl<W: Wire> Group<W> {
    /// Waits for a connection, or room for one; returns none if the members have to be evaluated again.
    pub(super) async fn wait_for_room(
        &self,
        request: &ConnectionRequest<'_>,
        has_waited: bool,
    ) -> Result<Option<LocalConnection<W>>, AcquireError> {
        let woken = self.wait_in_queue(request, has_waited).await?;
        let Some(member) = woken else { return Ok(None) };
        Ok(self.state.borrow_mut().take_reserved(&member, request, &self.settings))
    }

    /// Waits for a member with a place reserved for this waiter; returns none after [`RECHECK_INTERVAL`],
    /// and an error at the request's deadline.
    async fn wait_in_queue(
        &self,
        request: &ConnectionRequest<'_>,
        has_waited: bool,
    ) -> Result<Option<MemberName>, AcquireError> {
        let (waker, woken) = oneshot::channel();
        let (slot_request, capacity) = self.slot_request(request);
        let ticket = {
            let waiting = &mut self.state.borrow_mut().waiting;
            if has_waited {
                waiting.requeue(slot_request.clone(), waker)
            } else {
                let enqueued = waiting.enqueue(self.now(), slot_request.clone(), capacity, waker);
                enqueued.map_err(no_slot_error)?
            }
        };
        let mut place = QueuePlace { group: self, ticket, woken };
        let recheck_at = (Instant::now() + RECHECK_INTERVAL).min(request.wait_deadline);
        match timeout_at(recheck_at, &mut place.woken).await {
            Ok(member) => Ok(member.ok()),
            Err(_) if Instant::now() < request.wait_deadline => Ok(None),
            Err(_) => {
                self.log_wait_timeout(request);
                let error = self.state.borrow_mut().waiting.refuse_expired(
                    self.now(),
                    &slot_request,
                    capacity,
                );
                Err(no_slot_error(error))
            }
        }
    }

    /// Returns the slot request for the queue, and the capacity of the members that can serve the request.
    fn slot_request(&self, request: &ConnectionRequest<'_>) -> (SlotRequest, Capacity) {
        let state = self.state.borrow();
        let slot_request = SlotRequest {
            target: match &request.target {
                Target::Primary => SlotTarget::Primary,
                Target::Reader { refused } => SlotTarget::AnyExcept(refused.clone()),
                Target::Held(member) => SlotTarget::Member(member.clone()),
            },
            priority: request.kind.priority,
            tenant: request.principal.and_then(Principal::tenant).cloned(),
            cost: state.service_times.estimate(request.kind),
            deadline: self.clock.timestamp_of(request.wait_deadline),
        };
        let capacity = state.capacity(&slot_request.target);
        (slot_request, capacity)
    }

    /// Logs for each member that this gateway holds connections to why the request got none in time.
    fn log_wait_timeout(&self, request: &ConnectionRequest<'_>) {
        let state = self.state.borrow();
        let waiting = state.waiting.len();
        for (name, member) in &state.members {
            if !member.holds_connections() {
                continue;
            }
            log::debug!(
                target: LOG_TARGET, group:% = self.name, member:% = name, wish:? = request.target,
                waiting, open = member.pool.open(), idle = member.pool.idle(),
                resting = member.pool.idle_in_transaction(), limit = member.pool.limit();
                "no room at a member in time"
            );
        }
    }
}

fn no_slot_error(NoSlotInTime { retry_after }: NoSlotInTime) -> AcquireError {
    AcquireError::NoneFree { retry_after }
}

/// Place of a request in the queue; leaves the queue on drop, when the request ends or evaluates again.
struct QueuePlace<'g, W: Wire> {
    group: &'g Group<W>,
    ticket: SlotTicket,
    woken: oneshot::Receiver<MemberName>,
}

impl<W: Wire> Drop for QueuePlace<'_, W> {
    fn drop(&mut self) {
        let mut state = self.group.state.borrow_mut();
        if state.waiting.remove(self.group.now(), self.ticket) {
            return;
        }
        // The waiter was woken but is dropped before it took the reserved place: it goes to the next one.
        if let Ok(member) = self.woken.try_recv() {
            state.release_reserved(self.group.now(), &member);
        }
    }
}
