//! Who waits before whom when connections run short.

use std::collections::BTreeMap;

/// What a waiter could use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitingFor {
    /// Only a connection to the primary.
    Primary,
    /// A connection to any member.
    AnyMember,
}

/// A waiter's place: its priority, then its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    priority: u32,
    arrival: u64,
}

/// Waiters by priority, 0 first, and arrival. `W` wakes one.
#[derive(Debug)]
pub struct WaitQueue<W> {
    waiting: BTreeMap<Ticket, (WaitingFor, W)>,
    arrivals: u64,
}

impl<W> Default for WaitQueue<W> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), arrivals: 0 }
    }
}

impl<W> WaitQueue<W> {
    /// A place for a newcomer of a priority, kept while it waits several times.
    pub fn ticket(&mut self, priority: u32) -> Ticket {
        self.arrivals += 1;
        Ticket { priority, arrival: self.arrivals }
    }

    /// Waits at a place.
    pub fn wait(&mut self, ticket: Ticket, what: WaitingFor, waker: W) {
        self.waiting.insert(ticket, (what, waker));
    }

    /// Leaves the queue.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Takes the first that could use a connection that became free.
    pub fn next(&mut self, at_primary: bool) -> Option<W> {
        let usable = |what: WaitingFor| at_primary || what == WaitingFor::AnyMember;
        let first = self.waiting.iter().find(|(_, (what, _))| usable(*what));
        let ticket = first.map(|(ticket, _)| *ticket)?;
        self.waiting.remove(&ticket).map(|(_, waker)| waker)
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
