//! Table of the clients' connections, with the bytes held for each.

use super::phase::ClientPhase;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Shortest wait of a connection that is closed in favour of a new one: the time in which the first message of a
/// client in the same region arrives. If all have come more recently, the new client is refused. A shorter time
/// closes connections whose first message is in transit; a longer one refuses more of the clients that come
/// beside a crowd.
const MIN_WAIT_BEFORE_CLOSE: Duration = Duration::from_millis(10);

/// Identifies a connection in a [`ClientTable`]; ids are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClientId(u64);

/// Limits of a [`ClientTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Most connections that are open at the same time.
    pub max_connections: usize,
    /// Most bytes that are held for all clients together.
    pub max_bytes: usize,
    /// Longest time from the first to the last byte of a message.
    pub message_timeout: Duration,
    /// Most bytes that are read of the large messages of all clients together, in bytes per second.
    pub bytes_per_second: usize,
}

/// Outcome of [`ClientTable::connect`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connected {
    /// The connection is open.
    Open(ClientId),
    /// The connection is open in place of another, which is to be closed.
    InPlaceOf {
        /// The new connection.
        id: ClientId,
        /// The connection to close.
        closed: ClientId,
    },
    /// All connections are in use; the new one is to be closed.
    Refused,
}

/// Outcome of [`ClientTable::hold`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ByteGrant {
    /// The bytes are held for the client.
    Granted,
    /// Not granted yet: ask again once these connections, and those named before, are closed.
    AfterClosing(Vec<ClientId>),
    /// Not granted: of all clients, this one holds the most for the longest, or the others may not be closed.
    Refused,
}

/// Number of connections and of bytes in a [`ClientTable`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientTotals {
    /// Open connections.
    pub connections: usize,
    /// Bytes held for all clients.
    pub bytes: usize,
}

#[derive(Debug)]
struct Client {
    phase: ClientPhase,
    /// Start of the phase.
    since: Timestamp,
    bytes: usize,
    /// Whether the connection was named as one to close.
    is_closing: bool,
    /// Whether a new connection has taken its place.
    is_replaced: bool,
}

impl Client {
    /// Returns the weighted waiting time, in microseconds; `None` if the connection may not be closed.
    fn wait(&self, now: Timestamp) -> Option<u64> {
        let weight = self.phase.weight().filter(|_| !self.is_closing)?;
        Some(self.waited_micros(now).saturating_mul(weight))
    }

    fn waited_micros(&self, now: Timestamp) -> u64 {
        u64::try_from(now.saturating_since(self.since).as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns the product of `bytes` and the weighted waiting time.
    fn cost(&self, bytes: usize, now: Timestamp) -> Option<u128> {
        // A connection that has just begun to wait is not free of cost.
        Some(u128::from(self.wait(now)? + 1) * bytes as u128)
    }
}

/// Table of the clients' connections.
#[derive(Debug)]
pub struct ClientTable {
    limits: ClientLimits,
    clients: BTreeMap<ClientId, Client>,
    next_id: u64,
    /// Bytes held for all clients, and those of them that are held for connections to be closed.
    bytes: usize,
    closing_bytes: usize,
    /// Number of connections whose place was taken and that are not closed yet.
    replaced: usize,
}

impl ClientTable {
    /// Returns a table without connections.
    #[must_use]
    pub const fn new(limits: ClientLimits) -> Self {
        let clients = BTreeMap::new();
        Self { limits, clients, next_id: 0, bytes: 0, closing_bytes: 0, replaced: 0 }
    }

    /// Returns the limits.
    #[must_use]
    pub const fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Returns the numbers of connections and bytes.
    #[must_use]
    pub fn totals(&self) -> ClientTotals {
        ClientTotals { connections: self.clients.len(), bytes: self.bytes }
    }

    /// Adds a new connection. If all are in use, another one that waits for its client makes room.
    pub fn connect(&mut self, now: Timestamp) -> Connected {
        let open = self.clients.len() - self.replaced;
        if open < self.limits.max_connections {
            return Connected::Open(self.add(now));
        }
        match self.longest_waiting(now) {
            Some(closed) => {
                self.mark_closing(closed);
                self.mark_replaced(closed);
                Connected::InPlaceOf { id: self.add(now), closed }
            }
            None => Connected::Refused,
        }
    }

    fn add(&mut self, now: Timestamp) -> ClientId {
        let id = ClientId(self.next_id);
        self.next_id += 1;
        let phase = ClientPhase::Connecting;
        let (is_closing, is_replaced) = (false, false);
        self.clients.insert(id, Client { phase, since: now, bytes: 0, is_closing, is_replaced });
        id
    }

    fn longest_waiting(&self, now: Timestamp) -> Option<ClientId> {
        let waiting = self.clients.iter().filter_map(|(id, client)| Some((client.wait(now)?, *id)));
        let (_, id) = waiting.max_by_key(|(wait, _)| *wait)?;
        let waited = Duration::from_micros(self.clients[&id].waited_micros(now));
        (waited >= MIN_WAIT_BEFORE_CLOSE).then_some(id)
    }

    fn mark_closing(&mut self, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id).filter(|client| !client.is_closing) {
            client.is_closing = true;
            self.closing_bytes += client.bytes;
        }
    }

    fn mark_replaced(&mut self, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.is_replaced = true;
            self.replaced += 1;
        }
    }

