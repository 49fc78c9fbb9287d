//! Reads under way, at a leader and at a follower that forwards them.
//!
//! Owns who asked, in which heartbeat round a read is confirmed, and the batch that a follower has sent. What is
//! sent and answered is decided in [`super::read_index`].

use super::{ConsensusSettings, RequestId};
use crate::identity::ReplicaId;
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Heartbeat intervals after which a batch of forwarded reads is sent again. Chosen, not measured: with one, a
/// batch is sent twice where an answer is merely slow.
pub(super) const RESEND_HEARTBEATS: u32 = 2;
/// Shortest time between two heartbeat rounds that are begun for reads alone. A read waits for the next
/// round and for its answers: with one round after the other that is up to two round trips, 85 ms over the
/// users' regions; this makes it one and this time.
const ROUND_SPACING: Duration = Duration::from_millis(20);

/// Who asked for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOrigin {
    /// The own shell.
    Local(RequestId),
    /// A follower, for a batch.
    Follower { from: ReplicaId, batch: u64 },
}

/// Reads that one heartbeat round will confirm.
#[derive(Debug)]
pub(super) struct ReadRound {
    round: u64,
    /// What was committed when the round began, after every question in it; at least the first entry of
    /// the leader's term, before which the leader does not know how far its predecessors had committed.
    pub(super) index: u64,
    pub(super) reads: Vec<ReadOrigin>,
}

/// Reads under way at a leader.
#[derive(Debug, Default)]
pub(super) struct LeaderReads {
    /// Last heartbeat round begun, and when.
    pub(super) round: u64,
    begun_at: Timestamp,
    /// Asked after the last round began.
    pub(super) waiting: Vec<ReadOrigin>,
    confirming: VecDeque<ReadRound>,
}

impl LeaderReads {
    /// Begins a round, which confirms the reads that wait, on a state that holds `index`.
    pub(super) fn begin_round(&mut self, now: Timestamp, index: u64) -> u64 {
        self.round += 1;
        self.begun_at = now;
        if !self.waiting.is_empty() {
            let reads = std::mem::take(&mut self.waiting);
            self.confirming.push_back(ReadRound { round: self.round, index, reads });
        }
        self.round
    }

    /// When a round should begin for reads alone; it carries all that came since the one before.
    pub(super) fn round_due(&self) -> Option<Timestamp> {
        if self.waiting.is_empty() {
            return None;
        }
        let spacing = if self.confirming.is_empty() { Duration::ZERO } else { ROUND_SPACING };
        Some(self.begun_at + spacing)
    }

    /// Takes the rounds up to `round`, which a majority answered.
    pub(super) fn take_confirmed(&mut self, round: u64) -> Vec<ReadRound> {
        let count = self.confirming.partition_point(|confirming| confirming.round <= round);
        self.confirming.drain(..count).collect()
    }

    pub(super) fn into_origins(self) -> impl Iterator<Item = ReadOrigin> {
        let confirming = self.confirming.into_iter().flat_map(|round| round.reads);
        confirming.chain(self.waiting)
    }
}

/// A batch of reads sent to the leader.
#[derive(Debug)]
pub(super) struct ForwardedBatch {
    pub(super) batch: u64,
    reads: Vec<RequestId>,
    pub(super) first_sent: Timestamp,
    pub(super) last_sent: Timestamp,
}

/// Reads that a follower sends to its leader, one batch at a time.
#[derive(Debug)]
pub(super) struct ForwardedReads {
    next_batch: u64,
    pub(super) outstanding: Option<ForwardedBatch>,
    pub(super) waiting: Vec<RequestId>,
}

impl ForwardedReads {
    pub(super) fn new(first_batch: u64) -> Self {
        Self { next_batch: first_batch, outstanding: None, waiting: Vec::new() }
    }

    /// Closes a batch of what waits; returns its number.
    pub(super) fn begin_batch(&mut self, now: Timestamp) -> Option<u64> {
        if self.outstanding.is_some() || self.waiting.is_empty() {
            return None;
        }
        let batch = self.next_batch;
        self.next_batch = batch.wrapping_add(1);
        let reads = std::mem::take(&mut self.waiting);
        self.outstanding = Some(ForwardedBatch { batch, reads, first_sent: now, last_sent: now });
        Some(batch)
    }

    pub(super) fn take_batch(&mut self, batch: u64) -> Vec<RequestId> {
        let answered = self.outstanding.take_if(|outstanding| outstanding.batch == batch);
        answered.map_or_else(Vec::new, |outstanding| outstanding.reads)
    }

    pub(super) fn take_all(&mut self) -> Vec<RequestId> {
        let mut reads = self.outstanding.take().map_or_else(Vec::new, |batch| batch.reads);
        reads.append(&mut self.waiting);
        reads
    }

    pub(super) fn next_deadline(&self, settings: &ConsensusSettings) -> Option<Timestamp> {
        let batch = self.outstanding.as_ref()?;
        Some(batch.last_sent + settings.heartbeat_interval * RESEND_HEARTBEATS)
    }
}
