//! One replica of a cell: its state, its entry point and its changes of role.
//!
//! Owns everything that a replica keeps in memory. The events are handled in the modules that build on it:
//! elections, replication (leader and follower), reads, changes of the cell, hand-overs of the lead.

use super::incoming_snapshot::IncomingSnapshot;
use super::leader::Leader;
use super::log::Log;
use super::message::{Message, MessageBody};
use super::pending_reads::ForwardedReads;
use super::recovery::{append_first_cell, check_settings, recovered_hard_state};
use super::votes::Votes;
use super::{
    Action, CellConfig, ConsensusError, ConsensusSettings, Event, HardState, PersistedState,
    Rejection, RequestId, Role, Snapshot,
};
use crate::identity::ReplicaId;
use crate::position::Term;
use crate::time::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Role together with what only that role keeps.
#[derive(Debug)]
pub(super) enum RoleState {
    Follower,
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(Box<Leader>),
}

/// A replica of a cell as a state machine without I/O.
///
/// If the shell cannot perform a [`Action::Persist`] or an
/// [`Action::InstallSnapshot`], it must drop the replica and every action that
/// follows: the replica has already counted its own log as synced.
#[derive(Debug)]
pub struct Replica {
    pub(super) settings: ConsensusSettings,
    pub(super) random: ChaCha8Rng,
    pub(super) log: Log,
    pub(super) hard_state: HardState,
    /// Term and vote that were last handed out for syncing.
    persisted: HardState,
    /// Last index that was synced before the batch of events under way.
    synced_index: u64,
    pub(super) role: RoleState,
    pub(super) leader: Option<ReplicaId>,
    /// When a message of the current term's leader came last.
    pub(super) leader_contact: Option<Timestamp>,
    pub(super) election_deadline: Timestamp,
    /// Whether a leader was known since the start.
    found_leader: bool,
    /// Election timeouts that ran out since the start.
    pub(super) timeouts: u32,
    /// Index of the last entry handed out for applying.
    pub(super) applied: u64,
    pub(super) incoming: Option<IncomingSnapshot>,
    /// Snapshot to hand out for installing.
    pub(super) installed: Option<Snapshot>,
    pub(super) forwarded: ForwardedReads,
    reported: (Role, Term, Option<ReplicaId>),
    pub(super) outbox: Vec<Action<Message>>,
}

