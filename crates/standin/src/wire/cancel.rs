//! Cancellation of running statements from another connection.

use crate::engine::Interrupt;
use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// What of one connection can be cancelled.
pub struct CancelHandle {
    secret: i32,
    running: Mutex<Option<Arc<Interrupt>>>,
    waiting: Notify,
    /// The member ends: nothing that starts now may run on.
    ending: Arc<AtomicBool>,
}

impl CancelHandle {
    /// Marks what runs now, until the returned guard is dropped.
    pub fn run(self: &Arc<Self>, interrupt: Arc<Interrupt>) -> RunningGuard {
        interrupt.clear();
        *lock(&self.running) = Some(interrupt.clone());
        if self.ending.load(Ordering::SeqCst) {
            interrupt.interrupt();
        }
        RunningGuard { handle: self.clone() }
    }

    /// Ends when a cancellation arrives.
    pub async fn cancelled(&self) {
        self.waiting.notified().await;
    }

    fn cancel(&self) {
        if let Some(interrupt) = lock(&self.running).as_ref() {
            interrupt.interrupt();
        }
        self.waiting.notify_waiters();
    }
}

/// Marks a running statement.
pub struct RunningGuard {
    handle: Arc<CancelHandle>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        *lock(&self.handle.running) = None;
    }
}

/// Key data of a connection: its process number and secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// Number of the connection.
    pub process: i32,
    /// Secret that a cancel request must repeat.
    pub secret: i32,
}

/// All connections of a member that can be cancelled.
#[derive(Default)]
pub struct CancelRegistry {
    next: AtomicI32,
    random: RandomState,
    handles: Mutex<HashMap<i32, Arc<CancelHandle>>>,
    ending: Arc<AtomicBool>,
}

impl CancelRegistry {
    /// Adds a connection.
    pub fn register(&self) -> (CancelKey, Arc<CancelHandle>) {
        let process = self.next.fetch_add(1, Ordering::SeqCst) + 1;
        let mut hasher = self.random.build_hasher();
        hasher.write_i32(process);
        let secret = hasher.finish() as i32;
        let handle = Arc::new(CancelHandle {
            secret,
            running: Mutex::new(None),
            waiting: Notify::new(),
            ending: self.ending.clone(),
        });
        lock(&self.handles).insert(process, handle.clone());
        (CancelKey { process, secret }, handle)
    }

    /// Removes a connection.
    pub fn remove(&self, process: i32) {
        lock(&self.handles).remove(&process);
    }

    /// Cancels what a connection runs, if the secret is right.
    pub fn cancel(&self, key: CancelKey) {
        let handle = lock(&self.handles).get(&key.process).cloned();
        if let Some(handle) = handle.filter(|handle| handle.secret == key.secret) {
            handle.cancel();
        }
    }

    /// Interrupts everything that runs, and whatever starts from now on.
    pub fn cancel_all(&self) {
        self.ending.store(true, Ordering::SeqCst);
        let handles: Vec<_> = lock(&self.handles).values().cloned().collect();
        handles.iter().for_each(|handle| handle.cancel());
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
