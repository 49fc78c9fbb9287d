//! The queue before the members of one group.

use super::offered::Offered;
use crate::identity::MemberName;
use crate::tenancy::TenantName;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most statements that wait in one class, a bound on memory: at the users' largest rates 0.2 s of waiting
/// are some hundred.
const LONGEST_CLASS: usize = 1_024;
/// Part of its time that a request may be likely to wait for: what comes differs from what is likely. In the
/// load test 471 of 1,777 requests of a burst waited in vain with the whole of it and 209 with this part, and
/// as many were served (0.680 and 0.677).
const LIKELY_WAIT_PART: f64 = 0.6;
/// Part of the slots that a class counts on, whatever higher ones have asked for lately.
const LEAST_LEFT_PART: f64 = 0.1;
/// A tenant that keeps fewer slots busy than this is forgotten.
const FORGOTTEN_SLOTS: f64 = 0.01;
/// Shortest time after which a refused caller is told to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(20);
/// Longest such time: what is known of the queue says little of later.
const LONGEST_RETRY: Duration = Duration::from_secs(5);

/// Where a statement could be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotTarget {
    /// At this member.
    At(MemberName),
    /// At the primary.
    Primary,
    /// At any member but these.
    AnyBut(BTreeSet<MemberName>),
}

/// A statement that needs a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Where.
    pub wish: SlotTarget,
    /// Priority class; 0 is served first.
    pub priority: u32,
    /// On whose behalf; those without a tenant count as one.
    pub tenant: Option<TenantName>,
    /// How long it is likely to keep the slot.
    pub cost: Duration,
    /// Until when it may wait.
    pub give_up: Timestamp,
}

/// What serves a request: the slots that could, all of them in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// How many.
    pub slots: usize,
}

/// A request that cannot get a slot in its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no slot is likely to be free in time, come back in {retry_after:?}")]
pub struct NoSlotInTime {
    /// When the queue is likely to have room for it; each that is refused is told a later time.
    pub retry_after: Duration,
}

/// Names a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotTicket(u64);

#[derive(Debug)]
struct Waiting<W> {
    ticket: SlotTicket,
    wish: SlotTarget,
    cost: Duration,
    give_up: Timestamp,
    waker: W,
}

impl<W> Waiting<W> {
    fn may_use(&self, member: &MemberName, is_primary: bool) -> bool {
        match &self.wish {
            SlotTarget::At(wished) => wished == member,
            SlotTarget::Primary => is_primary,
            SlotTarget::AnyBut(refused) => !refused.contains(member),
        }
    }
}

/// One tenant's requests in a class.
#[derive(Debug)]
struct TenantQueue<W> {
    /// Slot time that it was given, counted on from what all had when it came.
    served: Duration,
    offered: Offered,
    waiting: Vec<Waiting<W>>,
}

#[derive(Debug)]
struct ClassQueue<W> {
    tenants: BTreeMap<Option<TenantName>, TenantQueue<W>>,
    /// Slot time of the tenant that was served last: a newcomer counts on from there.
    floor: Duration,
    offered: Offered,
    length: usize,
}

impl<W> Default for ClassQueue<W> {
    fn default() -> Self {
        Self {
            tenants: BTreeMap::new(),
            floor: Duration::ZERO,
            offered: Offered::default(),
            length: 0,
        }
    }
}

impl<W> ClassQueue<W> {
    fn tenant(&mut self, name: Option<TenantName>) -> &mut TenantQueue<W> {
        let floor = self.floor;
        self.tenants.entry(name).or_insert_with(|| TenantQueue {
            served: floor,
            offered: Offered::default(),
            waiting: Vec::new(),
        })
    }

    fn note_offered(&mut self, now: Timestamp, tenant: &Option<TenantName>, cost: Duration) {
        self.offered.add(now, cost);
        self.tenant(tenant.clone()).offered.add(now, cost);
    }

    fn push(&mut self, tenant: Option<TenantName>, waiting: Waiting<W>) {
        let floor = self.floor;
        let queue = self.tenant(tenant);
        if queue.waiting.is_empty() {
            // Slots that it had no use for are not owed to it.
            queue.served = queue.served.max(floor);
        }
        queue.waiting.push(waiting);
        self.length += 1;
    }

    /// Takes the next that could use a slot of a member: of the tenant that was given least, the one whose
    /// time ends first.
    fn next(
        &mut self,
        now: Timestamp,
        member: &MemberName,
        is_primary: bool,
    ) -> Option<Waiting<W>> {
        let able = self.tenants.iter().filter(|(_, queue)| {
            queue.waiting.iter().any(|waiting| waiting.may_use(member, is_primary))
        });
        let tenant = able.min_by_key(|(_, queue)| queue.served)?.0.clone();
        let queue = self.tenants.get_mut(&tenant)?;
        let places = queue.waiting.iter().enumerate();
        let able = places.filter(|(_, waiting)| waiting.may_use(member, is_primary));
        let (place, _) = able.min_by_key(|(_, waiting)| (waiting.give_up, waiting.ticket))?;
        let waiting = queue.waiting.swap_remove(place);
        self.floor = self.floor.max(queue.served);
        queue.served += waiting.cost;
        self.length -= 1;
        self.forget_idle(now, &tenant);
        Some(waiting)
    }

    fn forget_idle(&mut self, now: Timestamp, tenant: &Option<TenantName>) {
        let floor = self.floor;
        if self.tenants.get(tenant).is_some_and(|queue| queue.is_idle(now, floor)) {
            self.tenants.remove(tenant);
        }
    }

