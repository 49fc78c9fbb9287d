//! The proxy's client of the configuration watch that control replicas serve.
//!
//! A task on its own thread connects to one control replica, publishes the configuration in force and sends
//! heartbeats. The state machine in [`state`] makes the decisions; this module does the I/O. A
//! configuration is published at once and reported to control as in force once it is on disk.

mod connection;
mod inputs;
mod metrics;
pub mod state;
pub mod store;
mod task;
pub mod view_file;

pub use inputs::WatchInputs;
pub use metrics::WatchMetrics;
pub use state::WatchSettings;
pub use store::{NoViewStore, ViewStore};
pub use view_file::ViewFile;

use corktack_core::view::View;
use corktack_storage::StorageError;
use corktack_tasks::essential;
use inputs::Request;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::time::{Duration, Instant};
use task::WatchTask;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Reasons why the watch could not be started.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The store failed to load the last configuration.
    #[error("the stored configuration cannot be read")]
    Store(#[from] StorageError),
    /// The operating system refused the thread that stores configurations.
    #[error("the thread that stores configurations cannot be started")]
    Thread(#[source] std::io::Error),
}

/// Longest time that a stop waits for the thread that stores configurations, so that a hanging disk does not
/// block the end of the process. A shorter timeout leaves slow disks without their last write.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Handle of a running watch; dropping it ends the watch.
#[derive(Debug)]
pub struct WatchHandle {
    views: watch::Receiver<Arc<View>>,
    confirmed_current: watch::Receiver<Option<Instant>>,
    requests: mpsc::UnboundedSender<Request>,
    arbiter: actix_rt::Arbiter,
    /// Closed once the store is dropped.
    store_closed: mpsc::Receiver<()>,
}

impl WatchHandle {
    /// Returns a receiver of the configuration in force.
    #[must_use]
    pub fn views(&self) -> watch::Receiver<Arc<View>> {
        self.views.clone()
    }

    /// Returns a receiver of the time at which the newest heartbeat was sent whose answer confirmed that the
    /// configuration in force is current; `None` until the first confirmation since the start.
    #[must_use]
    pub fn confirmed_current(&self) -> watch::Receiver<Option<Instant>> {
        self.confirmed_current.clone()
    }

    /// Reports to control from now on that the proxy is draining.
    pub fn drain(&self) {
        // Sending fails only after the watch has ended, when it sends no more heartbeats.
        let _ = self.requests.send(Request::Drain);
    }

    /// Ends the watch and waits until its store is dropped, which releases the lock of the data folder.
    /// Dropping the handle ends the watch as well, but doesn't wait.
    pub async fn stop(mut self) {
        // Sending fails only when the watch has ended already.
        let _ = self.requests.send(Request::Stop);
        if timeout(STOP_TIMEOUT, self.store_closed.recv()).await.is_err() {
            log::error!("the configuration was not stored before the watch's stop timed out");
        }
    }
}

impl Drop for WatchHandle {
    fn drop(&mut self) {
        // Both calls fail only when the watch has ended already.
        let _ = self.requests.send(Request::Stop);
        self.arbiter.stop();
    }
}

/// Starts the watch on its own thread, from the stored configuration.
///
/// # Errors
/// [`WatchError`] when the stored configuration cannot be read or a thread cannot be started.
pub fn start(
    settings: WatchSettings,
    connect_timeout: Duration,
    store: Box<dyn ViewStore>,
    inputs: WatchInputs,
    registry: &mut Registry,
) -> Result<WatchHandle, WatchError> {
    let metrics = WatchMetrics::register(registry);
    let stored = store.load()?.unwrap_or_default();
    metrics.revision.set(i64::try_from(stored.revision.0).unwrap_or(i64::MAX));
    let (view_sender, views) = watch::channel(Arc::new(stored.clone()));
    let (confirmed_sender, confirmed_current) = watch::channel(None);
    let (requests, request_receiver) = mpsc::unbounded_channel();
    let (store_guard, store_closed) = mpsc::channel(1);
    let syncer = store::Syncer::start(store, metrics.clone(), store_guard);
    let syncer = syncer.map_err(WatchError::Thread)?;
    let task = WatchTask {
        settings,
        stored,
        connect_timeout,
        syncer,
        inputs,
        requests: request_receiver,
        view_sender,
        confirmed_current: confirmed_sender,
        metrics,
    };
    let arbiter = actix_rt::Arbiter::new();
    arbiter.spawn(essential("watch", task.run()));
    Ok(WatchHandle { views, confirmed_current, requests, arbiter, store_closed })
}
