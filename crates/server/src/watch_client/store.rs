//! The last configuration in force, kept on disk over restarts.
//!
//! Owns the thread that writes, so that no event loop waits for the disk. Only the newest configuration is
//! written where several wait.

use super::metrics::WatchMetrics;
use corktack_core::view::{Revision, View};
use corktack_storage::StorageError;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::mpsc;

/// Keeps the last configuration in force.
pub trait ViewStore: Send {
    /// What was kept last; none when nothing was, or when it is damaged: the proxy then starts
    /// like a fresh one, and waits for control.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn load(&self) -> Result<Option<View>, StorageError>;

    /// Keeps a configuration; it is synced when this returns.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    fn save(&mut self, view: &View) -> Result<(), StorageError>;
}

/// Keeps nothing, for a proxy without a disk: it waits for control at each start.
#[derive(Clone, Copy, Debug, Default)]
pub struct NotKept;

impl ViewStore for NotKept {
    fn load(&self) -> Result<Option<View>, StorageError> {
        Ok(None)
    }

    fn save(&mut self, _view: &View) -> Result<(), StorageError> {
        Ok(())
    }
}

/// Writes configurations on a thread of its own, so that no event loop waits for the disk.
pub(super) struct Syncer {
    views: Sender<Arc<View>>,
    synced: mpsc::UnboundedReceiver<Revision>,
}

impl Syncer {
    /// Starts the thread; it drops `running` after the store.
    pub(super) fn start(
        store: Box<dyn ViewStore>,
        metrics: WatchMetrics,
        running: mpsc::Sender<()>,
    ) -> std::io::Result<Self> {
        let (views, written) = channel();
        let (report, synced) = mpsc::unbounded_channel();
        let thread = std::thread::Builder::new().name("view-sync".to_owned());
        thread.spawn(move || {
            write_views(store, &written, &report, &metrics);
            drop(running);
        })?;
        Ok(Self { views, synced })
    }

    /// Asks for a configuration to be written.
    pub(super) fn sync(&self, view: Arc<View>) {
        // The thread ends only after this value is dropped.
        let _ = self.views.send(view);
    }

    /// The next revision that is on disk.
    pub(super) async fn synced(&mut self) -> Option<Revision> {
        self.synced.recv().await
    }
}

fn write_views(
    mut store: Box<dyn ViewStore>,
    views: &Receiver<Arc<View>>,
    report: &mpsc::UnboundedSender<Revision>,
    metrics: &WatchMetrics,
) {
    while let Ok(mut view) = views.recv() {
        // Only the newest matters.
        while let Ok(newer) = views.try_recv() {
            view = newer;
        }
        match store.save(&view) {
            Ok(()) => drop(report.send(view.revision)),
            Err(error) => {
                metrics.sync_failures.inc();
                log::error!(error:? = error; "the configuration in force cannot be put on disk");
            }
        }
    }
}
