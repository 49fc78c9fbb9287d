//! The wait queue of one group: who gets the next free slot.
//!
//! Classes are served by priority, then by arrival. Each class's guaranteed
//! percentage is kept by credits: while it waits, a class earns its percentage
//! at every grant, and a class with a whole grant's worth of credit goes first.
//! Decisions depend only on the calls made, so a run can be repeated exactly.

use crate::identity::ClassName;
use crate::resources::PriorityClassSpec;
use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Credit that buys one grant; percentages are earned towards it.
const CREDIT_OF_A_GRANT: u32 = 100;
/// Service time assumed before the first transaction has ended.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(5);
/// Weight of the past in the moving average of service times: `1 - 1/8`.
const SERVICE_TIME_WEIGHT: u32 = 8;
/// Shortest time after which a refused caller is told to come back.
const MINIMUM_RETRY_AFTER_MS: u32 = 10;
/// Longest such time.
const MAXIMUM_RETRY_AFTER_MS: u32 = 10_000;

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
    service_time: Duration,
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
            service_time: INITIAL_SERVICE_TIME,
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
    /// [`AdmissionError::QueueFull`]: the request was not put in the queue.
    pub fn enqueue(
        &mut self,
        class: &ClassName,
        lane: Lane,
        deadline: Timestamp,
    ) -> Result<Ticket, AdmissionError> {
        let must_wait = self.length > 0 || self.in_use >= self.limits.slots;
        if must_wait && self.length >= self.limits.queue_limit {
            return Err(AdmissionError::QueueFull { retry_after_ms: self.retry_after_ms() });
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.length += 1;
        let queue = self.classes.entry(class.clone()).or_default();
        queue.waiting.push_back(Waiting { ticket, lane, deadline });
        Ok(ticket)
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
            let Some(entry) = self.take_next(primary_available) else {
                break;
            };
            self.length -= 1;
            if entry.deadline > now {
                self.in_use += 1;
                granted.push(entry.ticket);
            }
        }
        granted
    }

    /// Gives a slot back, with the time its transaction took.
    pub fn release(&mut self, service_time: Duration) {
        // Each grant is released once, so the count cannot fall below zero.
        self.in_use = self.in_use.saturating_sub(1);
        let past = self.service_time * (SERVICE_TIME_WEIGHT - 1);
        self.service_time = (past + service_time) / SERVICE_TIME_WEIGHT;
    }

    /// When a caller refused now should come back, in milliseconds: the time in
    /// which the queue is likely to be served.
    #[must_use]
    pub fn retry_after_ms(&self) -> u32 {
        let rounds = (self.length + 1).div_ceil(self.limits.slots.max(1));
        let estimate = self.service_time.saturating_mul(rounds);
        let millis = u32::try_from(estimate.as_millis()).unwrap_or(u32::MAX);
        millis.clamp(MINIMUM_RETRY_AFTER_MS, MAXIMUM_RETRY_AFTER_MS)
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
