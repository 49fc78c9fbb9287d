//! Replication progress of one follower or learner as tracked by the leader.
//!
//! Holds the follower's match index and next index, its state (probe, replicate or snapshot) and the appends
//! or snapshot chunks in flight. [`super::replication`] builds and sends the messages.

use super::Snapshot;
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Limit on the appends with entries in flight to one follower. Bounds the memory and what is sent in vain to
/// an unreachable follower. With fewer, the round trip to a follower in another region limits the commit
/// rate.
const MAX_IN_FLIGHT_APPENDS: usize = 32;
/// Limit on the snapshot chunks in flight to one follower. With more, a snapshot delays the appends to other
/// followers on a low-bandwidth link.
const MAX_IN_FLIGHT_CHUNKS: u64 = 4;

/// Longest silence of a follower that the leader allows beyond its usual limit. It must stay below the time for
/// which later leaders withhold the allocations of a replaced one (`limits`).
pub(super) const MAX_ALLOWED_SILENCE: Duration = Duration::from_secs(5);

/// A snapshot that is being sent to a follower.
#[derive(Debug)]
pub(super) struct SnapshotTransfer {
    pub(super) snapshot: Arc<Snapshot>,
    /// Contiguous bytes that the follower acknowledged.
    pub(super) acknowledged_bytes: u64,
    /// Bytes sent, also those in flight.
    pub(super) sent_bytes: u64,
    /// Whether the last chunk was sent. An empty snapshot has one empty chunk.
    pub(super) all_sent: bool,
    /// `acknowledged_bytes` at the last heartbeat response. No advance since then means that a chunk was
    /// lost.
    acknowledged_bytes_at_heartbeat: Option<u64>,
}

impl SnapshotTransfer {
    fn new(snapshot: Arc<Snapshot>) -> Self {
        Self {
            snapshot,
            acknowledged_bytes: 0,
            sent_bytes: 0,
            all_sent: false,
            acknowledged_bytes_at_heartbeat: None,
        }
    }

    /// Reports whether another chunk may be sent now.
    pub(super) fn may_send_chunk(&self, chunk_bytes: usize) -> bool {
        !self.all_sent
            && self.sent_bytes < self.acknowledged_bytes + MAX_IN_FLIGHT_CHUNKS * chunk_bytes as u64
    }

    fn acknowledge(&mut self, received: u64) {
        if received < self.acknowledged_bytes {
            // The follower restarted and lost the chunks it had received.
            self.rewind_to(received);
        }
        self.acknowledged_bytes = received;
        self.sent_bytes = self.sent_bytes.max(received);
    }

    fn rewind_to(&mut self, offset: u64) {
        self.sent_bytes = offset;
        self.all_sent = false;
    }

    /// Rewinds to the acknowledged bytes, so that lost chunks are sent again, if nothing was acknowledged
    /// since the last heartbeat response.
    fn rewind_if_stalled(&mut self) {
        if self.acknowledged_bytes_at_heartbeat == Some(self.acknowledged_bytes) {
            self.rewind_to(self.acknowledged_bytes);
        }
        self.acknowledged_bytes_at_heartbeat = Some(self.acknowledged_bytes);
    }
}

/// How the leader replicates to a follower.
#[derive(Debug)]
pub(super) enum ProgressState {
    /// Searches for the last matching index, with one append in flight.
    Probe {
        /// Whether an append is in flight; no other is sent until a response arrives.
        paused: bool,
    },
    /// Sends appends without waiting for the responses to earlier ones, within a window.
    Replicate {
        /// Last index of each append with entries in flight.
        in_flight: VecDeque<u64>,
    },
    /// Sends a snapshot, because the log no longer holds the next entry.
    Snapshot(SnapshotTransfer),
}

/// Progress of one follower or learner.
#[derive(Debug)]
pub(super) struct Progress {
    /// Highest index up to which the follower's log is known to match the leader's and to be synced.
    pub(super) match_index: u64,
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    pub(super) state: ProgressState,
    /// When the follower last responded in this term.
    pub(super) last_response: Timestamp,
    /// Time since then in which the leader received nothing.
    stalled: Duration,
    /// Highest heartbeat round that the follower answered.
    pub(super) heartbeat_round: u64,
    /// Committed index of the last append sent to the follower.
    pub(super) sent_commit: u64,
}

impl Progress {
    pub(super) fn new(next_index: u64, now: Timestamp) -> Self {
        Self {
            match_index: 0,
            next_index,
            state: ProgressState::Probe { paused: false },
            last_response: now,
            stalled: Duration::ZERO,
            heartbeat_round: 0,
            sent_commit: 0,
        }
    }

