//! The wait queue for the members of one group.
//!
//! [`SlotQueue`] takes requests for which no slot is free and grants freed slots, highest class
//! first. It owns the classes and the retry times promised to refused callers. `class` defines the
//! order within a class; `likely_wait` the decision to refuse and the retry time.

use super::class::ClassQueue;
use super::request::{Capacity, NoSlotInTime, SlotRequest, SlotTicket, Waiting};
use crate::identity::MemberName;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Maximum number of statements that wait in one class, which bounds memory. At the highest
/// expected rates, 0.2 s of waiting correspond to some hundred statements.
const MAX_CLASS_LENGTH: usize = 1_024;

/// Requests that wait for slots of the members of one group. `W` is the waker that tells a request
/// that it has its slot.
#[derive(Debug)]
pub struct SlotQueue<W> {
    pub(super) classes: BTreeMap<u32, ClassQueue<W>>,
    last_ticket: u64,
    /// Latest retry time promised to a refused caller, for each class.
    pub(super) promised_retry: BTreeMap<u32, Timestamp>,
}

impl<W> Default for SlotQueue<W> {
    fn default() -> Self {
        Self { classes: BTreeMap::new(), last_ticket: 0, promised_retry: BTreeMap::new() }
    }
}

impl<W> SlotQueue<W> {
    /// Enqueues a request for which no slot is free now. [`SlotQueue::next`] returns its waker when
    /// it gets a slot.
    ///
    /// # Errors
    /// [`NoSlotInTime`] if the request is not likely to get a slot before its deadline, or if its
    /// class is full.
    pub fn enqueue(
        &mut self,
        now: Timestamp,
        request: SlotRequest,
        capacity: Capacity,
        waker: W,
    ) -> Result<SlotTicket, NoSlotInTime> {
        let class = self.classes.entry(request.priority).or_default();
        class.record_offered(now, &request.tenant, request.cost);
        let wait = self.likely_wait(now, &request, capacity);
        let is_full = self
            .classes
            .get(&request.priority)
            .is_some_and(|class| class.length >= MAX_CLASS_LENGTH);
        let patience = request.deadline.saturating_since(now);
        if is_full || Self::is_too_long(wait, patience) {
            return Err(self.refuse(now, &request, wait, capacity));
        }
        Ok(self.requeue(request, waker))
    }

    /// Enqueues a request again that left the queue to try a member. The request is not refused.
    pub fn requeue(&mut self, request: SlotRequest, waker: W) -> SlotTicket {
        self.last_ticket += 1;
        let ticket = SlotTicket(self.last_ticket);
        let SlotRequest { target, priority, tenant, cost, deadline } = request;
        let waiting = Waiting { ticket, target, cost, deadline, waker };
        self.classes.entry(priority).or_default().push(tenant, waiting);
        ticket
    }

    /// Returns the refusal of a request whose deadline has passed.
    pub fn refuse_expired(
        &mut self,
        now: Timestamp,
        request: &SlotRequest,
        capacity: Capacity,
    ) -> NoSlotInTime {
        let wait = self.likely_wait(now, request, capacity);
        self.refuse(now, request, wait, capacity)
    }

    /// Removes a request from the queue. Returns whether the request was in the queue.
    pub fn remove(&mut self, now: Timestamp, ticket: SlotTicket) -> bool {
        self.classes
            .values_mut()
            .any(|class| !class.remove_matching(now, |waiting| waiting.ticket == ticket).is_empty())
    }

    /// Removes the next request that gets a slot of a member, and returns its waker. Requests whose
    /// deadline has passed are dropped.
    pub fn next(&mut self, now: Timestamp, member: &MemberName, is_primary: bool) -> Option<W> {
        self.classes.values_mut().find_map(|class| {
            drop(class.remove_matching(now, |waiting| waiting.deadline <= now));
            class.take_next(now, member, is_primary).map(|waiting| waiting.waker)
        })
    }

    /// Returns the number of waiting requests for each class that has had requests.
    pub fn lengths(&self) -> impl Iterator<Item = (u32, usize)> {
        self.classes.iter().map(|(priority, class)| (*priority, class.length))
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.values().map(|class| class.length).sum()
    }

    /// Reports whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of waiting requests that a slot of the member could serve.
    #[must_use]
    pub fn waiting_for(&self, member: &MemberName, is_primary: bool) -> usize {
        let tenants = self.classes.values().flat_map(|class| class.tenants.values());
        let waiting = tenants.flat_map(|queue| &queue.waiting);
        waiting.filter(|waiting| waiting.may_use(member, is_primary)).count()
    }
}
