//! One replica of a cell: its state in memory, the dispatch of events and messages, and role changes.
//!
//! The other modules add the handlers: elections, replication (leader and follower), reads, cell changes and
//! leadership transfers.

use super::incoming_snapshot::IncomingSnapshot;
use super::leader::Leader;
use super::log::Log;
use super::message::{Message, MessageBody};
use super::pending_reads::ForwardedReads;
use super::recovery::{append_bootstrap_cell, check_settings, recovered_hard_state};
use super::stall::RecentStall;
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

/// Role of a replica, with the state that only this role needs.
#[derive(Debug)]
pub(super) enum RoleState {
    Follower,
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(Box<Leader>),
}

/// A replica of a cell as a state machine without I/O.
///
/// If the driver fails to perform an [`Action::Persist`] or an
/// [`Action::InstallSnapshot`], it must drop the replica and all later actions:
/// the replica already counts its own log as synced.
#[derive(Debug)]
pub struct Replica {
    pub(super) settings: ConsensusSettings,
    pub(super) rng: ChaCha8Rng,
    pub(super) log: Log,
    pub(super) hard_state: HardState,
    /// Hard state that was last handed out for syncing.
    persisted_hard_state: HardState,
    /// Last index that was synced before the current batch of events.
    synced_index: u64,
    pub(super) role: RoleState,
    pub(super) leader: Option<ReplicaId>,
    /// When the last message of the current term's leader was received.
    pub(super) leader_contact: Option<Timestamp>,
    pub(super) election_deadline: Timestamp,
    /// Whether a leader has been known at any time since the start.
    has_seen_leader: bool,
    /// Number of election timeouts that have expired since the start.
    pub(super) election_timeouts: u32,
    /// The longest stall of this replica lately, which its election timeout is extended by.
    pub(super) recent_stall: RecentStall,
    /// When this replica last requested votes.
    pub(super) election_began: Timestamp,
    /// Number of elections in a row in which a vote was missing at the election timeout.
    pub(super) unanswered_elections: u32,
    /// Index of the last entry handed out in [`Action::Apply`].
    pub(super) applied_index: u64,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    /// Snapshot to hand out in [`Action::InstallSnapshot`].
    pub(super) snapshot_to_install: Option<Snapshot>,
    pub(super) forwarded_reads: ForwardedReads,
    /// Role, term and leader that were last handed out in [`Action::RoleChanged`].
    reported_role: (Role, Term, Option<ReplicaId>),
    pub(super) outbox: Vec<Action<Message>>,
}

