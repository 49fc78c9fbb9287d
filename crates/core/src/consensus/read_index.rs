//! Linearizable reads: a leader proves by a heartbeat round that it still leads.
//!
//! A follower forwards its reads to the leader, one batch at a time; an index is answered once a majority has
//! answered a round that began after the question. Owns no state beside [`super::pending_reads`].

use super::message::MessageBody;
use super::pending_reads::{LeaderReads, RESEND_HEARTBEATS, ReadOrigin};
use super::replica::{Replica, RoleState};
use super::{Action, Rejection, RequestId};
use crate::identity::ReplicaId;
use crate::time::Timestamp;

/// Election timeouts after which forwarded reads are given back. Chosen, not measured: by then a leader that
/// answers nothing has been replaced.
const FORWARD_ELECTION_TIMEOUTS: u32 = 2;

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