impl Replica {
    /// Starts a replica from what it found on its disk.
    ///
    /// `bootstrap` is the first cell; it counts only while the disk is empty,
    /// and every voter of it must be started with the same one. A replica that
    /// joins later, or that lost its disk and comes back under a new identity,
    /// is started without.
    ///
    /// # Errors
    /// [`ConsensusError`] when the settings cannot work or the disk holds no
    /// log that this replica could have written.
    pub fn new(
        settings: ConsensusSettings,
        persisted: PersistedState,
        bootstrap: Option<CellConfig>,
        now: Timestamp,
    ) -> Result<Self, ConsensusError> {
        check_settings(&settings)?;
        let empty = persisted == PersistedState::default();
        let mut log = Log::open(persisted.snapshot, persisted.entries)?;
        let synced_index = log.last_index();
        let mut hard_state = recovered_hard_state(persisted.hard_state, &log)?;
        if let Some(cell) = bootstrap.filter(|_| empty) {
            append_first_cell(&mut log, cell, settings.id)?;
            // Every voter of the first cell starts with this same entry.
            hard_state.commit = log.last_index();
        }
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed ^ settings.id.0.rotate_left(32));
        // The time keeps batches of an earlier incarnation with the same seed apart.
        let first_batch = random.random::<u64>().wrapping_add(now.as_micros());
        let mut replica = Self {
            applied: log.snapshot_index(),
            settings,
            random,
            log,
            hard_state,
            persisted: persisted.hard_state,
            synced_index,
            role: RoleState::Follower,
            leader: None,
            leader_contact: None,
            election_deadline: now,
            found_leader: false,
            timeouts: 0,
            incoming: None,
            installed: None,
            forwarded: ForwardedReads::new(first_batch),
            reported: (Role::Follower, hard_state.term, None),
            outbox: Vec::new(),
        };
        replica.reset_election_deadline(now);
        Ok(replica)
    }

    /// Takes one event and returns what has to be done, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event<Message>) -> Vec<Action<Message>> {
        self.handle_all(now, [event])
    }

    /// Takes several events and returns what has to be done, in order, with one
    /// [`Action::Persist`] for all of them.
    pub fn handle_all(
        &mut self,
        now: Timestamp,
        events: impl IntoIterator<Item = Event<Message>>,
    ) -> Vec<Action<Message>> {
        for event in events {
            self.dispatch(now, event);
        }
        self.advance_commit(now);
        self.apply_committed();
        self.send_appends();
        self.start_read_round(now);
        self.take_actions()
    }

    fn dispatch(&mut self, now: Timestamp, event: Event<Message>) {
        match event {
            Event::Tick => self.handle_tick(now),
            Event::Message { from, message } => self.handle_message(now, from, message),
            Event::Reachable { replica } => self.ask_again(replica),
            Event::Propose { request, command } => self.handle_propose(request, command),
            Event::ProposeCell { request, change } => {
                self.handle_propose_cell(now, request, &change);
            }
            Event::ReadIndex { request } => self.handle_read(now, request),
            Event::Compact { snapshot } => self.handle_compact(snapshot),
            Event::TransferLeadership => self.handle_transfer(now),
        }
    }

    fn handle_tick(&mut self, now: Timestamp) {
        if self.is_leader() {
            self.leader_tick(now);
        } else if now >= self.election_deadline {
            self.handle_election_timeout(now);
        }
        self.forwarded_reads_tick(now);
    }

    fn handle_message(&mut self, now: Timestamp, from: ReplicaId, message: Message) {
        if from == self.settings.id || !self.admit_term(now, from, &message) {
            return;
        }
        let term = message.term;
        match message.body {
            MessageBody::PreVoteRequest(log_end) => {
                self.handle_pre_vote_request(now, from, term, log_end);
            }
            MessageBody::PreVoteResponse { granted } => {
                self.handle_pre_vote_response(now, from, term, granted);
            }
            MessageBody::VoteRequest { log_end, .. } => {
                self.handle_vote_request(now, from, log_end);
            }
            MessageBody::VoteResponse { granted } => {
                self.handle_vote_response(now, from, granted);
            }
            MessageBody::AppendRequest(request) => self.handle_append(from, request),
            MessageBody::AppendResponse(outcome) => {
                self.handle_append_response(now, from, outcome);
            }
            MessageBody::HeartbeatRequest { commit, round } => {
                self.handle_heartbeat(from, commit, round);
            }
            MessageBody::HeartbeatResponse { round } => {
                self.handle_heartbeat_response(now, from, round);
            }
            MessageBody::SnapshotChunk(chunk) => self.handle_snapshot_chunk(from, chunk),
            MessageBody::SnapshotResponse { index, received } => {
                self.handle_snapshot_response(now, from, index, received);
            }
            MessageBody::StaleTerm => {}
            MessageBody::ReadRequest { batch } => self.handle_read_request(now, from, batch),
            MessageBody::ReadResponse { batch, outcome } => {
                self.handle_read_response(now, from, batch, outcome);
            }
            MessageBody::TimeoutNow => self.handle_timeout_now(now, from),
        }
    }

    /// Queues a message of the current term.
    pub(super) fn send(&mut self, to: ReplicaId, body: MessageBody) {
        let message = Message { term: self.hard_state.term, body };
        self.outbox.push(Action::Send { to, message });
    }

    pub(super) fn reject(&mut self, request: RequestId, rejection: Rejection) {
        self.outbox.push(Action::Rejected { request, rejection });
    }

    /// Goes to `term`, or stays in it, without leading it.
    pub(super) fn become_follower(
        &mut self,
        now: Timestamp,
        term: Term,
        leader: Option<ReplicaId>,
    ) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
        }
        let former = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(former) = former {
            self.abandon_leadership(*former);
            self.reset_election_deadline(now);
        }
        self.set_leader(leader);
    }

    fn abandon_leadership(&mut self, former: Leader) {
        for request in former.proposals.into_values() {
            self.reject(request, Rejection::LeadershipLost);
        }
        self.reject_reads(former.reads);
    }

    /// Notes who leads. Reads forwarded to another leader are given back.
    pub(super) fn set_leader(&mut self, leader: Option<ReplicaId>) {
        if self.leader == leader {
            return;
        }
        self.leader = leader;
        self.found_leader |= leader.is_some();
        self.leader_contact = None;
        for request in self.forwarded.take_all() {
            self.reject(request, Rejection::LeadershipLost);
        }
    }

    /// Until a leader is known for the first time since the start, the first timeout, doubled each
    /// time it runs out, up to the usual one. What resets the deadline otherwise doubles nothing, so
    /// at most so many short timeouts run out as doublings lie between the two.
    fn shortest_election_timeout(&self) -> Duration {
        let usual = self.settings.election_timeout;
        if self.found_leader {
            return usual;
        }
        let doubled = 1_u32.checked_shl(self.timeouts).unwrap_or(u32::MAX);
        self.settings.first_election_timeout.saturating_mul(doubled).min(usual)
    }

    pub(super) fn reset_election_deadline(&mut self, now: Timestamp) {
        self.set_election_deadline(now, self.shortest_election_timeout());
    }

    /// The deadline is between this time and twice as much away.
    pub(super) fn set_election_deadline(&mut self, now: Timestamp, shortest: Duration) {
        let micros = u64::try_from(shortest.as_micros()).unwrap_or(u64::MAX);
        let jitter = Duration::from_micros(self.random.random_range(0..micros.max(1)));
        self.election_deadline = now + shortest + jitter;
    }

    /// Hands out committed entries that were not applied yet.
    pub(super) fn apply_committed(&mut self) {
        let commit = self.hard_state.commit;
        if commit <= self.applied {
            return;
        }
        let entries = self.log.range(self.applied + 1, commit);
        self.applied = commit;
        self.outbox.push(Action::Apply(entries));
        self.answer_proposals(commit);
    }

    fn handle_compact(&mut self, snapshot: Snapshot) {
        let known = self.log.term_at(snapshot.index) == Some(snapshot.term);
        let newer = snapshot.index > self.log.snapshot_index();
        if known && newer && snapshot.index <= self.applied {
            self.log.compact(snapshot);
        } else {
            ::log::warn!(index = snapshot.index; "snapshot for compaction does not fit the log");
        }
    }

    /// Collects the actions of a batch. What must be synced comes first, because
    /// everything after it promises that it survives a crash.
    fn take_actions(&mut self) -> Vec<Action<Message>> {
        let mut actions = Vec::with_capacity(self.outbox.len() + 2);
        if let Some(snapshot) = self.installed.take() {
            self.synced_index = snapshot.index;
            actions.push(Action::InstallSnapshot(snapshot));
        }
        actions.extend(self.take_persist());
        actions.extend(self.take_role_change());
        actions.append(&mut self.outbox);
        actions
    }

    fn take_persist(&mut self) -> Option<Action<Message>> {
        let entries = self.log.take_unsynced();
        let current = (self.hard_state.term, self.hard_state.vote);
        let changed = current != (self.persisted.term, self.persisted.vote);
        if entries.is_empty() && !changed {
            return None;
        }
        // The hint names only entries synced before, so that no order of
        // writing inside this action can leave it ahead of the log.
        let commit = self.hard_state.commit.min(self.synced_index);
        let hard_state = HardState { commit, ..self.hard_state };
        let hard_state = (hard_state != self.persisted).then_some(hard_state);
        self.persisted = hard_state.unwrap_or(self.persisted);
        self.synced_index = self.log.last_index();
        Some(Action::Persist { hard_state, entries })
    }

    fn take_role_change(&mut self) -> Option<Action<Message>> {
        let current = (self.role(), self.term(), self.leader);
        if current == self.reported {
            return None;
        }
        self.reported = current;
        let (role, term, leader) = current;
        ::log::info!(
            replica = self.settings.id.0, term = term.0, role:? = role, leader:? = leader;
            "role changed"
        );
        Some(Action::RoleChanged { role, term, leader })
    }
}
