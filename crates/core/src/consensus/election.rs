//! Elections: terms, pre-votes, votes and timeouts.
//!
//! Decides whose term counts, when this replica asks for votes and whom it votes for. Owns the answers while it
//! asks ([`super::votes`]). Relies on the hard state being synced before any vote leaves.

use super::leader::Leader;
use super::message::{LogEnd, Message, MessageBody};
use super::replica::{Replica, RoleState};
use super::votes::{Tally, Votes};
use super::{CellConfig, Entry, Payload, voter_ids};
use crate::identity::ReplicaId;
use crate::position::Term;
use crate::time::Timestamp;

/// No cell gets here by elections; a message that names a higher term is not one of ours.
const TERM_LIMIT: Term = Term(1 << 62);

impl Replica {
    /// Compares the message's term with ours; returns whether to handle the message.
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
            // Their terms are questions, not facts.
            MessageBody::PreVoteRequest(_) | MessageBody::PreVoteResponse { granted: true } => true,
            // Reads prove themselves by a heartbeat round.
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

    /// A vote request does not disturb a leader that is alive, unless that
    /// leader asked for the election.
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

    fn admit_leader(&mut self, now: Timestamp, from: ReplicaId, term: Term) -> bool {
        if term < self.hard_state.term {
            // Without this answer a leader of a lower term could hold a replica of
            // a higher one forever: it keeps others from voting for that replica.
            self.send(from, MessageBody::StaleTerm);
            return false;
        }
        if self.is_leader() && term == self.hard_state.term {
            ::log::error!(term = term.0, from = from.0; "second leader in one term");
            return false;
        }
        self.become_follower(now, term, Some(from));
        self.leader_contact = Some(now);
        self.reset_election_deadline(now);
        true
    }

    /// Answers count only from members of the cell, so that a stranger cannot
    /// depose a leader by naming a high term.
    fn admit_response(&mut self, now: Timestamp, from: ReplicaId, term: Term) -> bool {
        let member = self.is_member(from);
        if member && term > self.hard_state.term {
            let led = self.is_leader();
            self.become_follower(now, term, None);
            if led {
                self.stand_again_soon(now);
            }
            return false;
        }
        member && term == self.hard_state.term
    }

    /// Has a leader that a higher term deposed ask for votes before long. The replica of that term may get
    /// none: those that still count on this leader vote for nobody else until their timeout is over. Where
    /// it is elected, its first heartbeat comes before that. Of 400 starts of five replicas after a loss of power
    /// the longest took 1.0 election timeouts until all followed one leader, and 2.2 without it (core test
    /// `consensus::start`).
    fn stand_again_soon(&mut self, now: Timestamp) {
        let shortest = self.settings.first_election_timeout.min(self.settings.election_timeout);
        self.set_election_deadline(now, shortest);
    }

    /// Whether a leader of the current term is known to be alive.
    fn has_recent_leader(&self, now: Timestamp) -> bool {
        let recent =
            |contact: Timestamp| now.saturating_since(contact) < self.settings.election_timeout;
        // A leader that lost its majority steps down by itself, so it may hold on until then.
        self.is_leader() || (self.leader.is_some() && self.leader_contact.is_some_and(recent))
    }

    /// Whether a leader of the current term other than this candidate is known to be alive: a leader that
    /// asks for votes has lost its term, and nobody else leads it.
    fn has_other_recent_leader(&self, now: Timestamp, candidate: ReplicaId) -> bool {
        self.leader != Some(candidate) && self.has_recent_leader(now)
    }

    pub(super) fn handle_election_timeout(&mut self, now: Timestamp) {
        self.timeouts = self.timeouts.saturating_add(1);
        if self.may_stand() {
            self.begin_pre_vote(now);
        } else {
            self.become_follower(now, self.hard_state.term, None);
            self.reset_election_deadline(now);
        }
    }

    /// Whether this replica may ask for votes: as a voter, or as one that a change takes away which
    /// is not known to be committed. No other voter may have that entry yet, and then none of them
    /// can win against this log (Ongaro, Consensus: Bridging Theory and Practice, 4.2.2).
    fn may_stand(&self) -> bool {
        let commit = self.hard_state.commit;
        let pending = self.log.cell_index() > commit;
        let voted = |cell: &CellConfig| voter_ids(cell).contains(&self.settings.id);
        self.is_voter() || (pending && self.log.cell_at(commit).is_some_and(voted))
    }

