//! Waiting for room at a member.
//!
//! It is for requests that find none. It owns the place of a request in the queue, and sees to it that what
//! was kept for a waiter that has gone goes on to the next. It relies on
//! [`corktack_core::scheduling::SlotQueue`] for who is served before whom and who is refused at once, and on
//! the group to wake waiters when a connection is free.

use super::choice::Taken;
use super::{ConnectionRequest, Group, LOG_TARGET, Target};
use crate::error::AcquireError;
use crate::wire::Wire;
use corktack_core::identity::MemberName;
use corktack_core::scheduling::{Capacity, NoSlotInTime, SlotRequest, SlotTarget, SlotTicket};
use corktack_core::tenancy::Principal;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

/// Longest wait before a waiter evaluates by itself: what kept a member from having room may pass
/// without a connection being given back. Waiters that relied on that alone starved although members had
/// room. The figure is chosen, not measured: lower costs processor time for each that waits, higher leaves
/// room unused for that long.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

impl<W: Wire> Group<W> {
    /// Waits for a connection, or room for one; none where it is time to evaluate again.
    pub(super) async fn wait_for_room(
        &self,
        request: &ConnectionRequest<'_>,
        has_waited: bool,
    ) -> Result<Option<Taken<W>>, AcquireError> {
        let woken = self.wait(request, has_waited).await?;
        let Some(member) = woken else { return Ok(None) };
        Ok(self.state.borrow_mut().take_reserved(&member, request, &self.settings))
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
            target: match &request.target {
                Target::Primary => SlotTarget::Primary,
                Target::Reader { refused } => SlotTarget::AnyBut(refused.clone()),
                Target::Held(member) => SlotTarget::At(member.clone()),
            },
            priority: request.kind.priority,
            tenant: request.principal.and_then(Principal::tenant).cloned(),
            cost: state.service_times.estimate(request.kind),
            give_up: self.clock.at(request.give_up),
        };
        let capacity = state.capacity(&slot_request.target);
        (slot_request, capacity)
    }

    /// Says what kept a request from being served in its time.
    fn explain_wait(&self, request: &ConnectionRequest<'_>) {
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
