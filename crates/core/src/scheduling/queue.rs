//! The queue before the members of one group.
//!
//! Takes requests for which no slot is free, and gives the next one its slot, class before class. Owns the
//! classes and what refused callers were promised. The order inside a class is in `class`, the decision
//! to refuse and the time to come back in `likely_wait`.

use super::class::ClassQueue;
use super::request::{Capacity, NoSlotInTime, SlotRequest, SlotTicket, Waiting};
use crate::identity::MemberName;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Most statements that wait in one class, a bound on memory: at the users' largest rates 0.2 s of waiting
/// are some hundred.
const LONGEST_CLASS: usize = 1_024;

/// Requests that wait for slots of the members of one group. `W` tells one that it has its slot.
#[derive(Debug)]
pub struct SlotQueue<W> {
    pub(super) classes: BTreeMap<u32, ClassQueue<W>>,
    tickets: u64,
    /// When the last caller that was refused is to come back, by class.
    pub(super) promised: BTreeMap<u32, Timestamp>,
}

impl<W> Default for SlotQueue<W> {
    fn default() -> Self {
        Self { classes: BTreeMap::new(), tickets: 0, promised: BTreeMap::new() }
    }
}

impl<W> SlotQueue<W> {
    /// Takes a request for which no slot is free now. Give its waker later by [`SlotQueue::next`].
    ///
    /// # Errors
    /// [`NoSlotInTime`] where what is served before it takes longer than it may wait.
    pub fn enqueue(
        &mut self,
        now: Timestamp,
        request: SlotRequest,
        capacity: Capacity,
        waker: W,
    ) -> Result<SlotTicket, NoSlotInTime> {
        let class = self.classes.entry(request.priority).or_default();
        class.note_offered(now, &request.tenant, request.cost);
        let wait = self.wait_of(now, &request, capacity);
        let is_full =
            self.classes.get(&request.priority).is_some_and(|it| it.length >= LONGEST_CLASS);
        let patience = request.give_up.saturating_since(now);
        if is_full || Self::is_too_long(wait, patience) {
            return Err(self.refuse(now, &request, wait, capacity));
        }
        Ok(self.wait_on(request, waker))
    }

    /// Takes a request that was in the queue before, and left it to try a member.
    pub fn wait_on(&mut self, request: SlotRequest, waker: W) -> SlotTicket {
        self.tickets += 1;
        let ticket = SlotTicket(self.tickets);
        let SlotRequest { target, priority, tenant, cost, give_up } = request;
        let waiting = Waiting { ticket, target, cost, give_up, waker };
        self.classes.entry(priority).or_default().push(tenant, waiting);
        ticket
    }

    /// The refusal of a request whose time is over.
    pub fn time_over(
        &mut self,
        now: Timestamp,
        request: &SlotRequest,
        capacity: Capacity,
    ) -> NoSlotInTime {
        let wait = self.wait_of(now, request, capacity);
        self.refuse(now, request, wait, capacity)
    }

    /// Leaves the queue; says whether it was in there.
    pub fn leave(&mut self, now: Timestamp, ticket: SlotTicket) -> bool {
        self.classes
            .values_mut()
            .any(|class| !class.take_out(now, |waiting| waiting.ticket == ticket).is_empty())
    }

    /// Takes the next that gets a slot of a member. Those whose time is over get none.
    pub fn next(&mut self, now: Timestamp, member: &MemberName, is_primary: bool) -> Option<W> {
        self.classes.values_mut().find_map(|class| {
            drop(class.take_out(now, |waiting| waiting.give_up <= now));
            class.next(now, member, is_primary).map(|waiting| waiting.waker)
        })
    }

    /// How many wait in each class that was asked for.
    pub fn lengths(&self) -> impl Iterator<Item = (u32, usize)> {
        self.classes.iter().map(|(priority, class)| (*priority, class.length))
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.values().map(|class| class.length).sum()
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many wait that a slot of a member could serve.
    #[must_use]
    pub fn len_at(&self, member: &MemberName, is_primary: bool) -> usize {
        let tenants = self.classes.values().flat_map(|class| class.tenants.values());
        let waiting = tenants.flat_map(|queue| &queue.waiting);
        waiting.filter(|waiting| waiting.may_use(member, is_primary)).count()
    }
}
