//! The wait queue of one group: who gets the next free slot.
//!
//! Classes are served by priority, then by arrival. Each class's guaranteed
//! percentage is kept by credits: while it waits, a class earns its percentage
//! at every grant, and a class with a whole grant's worth of credit goes first.
//! The same percentage of the queue's places is kept for it. A full queue makes
//! room for a higher class, or for one below its places, by giving up the last
//! request of the lowest class that is above its places. A request that cannot
//! get a slot before its deadline by the service times seen so far is refused
//! when it comes, not when its time is up.
//!
//! Owns the requests that wait at a group's owner and the count of slots in use. Relies on its caller for the
//! clock, for whether there is a primary, and for giving each slot back. Decisions depend only on the calls
//! made, so a run can be repeated exactly.
//!
//! [`crate::scheduling`] is the other wait queue, of the gateways' road: strict classes, tenants that share
//! slot time, the nearest deadline first, and no displacement. The two decide differently, and joining them
//! would change who is served and who is refused on one of the roads, so they are kept apart.

mod bounds;

use crate::identity::ClassName;
use crate::resources::PriorityClassSpec;
use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Credit that buys one grant, in percent: what a class is guaranteed is earned towards it at each grant.
const CREDIT_OF_A_GRANT: u32 = 100;
/// Weight of the past in the moving average of service times: `1 - 1/8`. Chosen, not measured: with a larger
/// number the average follows a member that becomes slow later, with a smaller one single transactions move it.
const SERVICE_TIME_WEIGHT: u32 = 8;

/// Number of a waiting request, in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Which members can serve a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Only the primary; the request is passed over while there is none.
    Primary,
    /// Some replica that is known to be far enough.
    Replica,
}

/// Limits of a queue, from the group's declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Transactions at once.
    pub slots: u32,
    /// Requests that may wait.
    pub queue_limit: u32,
}

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// As many requests wait as may.
    #[error("the wait queue is full, come back in {retry_after_ms} ms")]
    QueueFull {
        /// When a place is likely to be free.
        retry_after_ms: u32,
    },
    /// What waits before it takes longer than its deadline allows.
    #[error("no slot is likely to come free in time, come back in {retry_after_ms} ms")]
    TooLate {
        /// When a slot is likely to be free.
        retry_after_ms: u32,
    },
}

/// A request that was put in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Its number.
    pub ticket: Ticket,
    /// The request that was given up for it, and must be refused now.
    pub displaced: Option<Ticket>,
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    lane: Lane,
    deadline: Timestamp,
}

#[derive(Debug, Default)]
struct ClassQueue {
    priority: u32,
    guaranteed_percent: u32,
    credit: u32,
    waiting: VecDeque<Waiting>,
}

impl ClassQueue {
    /// Places of the queue that are kept for the class.
    fn reserved(&self, queue_limit: u32) -> u32 {
        let share = u64::from(queue_limit) * u64::from(self.guaranteed_percent);
        share.div_ceil(u64::from(CREDIT_OF_A_GRANT)) as u32
    }

    fn length(&self) -> u32 {
        self.waiting.len() as u32
    }

    fn first_eligible(&self, primary_available: bool) -> Option<usize> {
        self.waiting.iter().position(|entry| primary_available || entry.lane == Lane::Replica)
    }
}

/// The wait queue and slot count of one group.
#[derive(Debug)]
pub struct AdmissionQueue {
    limits: AdmissionLimits,
    classes: BTreeMap<ClassName, ClassQueue>,
    next_ticket: u64,
    length: u32,
    in_use: u32,
    /// Moving average; none before the first transaction has ended.
    service_time: Option<Duration>,
}

impl AdmissionQueue {
    /// An empty queue with all slots free.
    #[must_use]
    pub fn new(limits: AdmissionLimits) -> Self {
        Self {
            limits,
            classes: BTreeMap::new(),
            next_ticket: 0,
            length: 0,
            in_use: 0,
            service_time: None,
        }
    }

