//! Slots of a group: the right to run one transaction, and the wait for it. The admission queue of
//! `corktack_core` decides the order of the grants.

use super::{Group, GroupState};
use corktack_core::admission::{AdmissionError, RequiredRole, Ticket};
use corktack_core::identity::ClassName;
use corktack_core::time::Timestamp;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

impl Group {
    /// Adds a request for a slot to the queue; fails when the queue is full or the deadline cannot be met.
    pub fn enqueue(
        self: &Arc<Self>,
        class: &ClassName,
        required_role: RequiredRole,
        deadline: Timestamp,
    ) -> Result<PendingSlot, AdmissionError> {
        let (sender, receiver) = oneshot::channel();
        let now = self.now();
        let ticket = self.with_state(|state| {
            let admitted = state.admission.enqueue(class, required_role, now, deadline)?;
            // Dropping the sender ends the wait of a displaced request at once.
            admitted.displaced.map(|displaced| state.grant_senders.remove(&displaced));
            state.grant_senders.insert(admitted.ticket, sender);
            Ok(admitted.ticket)
        })?;
        self.grant_slots();
        Ok(PendingSlot { group: Arc::clone(self), ticket, receiver })
    }

    /// Grants free slots to waiting requests.
    pub fn grant_slots(self: &Arc<Self>) {
        let now = self.now();
        let granted = self.with_state(|state| {
            let primary_available = self.is_primary_available(state);
            let tickets = state.admission.grant(now, primary_available);
            let take_sender = |ticket| state.grant_senders.remove(&ticket);
            let senders: Vec<_> = tickets.into_iter().map(take_sender).collect();
            self.update_gauges(state);
            senders
        });
        for sender in granted {
            let slot = Slot { group: Arc::clone(self), granted: Instant::now() };
            // If the request is gone, dropping the slot releases it.
            drop(sender.map(|sender| sender.send(slot)));
        }
    }

    fn update_gauges(&self, state: &GroupState) {
        let label = self.label();
        let length = i64::from(state.admission.length());
        self.metrics.queue_length.get_or_create(&label).set(length);
        let in_use = i64::from(state.admission.in_use());
        self.metrics.slots_in_use.get_or_create(&label).set(in_use);
    }

    fn release_slot(self: &Arc<Self>, service_time: Duration) {
        self.with_state(|state| state.admission.release(service_time));
        self.grant_slots();
    }

    fn remove_ticket(&self, ticket: Ticket) {
        self.with_state(|state| {
            state.admission.remove(ticket);
            drop(state.grant_senders.remove(&ticket));
        });
    }
}

/// The right to run one transaction; dropping it releases the slot.
#[derive(Debug)]
pub(crate) struct Slot {
    group: Arc<Group>,
    granted: Instant,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.group.release_slot(self.granted.elapsed());
    }
}

/// Reasons why a wait for a slot ended without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotWaitError {
    /// The deadline passed first.
    DeadlinePassed,
    /// A request of another class took the place in the full queue.
    Displaced,
}

/// A place in the queue; dropping it removes the request from the queue.
#[derive(Debug)]
pub(crate) struct PendingSlot {
    group: Arc<Group>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Slot>,
}

impl PendingSlot {
    /// Waits for the slot until the deadline.
    pub async fn wait(mut self, deadline: Timestamp) -> Result<Slot, SlotWaitError> {
        let remaining = deadline.saturating_since(self.group.now());
        let granted = tokio::time::timeout(remaining, &mut self.receiver).await;
        granted.map_err(|_| SlotWaitError::DeadlinePassed)?.map_err(|_| SlotWaitError::Displaced)
    }
}

impl Drop for PendingSlot {
    fn drop(&mut self) {
        self.group.remove_ticket(self.ticket);
    }
}
