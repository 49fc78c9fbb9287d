//! Stores the last configuration in force, so that it survives restarts.
//!
//! A thread of this module does the writes, so that no event loop waits for the disk. When several
//! configurations are queued, only the newest is written.

use super::metrics::WatchMetrics;
use corktack_core::view::{Revision, View};
use corktack_storage::StorageError;
use corktack_tasks::run_essential;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::Duration;
use tokio::sync::mpsc;

/// Pause after a failed write, unless a newer configuration comes first. A shorter pause tries more often while
/// the disk is full; a longer one delays the report that the configuration is on disk.
const SAVE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Storage of the last configuration in force.
pub trait ViewStore: Send {
    /// Returns the configuration that was saved last, or `None` when none was saved or the stored one is
    /// damaged: the proxy then waits for control, as at its first start.
    ///
    /// # Errors
    /// [`StorageError::Io`] when the store cannot be read.
    fn load(&self) -> Result<Option<View>, StorageError>;

    /// Saves a configuration; it is synced to disk when the call returns.
    ///
    /// # Errors
    /// [`StorageError::Io`] when the configuration cannot be written or synced.
    fn save(&mut self, view: &View) -> Result<(), StorageError>;
}

/// Stores nothing, for a proxy without a disk: the proxy waits for control at each start.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoViewStore;

impl ViewStore for NoViewStore {
    fn load(&self) -> Result<Option<View>, StorageError> {
        Ok(None)
    }

    fn save(&mut self, _view: &View) -> Result<(), StorageError> {
        Ok(())
    }
}

/// Handle of the thread that writes configurations to the store.
pub(super) struct Syncer {
    views: Sender<Arc<View>>,
    synced: mpsc::UnboundedReceiver<Revision>,
}

impl Syncer {
    /// Starts the thread, which drops `store_guard` after the store: the guard's receiver then sees the
    /// store closed.
    pub(super) fn start(
        store: Box<dyn ViewStore>,
        metrics: WatchMetrics,
        store_guard: mpsc::Sender<()>,
    ) -> std::io::Result<Self> {
        let (views, queued_views) = channel();
        let (synced_sender, synced) = mpsc::unbounded_channel();
        let thread = std::thread::Builder::new().name("view-sync".to_owned());
        let write = move || write_views(store, &queued_views, &synced_sender, &metrics);
        thread.spawn(move || {
            run_essential("view-sync", write);
            drop(store_guard);
        })?;
        Ok(Self { views, synced })
    }

    /// Queues a configuration to be written.
    pub(super) fn sync(&self, view: Arc<View>) {
        // The thread ends only after this value is dropped.
        let _ = self.views.send(view);
    }

    /// Waits for the next revision that is on disk.
    pub(super) async fn next_synced(&mut self) -> Option<Revision> {
        self.synced.recv().await
    }
}

fn write_views(
    mut store: Box<dyn ViewStore>,
    views: &Receiver<Arc<View>>,
    synced_sender: &mpsc::UnboundedSender<Revision>,
    metrics: &WatchMetrics,
) {
    while let Ok(mut view) = views.recv() {
        // An older configuration is never read again once a newer one is saved.
        while let Ok(newer) = views.try_recv() {
            view = newer;
        }
        while let Err(error) = store.save(&view) {
            metrics.sync_failures.inc();
            log::error!(error:? = error; "the configuration in force cannot be put on disk, trying again");
            match views.recv_timeout(SAVE_RETRY_PAUSE) {
                Ok(newer) => view = newer,
                Err(RecvTimeoutError::Timeout) => (),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
        // The receiver is dropped only at the end of the process.
        let _ = synced_sender.send(view.revision);
    }
}
