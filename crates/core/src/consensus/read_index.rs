//! Linearizable reads by read index: a heartbeat round confirms that the leader still leads.
//!
//! A follower forwards its reads to the leader, one batch at a time. A read gets its index once a majority
//! has answered a heartbeat round that started after the read was requested. The state is in
//! [`super::pending_reads`].

use super::message::MessageBody;
use super::pending_reads::{LeaderReads, RESEND_HEARTBEAT_INTERVALS, ReadOrigin};
use super::replica::{Replica, RoleState};
use super::{Action, Rejection, RequestId};
use crate::identity::ReplicaId;
use crate::time::Timestamp;

/// Election timeouts after which an unanswered batch of forwarded reads is rejected. By then a leader that
/// does not respond has been replaced.
const FORWARD_ELECTION_TIMEOUTS: u32 = 2;

impl Replica {
    pub(super) fn handle_read_index(&mut self, now: Timestamp, request: RequestId) {
        if let Some(leader) = self.leader_mut() {
            leader.reads.waiting.push(ReadOrigin::Local(request));
        } else if self.leader.is_some() {
            self.forwarded_reads.waiting.push(request);
            self.forward_reads(now);
        } else {
            self.reject(request, Rejection::NotLeader { leader: None });
        }
    }

    fn forward_reads(&mut self, now: Timestamp) {
        let Some(leader) = self.leader else { return };
        if let Some(batch) = self.forwarded_reads.begin_batch(now) {
            self.send(leader, MessageBody::ReadRequest { batch });
        }
    }

    pub(super) fn handle_read_request(&mut self, now: Timestamp, from: ReplicaId, batch: u64) {
        let rejection = Rejection::NotLeader { leader: self.leader };
        let is_member = self.is_member(from);
        match self.leader_mut() {
            Some(leader) => {
                let origin = ReadOrigin::Follower { from, batch };
                // A batch that is sent again because its answer is late is not queued twice.
                if is_member && !leader.reads.waiting.contains(&origin) {
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
        for request in self.forwarded_reads.take_batch(batch) {
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

    /// Starts a heartbeat round if reads wait for one and the shortest time since the last round has passed.
    pub(super) fn start_read_round(&mut self, now: Timestamp) {
        let RoleState::Leader(leader) = &self.role else { return };
        if leader.reads.next_round_at().is_some_and(|start_at| now >= start_at) {
            self.send_heartbeats(now);
        }
    }

    /// Answers the reads of all rounds that a majority has answered.
    pub(super) fn confirm_reads(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else { return };
        let last_round = leader.reads.last_round;
        let own_id = self.settings.id;
        let round =
            leader.quorum_value(&self.log, own_id, last_round, |progress| progress.heartbeat_round);
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

    /// Rejects the pending reads of a leader that steps down.
    pub(super) fn reject_reads(&mut self, reads: LeaderReads) {
        self.answer_reads(reads.into_origins(), Err(Rejection::LeadershipLost));
    }

    /// Sends a batch again if its answer is late, and rejects it after the forwarding timeout.
    pub(super) fn handle_forwarded_reads_tick(&mut self, now: Timestamp) {
        let resend_interval = self.settings.heartbeat_interval * RESEND_HEARTBEAT_INTERVALS;
        let timeout = self.settings.election_timeout * FORWARD_ELECTION_TIMEOUTS;
        let Some(batch) = self.forwarded_reads.outstanding.as_mut() else { return };
        if now.saturating_since(batch.first_sent_at) >= timeout {
            let batch_id = batch.id;
            for request in self.forwarded_reads.take_batch(batch_id) {
                self.reject(request, Rejection::LeadershipLost);
            }
            self.forward_reads(now);
        } else if now.saturating_since(batch.last_sent_at) >= resend_interval {
            batch.last_sent_at = now;
            let batch_id = batch.id;
            if let Some(leader) = self.leader {
                self.send(leader, MessageBody::ReadRequest { batch: batch_id });
            }
        }
    }
}
