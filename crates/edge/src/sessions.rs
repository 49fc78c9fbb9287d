//! Counts the connections of this proxy against the limit, and routes cancel requests to sessions.
//!
//! A cancel request arrives on a connection of its own, at any arbiter, so the table is shared by all
//! arbiters.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;

/// Shards of the table, each under its own lock. Fewer shards increase lock contention between
/// arbiters; more cost little memory.
const SHARD_COUNT: usize = 16;

/// The key that a cancel request must carry to cancel a session's running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// Identifies the session; sent to the caller as the process id of its back end.
    pub process_id: i32,
    /// Random secret of the session.
    pub secret: i32,
}

#[derive(Debug)]
struct SessionEntry {
    secret: i32,
    cancel: watch::Sender<u64>,
}

/// Table of all sessions of this proxy, with the number of open connections.
#[derive(Debug)]
pub struct SessionTable {
    shards: Vec<Mutex<HashMap<i32, SessionEntry>>>,
    connections: AtomicUsize,
    connection_limit: usize,
}

/// A connection counted against the limit; dropping the permit releases it.
#[derive(Debug)]
pub struct ConnectionPermit {
    table: Arc<SessionTable>,
}

/// A session's entry in the table; dropping the registration removes it.
#[derive(Debug)]
pub struct Registration {
    table: Arc<SessionTable>,
    /// The session's cancel key.
    pub key: CancelKey,
    /// Counts the cancel requests for the session.
    pub cancelled: watch::Receiver<u64>,
}

impl SessionTable {
    /// Creates an empty table that admits at most `connection_limit` connections.
    #[must_use]
    pub fn new(connection_limit: usize) -> Arc<Self> {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Arc::new(Self { shards, connections: AtomicUsize::new(0), connection_limit })
    }

    /// Counts a connection, unless the limit is reached.
    #[must_use]
    pub fn try_admit(self: &Arc<Self>) -> Option<ConnectionPermit> {
        let next_count =
            |connections: usize| (connections < self.connection_limit).then_some(connections + 1);
        let admitted =
            self.connections.fetch_update(Ordering::AcqRel, Ordering::Acquire, next_count);
        admitted.is_ok().then(|| ConnectionPermit { table: self.clone() })
    }

    /// Registers a session under a new random key.
    #[must_use]
    pub fn register(self: &Arc<Self>) -> Registration {
        let secret = rand::random();
        let (cancel, cancelled) = watch::channel(0);
        loop {
            let process_id = rand::random_range(1..=i32::MAX);
            let mut shard = self.lock_shard(process_id);
            if let std::collections::hash_map::Entry::Vacant(vacant) = shard.entry(process_id) {
                vacant.insert(SessionEntry { secret, cancel });
                let key = CancelKey { process_id, secret };
                return Registration { table: self.clone(), key, cancelled };
            }
        }
    }

    /// Cancels the session's running request. A request with an unknown or wrong key is ignored.
    pub fn cancel(&self, key: CancelKey) {
        let shard = self.lock_shard(key.process_id);
        if let Some(entry) = shard.get(&key.process_id).filter(|entry| entry.secret == key.secret) {
            entry.cancel.send_modify(|count| *count += 1);
        }
    }

    fn lock_shard(&self, process_id: i32) -> std::sync::MutexGuard<'_, HashMap<i32, SessionEntry>> {
        let shard = process_id.unsigned_abs() as usize % SHARD_COUNT;
        self.shards[shard].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.table.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.table.lock_shard(self.key.process_id).remove(&self.key.process_id);
    }
}