impl Replica {
    /// Starts a replica from its persisted state.
    ///
    /// `bootstrap` is the initial cell. It is used only if the persisted state is
    /// empty, and all its voters must be started with the same one. A replica that
    /// joins later, or that lost its disk and returns under a new id, must be
    /// started without it.
    ///
    /// # Errors
    /// Returns a [`ConsensusError`] if a setting is invalid, the persisted log is
    /// corrupt, or the bootstrap cell does not have this replica as a voter.
    pub fn new(
        settings: ConsensusSettings,
        persisted: PersistedState,
        bootstrap: Option<CellConfig>,
        now: Timestamp,
    ) -> Result<Self, ConsensusError> {
        check_settings(&settings)?;
        let disk_is_empty = persisted == PersistedState::default();
        let mut log = Log::open(persisted.snapshot, persisted.entries)?;
        let synced_index = log.last_index();
        let mut hard_state = recovered_hard_state(persisted.hard_state, &log)?;
        if let Some(cell) = bootstrap.filter(|_| disk_is_empty) {
            append_bootstrap_cell(&mut log, cell, settings.id)?;
            // Every voter of the bootstrap cell starts with the same entry, so it is committed.
            hard_state.commit = log.last_index();
        }
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed ^ settings.id.0.rotate_left(32));
        // Adding the time gives other batch ids than before a restart with the same seed.
        let first_batch_id = rng.random::<u64>().wrapping_add(now.as_micros());
        let mut replica = Self {
            applied_index: log.snapshot_index(),
            settings,
            rng,
            log,
            hard_state,
            persisted_hard_state: persisted.hard_state,
            synced_index,
            role: RoleState::Follower,
            leader: None,
            leader_contact: None,
            election_deadline: now,
            has_seen_leader: false,
            election_timeouts: 0,
            recent_stall: RecentStall::default(),
            election_began: now,
            unanswered_elections: 0,
            incoming_snapshot: None,
            snapshot_to_install: None,
            forwarded_reads: ForwardedReads::new(first_batch_id),
            reported_role: (Role::Follower, hard_state.term, None),
            outbox: Vec::new(),
        };
        replica.reset_election_deadline(now);
        Ok(replica)
    }

    /// Handles one event and returns the actions to perform, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event<Message>) -> Vec<Action<Message>> {
        self.handle_all(now, [event])
    }

    /// Handles several events and returns the actions to perform, in order, with
    /// at most one [`Action::Persist`] for all events.
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
            Event::Stalled { duration } => self.handle_stalled(now, duration),
            Event::Reachable { replica } => self.resend_vote_request(replica),
            Event::Propose { request, command } => self.handle_propose(request, command),
            Event::ProposeCell { request, change } => {
                self.handle_propose_cell(now, request, &change);
            }
            Event::ReadIndex { request } => self.handle_read_index(now, request),
            Event::Compact { snapshot } => self.handle_compact(snapshot),
            Event::TransferLeadership => self.handle_transfer(now),
        }
    }

    fn handle_tick(&mut self, now: Timestamp) {
        if self.is_leader() {
            self.handle_leader_tick(now);
        } else if now >= self.election_deadline {
            self.handle_election_timeout(now);
        }
        self.handle_forwarded_reads_tick(now);
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

    /// Queues a message with the current term.
    pub(super) fn send(&mut self, to: ReplicaId, body: MessageBody) {
        let message = Message { term: self.hard_state.term, body };
        self.outbox.push(Action::Send { to, message });
    }

    pub(super) fn reject(&mut self, request: RequestId, rejection: Rejection) {
        self.outbox.push(Action::Rejected { request, rejection });
    }

    /// Becomes a follower in `term`, which is the current term or a higher one.
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
            self.reject_pending_requests(*former);
            self.reset_election_deadline(now);
        }
        self.set_leader(leader);
    }

    fn reject_pending_requests(&mut self, former: Leader) {
        for request in former.proposals.into_values() {
            self.reject(request, Rejection::LeadershipLost);
        }
        self.reject_reads(former.reads);
    }

    /// Sets the known leader. Reads that were forwarded to another leader are rejected.
    pub(super) fn set_leader(&mut self, leader: Option<ReplicaId>) {
        if self.leader == leader {
            return;
        }
        self.leader = leader;
        self.has_seen_leader |= leader.is_some();
        if leader.is_some() {
            self.unanswered_elections = 0;
        }
        self.leader_contact = None;
        for request in self.forwarded_reads.take_all() {
            self.reject(request, Rejection::LeadershipLost);
        }
    }

    /// Returns the shortest election timeout. Until a leader is known for the first time since the start,
    /// this is `first_election_timeout`, doubled for each timeout that expired, up to `election_timeout`.
    /// Other resets of the deadline do not double it, so the number of short timeouts that can expire is
    /// limited to the number of doublings from the one setting to the other.
    ///
    /// A replica that was stalled adds that time: with a slow disk it would not be a better leader than one
    /// that is silent because its disk is slow.
    pub(super) fn min_election_timeout(&self, now: Timestamp) -> Duration {
        let longest = self.settings.election_timeout;
        let slack = self.recent_stall.duration(now);
        if self.has_seen_leader {
            return longest.saturating_add(slack);
        }
        let factor = 1_u32.checked_shl(self.election_timeouts).unwrap_or(u32::MAX);
        let timeout = self.settings.first_election_timeout.saturating_mul(factor).min(longest);
        timeout.saturating_add(slack)
    }

    pub(super) fn reset_election_deadline(&mut self, now: Timestamp) {
        self.set_election_deadline(now, self.min_election_timeout(now));
    }

    /// Sets the election deadline to a random time between `shortest` and twice `shortest` from now.
    pub(super) fn set_election_deadline(&mut self, now: Timestamp, shortest: Duration) {
        let micros = u64::try_from(shortest.as_micros()).unwrap_or(u64::MAX);
        let jitter = Duration::from_micros(self.rng.random_range(0..micros.max(1)));
        self.election_deadline = now + shortest + jitter;
    }

    /// Hands out the committed entries that were not handed out before.
    pub(super) fn apply_committed(&mut self) {
        let commit = self.hard_state.commit;
        if commit <= self.applied_index {
            return;
        }
        let entries = self.log.range(self.applied_index + 1, commit);
        self.applied_index = commit;
        self.outbox.push(Action::Apply(entries));
        self.complete_proposals(commit);
    }

    fn handle_compact(&mut self, snapshot: Snapshot) {
        let matches_log = self.log.term_at(snapshot.index) == Some(snapshot.term);
        let is_newer = snapshot.index > self.log.snapshot_index();
        if matches_log && is_newer && snapshot.index <= self.applied_index {
            self.log.compact(snapshot);
        } else {
            ::log::warn!(
                index = snapshot.index;
                "snapshot for compaction does not match the log: log not compacted"
            );
        }
    }

    /// Collects the actions of a batch. Actions that sync come first, because the
    /// others rely on the synced state surviving a crash.
    fn take_actions(&mut self) -> Vec<Action<Message>> {
        let mut actions = Vec::with_capacity(self.outbox.len() + 2);
        if let Some(snapshot) = self.snapshot_to_install.take() {
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
        let term_or_vote_changed =
            current != (self.persisted_hard_state.term, self.persisted_hard_state.vote);
        if entries.is_empty() && !term_or_vote_changed {
            return None;
        }
        // The commit hint covers only entries that were synced before, so that it
        // cannot get ahead of the log in whatever order the driver writes this action.
        let commit = self.hard_state.commit.min(self.synced_index);
        let hard_state = HardState { commit, ..self.hard_state };
        let hard_state = (hard_state != self.persisted_hard_state).then_some(hard_state);
        self.persisted_hard_state = hard_state.unwrap_or(self.persisted_hard_state);
        self.synced_index = self.log.last_index();
        Some(Action::Persist { hard_state, entries })
    }

    fn take_role_change(&mut self) -> Option<Action<Message>> {
        let current = (self.role(), self.term(), self.leader);
        if current == self.reported_role {
            return None;
        }
        self.reported_role = current;
        let (role, term, leader) = current;
        ::log::info!(
            replica = self.settings.id.0, term = term.0, role:? = role, leader:? = leader,
            applied = self.applied_index, last_index = self.log.last_index();
            "role changed"
        );
        Some(Action::RoleChanged { role, term, leader })
    }
}
