//! Slots of a group: the right to run one transaction, and the wait for it.
//!
//! The module owns the grants; it relies on the admission queue of `corktack_core` for whose turn it is.

use super::{Group, GroupState};
use corktack_core::admission::{AdmissionError, RequiredRole, Ticket};
use corktack_core::identity::ClassName;
use corktack_core::time::Timestamp;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

impl Group {
    /// Asks for a slot.
    pub fn enqueue(
        self: &Arc<Self>,
        class: &ClassName,
        lane: RequiredRole,
        deadline: Timestamp,
    ) -> Result<PendingSlot, AdmissionError> {
        let (sender, receiver) = oneshot::channel();
        let now = self.now();
        let ticket = self.with_state(|state| {
            let admitted = state.admission.enqueue(class, lane, now, deadline)?;
            // Without its sender, a request given up hears of it at once.
            admitted.displaced.map(|displaced| state.grants.remove(&displaced));
            state.grants.insert(admitted.ticket, sender);
            Ok(admitted.ticket)
        })?;
        self.grant_slots();
        Ok(PendingSlot { group: Arc::clone(self), ticket, receiver })
    }

    /// Hands free slots to waiting requests.
    pub fn grant_slots(self: &Arc<Self>) {
        let now = self.now();
        let granted = self.with_state(|state| {
            let available = self.primary_available(state);
            let tickets = state.admission.grant(now, available);
            let take = |ticket| state.grants.remove(&ticket);
            let senders: Vec<_> = tickets.into_iter().map(take).collect();
            self.measure(state);
            senders
        });
        for sender in granted {
            let slot = Slot { group: Arc::clone(self), granted: Instant::now() };
            // A slot that nobody takes any more is released when it is dropped.
            drop(sender.map(|sender| sender.send(slot)));
        }
    }

    fn measure(&self, state: &GroupState) {
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
            drop(state.grants.remove(&ticket));
        });
    }
}

/// The right to run one transaction; given back when dropped.
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

/// Why a wait for a slot ended without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GivenUp {
    /// The deadline came first.
    Late,
    /// The place in the full queue went to another class.
    Displaced,
}

/// A place in the queue; given up when dropped.
#[derive(Debug)]
pub(crate) struct PendingSlot {
    group: Arc<Group>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Slot>,
}

impl PendingSlot {
    /// The slot, unless the wait is given up.
    pub async fn wait(mut self, deadline: Timestamp) -> Result<Slot, GivenUp> {
        let left = deadline.saturating_since(self.group.now());
        let granted = tokio::time::timeout(left, &mut self.receiver).await;
        granted.map_err(|_| GivenUp::Late)?.map_err(|_| GivenUp::Displaced)
    }
}

impl Drop for PendingSlot {
    fn drop(&mut self) {
        self.group.remove_ticket(self.ticket);
    }
}
