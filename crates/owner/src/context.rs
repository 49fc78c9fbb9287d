//! State that all tasks of an owner share: the threads, the map of owned groups, and the counts of open
//! streams and links that a drain waits for.

use crate::group::Group;
use crate::lock::lock;
use crate::metrics::Metrics;
use crate::settings::OwnerSettings;
use actix_rt::ArbiterHandle;
use corktack_core::identity::GroupName;
use corktack_core::time::Timestamp;
use corktack_core::view::View;
use corktack_protocol::control::Observation;
use prometheus_client::registry::Registry;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::sync::{mpsc, watch};

/// Number of shards of the group map, each under its own lock. Fewer shards make threads contend for the
/// locks more often; more cost little memory.
const GROUP_SHARDS: usize = 16;

/// Progress of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// New streams are served.
    Serving,
    /// New streams are refused, open ones finish.
    Draining,
    /// Links flush their queued messages and close.
    Closing,
}

/// State that all tasks of an owner share.
#[derive(Debug)]
pub(crate) struct OwnerContext {
    pub settings: OwnerSettings,
    /// The configuration in force.
    pub view: watch::Receiver<Arc<View>>,
    /// Channel that carries the results of probes to the control service.
    pub observations: mpsc::UnboundedSender<Observation>,
    pub metrics: Metrics,
    phase: watch::Sender<Phase>,
    open_streams: watch::Sender<usize>,
    open_links: watch::Sender<usize>,
    groups: Vec<Mutex<HashMap<GroupName, Arc<Group>>>>,
    arbiters: Vec<ArbiterHandle>,
    next_arbiter: AtomicUsize,
    origin: Instant,
}

impl OwnerContext {
    /// Returns a context that owns no group and whose tasks run on `arbiters`, at least one.
    pub fn new(
        settings: OwnerSettings,
        arbiters: Vec<ArbiterHandle>,
        view: watch::Receiver<Arc<View>>,
        observations: mpsc::UnboundedSender<Observation>,
        registry: &mut Registry,
    ) -> Self {
        Self {
            settings,
            view,
            observations,
            metrics: Metrics::register(registry),
            phase: watch::Sender::new(Phase::Serving),
            open_streams: watch::Sender::new(0),
            open_links: watch::Sender::new(0),
            groups: (0..GROUP_SHARDS).map(|_| Mutex::default()).collect(),
            arbiters,
            next_arbiter: AtomicUsize::new(0),
            origin: Instant::now(),
        }
    }

    /// Returns the current time on the owner's clock, which starts at zero when the context is made.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    /// Spawns a task on the next arbiter in round-robin order.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let index = self.next_arbiter.fetch_add(1, Ordering::Relaxed);
        // After a stop, the arbiter drops the task.
        self.arbiters[index % self.arbiters.len()].spawn(task);
    }

    /// Returns a receiver for the progress of a shutdown.
    pub fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Reports whether new streams are refused.
    pub fn is_draining(&self) -> bool {
        *self.phase.borrow() >= Phase::Draining
    }

    /// Makes the owner refuse new streams from now on.
    pub fn begin_drain(&self) {
        self.phase.send_replace(Phase::Draining);
    }

    /// Waits until no stream is open.
    pub async fn wait_for_streams(&self) {
        wait_for_zero(&self.open_streams).await;
    }

    /// Makes links send their queued messages and close, and waits until all are closed.
    pub async fn close_links(&self) {
        self.phase.send_replace(Phase::Closing);
        wait_for_zero(&self.open_links).await;
    }

    /// Counts a stream as open until the returned value is dropped.
    pub fn count_stream(&self) -> OpenCount {
        OpenCount::new(&self.open_streams)
    }

    /// Counts a link as open until the returned value is dropped.
    pub fn count_link(&self) -> OpenCount {
        OpenCount::new(&self.open_links)
    }

    /// Returns a group by its name if this proxy owns it.
    pub fn group(&self, name: &GroupName) -> Option<Arc<Group>> {
        lock(self.shard(name)).get(name).cloned()
    }

    /// Adds a group that this proxy owns from now on.
    pub fn insert_group(&self, name: GroupName, group: Arc<Group>) {
        lock(self.shard(&name)).insert(name, group);
    }

    /// Removes a group that this proxy no longer owns.
    pub fn remove_group(&self, name: &GroupName) -> Option<Arc<Group>> {
        lock(self.shard(name)).remove(name)
    }

    fn shard(&self, name: &GroupName) -> &Mutex<HashMap<GroupName, Arc<Group>>> {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        &self.groups[hasher.finish() as usize % GROUP_SHARDS]
    }
}

async fn wait_for_zero(count: &watch::Sender<usize>) {
    let mut receiver = count.subscribe();
    // The wait cannot fail: the caller's context keeps the sender alive.
    let _ = receiver.wait_for(|count| *count == 0).await;
}

/// Guard that keeps a counter of open objects incremented until the guard is dropped.
#[derive(Debug)]
pub(crate) struct OpenCount {
    count: watch::Sender<usize>,
}

impl OpenCount {
    fn new(count: &watch::Sender<usize>) -> Self {
        count.send_modify(|count| *count += 1);
        Self { count: count.clone() }
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