    /// Records that the follower responded.
    pub(super) fn record_response(&mut self, now: Timestamp) {
        self.last_response = now;
        self.stalled = Duration::ZERO;
    }

    /// Records a time in which the leader received nothing, so that the follower may have responded.
    pub(super) fn record_stall(&mut self, duration: Duration) {
        self.stalled = self.stalled.saturating_add(duration);
    }

    /// Reports whether the follower has been silent for longer than `allowed`. Time in which the leader received
    /// nothing is added, up to [`MAX_ALLOWED_SILENCE`].
    pub(super) fn is_overdue(&self, now: Timestamp, allowed: Duration) -> bool {
        let longest = MAX_ALLOWED_SILENCE.max(allowed);
        let allowed = allowed.saturating_add(self.stalled).min(longest);
        now.saturating_since(self.last_response) > allowed
    }

    /// Records that the follower holds the leader's log up to `match_index`.
    pub(super) fn record_match(&mut self, match_index: u64) {
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

    /// Reports whether a rejection of an append after `previous_index` is current, not late or duplicated.
    pub(super) fn is_current_rejection(&self, previous_index: u64) -> bool {
        match &self.state {
            ProgressState::Probe { .. } => previous_index == self.next_index - 1,
            ProgressState::Replicate { .. } => {
                previous_index > self.match_index && previous_index < self.next_index
            }
            ProgressState::Snapshot(_) => false,
        }
    }

    /// Starts to probe from `next_index`, but not below the index after the match index.
    pub(super) fn begin_probe(&mut self, next_index: u64) {
        self.next_index = next_index.max(self.match_index + 1);
        self.state = ProgressState::Probe { paused: false };
    }

    pub(super) fn begin_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.state = ProgressState::Snapshot(SnapshotTransfer::new(snapshot));
    }

    /// Records that the follower holds the first `received` bytes of the snapshot at `index`.
    pub(super) fn record_snapshot_received(&mut self, index: u64, received: u64) {
        if let ProgressState::Snapshot(transfer) = &mut self.state
            && transfer.snapshot.index == index
        {
            transfer.acknowledge(received.min(transfer.snapshot.data.len() as u64));
        }
    }

    /// Reports whether an append with entries or with a new committed index may be sent now.
    pub(super) fn may_send_append(&self, last_index: u64, commit: u64) -> bool {
        match &self.state {
            ProgressState::Probe { paused } => !paused,
            ProgressState::Replicate { in_flight } => {
                let has_sendable_entries =
                    self.next_index <= last_index && in_flight.len() < MAX_IN_FLIGHT_APPENDS;
                has_sendable_entries || self.sent_commit < commit
            }
            ProgressState::Snapshot(_) => false,
        }
    }

    /// Reports whether the next append may contain entries.
    pub(super) fn may_send_entries(&self) -> bool {
        match &self.state {
            ProgressState::Replicate { in_flight } => in_flight.len() < MAX_IN_FLIGHT_APPENDS,
            ProgressState::Probe { .. } => true,
            ProgressState::Snapshot(_) => false,
        }
    }

    /// Records that an append with `count` entries up to `last_index` was sent.
    pub(super) fn record_append(&mut self, last_index: u64, count: usize, commit: u64) {
        self.sent_commit = commit;
        match &mut self.state {
            ProgressState::Probe { paused } => *paused = true,
            ProgressState::Replicate { in_flight } => {
                self.next_index = last_index + 1;
                if count > 0 {
                    in_flight.push_back(last_index);
                }
            }
            ProgressState::Snapshot(_) => {}
        }
    }

    /// Records a heartbeat response. Messages that were sent earlier and are still unanswered may be lost, so
    /// a probe may be repeated and a stalled snapshot is rewound.
    ///
    /// Returns whether an empty append should be sent to check that the follower received all entries sent.
    pub(super) fn record_heartbeat_response(
        &mut self,
        heartbeat_round: u64,
        last_index: u64,
    ) -> bool {
        self.heartbeat_round = self.heartbeat_round.max(heartbeat_round);
        match &mut self.state {
            ProgressState::Probe { paused } => {
                *paused = false;
                false
            }
            ProgressState::Replicate { .. } => self.match_index < last_index,
            ProgressState::Snapshot(transfer) => {
                transfer.rewind_if_stalled();
                false
            }
        }
    }

    /// Reports whether the follower responded in the last `timeout`.
    pub(super) fn responded_within(&self, timeout: Duration, now: Timestamp) -> bool {
        now.saturating_since(self.last_response) <= timeout
    }

    /// Reports whether the follower is in the replicate state.
    pub(super) fn is_replicating(&self) -> bool {
        matches!(self.state, ProgressState::Replicate { .. })
    }
}
