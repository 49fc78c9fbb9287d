//! What the leader knows of one follower's log.
//!
//! Owns where the follower's log ends, how it is sent to (probe, replicate, snapshot) and what is under way.
//! What is sent is put together in [`super::replication`].

use super::Snapshot;
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Appends with entries that may be under way to one follower. Chosen, not measured: a bound on memory and on
/// what is sent in vain; with fewer, a follower a region away limits how fast entries are committed.
const APPEND_WINDOW: usize = 32;
/// Pieces of a snapshot that may be under way to one follower. Chosen, not measured: with more, a snapshot
/// delays appends to others on a narrow link.
const SNAPSHOT_WINDOW: u64 = 4;

/// A snapshot on its way to a follower.
#[derive(Debug)]
pub(super) struct SnapshotTransfer {
    pub(super) snapshot: Arc<Snapshot>,
    /// Bytes the follower has without a gap.
    pub(super) acknowledged: u64,
    /// Bytes sent.
    pub(super) sent: u64,
    /// Whether the last piece, or the only and empty one, was sent.
    pub(super) complete: bool,
    /// `acknowledged` at the last heartbeat: no advance since means a lost piece.
    acknowledged_at_heartbeat: Option<u64>,
}

impl SnapshotTransfer {
    fn new(snapshot: Arc<Snapshot>) -> Self {
        Self {
            snapshot,
            acknowledged: 0,
            sent: 0,
            complete: false,
            acknowledged_at_heartbeat: None,
        }
    }

    /// Whether another piece may be sent now.
    pub(super) fn may_send(&self, chunk_bytes: usize) -> bool {
        !self.complete && self.sent < self.acknowledged + SNAPSHOT_WINDOW * chunk_bytes as u64
    }

    fn acknowledge(&mut self, received: u64) {
        if received < self.acknowledged {
            // The follower restarted and lost the pieces it had.
            self.rewind_to(received);
        }
        self.acknowledged = received;
        self.sent = self.sent.max(received);
    }

    fn rewind_to(&mut self, offset: u64) {
        self.sent = offset;
        self.complete = false;
    }

    fn rewind_if_stalled(&mut self) {
        if self.acknowledged_at_heartbeat == Some(self.acknowledged) {
            self.rewind_to(self.acknowledged);
        }
        self.acknowledged_at_heartbeat = Some(self.acknowledged);
    }
}

/// How the leader sends to a follower.
#[derive(Debug)]
pub(super) enum ProgressState {
    /// Finds the place where the logs meet, one append at a time.
    Probe {
        /// Whether an append is under way.
        waiting: bool,
    },
    /// Sends without waiting, within a window.
    Replicate {
        /// Last index of each append with entries under way.
        in_flight: VecDeque<u64>,
    },
    /// Sends a snapshot.
    Snapshot(SnapshotTransfer),
}

/// Progress of one follower or learner.
#[derive(Debug)]
pub(super) struct Progress {
    /// Highest index known to equal the leader's and to be synced there.
    pub(super) match_index: u64,
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    pub(super) state: ProgressState,
    /// When it last answered in this term.
    pub(super) last_answer: Timestamp,
    /// Highest heartbeat round it answered.
    pub(super) round: u64,
    /// Highest committed index sent to it.
    pub(super) sent_commit: u64,
}

impl Progress {
    pub(super) fn new(next_index: u64, now: Timestamp) -> Self {
        Self {
            match_index: 0,
            next_index,
            state: ProgressState::Probe { waiting: false },
            last_answer: now,
            round: 0,
            sent_commit: 0,
        }
    }

    /// The follower holds the leader's log up to `match_index`.
    pub(super) fn accepted(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match &mut self.state {
            ProgressState::Probe { .. } => self.begin_replicate(),
            ProgressState::Replicate { in_flight } => {
                while in_flight.front().is_some_and(|last| *last <= match_index) {
                    in_flight.pop_front();
                }
            }
            ProgressState::Snapshot(transfer) => {
                if self.match_index >= transfer.snapshot.index {
                    self.begin_replicate();
                }
            }
        }
    }

    fn begin_replicate(&mut self) {
        self.next_index = self.match_index + 1;
        self.state = ProgressState::Replicate { in_flight: VecDeque::new() };
    }

    /// Whether a rejection of an append after `previous_index` tells something new.
    pub(super) fn expects_rejection(&self, previous_index: u64) -> bool {
        match &self.state {
            ProgressState::Probe { .. } => previous_index == self.next_index - 1,
            ProgressState::Replicate { .. } => {
                previous_index > self.match_index && previous_index < self.next_index
            }
            ProgressState::Snapshot(_) => false,
        }
    }

    /// Goes back to `next_index`, but never below what is known to match.
    pub(super) fn begin_probe(&mut self, next_index: u64) {
        self.next_index = next_index.max(self.match_index + 1);
        self.state = ProgressState::Probe { waiting: false };
    }

    pub(super) fn begin_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.state = ProgressState::Snapshot(SnapshotTransfer::new(snapshot));
    }

    pub(super) fn snapshot_received(&mut self, index: u64, received: u64) {
        if let ProgressState::Snapshot(transfer) = &mut self.state
            && transfer.snapshot.index == index
        {
            transfer.acknowledge(received.min(transfer.snapshot.data.len() as u64));
        }
    }

    /// Whether an append with entries, or with a new committed index, may leave now.
    pub(super) fn may_append(&self, last_index: u64, commit: u64) -> bool {
        match &self.state {
            ProgressState::Probe { waiting } => !waiting,
            ProgressState::Replicate { in_flight } => {
                let entries = self.next_index <= last_index && in_flight.len() < APPEND_WINDOW;
                entries || self.sent_commit < commit
            }
            ProgressState::Snapshot(_) => false,
        }
    }

    /// Whether an append may carry entries.
    pub(super) fn has_window(&self) -> bool {
        match &self.state {
            ProgressState::Replicate { in_flight } => in_flight.len() < APPEND_WINDOW,
            ProgressState::Probe { .. } => true,
            ProgressState::Snapshot(_) => false,
        }
    }

    /// Notes an append that ends at `last_index` and holds `count` entries.
    pub(super) fn appended(&mut self, last_index: u64, count: usize, commit: u64) {
        self.sent_commit = commit;
        match &mut self.state {
            ProgressState::Probe { waiting } => *waiting = true,
            ProgressState::Replicate { in_flight } => {
                self.next_index = last_index + 1;
                if count > 0 {
                    in_flight.push_back(last_index);
                }
            }
            ProgressState::Snapshot(_) => {}
        }
    }

    /// The follower answered a heartbeat: what was sent before may be lost.
    ///
    /// Returns whether an empty append should ask for the follower's place.
    pub(super) fn heartbeat_answered(&mut self, round: u64, last_index: u64) -> bool {
        self.round = self.round.max(round);
        match &mut self.state {
            ProgressState::Probe { waiting } => {
                *waiting = false;
                false
            }
            ProgressState::Replicate { .. } => self.match_index < last_index,
            ProgressState::Snapshot(transfer) => {
                transfer.rewind_if_stalled();
                false
            }
        }
    }

    /// Whether the follower answered in the last `timeout`.
    pub(super) fn answered_within(&self, timeout: Duration, now: Timestamp) -> bool {
        now.saturating_since(self.last_answer) <= timeout
    }

    /// Whether the follower receives new entries as they come.
    pub(super) fn is_replicating(&self) -> bool {
        matches!(self.state, ProgressState::Replicate { .. })
    }
}