    fn begin_pre_vote(&mut self, now: Timestamp) {
        self.set_leader(None);
        self.reset_election_deadline(now);
        self.role = RoleState::PreCandidate(self.own_vote());
        let term = Term(self.hard_state.term.0 + 1);
        self.ask_voters(term, MessageBody::PreVoteRequest(self.log.last()));
        self.count_votes(now);
    }

    /// Raises the term and asks for votes. `transfer` tells that the leader asked for it.
    pub(super) fn begin_election(&mut self, now: Timestamp, transfer: bool) {
        self.set_leader(None);
        self.reset_election_deadline(now);
        self.hard_state.term.0 += 1;
        self.hard_state.vote = Some(self.settings.id);
        self.role = RoleState::Candidate(self.own_vote());
        let log_end = self.log.last();
        self.ask_voters(self.hard_state.term, MessageBody::VoteRequest { log_end, transfer });
        self.count_votes(now);
    }

    fn own_vote(&self) -> Votes {
        let mut votes = Votes::default();
        votes.record(self.settings.id, true);
        votes
    }

    fn ask_voters(&mut self, term: Term, body: MessageBody) {
        let others = voter_ids(self.log.cell()).into_iter().filter(|id| *id != self.settings.id);
        for to in others {
            let message = Message { term, body: body.clone() };
            self.outbox.push(super::Action::Send { to, message });
        }
    }

    /// Sends the question of an election under way to a voter that may not have received it.
    pub(super) fn ask_again(&mut self, voter: ReplicaId) {
        if !voter_ids(self.log.cell()).contains(&voter) || voter == self.settings.id {
            return;
        }
        let log_end = self.log.last();
        let (term, body) = match &self.role {
            RoleState::PreCandidate(votes) if !votes.has_answer_of(voter) => {
                (Term(self.hard_state.term.0 + 1), MessageBody::PreVoteRequest(log_end))
            }
            // Whether a leader asked for the election matters only while messages of that leader come.
            RoleState::Candidate(votes) if !votes.has_answer_of(voter) => {
                (self.hard_state.term, MessageBody::VoteRequest { log_end, transfer: false })
            }
            _ => return,
        };
        let message = Message { term, body };
        self.outbox.push(super::Action::Send { to: voter, message });
    }

    fn count_votes(&mut self, now: Timestamp) {
        let (tally, pre_vote) = match &self.role {
            RoleState::PreCandidate(votes) => (votes.tally(self.log.cell()), true),
            RoleState::Candidate(votes) => (votes.tally(self.log.cell()), false),
            RoleState::Follower | RoleState::Leader(_) => return,
        };
        match (tally, pre_vote) {
            (Tally::Open, _) => {}
            (Tally::Won, true) => self.begin_election(now, false),
            (Tally::Won, false) => self.become_leader(now),
            (Tally::Lost, _) => self.become_follower(now, self.hard_state.term, None),
        }
    }

    fn become_leader(&mut self, now: Timestamp) {
        let first_index = self.log.last_index() + 1;
        let leader = Leader::new(&self.log, self.settings.id, first_index, now);
        self.role = RoleState::Leader(Box::new(leader));
        self.incoming = None;
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
        if term > self.hard_state.term && self.log.is_covered_by(log_end) {
            // The grant carries the term asked for: it promises nothing about ours.
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
        let asked = Term(self.hard_state.term.0 + 1);
        if let RoleState::PreCandidate(votes) = &mut self.role
            && (!granted || term == asked)
        {
            votes.record(from, granted);
            self.count_votes(now);
        }
    }

    /// The request is of the current term, see [`Replica::admit_term`].
    pub(super) fn handle_vote_request(&mut self, now: Timestamp, from: ReplicaId, log_end: LogEnd) {
        let free = match self.hard_state.vote {
            Some(candidate) => candidate == from,
            None => self.leader.is_none(),
        };
        let granted = free && self.log.is_covered_by(log_end);
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
