//! The proxy's side of the watch of control.
//!
//! A task on a thread of its own connects to one control replica, publishes the
//! configuration in force and sends heartbeats; [`state`] decides, this module performs.
//! A configuration is published at once and reported as in force once it is on disk.

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
pub use store::{NotKept, ViewStore};
pub use view_file::ViewFile;

use corktack_core::view::View;
use corktack_storage::StorageError;
use inputs::Request;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::time::{Duration, Instant};
use task::WatchTask;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Why the watch could not start.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The stored configuration cannot be read.
    #[error("the stored configuration cannot be read")]
    Store(#[from] StorageError),
    /// A thread could not be started.
    #[error("the thread that stores configurations cannot be started")]
    Thread(#[source] std::io::Error),
}

/// Longest wait of a stop for the thread that stores configurations: a disk that hangs must
/// not hold up the end of the process. Chosen, not measured; a lower value gives up on slow disks.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// A running watch. It ends when the handle is dropped.
#[derive(Debug)]
pub struct WatchHandle {
    views: watch::Receiver<Arc<View>>,
    proved: watch::Receiver<Option<Instant>>,
    requests: mpsc::UnboundedSender<Request>,
    arbiter: actix_rt::Arbiter,
    /// Closed once the store is let go of.
    ended: mpsc::Receiver<()>,
}

impl WatchHandle {
    /// The configuration in force.
    #[must_use]
    pub fn views(&self) -> watch::Receiver<Arc<View>> {
        self.views.clone()
    }

    /// When the newest heartbeat was sent whose answer proved that the configuration in force is current; none
    /// before the first proof since the start.
    #[must_use]
    pub fn proved(&self) -> watch::Receiver<Option<Instant>> {
        self.proved.clone()
    }

    /// Reports from now on that the proxy is stopping.
    pub fn drain(&self) {
        // A watch that has ended reports nothing any more.
        let _ = self.requests.send(Request::Drain);
    }

    /// Ends the watch, and returns once its store is let go of, and with it the lock of the
    /// data folder. Dropping the handle ends the watch as well, without the wait.
    pub async fn stop(mut self) {
        // It fails only when the watch has ended already.
        let _ = self.requests.send(Request::Stop);
        if timeout(STOP_LIMIT, self.ended.recv()).await.is_err() {
            log::error!("the configuration was still being stored at the end of the watch");
        }
    }
}

impl Drop for WatchHandle {
    fn drop(&mut self) {
        // Both fail only when the watch has ended already.
        let _ = self.requests.send(Request::Stop);
        self.arbiter.stop();
    }
}

/// Starts the watch from the stored configuration, on a thread of its own.
///
/// # Errors
/// [`WatchError`] when the stored configuration cannot be read.
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
    let (publish, views) = watch::channel(Arc::new(stored.clone()));
    let (proof, proved) = watch::channel(None);
    let (requests, received) = mpsc::unbounded_channel();
    let (running, ended) = mpsc::channel(1);
    let syncer = store::Syncer::start(store, metrics.clone(), running);
    let syncer = syncer.map_err(WatchError::Thread)?;
    let task = WatchTask {
        settings,
        stored,
        connect_timeout,
        syncer,
        inputs,
        requests: received,
        publish,
        proved: proof,
        metrics,
    };
    let arbiter = actix_rt::Arbiter::new();
    arbiter.spawn(task.run());
    Ok(WatchHandle { views, proved, requests, arbiter, ended })
}
