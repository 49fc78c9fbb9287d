//! In which order the requests of one priority class are served.
//!
//! Between tenants: the one that was given least slot time goes first, and who had nothing to run is owed
//! nothing later (start-time fair queueing). Inside a tenant: the request whose time to wait ends first.
//! Owns the requests that wait and the slot time that each tenant was given. Relies on the caller for the
//! clock and for what a statement is likely to cost.

use super::offered::Offered;
use super::request::Waiting;
use crate::identity::MemberName;
use crate::tenancy::TenantName;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// A tenant that keeps fewer slots busy than this is forgotten. Chosen, not measured: a bound on memory; with
/// more, a tenant that asks now and then counts as a newcomer each time.
const FORGOTTEN_SLOTS: f64 = 0.01;

/// One tenant's requests in a class.
#[derive(Debug)]
pub(super) struct TenantQueue<W> {
    /// Slot time that it was given, counted on from what all had when it came.
    served: Duration,
    pub(super) offered: Offered,
    pub(super) waiting: Vec<Waiting<W>>,
}

/// The requests of one priority class.
#[derive(Debug)]
pub(super) struct ClassQueue<W> {
    pub(super) tenants: BTreeMap<Option<TenantName>, TenantQueue<W>>,
    /// Slot time of the tenant that was served last: a newcomer counts on from there.
    floor: Duration,
    pub(super) offered: Offered,
    pub(super) length: usize,
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

    pub(super) fn note_offered(
        &mut self,
        now: Timestamp,
        tenant: &Option<TenantName>,
        cost: Duration,
    ) {
        self.offered.add(now, cost);
        self.tenant(tenant.clone()).offered.add(now, cost);
    }

    pub(super) fn push(&mut self, tenant: Option<TenantName>, waiting: Waiting<W>) {
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
    pub(super) fn next(
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

    pub(super) fn take_out(
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
    pub(super) fn work(&self) -> Duration {
        self.tenants.values().map(TenantQueue::work).sum()
    }
}

impl<W> TenantQueue<W> {
    /// Whether there is nothing to remember: no request, no more slot time than others were given, and
    /// little asked for lately.
    fn is_idle(&self, now: Timestamp, floor: Duration) -> bool {
        let is_even = self.served <= floor;
        self.waiting.is_empty() && is_even && self.offered.slots(now) < FORGOTTEN_SLOTS
    }

    pub(super) fn work(&self) -> Duration {
        self.waiting.iter().map(|waiting| waiting.cost).sum()
    }
}
