//! The sessions of this proxy: their number and the way to cancel what they run.
//!
//! The module owns the count of connections and the keys of cancel requests, which may come to any arbiter.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;

/// Shards of the table, each under its own lock. Chosen, not measured: fewer make arbiters wait for each
/// other more often, more cost little memory.
const SHARDS: usize = 16;

/// What a caller must present to cancel what its session runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// Number of the session.
    pub process_id: i32,
    /// Its secret.
    pub secret: i32,
}

#[derive(Debug)]
struct Entry {
    secret: i32,
    cancel: watch::Sender<u64>,
}

/// Table of the sessions of this proxy.
#[derive(Debug)]
pub struct SessionTable {
    shards: Vec<Mutex<HashMap<i32, Entry>>>,
    connections: AtomicUsize,
    connection_limit: usize,
}

/// A place under the connection limit; given back when dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    table: Arc<SessionTable>,
}

/// A session's entry in the table; taken out when dropped.
#[derive(Debug)]
pub struct Registration {
    table: Arc<SessionTable>,
    /// Its key.
    pub key: CancelKey,
    /// Changes when a cancel request for the session comes.
    pub cancelled: watch::Receiver<u64>,
}

impl SessionTable {
    /// An empty table.
    #[must_use]
    pub fn new(connection_limit: usize) -> Arc<Self> {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Arc::new(Self { shards, connections: AtomicUsize::new(0), connection_limit })
    }

    /// Takes a place under the connection limit, if there is one.
    #[must_use]
    pub fn admit(self: &Arc<Self>) -> Option<ConnectionPermit> {
        let below = |taken: usize| (taken < self.connection_limit).then_some(taken + 1);
        let admitted = self.connections.fetch_update(Ordering::AcqRel, Ordering::Acquire, below);
        admitted.is_ok().then(|| ConnectionPermit { table: self.clone() })
    }

    /// Registers a session under a fresh random key.
    #[must_use]
    pub fn register(self: &Arc<Self>) -> Registration {
        let secret = rand::random();
        let (cancel, cancelled) = watch::channel(0);
        loop {
            let process_id = rand::random_range(1..=i32::MAX);
            let mut shard = self.lock(process_id);
            if let std::collections::hash_map::Entry::Vacant(vacant) = shard.entry(process_id) {
                vacant.insert(Entry { secret, cancel });
                let key = CancelKey { process_id, secret };
                return Registration { table: self.clone(), key, cancelled };
            }
        }
    }

    /// Cancels what the session runs; nothing happens when the key is wrong.
    pub fn cancel(&self, key: CancelKey) {
        let shard = self.lock(key.process_id);
        if let Some(entry) = shard.get(&key.process_id).filter(|entry| entry.secret == key.secret) {
            entry.cancel.send_modify(|count| *count += 1);
        }
    }

    fn lock(&self, process_id: i32) -> std::sync::MutexGuard<'_, HashMap<i32, Entry>> {
        let shard = process_id.unsigned_abs() as usize % SHARDS;
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
        self.table.lock(self.key.process_id).remove(&self.key.process_id);
    }
}
