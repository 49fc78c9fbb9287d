//! Elections: terms, pre-votes, votes and election timeouts.
//!
//! Checks the term of each received message, starts elections, grants votes and counts them
//! ([`super::votes`]). Elections are safe only if the hard state is synced before a vote is sent.

use super::leader::Leader;
use super::message::{LogEnd, Message, MessageBody};
use super::replica::{Replica, RoleState};
use super::votes::{VoteResult, Votes};
use super::{CellConfig, Entry, Payload, voter_ids};
use crate::identity::ReplicaId;
use crate::position::Term;
use crate::time::{Timestamp, millis};
use std::time::Duration;

/// Highest term accepted in a message. Elections cannot reach it, so a message with a higher term does not
/// come from a replica of this cell.
const TERM_LIMIT: Term = Term(1 << 62);

/// Most doublings of a candidate's election timeout. With fewer, voters with slow disks respond too late in
/// every election; with more, a candidate waits longer for a vote that was lost.
const MAX_VOTE_TIMEOUT_DOUBLINGS: u32 = 3;

impl Replica {
    /// Compares the message's term with the current one and steps down if the message requires it. Returns
    /// whether to handle the message.
    pub(super) fn admit_term(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        message: &Message,
    ) -> bool {
        if message.term > TERM_LIMIT {
            return false;
        }
        match &message.body {
            // The term of a pre-vote is the term of an intended election; no replica has entered it.
            MessageBody::PreVoteRequest(_) | MessageBody::PreVoteResponse { granted: true } => true,
            // Reads need no term check: a heartbeat round confirms them.
            MessageBody::ReadRequest { .. } | MessageBody::ReadResponse { .. } => true,
            MessageBody::VoteRequest { transfer, .. } => {
                self.admit_vote_request(now, from, message.term, *transfer)
            }
            MessageBody::AppendRequest(_)
            | MessageBody::HeartbeatRequest { .. }
            | MessageBody::SnapshotChunk(_) => self.admit_leader(now, from, message.term),
            MessageBody::TimeoutNow => message.term == self.hard_state.term,
            MessageBody::PreVoteResponse { granted: false }
            | MessageBody::VoteResponse { .. }
            | MessageBody::AppendResponse(_)
            | MessageBody::HeartbeatResponse { .. }
            | MessageBody::SnapshotResponse { .. }
            | MessageBody::StaleTerm => self.admit_response(now, from, message.term),
        }
    }

    /// Checks the term of a vote request. A request does not disturb a live leader, unless
    /// the election is part of a leadership transfer.
    fn admit_vote_request(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        term: Term,
        transfer: bool,
    ) -> bool {
        if term < self.hard_state.term {
            self.send(from, MessageBody::VoteResponse { granted: false });
            return false;
        }
        if term > self.hard_state.term {
            if !transfer && self.has_other_recent_leader(now, from) {
                return false;
            }
            self.become_follower(now, term, None);
        }
        true
    }

    /// Checks the term of a leader's message and follows that leader if the term is current.
    fn admit_leader(&mut self, now: Timestamp, from: ReplicaId, term: Term) -> bool {
        if term < self.hard_state.term {
            // Without this answer, a leader of a lower term could exclude a replica of a
            // higher term forever: the leader's heartbeats keep others from voting for it.
            self.send(from, MessageBody::StaleTerm);
            return false;
        }
        if self.is_leader() && term == self.hard_state.term {
            ::log::error!(
                term = term.0, from = from.0;
                "another replica leads in the same term: message dropped"
            );
            return false;
        }
        self.become_follower(now, term, Some(from));
        self.leader_contact = Some(now);
        self.reset_election_deadline(now);
        true
    }

    /// Checks the term of a response. Responses count only from members of the cell, so that
    /// a replica outside the cell cannot depose the leader with a high term.
    fn admit_response(&mut self, now: Timestamp, from: ReplicaId, term: Term) -> bool {
        let is_member = self.is_member(from);
        if is_member && term > self.hard_state.term {
            let was_leader = self.is_leader();
            self.become_follower(now, term, None);
            if was_leader {
                self.schedule_early_election(now);
            }
            return false;
        }
        is_member && term == self.hard_state.term
    }

