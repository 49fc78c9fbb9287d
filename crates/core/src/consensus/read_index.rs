//! Linearizable reads: a leader proves by a heartbeat round that it still leads.

use super::message::MessageBody;
use super::replica::{Replica, RoleState};
use super::{Action, ConsensusSettings, Rejection, RequestId};
use crate::identity::ReplicaId;
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Heartbeat intervals after which a batch of forwarded reads is sent again.
const RESEND_HEARTBEATS: u32 = 2;
/// Shortest time between two heartbeat rounds that are begun for reads alone. A read waits for the next
/// round and for its answers: with one round after the other that is up to two round trips, 85 ms over the
/// users' regions; this makes it one and this time.
const ROUND_SPACING: Duration = Duration::from_millis(20);
/// Election timeouts after which forwarded reads are given back.
const FORWARD_ELECTION_TIMEOUTS: u32 = 2;

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
struct ReadRound {
    round: u64,
    /// What was committed when the round began, after every question in it; at least the first entry of
    /// the leader's term, before which the leader does not know how far its predecessors had committed.
    index: u64,
    reads: Vec<ReadOrigin>,
}

/// Reads under way at a leader.
#[derive(Debug, Default)]
pub(super) struct LeaderReads {
    /// Last heartbeat round begun, and when.
    round: u64,
    begun_at: Timestamp,
    /// Asked after the last round began.
    waiting: Vec<ReadOrigin>,
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
    fn take_confirmed(&mut self, round: u64) -> Vec<ReadRound> {
        let count = self.confirming.partition_point(|confirming| confirming.round <= round);
        self.confirming.drain(..count).collect()
    }

    fn into_origins(self) -> impl Iterator<Item = ReadOrigin> {
        let confirming = self.confirming.into_iter().flat_map(|round| round.reads);
        confirming.chain(self.waiting)
    }
}

/// A batch of reads sent to the leader.
#[derive(Debug)]
struct ForwardedBatch {
    batch: u64,
    reads: Vec<RequestId>,
    first_sent: Timestamp,
    last_sent: Timestamp,
}

/// Reads that a follower sends to its leader, one batch at a time.
#[derive(Debug)]
pub(super) struct ForwardedReads {
    next_batch: u64,
    outstanding: Option<ForwardedBatch>,
    waiting: Vec<RequestId>,
}

impl ForwardedReads {
    pub(super) fn new(first_batch: u64) -> Self {
        Self { next_batch: first_batch, outstanding: None, waiting: Vec::new() }
    }

    /// Closes a batch of what waits; returns its number.
    fn begin_batch(&mut self, now: Timestamp) -> Option<u64> {
        if self.outstanding.is_some() || self.waiting.is_empty() {
            return None;
        }
        let batch = self.next_batch;
        self.next_batch = batch.wrapping_add(1);
        let reads = std::mem::take(&mut self.waiting);
        self.outstanding = Some(ForwardedBatch { batch, reads, first_sent: now, last_sent: now });
        Some(batch)
    }

    fn take_batch(&mut self, batch: u64) -> Vec<RequestId> {
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

impl Replica {
    pub(super) fn handle_read(&mut self, now: Timestamp, request: RequestId) {
        if let Some(leader) = self.leader_state() {
            leader.reads.waiting.push(ReadOrigin::Local(request));
        } else if self.leader.is_some() {
            self.forwarded.waiting.push(request);
            self.forward_reads(now);
        } else {
            self.reject(request, Rejection::NotLeader { leader: None });
        }
    }

    fn forward_reads(&mut self, now: Timestamp) {
        let Some(leader) = self.leader else { return };
        if let Some(batch) = self.forwarded.begin_batch(now) {
            self.send(leader, MessageBody::ReadRequest { batch });
        }
    }

    pub(super) fn handle_read_request(&mut self, now: Timestamp, from: ReplicaId, batch: u64) {
        let rejection = Rejection::NotLeader { leader: self.leader };
        let member = self.is_member(from);
        match self.leader_state() {
            Some(leader) => {
                let origin = ReadOrigin::Follower { from, batch };
                // A batch is sent again when its answer is late; one place in the queue is enough.
                if member && !leader.reads.waiting.contains(&origin) {
                    leader.reads.waiting.push(origin);
                }
            }
            None => self.send(from, MessageBody::ReadResponse { batch, outcome: Err(rejection) }),
        }
        self.start_read_round(now);
    }

    pub(super) fn handle_read_response(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        batch: u64,
        outcome: Result<u64, Rejection>,
    ) {
        if self.leader != Some(from) {
            return;
        }
        for request in self.forwarded.take_batch(batch) {
            self.answer_read(request, outcome);
        }
        self.forward_reads(now);
    }

    fn answer_read(&mut self, request: RequestId, outcome: Result<u64, Rejection>) {
        match outcome {
            Ok(index) => self.outbox.push(Action::ReadReady { request, index }),
            Err(rejection) => self.reject(request, rejection),
        }
    }

    /// Begins a heartbeat round when reads wait for one.
    pub(super) fn start_read_round(&mut self, now: Timestamp) {
        let RoleState::Leader(leader) = &self.role else { return };
        if leader.reads.round_due().is_some_and(|due| now >= due) {
            self.send_heartbeats(now);
        }
    }

    /// Answers the reads whose round a majority has answered.
    pub(super) fn confirm_reads(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else { return };
        let last = leader.reads.round;
        let own = self.settings.id;
        let round = leader.quorum_value(&self.log, own, last, |progress| progress.round);
        for confirmed in leader.reads.take_confirmed(round.unwrap_or(0)) {
            self.answer_reads(confirmed.reads, Ok(confirmed.index));
        }
    }

    fn answer_reads(
        &mut self,
        reads: impl IntoIterator<Item = ReadOrigin>,
        outcome: Result<u64, Rejection>,
    ) {
        for read in reads {
            match read {
                ReadOrigin::Local(request) => self.answer_read(request, outcome),
                ReadOrigin::Follower { from, batch } => {
                    self.send(from, MessageBody::ReadResponse { batch, outcome });
                }
            }
        }
    }

    /// Gives back the reads of a leader that steps down.
    pub(super) fn reject_reads(&mut self, reads: LeaderReads) {
        self.answer_reads(reads.into_origins(), Err(Rejection::LeadershipLost));
    }

    /// Sends a late batch again, or gives it back when it is too late.
    pub(super) fn forwarded_reads_tick(&mut self, now: Timestamp) {
        let resend = self.settings.heartbeat_interval * RESEND_HEARTBEATS;
        let patience = self.settings.election_timeout * FORWARD_ELECTION_TIMEOUTS;
        let Some(batch) = self.forwarded.outstanding.as_mut() else { return };
        if now.saturating_since(batch.first_sent) >= patience {
            let number = batch.batch;
            for request in self.forwarded.take_batch(number) {
                self.reject(request, Rejection::LeadershipLost);
            }
            self.forward_reads(now);
        } else if now.saturating_since(batch.last_sent) >= resend {
            batch.last_sent = now;
            let number = batch.batch;
            if let Some(leader) = self.leader {
                self.send(leader, MessageBody::ReadRequest { batch: number });
            }
        }
    }
}
