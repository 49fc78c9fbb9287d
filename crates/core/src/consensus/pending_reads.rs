//! Pending reads: at a leader, and at a follower that forwards them.
//!
//! Holds the origin of each read, the heartbeat round that confirms it, and the batch that a follower has
//! forwarded. [`super::read_index`] sends the messages and answers the reads.

use super::{ConsensusSettings, RequestId};
use crate::identity::ReplicaId;
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Heartbeat intervals after which an unanswered batch of forwarded reads is sent again. With one, a batch
/// whose answer is merely slow is sent twice.
pub(super) const RESEND_HEARTBEAT_INTERVALS: u32 = 2;
/// Shortest time between two heartbeat rounds that start only for reads. A read waits for the start of the
/// next round and for its responses. If each round waited for the end of the one before, a read would take up
/// to two round trips (85 ms across the users' regions); with this interval it takes one round trip plus the
/// interval.
const MIN_READ_ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// Origin of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOrigin {
    /// Requested by the driver of this replica.
    Local(RequestId),
    /// Forwarded by a follower, which requests one index for a batch of reads.
    Follower { from: ReplicaId, batch: u64 },
}

/// Reads that one heartbeat round confirms.
#[derive(Debug)]
pub(super) struct ReadRound {
    round: u64,
    /// Read index: the committed index when the round started, after all reads in it were requested. At least
    /// the index of the first entry of the leader's term; until that entry is committed, the leader does not
    /// know how far its predecessors had committed.
    pub(super) index: u64,
    pub(super) reads: Vec<ReadOrigin>,
}

/// Pending reads of a leader.
#[derive(Debug, Default)]
pub(super) struct LeaderReads {
    /// Number of the last heartbeat round started.
    pub(super) last_round: u64,
    /// When that round started.
    last_round_at: Timestamp,
    /// Reads requested since the last round started.
    pub(super) waiting: Vec<ReadOrigin>,
    confirming: VecDeque<ReadRound>,
}

impl LeaderReads {
    /// Starts a heartbeat round, which confirms the waiting reads with the read index `index`. Returns its
    /// number.
    pub(super) fn begin_round(&mut self, now: Timestamp, index: u64) -> u64 {
        self.last_round += 1;
        self.last_round_at = now;
        if !self.waiting.is_empty() {
            let reads = std::mem::take(&mut self.waiting);
            self.confirming.push_back(ReadRound { round: self.last_round, index, reads });
        }
        self.last_round
    }

    /// Returns when the next round should start for the waiting reads; none if no read waits.
    pub(super) fn next_round_at(&self) -> Option<Timestamp> {
        if self.waiting.is_empty() {
            return None;
        }
        let interval =
            if self.confirming.is_empty() { Duration::ZERO } else { MIN_READ_ROUND_INTERVAL };
        Some(self.last_round_at + interval)
    }

    /// Removes and returns the rounds up to `round`, the last one that a majority answered.
    pub(super) fn take_confirmed(&mut self, round: u64) -> Vec<ReadRound> {
        let count = self.confirming.partition_point(|confirming| confirming.round <= round);
        self.confirming.drain(..count).collect()
    }

    pub(super) fn into_origins(self) -> impl Iterator<Item = ReadOrigin> {
        let confirming = self.confirming.into_iter().flat_map(|round| round.reads);
        confirming.chain(self.waiting)
    }
}

/// A batch of reads that was sent to the leader and is not answered yet.
#[derive(Debug)]
pub(super) struct ForwardedBatch {
    pub(super) id: u64,
    reads: Vec<RequestId>,
    pub(super) first_sent_at: Timestamp,
    pub(super) last_sent_at: Timestamp,
}

/// Reads that a follower forwards to its leader, one batch at a time.
#[derive(Debug)]
pub(super) struct ForwardedReads {
    next_batch_id: u64,
    pub(super) outstanding: Option<ForwardedBatch>,
    pub(super) waiting: Vec<RequestId>,
}

impl ForwardedReads {
    pub(super) fn new(first_batch_id: u64) -> Self {
        Self { next_batch_id: first_batch_id, outstanding: None, waiting: Vec::new() }
    }

    /// Moves the waiting reads into a new batch and returns its id; none while another batch is outstanding.
    pub(super) fn begin_batch(&mut self, now: Timestamp) -> Option<u64> {
        if self.outstanding.is_some() || self.waiting.is_empty() {
            return None;
        }
        let id = self.next_batch_id;
        self.next_batch_id = id.wrapping_add(1);
        let reads = std::mem::take(&mut self.waiting);
        self.outstanding =
            Some(ForwardedBatch { id, reads, first_sent_at: now, last_sent_at: now });
        Some(id)
    }

    /// Removes the outstanding batch if it has this id, and returns its reads.
    pub(super) fn take_batch(&mut self, id: u64) -> Vec<RequestId> {
        let answered = self.outstanding.take_if(|batch| batch.id == id);
        answered.map_or_else(Vec::new, |batch| batch.reads)
    }

    /// Removes and returns all reads, outstanding and waiting.
    pub(super) fn take_all(&mut self) -> Vec<RequestId> {
        let mut reads = self.outstanding.take().map_or_else(Vec::new, |batch| batch.reads);
        reads.append(&mut self.waiting);
        reads
    }

    pub(super) fn next_deadline(&self, settings: &ConsensusSettings) -> Option<Timestamp> {
        let batch = self.outstanding.as_ref()?;
        Some(batch.last_sent_at + settings.heartbeat_interval * RESEND_HEARTBEAT_INTERVALS)
    }
}