    /// Shortens the election timeout of a leader that a higher term has deposed. The replica of that term may
    /// get no votes, because the followers of the deposed leader vote for no other candidate until their
    /// election timeout expires. If that replica is elected, its first heartbeat arrives before the shortened
    /// timeout expires. Of 400 starts of five replicas after a power loss, the longest took 1.0 election
    /// timeouts until all followed one leader, and 2.2 without the shortened timeout (core test
    /// `consensus::start`).
    fn schedule_early_election(&mut self, now: Timestamp) {
        let shortest = self.settings.first_election_timeout.min(self.settings.election_timeout);
        self.set_election_deadline(now, shortest);
    }

    /// Reports whether a leader of the current term is known to be alive.
    fn has_recent_leader(&self, now: Timestamp) -> bool {
        let recent =
            |contact: Timestamp| now.saturating_since(contact) < self.settings.election_timeout;
        // A leader that lost contact with its majority steps down by itself, so it counts as alive until
        // then.
        self.is_leader() || (self.leader.is_some() && self.leader_contact.is_some_and(recent))
    }

    /// Reports whether a leader of the current term other than `candidate` is known to be alive. If the known
    /// leader itself requests votes, it has stepped down and the term has no other leader.
    fn has_other_recent_leader(&self, now: Timestamp, candidate: ReplicaId) -> bool {
        self.leader != Some(candidate) && self.has_recent_leader(now)
    }

    pub(super) fn handle_election_timeout(&mut self, now: Timestamp) {
        ::log::info!(
            replica = self.settings.id.0, term = self.hard_state.term.0, role:? = self.role(),
            leader:? = self.leader, late_ms = millis(now.saturating_since(self.election_deadline)),
            silent_ms:? = self.leader_contact.map(|contact| millis(now.saturating_since(contact)));
            "election timeout"
        );
        self.election_timeouts = self.election_timeouts.saturating_add(1);
        if matches!(self.role, RoleState::Candidate(_)) {
            self.unanswered_elections = self.unanswered_elections.saturating_add(1);
        }
        if self.may_start_election() {
            self.begin_pre_vote(now);
        } else {
            self.become_follower(now, self.hard_state.term, None);
            self.reset_election_deadline(now);
        }
    }

    /// Reports whether this replica may start an election: it is a voter, or a cell change removes it that is
    /// not known to be committed. If no other voter has the entry of that change yet, no other voter's log is
    /// as up-to-date as this one, and only this replica can be elected (Ongaro, Consensus: Bridging Theory
    /// and Practice, 4.2.2).
    fn may_start_election(&self) -> bool {
        let commit = self.hard_state.commit;
        let pending = self.log.cell_index() > commit;
        let was_voter = |cell: &CellConfig| voter_ids(cell).contains(&self.settings.id);
        self.is_voter() || (pending && self.log.cell_at(commit).is_some_and(was_voter))
    }

    fn begin_pre_vote(&mut self, now: Timestamp) {
        self.set_leader(None);
        self.reset_election_deadline(now);
        self.role = RoleState::PreCandidate(self.votes_with_own());
        let term = Term(self.hard_state.term.0 + 1);
        self.send_to_voters(term, MessageBody::PreVoteRequest(self.log.end()));
        self.count_votes(now);
    }

    /// Increments the term and requests votes. `transfer` marks an election of a leadership transfer.
    pub(super) fn begin_election(&mut self, now: Timestamp, transfer: bool) {
        self.set_leader(None);
        self.set_election_deadline(now, self.vote_timeout(now));
        self.election_began = now;
        self.hard_state.term.0 += 1;
        self.hard_state.vote = Some(self.settings.id);
        self.role = RoleState::Candidate(self.votes_with_own());
        let log_end = self.log.end();
        self.send_to_voters(self.hard_state.term, MessageBody::VoteRequest { log_end, transfer });
        self.count_votes(now);
    }

    /// Returns the shortest time for which a candidate waits for votes. A voter syncs its vote before it
    /// responds, so each election that ends without enough responses doubles the time.
    fn vote_timeout(&self, now: Timestamp) -> Duration {
        let doublings = self.unanswered_elections.min(MAX_VOTE_TIMEOUT_DOUBLINGS);
        self.min_election_timeout(now).saturating_mul(1 << doublings)
    }

    fn votes_with_own(&self) -> Votes {
        let mut votes = Votes::default();
        votes.record(self.settings.id, true);
        votes
    }