    /// Removes a connection that was closed, with its bytes.
    pub fn disconnect(&mut self, id: ClientId) {
        let Some(client) = self.clients.remove(&id) else { return };
        self.bytes -= client.bytes;
        self.replaced -= usize::from(client.is_replaced);
        if client.is_closing {
            self.closing_bytes -= client.bytes;
        }
    }

    /// Records what a connection waits for from now on. The same phase again doesn't restart its time.
    pub fn enter(&mut self, id: ClientId, phase: ClientPhase, now: Timestamp) {
        if let Some(client) = self.clients.get_mut(&id).filter(|client| client.phase != phase) {
            client.phase = phase;
            client.since = now;
        }
    }

    /// Sets how many bytes are held for a client. Fewer bytes than before are always granted.
    pub fn hold(&mut self, id: ClientId, bytes: usize, now: Timestamp) -> ByteGrant {
        let Some(client) = self.clients.get_mut(&id) else { return ByteGrant::Refused };
        let others = self.bytes - client.bytes;
        if bytes <= client.bytes || others + bytes <= self.limits.max_bytes {
            if client.is_closing {
                self.closing_bytes = self.closing_bytes - client.bytes + bytes;
            }
            client.bytes = bytes;
            self.bytes = others + bytes;
            return ByteGrant::Granted;
        }
        let missing = others + bytes - self.limits.max_bytes;
        match self.make_room(id, bytes, missing.saturating_sub(self.closing_bytes), now) {
            Some(closed) => ByteGrant::AfterClosing(closed),
            None => ByteGrant::Refused,
        }
    }

    /// Names connections to close whose bytes make up for those that are missing; `None` if there are not
    /// enough that cost more than the asking one.
    fn make_room(
        &mut self,
        id: ClientId,
        bytes: usize,
        missing: usize,
        now: Timestamp,
    ) -> Option<Vec<ClientId>> {
        let own_cost = self.clients.get(&id)?.cost(bytes, now).unwrap_or_default();
        let others = self.clients.iter().filter(|(other, _)| **other != id);
        let costs = others.filter_map(|(other, client)| {
            Some((client.cost(client.bytes, now)?, *other, client.bytes))
        });
        let mut larger: Vec<_> = costs.filter(|(cost, ..)| *cost > own_cost).collect();
        larger.sort_unstable_by(|left, right| right.cmp(left));
        let mut freed = 0;
        let needed = larger.iter().take_while(|(.., bytes)| {
            let is_needed = freed < missing;
            freed += bytes;
            is_needed
        });
        let closed: Vec<ClientId> = needed.map(|(_, id, _)| *id).collect();
        if freed < missing {
            return None;
        }
        closed.iter().for_each(|id| self.mark_closing(*id));
        Some(closed)
    }

    /// Names the connections whose clients take too long to send a message that they have begun.
    pub fn overdue(&mut self, now: Timestamp) -> Vec<ClientId> {
        let limit = self.limits.message_timeout;
        let is_overdue = |client: &Client| {
            client.phase.is_receiving()
                && !client.is_closing
                && now.saturating_since(client.since) > limit
        };
        let overdue = self.clients.iter().filter(|(_, client)| is_overdue(client));
        let overdue: Vec<ClientId> = overdue.map(|(id, _)| *id).collect();
        overdue.iter().for_each(|id| self.mark_closing(*id));
        overdue
    }
}
