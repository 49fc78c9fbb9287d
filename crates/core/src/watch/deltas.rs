//! Recent deltas of the view, for the watching proxies.
//!
//! The log holds a bounded number of changes; a watcher that needs older changes gets the whole view.

use super::log::{RevisionLog, TooOld};
use crate::view::{Delta, Revision, ViewChange};
use std::sync::Arc;

/// Highest number of changes in the log; about 10 MB at 600 bytes each. With fewer changes, proxies
/// that were disconnected for a moment need the whole view.
pub const DELTA_CHANGE_LIMIT: usize = 16_384;

/// Number of routes of a document that count as one change, according to their encoded size.
const ROUTES_PER_CHANGE: usize = 4;

/// Highest number of changes sent to a watcher in one step, so that a watcher that is far
/// behind does not delay the other watchers of its thread.
const STEP_CHANGE_LIMIT: usize = 1_024;

/// The recent deltas in order of revision, bounded by their number of changes.
#[derive(Clone, Debug)]
pub struct DeltaLog {
    log: RevisionLog<Arc<Delta>>,
}

impl DeltaLog {
    /// Returns an empty log for a state whose view has this revision.
    #[must_use]
    pub fn new(view_revision: Revision) -> Self {
        Self::with_limit(view_revision, DELTA_CHANGE_LIMIT)
    }

    /// Returns an empty log as [`DeltaLog::new`], with another bound on the number of changes.
    #[must_use]
    pub fn with_limit(view_revision: Revision, change_limit: usize) -> Self {
        Self { log: RevisionLog::new(view_revision, change_limit) }
    }

    /// Appends the changes by one entry as a delta. An entry without changes adds no delta.
    pub fn push(&mut self, revision: Revision, changes: Vec<ViewChange>) {
        if changes.is_empty() {
            return;
        }
        let weight = changes.iter().map(weight).sum();
        self.log.push(revision, weight, Arc::new(Delta { revision, changes }));
    }

    /// Returns the revision of the newest delta.
    #[must_use]
    pub fn head(&self) -> Revision {
        self.log.head()
    }

    /// Returns the deltas above a revision; none when the watcher is ahead of this replica.
    ///
    /// # Errors
    /// [`TooOld`] if deltas above the revision were dropped: the watcher needs a snapshot.
    pub fn since(&self, revision: Revision) -> Result<impl Iterator<Item = &Arc<Delta>>, TooOld> {
        self.log.since(revision)
    }
}

/// Returns the size of a change, in changes of ordinary size.
fn weight(change: &ViewChange) -> usize {
    match change {
        ViewChange::PutDocument(document) => 1 + document.routes.len() / ROUTES_PER_CHANGE,
        ViewChange::ChangeDocument(change) => 1 + change.weight() / ROUTES_PER_CHANGE,
        _ => 1,
    }
}

/// The next message for a watcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Nothing to send: the watcher has all changes that this replica has applied.
    UpToDate,
    /// Send these deltas, in order.
    Deltas(Vec<Arc<Delta>>),
    /// Send the whole view, then call [`WatchCursor::snapshot_sent`].
    Snapshot,
}

/// Revision up to which one watcher was sent changes.
///
/// The cursor starts at the revision that the watcher has in force and never goes back.
/// A watcher ahead of this replica is sent nothing until the replica passes its revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchCursor {
    sent: Revision,
}

impl WatchCursor {
    /// Returns the cursor of a watcher that has this revision in force; 0 if it has none.
    #[must_use]
    pub const fn new(in_force: Revision) -> Self {
        Self { sent: in_force }
    }

    /// Returns the revision up to which the watcher was sent changes.
    #[must_use]
    pub const fn sent(&self) -> Revision {
        self.sent
    }

    /// Returns what to send next, and counts returned deltas as sent. The caller repeats the call
    /// until the result is [`WatchStep::UpToDate`].
    ///
    /// A watcher without a configuration in force gets a snapshot, even if the log is complete from
    /// the start: deltas would put every old configuration in force in turn, on a proxy that may
    /// have had a newer configuration before it lost its data folder.
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

    /// Records that a snapshot of this revision was sent.
    pub fn snapshot_sent(&mut self, revision: Revision) {
        self.sent = self.sent.max(revision);
    }
}