    fn take_out(
        &mut self,
        now: Timestamp,
        mut is_out: impl FnMut(&Waiting<W>) -> bool,
    ) -> Vec<Waiting<W>> {
        let mut out = Vec::new();
        for queue in self.tenants.values_mut() {
            let mut place = 0;
            while place < queue.waiting.len() {
                if is_out(&queue.waiting[place]) {
                    out.push(queue.waiting.swap_remove(place));
                } else {
                    place += 1;
                }
            }
        }
        self.length -= out.len();
        let floor = self.floor;
        self.tenants.retain(|_, queue| !queue.is_idle(now, floor));
        out
    }

    /// Slot time of all that waits.
    fn work(&self) -> Duration {
        self.tenants.values().map(TenantQueue::work).sum()
    }

    /// Slot time of what is served before a newcomer of a tenant: what this tenant waits for, and of
    /// others no more than that and the newcomer's own.
    fn work_before(&self, tenant: &Option<TenantName>, cost: Duration) -> Duration {
        let own = self.tenants.get(tenant).map_or(Duration::ZERO, TenantQueue::work);
        let others = self.tenants.iter().filter(|(name, _)| *name != tenant);
        let share: Duration = others.map(|(_, queue)| queue.work().min(own + cost)).sum();
        own + share
    }

    /// How long the requests of one tenant take, this one's among them, by the part of so many slots that
    /// others leave it: what they ask for goes first, until all have as much.
    fn time_of_own(
        &self,
        now: Timestamp,
        tenant: &Option<TenantName>,
        cost: Duration,
        slots: f64,
    ) -> Duration {
        let own = self.tenants.get(tenant).map_or(Duration::ZERO, TenantQueue::work) + cost / 2;
        let others = self.tenants.iter().filter(|(name, _)| *name != tenant);
        let offered: Vec<f64> = others.map(|(_, queue)| queue.offered.slots(now)).collect();
        let even = slots / (offered.len() + 1) as f64;
        let left = slots - offered.iter().map(|other| other.min(even)).sum::<f64>();
        own.div_f64(left.max(even))
    }
}

impl<W> TenantQueue<W> {
    /// Whether there is nothing to remember: no request, no more slot time than others were given, and
    /// little asked for lately.
    fn is_idle(&self, now: Timestamp, floor: Duration) -> bool {
        let is_even = self.served <= floor;
        self.waiting.is_empty() && is_even && self.offered.slots(now) < FORGOTTEN_SLOTS
    }

    fn work(&self) -> Duration {
        self.waiting.iter().map(|waiting| waiting.cost).sum()
    }
}

/// Requests that wait for slots of the members of one group. `W` tells one that it has its slot.
#[derive(Debug)]
pub struct SlotQueue<W> {
    classes: BTreeMap<u32, ClassQueue<W>>,
    tickets: u64,
    /// When the last caller that was refused is to come back, by class.
    promised: BTreeMap<u32, Timestamp>,
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
        if is_full || wait >= patience.mul_f64(LIKELY_WAIT_PART) {
            return Err(self.refuse(now, &request, wait, capacity));
        }
        Ok(self.wait_on(request, waker))
    }

    /// Takes a request that was in the queue before, and left it to look around.
    pub fn wait_on(&mut self, request: SlotRequest, waker: W) -> SlotTicket {
        self.tickets += 1;
        let ticket = SlotTicket(self.tickets);
        let SlotRequest { wish, priority, tenant, cost, give_up } = request;
        let waiting = Waiting { ticket, wish, cost, give_up, waker };
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

    /// How long a request is likely to wait: for what is served before it, half of what a slot is busy
    /// with now, and what higher classes and other tenants are likely to ask for meanwhile.
    fn wait_of(&self, now: Timestamp, request: &SlotRequest, capacity: Capacity) -> Duration {
        let SlotRequest { tenant, cost, .. } = request;
        let all = capacity.slots.max(1) as f64;
        let higher = || self.classes.range(..request.priority).map(|(_, class)| class);
        let taken: f64 = higher().map(|class| class.offered.slots(now)).sum();
        let left = (all - taken).max(all * LEAST_LEFT_PART);
        let higher_work: Duration = higher().map(ClassQueue::work).sum();
        let Some(class) = self.classes.get(&request.priority) else {
            return (higher_work + *cost / 2).div_f64(left);
        };
        let by_turn = (higher_work + class.work_before(tenant, *cost) + *cost / 2).div_f64(left);
        by_turn.max(higher_work.div_f64(left) + class.time_of_own(now, tenant, *cost, left))
    }

    /// A refusal that says when there is likely to be room: once as much is served as is too much now,
    /// and after those that were refused before.
    fn refuse(
        &mut self,
        now: Timestamp,
        request: &SlotRequest,
        wait: Duration,
        capacity: Capacity,
    ) -> NoSlotInTime {
        let patience = request.give_up.saturating_since(now).mul_f64(LIKELY_WAIT_PART);
        let room_at = now + wait.saturating_sub(patience);
        let promised = self.promised.entry(request.priority).or_insert(now);
        let slot_time = request.cost.div_f64(capacity.slots.max(1) as f64);
        *promised = (*promised).max(room_at) + slot_time;
        let retry_after = promised.saturating_since(now).clamp(SHORTEST_RETRY, LONGEST_RETRY);
        *promised = (*promised).min(now + LONGEST_RETRY);
        NoSlotInTime { retry_after }
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
