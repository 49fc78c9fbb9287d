//! Wait queue of one group, which decides which request gets the next free slot.
//!
//! Classes are served by priority, and requests of equal priority by arrival. Credits ensure each
//! class's guaranteed percentage: a waiting class earns its percentage at every grant, and a class
//! with enough credit for a whole grant goes first. The same percentage of the queue's places is
//! reserved for the class. A full queue makes room for a request of a higher class, or of a class
//! with unused reserved places, by displacing the last request of the lowest class that exceeds its
//! own reserved places. A request that cannot get a slot before its deadline, judging by the
//! service times seen so far, is refused on arrival rather than at its deadline.
//!
//! [`AdmissionQueue`] owns the waiting requests at a group's owner and the count of slots in use.
//! It relies on its caller for the clock, for whether there is a primary, and for the release of
//! each slot. Decisions depend only on the calls made, so that a run can be repeated exactly.
//!
//! [`crate::scheduling`] is the other wait queue, used by the gateways: strict classes, tenants
//! that share slot time, earliest deadline first, and no displacement. A common queue would change
//! which requests are served and which are refused on one of the two paths, so the two stay
//! separate.

mod bounds;

use crate::identity::ClassName;
use crate::resources::PriorityClassSpec;
use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Credit that one grant costs, in percent. A waiting class earns its guaranteed percentage at each
/// grant.
const CREDIT_PER_GRANT: u32 = 100;
/// Divisor of the moving average of service times: the newest time has a weight of 1/8. With a
/// larger divisor, the average follows a member that becomes slow later; with a smaller one, single
/// transactions move it.
const SERVICE_TIME_DIVISOR: u32 = 8;

/// Identifies a waiting request; tickets ascend in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Members that can serve a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequiredRole {
    /// Only the primary. The request is skipped while there is none.
    Primary,
    /// A replica known to hold the position that the request needs.
    Replica,
}

/// Limits of a queue, from the group's declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Number of concurrent transactions.
    pub slots: u32,
    /// Maximum number of waiting requests.
    pub queue_limit: u32,
}

/// Reason for refusing a request on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// The queue is full and no waiting request can be displaced.
    #[error("the wait queue is full, come back in {retry_after_ms} ms")]
    QueueFull {
        /// Time until a place is likely to be free, in milliseconds.
        retry_after_ms: u32,
    },
    /// The work queued before the request takes longer than its deadline allows.
    #[error("no slot is likely to come free in time, come back in {retry_after_ms} ms")]
    TooLate {
        /// Time until a slot is likely to be free, in milliseconds.
        retry_after_ms: u32,
    },
}

/// A request that was put in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Ticket of the request that was displaced for this one, which the caller must refuse now.
    pub displaced: Option<Ticket>,
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    required_role: RequiredRole,
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
    /// Returns the number of places in the queue that are reserved for the class.
    fn reserved(&self, queue_limit: u32) -> u32 {
        let share = u64::from(queue_limit) * u64::from(self.guaranteed_percent);
        share.div_ceil(u64::from(CREDIT_PER_GRANT)) as u32
    }

    fn length(&self) -> u32 {
        self.waiting.len() as u32
    }

    fn first_eligible(&self, primary_available: bool) -> Option<usize> {
        self.waiting
            .iter()
            .position(|entry| primary_available || entry.required_role == RequiredRole::Replica)
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
    /// Moving average of service times; `None` until the first transaction has ended.
    service_time: Option<Duration>,
}

impl AdmissionQueue {
    /// Creates an empty queue with all slots free.
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

    /// Changes the limits. Slots in use above a lower limit stay in use until their transactions
    /// end.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        self.limits = limits;
    }

    /// Applies the declared classes. A class that is no longer declared keeps its waiting requests,
    /// at the lowest priority.
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

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn length(&self) -> u32 {
        self.length
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Puts a request in the queue.
    ///
    /// # Errors
    /// [`AdmissionError`] if the request is refused; it is not in the queue then.
    pub fn enqueue(
        &mut self,
        class: &ClassName,
        required_role: RequiredRole,
        now: Timestamp,
        deadline: Timestamp,
    ) -> Result<Admitted, AdmissionError> {
        let retry_after_ms = self.retry_after_ms();
        if self.in_use >= self.limits.slots && self.cannot_meet_deadline(class, now, deadline) {
            return Err(AdmissionError::TooLate { retry_after_ms });
        }
        let mut displaced = None;
        if self.must_wait(required_role) && self.length >= self.limits.queue_limit {
            displaced = self.displace_for(class);
            if displaced.is_none() {
                return Err(AdmissionError::QueueFull { retry_after_ms });
            }
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.length += 1;
        let queue = self.classes.entry(class.clone()).or_default();
        queue.waiting.push_back(Waiting { ticket, required_role, deadline });
        Ok(Admitted { ticket, displaced })
    }

    /// Removes a request whose caller is gone or whose time is up. Returns false if the request is
    /// not in the queue, because it was granted a slot or has expired.
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

    /// Removes the requests whose deadline has passed, and returns their tickets.
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

    /// Gives free slots to waiting requests, and returns their tickets. Each returned ticket holds
    /// a slot until [`AdmissionQueue::release`]. Expired requests get no slot.
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

    /// Drops expired requests that would be next, so that they cost their class no credit.
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

    /// Releases a slot after a transaction that took `service_time`.
    pub fn release(&mut self, service_time: Duration) {
        // Each grant is released once, so the count cannot fall below zero.
        self.in_use = self.in_use.saturating_sub(1);
        let latest = service_time.min(bounds::LONGEST_SERVICE_TIME);
        let past = self.service_time.unwrap_or(latest) * (SERVICE_TIME_DIVISOR - 1);
        self.service_time = Some((past + latest) / SERVICE_TIME_DIVISOR);
    }

    fn take_next(&mut self, primary_available: bool) -> Option<Waiting> {
        let chosen = self.choose_class(primary_available)?;
        self.update_credits(&chosen, primary_available);
        let queue = self.classes.get_mut(&chosen)?;
        let place = queue.first_eligible(primary_available)?;
        queue.waiting.remove(place)
    }

    fn choose_class(&self, primary_available: bool) -> Option<ClassName> {
        let eligible = |queue: &ClassQueue| queue.first_eligible(primary_available);
        let candidates = self.classes.iter().filter_map(|(name, queue)| {
            let place = eligible(queue)?;
            let credit = queue.credit + queue.guaranteed_percent;
            let credit_due = if credit >= CREDIT_PER_GRANT { credit } else { 0 };
            let arrival = std::cmp::Reverse(queue.waiting[place].ticket);
            Some(((credit_due, queue.priority, arrival), name))
        });
        candidates.max().map(|(_, name)| name.clone())
    }

    fn update_credits(&mut self, chosen: &ClassName, primary_available: bool) {
        for (name, queue) in &mut self.classes {
            if queue.first_eligible(primary_available).is_none() {
                // Credit is for waiting requests; an idle class does not accumulate it.
                queue.credit = 0;
                continue;
            }
            queue.credit += queue.guaranteed_percent;
            if name == chosen {
                queue.credit = queue.credit.saturating_sub(CREDIT_PER_GRANT);
            }
        }
    }
}