    /// Changes the limits; slots in use above a lower limit drain as they end.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Takes over the declared classes. A class that is gone keeps its waiting
    /// requests, at the lowest priority.
    pub fn set_classes(&mut self, classes: &BTreeMap<ClassName, PriorityClassSpec>) {
        for (name, queue) in &mut self.classes {
            if !classes.contains_key(name) {
                queue.priority = 0;
                queue.guaranteed_percent = 0;
            }
        }
        self.classes.retain(|name, queue| classes.contains_key(name) || !queue.waiting.is_empty());
        for (name, spec) in classes {
            let queue = self.classes.entry(name.clone()).or_default();
            queue.priority = spec.priority;
            queue.guaranteed_percent = u32::from(spec.guaranteed_percent);
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn length(&self) -> u32 {
        self.length
    }

    /// Slots that are in use.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Puts a request in the queue.
    ///
    /// # Errors
    /// [`AdmissionError`]: the request was not put in the queue.
    pub fn enqueue(
        &mut self,
        class: &ClassName,
        lane: Lane,
        now: Timestamp,
        deadline: Timestamp,
    ) -> Result<Admitted, AdmissionError> {
        let retry_after_ms = self.retry_after_ms();
        if self.in_use >= self.limits.slots && self.is_hopeless(class, now, deadline) {
            return Err(AdmissionError::TooLate { retry_after_ms });
        }
        let mut displaced = None;
        if self.must_wait(lane) && self.length >= self.limits.queue_limit {
            displaced = self.displace_for(class);
            if displaced.is_none() {
                return Err(AdmissionError::QueueFull { retry_after_ms });
            }
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.length += 1;
        let queue = self.classes.entry(class.clone()).or_default();
        queue.waiting.push_back(Waiting { ticket, lane, deadline });
        Ok(Admitted { ticket, displaced })
    }

    /// Takes a request out of the queue: its caller is gone or its time is up.
    /// False when it is not there, because it was granted or expired.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        for queue in self.classes.values_mut() {
            if let Some(place) = queue.waiting.iter().position(|entry| entry.ticket == ticket) {
                queue.waiting.remove(place);
                self.length -= 1;
                return true;
            }
        }
        false
    }

    /// Takes out the requests whose deadline is reached.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for queue in self.classes.values_mut() {
            queue.waiting.retain(|entry| {
                let keep = entry.deadline > now;
                if !keep {
                    expired.push(entry.ticket);
                }
                keep
            });
        }
        self.length -= expired.len() as u32;
        expired
    }

    /// Gives free slots to waiting requests. Each ticket returned holds a slot
    /// until [`AdmissionQueue::release`]. Expired requests get none.
    pub fn grant(&mut self, now: Timestamp, primary_available: bool) -> Vec<Ticket> {
        let mut granted = Vec::new();
        while self.in_use < self.limits.slots {
            self.drop_expired(now, primary_available);
            let Some(entry) = self.take_next(primary_available) else {
                break;
            };
            self.length -= 1;
            self.in_use += 1;
            granted.push(entry.ticket);
        }
        granted
    }

    /// Drops expired requests that would be next, so that they cost no credit.
    fn drop_expired(&mut self, now: Timestamp, primary_available: bool) {
        for queue in self.classes.values_mut() {
            while let Some(place) = queue.first_eligible(primary_available)
                && queue.waiting[place].deadline <= now
            {
                queue.waiting.remove(place);
                self.length -= 1;
            }
        }
    }

    /// Gives a slot back, with the time its transaction took.
    pub fn release(&mut self, service_time: Duration) {
        // Each grant is released once, so the count cannot fall below zero.
        self.in_use = self.in_use.saturating_sub(1);
        let latest = service_time.min(bounds::LONGEST_SERVICE_TIME);
        let past = self.service_time.unwrap_or(latest) * (SERVICE_TIME_WEIGHT - 1);
        self.service_time = Some((past + latest) / SERVICE_TIME_WEIGHT);
    }

    fn take_next(&mut self, primary_available: bool) -> Option<Waiting> {
        let chosen = self.choose_class(primary_available)?;
        self.settle_credits(&chosen, primary_available);
        let queue = self.classes.get_mut(&chosen)?;
        let place = queue.first_eligible(primary_available)?;
        queue.waiting.remove(place)
    }

    fn choose_class(&self, primary_available: bool) -> Option<ClassName> {
        let eligible = |queue: &ClassQueue| queue.first_eligible(primary_available);
        let candidates = self.classes.iter().filter_map(|(name, queue)| {
            let place = eligible(queue)?;
            let owed = queue.credit + queue.guaranteed_percent;
            let owed_grants = if owed >= CREDIT_OF_A_GRANT { owed } else { 0 };
            let arrival = std::cmp::Reverse(queue.waiting[place].ticket);
            Some(((owed_grants, queue.priority, arrival), name))
        });
        candidates.max().map(|(_, name)| name.clone())
    }

    fn settle_credits(&mut self, chosen: &ClassName, primary_available: bool) {
        for (name, queue) in &mut self.classes {
            if queue.first_eligible(primary_available).is_none() {
                // Credit is for waiting; an idle class does not save it up.
                queue.credit = 0;
                continue;
            }
            queue.credit += queue.guaranteed_percent;
            if name == chosen {
                queue.credit = queue.credit.saturating_sub(CREDIT_OF_A_GRANT);
            }
        }
    }
}
