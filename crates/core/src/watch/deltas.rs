//! Recent deltas of the view, for the proxies that watch.
//!
//! Owns a bounded number of changes; a watcher that asks for older ones gets the whole view.

use super::log::{RevisionLog, TooOld};
use crate::view::{Delta, Revision, ViewChange};
use std::sync::Arc;

/// Changes held over all recent deltas; about 10 MB at 600 bytes each. With fewer, proxies that were away for a
/// moment need the whole view.
pub const DELTA_CHANGE_LIMIT: usize = 16_384;

/// Routes of a document that count as one change, by their encoded size.
const ROUTES_PER_CHANGE: usize = 4;

/// Most changes given to a watcher in one step, so that one that is far behind
/// does not hold up the others of its thread. Chosen, not measured.
const STEP_CHANGE_LIMIT: usize = 1_024;

/// The recent deltas, oldest first, bounded by their number of changes.
#[derive(Clone, Debug)]
pub struct DeltaLog {
    log: RevisionLog<Arc<Delta>>,
}

impl DeltaLog {
    /// An empty log beside a state whose view has this revision.
    #[must_use]
    pub fn new(view_revision: Revision) -> Self {
        Self::with_limit(view_revision, DELTA_CHANGE_LIMIT)
    }

    /// As [`DeltaLog::new`], with another bound on the number of changes.
    #[must_use]
    pub fn with_limit(view_revision: Revision, change_limit: usize) -> Self {
        Self { log: RevisionLog::new(view_revision, change_limit) }
    }

    /// Appends what one entry changed. An entry that changed nothing makes no delta.
    pub fn push(&mut self, revision: Revision, changes: Vec<ViewChange>) {
        if changes.is_empty() {
            return;
        }
        let weight = changes.iter().map(weight).sum();
        self.log.push(revision, weight, Arc::new(Delta { revision, changes }));
    }

    /// Revision of the newest delta.
    #[must_use]
    pub fn head(&self) -> Revision {
        self.log.head()
    }

    /// The deltas above a revision; none when the watcher is ahead of this replica.
    ///
    /// # Errors
    /// [`TooOld`] when deltas above the revision were dropped: the watcher needs a snapshot.
    pub fn since(&self, revision: Revision) -> Result<impl Iterator<Item = &Arc<Delta>>, TooOld> {
        self.log.since(revision)
    }
}

/// How many changes of ordinary size a change counts as.
fn weight(change: &ViewChange) -> usize {
    match change {
        ViewChange::PutDocument(document) => 1 + document.routes.len() / ROUTES_PER_CHANGE,
        ViewChange::ChangeDocument(change) => 1 + change.weight() / ROUTES_PER_CHANGE,
        _ => 1,
    }
}

/// What to send to a watcher next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Nothing: it has all that this replica has applied.
    UpToDate,
    /// These deltas, in order.
    Deltas(Vec<Arc<Delta>>),
    /// The whole view; then report it with [`WatchCursor::snapshot_sent`].
    Snapshot,
}

/// How far one watcher has been told.
///
/// It starts at the revision that the watcher has in force and never goes back.
/// A watcher ahead of this replica is told nothing until the replica passes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchCursor {
    sent: Revision,
}

impl WatchCursor {
    /// A watcher that has this revision in force; zero for none.
    #[must_use]
    pub const fn new(in_force: Revision) -> Self {
        Self { sent: in_force }
    }

    /// Revision up to which the watcher has been told.
    #[must_use]
    pub const fn sent(&self) -> Revision {
        self.sent
    }

    /// What to send next; deltas count as sent. Call again until it is up to date.
    ///
    /// A watcher with nothing in force gets a snapshot, also when the log goes back to
    /// the start: deltas would put every old configuration in force on the way, on a
    /// proxy that may have had a newer one before it lost its data folder.
    pub fn advance(&mut self, log: &DeltaLog) -> WatchStep {
        if self.sent == Revision::default() && log.head() > self.sent {
            return WatchStep::Snapshot;
        }
        let Ok(deltas) = log.since(self.sent) else { return WatchStep::Snapshot };
        let mut changes = 0;
        let mut step = Vec::new();
        for delta in deltas {
            changes += delta.changes.iter().map(weight).sum::<usize>();
            if changes > STEP_CHANGE_LIMIT && !step.is_empty() {
                break;
            }
            step.push(Arc::clone(delta));
        }
        let Some(last) = step.last() else { return WatchStep::UpToDate };
        self.sent = last.revision;
        WatchStep::Deltas(step)
    }

    /// Notes that a snapshot of this revision was sent.
    pub fn snapshot_sent(&mut self, revision: Revision) {
        self.sent = self.sent.max(revision);
    }
}
