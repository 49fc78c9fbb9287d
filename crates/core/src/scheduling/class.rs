//! Order of the requests within one priority class.
//!
//! Tenants share slot time by start-time fair queueing: the tenant with the lowest start tag goes
//! first, and a tenant that had nothing to run earns no claim on later slots. Within a tenant, the
//! request with the earliest deadline goes first.
//!
//! [`ClassQueue`] owns the waiting requests and each tenant's start tag. It relies on the caller
//! for the clock and for the likely cost of a statement.

use super::offered::OfferedLoad;
use super::request::Waiting;
use crate::identity::MemberName;
use crate::tenancy::TenantName;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Recent load, in slots, below which an idle tenant is forgotten, which bounds memory. With a
/// higher value, a tenant with infrequent requests counts as a newcomer each time.
const IDLE_TENANT_SLOTS: f64 = 0.01;

/// One tenant's requests in a class.
#[derive(Debug)]
pub(super) struct TenantQueue<W> {
    /// Slot time granted to the tenant, starting from the class's virtual time when the tenant
    /// joined.
    start_tag: Duration,
    pub(super) offered: OfferedLoad,
    pub(super) waiting: Vec<Waiting<W>>,
}

/// The requests of one priority class.
#[derive(Debug)]
pub(super) struct ClassQueue<W> {
    pub(super) tenants: BTreeMap<Option<TenantName>, TenantQueue<W>>,
    /// Start tag of the tenant that was served last. The start tag of a newcomer begins here.
    virtual_time: Duration,
    pub(super) offered: OfferedLoad,
    pub(super) length: usize,
}

impl<W> Default for ClassQueue<W> {
    fn default() -> Self {
        Self {
            tenants: BTreeMap::new(),
            virtual_time: Duration::ZERO,
            offered: OfferedLoad::default(),
            length: 0,
        }
    }
}

impl<W> ClassQueue<W> {
    fn tenant(&mut self, name: Option<TenantName>) -> &mut TenantQueue<W> {
        let virtual_time = self.virtual_time;
        self.tenants.entry(name).or_insert_with(|| TenantQueue {
            start_tag: virtual_time,
            offered: OfferedLoad::default(),
            waiting: Vec::new(),
        })
    }

    pub(super) fn record_offered(
        &mut self,
        now: Timestamp,
        tenant: &Option<TenantName>,
        cost: Duration,
    ) {
        self.offered.add(now, cost);
        self.tenant(tenant.clone()).offered.add(now, cost);
    }

    pub(super) fn push(&mut self, tenant: Option<TenantName>, waiting: Waiting<W>) {
        let virtual_time = self.virtual_time;
        let queue = self.tenant(tenant);
        if queue.waiting.is_empty() {
            // A tenant has no claim on slots that it had no use for.
            queue.start_tag = queue.start_tag.max(virtual_time);
        }
        queue.waiting.push(waiting);
        self.length += 1;
    }

    /// Removes and returns the next request that can use a slot of a member: from the tenant with
    /// the lowest start tag, the request with the earliest deadline.
    pub(super) fn take_next(
        &mut self,
        now: Timestamp,
        member: &MemberName,
        is_primary: bool,
    ) -> Option<Waiting<W>> {
        let eligible = self.tenants.iter().filter(|(_, queue)| {
            queue.waiting.iter().any(|waiting| waiting.may_use(member, is_primary))
        });
        let tenant = eligible.min_by_key(|(_, queue)| queue.start_tag)?.0.clone();
        let queue = self.tenants.get_mut(&tenant)?;
        let places = queue.waiting.iter().enumerate();
        let eligible = places.filter(|(_, waiting)| waiting.may_use(member, is_primary));
        let (place, _) = eligible.min_by_key(|(_, waiting)| (waiting.deadline, waiting.ticket))?;
        let waiting = queue.waiting.swap_remove(place);
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        queue.start_tag += waiting.cost;
        self.length -= 1;
        self.remove_if_idle(now, &tenant);
        Some(waiting)
    }

    fn remove_if_idle(&mut self, now: Timestamp, tenant: &Option<TenantName>) {
        let virtual_time = self.virtual_time;
        if self.tenants.get(tenant).is_some_and(|queue| queue.is_idle(now, virtual_time)) {
            self.tenants.remove(tenant);
        }
    }

    pub(super) fn remove_matching(
        &mut self,
        now: Timestamp,
        mut matches: impl FnMut(&Waiting<W>) -> bool,
    ) -> Vec<Waiting<W>> {
        let mut removed = Vec::new();
        for queue in self.tenants.values_mut() {
            let mut place = 0;
            while place < queue.waiting.len() {
                if matches(&queue.waiting[place]) {
                    removed.push(queue.waiting.swap_remove(place));
                } else {
                    place += 1;
                }
            }
        }
        self.length -= removed.len();
        let virtual_time = self.virtual_time;
        self.tenants.retain(|_, queue| !queue.is_idle(now, virtual_time));
        removed
    }

    /// Returns the slot time of all waiting requests.
    pub(super) fn work(&self) -> Duration {
        self.tenants.values().map(TenantQueue::work).sum()
    }
}

impl<W> TenantQueue<W> {
    /// Reports whether the tenant needs no entry: it has no requests, its start tag is not ahead of
    /// the class, and its recent load is low.
    fn is_idle(&self, now: Timestamp, virtual_time: Duration) -> bool {
        let is_not_ahead = self.start_tag <= virtual_time;
        self.waiting.is_empty() && is_not_ahead && self.offered.slots(now) < IDLE_TENANT_SLOTS
    }

    pub(super) fn work(&self) -> Duration {
        self.waiting.iter().map(|waiting| waiting.cost).sum()
    }
}