    fn send_to_voters(&mut self, term: Term, body: MessageBody) {
        let others = voter_ids(self.log.cell()).into_iter().filter(|id| *id != self.settings.id);
        for to in others {
            let message = Message { term, body: body.clone() };
            self.outbox.push(super::Action::Send { to, message });
        }
    }

    /// Sends the pending pre-vote or vote request again to a voter that may not have received it.
    pub(super) fn resend_vote_request(&mut self, voter: ReplicaId) {
        if !voter_ids(self.log.cell()).contains(&voter) || voter == self.settings.id {
            return;
        }
        let log_end = self.log.end();
        let (term, body) = match &self.role {
            RoleState::PreCandidate(votes) if !votes.has_response_from(voter) => {
                (Term(self.hard_state.term.0 + 1), MessageBody::PreVoteRequest(log_end))
            }
            // `transfer` matters only while the voter still receives messages of the former leader, so the
            // repeated request does not set it.
            RoleState::Candidate(votes) if !votes.has_response_from(voter) => {
                (self.hard_state.term, MessageBody::VoteRequest { log_end, transfer: false })
            }
            _ => return,
        };
        let message = Message { term, body };
        self.outbox.push(super::Action::Send { to: voter, message });
    }

    fn count_votes(&mut self, now: Timestamp) {
        let (result, pre_vote) = match &self.role {
            RoleState::PreCandidate(votes) => (votes.tally(self.log.cell()), true),
            RoleState::Candidate(votes) => (votes.tally(self.log.cell()), false),
            RoleState::Follower | RoleState::Leader(_) => return,
        };
        match (result, pre_vote) {
            (VoteResult::Pending, _) => {}
            (VoteResult::Won, true) => self.begin_election(now, false),
            (VoteResult::Won, false) => self.become_leader(now),
            (VoteResult::Lost, _) => {
                self.become_follower(now, self.hard_state.term, None);
                // A lost election need not wait for the votes that its extended deadline allowed for.
                if self.unanswered_elections > 0 {
                    self.reset_election_deadline(now);
                }
            }
        }
    }

    fn become_leader(&mut self, now: Timestamp) {
        let first_index = self.log.last_index() + 1;
        let election_duration = now.saturating_since(self.election_began);
        let leader = Leader::new(&self.log, self.settings.id, first_index, now, election_duration);
        self.role = RoleState::Leader(Box::new(leader));
        self.incoming_snapshot = None;
        self.set_leader(Some(self.settings.id));
        let term = self.hard_state.term;
        self.log.append(Entry { term, index: first_index, payload: Payload::Empty });
        self.send_heartbeats(now);
    }

    pub(super) fn handle_pre_vote_request(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        term: Term,
        log_end: LogEnd,
    ) {
        if term > self.hard_state.term && self.has_other_recent_leader(now, from) {
            return;
        }
        if term > self.hard_state.term && self.log.is_up_to_date(log_end) {
            // The grant carries the requested term, not the current one, which does not change.
            let message = Message { term, body: MessageBody::PreVoteResponse { granted: true } };
            self.outbox.push(super::Action::Send { to: from, message });
        } else {
            self.send(from, MessageBody::PreVoteResponse { granted: false });
        }
    }

    pub(super) fn handle_pre_vote_response(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        term: Term,
        granted: bool,
    ) {
        let requested_term = Term(self.hard_state.term.0 + 1);
        if let RoleState::PreCandidate(votes) = &mut self.role
            && (!granted || term == requested_term)
        {
            votes.record(from, granted);
            self.count_votes(now);
        }
    }

    /// Handles a vote request of the current term; [`Replica::admit_term`] checked the term.
    pub(super) fn handle_vote_request(&mut self, now: Timestamp, from: ReplicaId, log_end: LogEnd) {
        let can_vote = match self.hard_state.vote {
            Some(candidate) => candidate == from,
            None => self.leader.is_none(),
        };
        let granted = can_vote && self.log.is_up_to_date(log_end);
        if granted {
            self.hard_state.vote = Some(from);
            self.reset_election_deadline(now);
        }
        self.send(from, MessageBody::VoteResponse { granted });
    }

    pub(super) fn handle_vote_response(&mut self, now: Timestamp, from: ReplicaId, granted: bool) {
        if let RoleState::Candidate(votes) = &mut self.role {
            votes.record(from, granted);
            self.count_votes(now);
        }
    }
}
