//! The loop of the consensus thread: takes inputs, lets the core decide and performs what it wants.
//!
//! Owns the replica, its log, its state and everything that waits for them.

use super::input::{ConsensusInput, ProxyRevisions, ReadTask, StateReader};
use super::outcomes::Outcomes;
use super::pending::Pending;
use super::repair_state::RepairState;
use super::status::ReplicaStatus;
use crate::cell::{Links, PeerMessage};
use crate::clock::Clock;
use crate::error::RequestError;
use crate::feed::Feed;
use crate::leader::LeaderDuties;
use crate::metrics::Metrics;
use crate::proxies::ProxyTable;
use corktack_core::consensus::{Action, Event, Message, Replica, Role};
use corktack_core::identity::{ProxyName, ReplicaId};
use corktack_core::registry::CellRepair;
use corktack_core::state::ControlState;
use corktack_core::time::Timestamp;
use corktack_storage::ReplicaLog;
use std::collections::HashMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Inputs that are handled together, with one sync for all of them. Chosen, not measured; a lower value
/// syncs more often under load, a higher one holds the first answers back for longer.
const INPUTS_AT_ONCE: usize = 512;
/// Time between two removals of requests whose requesters have given up. Chosen, not measured; a higher value
/// keeps their memory for longer.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// What the consensus thread is made of.
pub(crate) struct ConsensusParts {
    pub(crate) clock: Clock,
    pub(crate) replica: Replica,
    pub(crate) log: ReplicaLog,
    pub(crate) state: ControlState,
    /// Index of the last log entry that `state` holds.
    pub(crate) applied: u64,
    pub(crate) snapshot_entries: u64,
    pub(crate) links: Links,
    pub(crate) feed: Feed,
    pub(crate) duties: LeaderDuties,
    /// The proxies that are connected here.
    pub(crate) proxies: ProxyTable,
    pub(crate) cell_repair: Option<CellRepair>,
    pub(crate) status: watch::Sender<ReplicaStatus>,
    pub(crate) metrics: Metrics,
}

/// Why the thread must end.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConsensusError {
    /// What was promised cannot be kept: the disk failed.
    #[error("the log cannot be written")]
    Storage(#[from] corktack_storage::StorageError),
    /// A committed entry cannot be read: this replica must not guess.
    #[error("a committed entry or snapshot cannot be read")]
    Unreadable(#[from] corktack_protocol::frame::FrameError),
}

/// The consensus thread.
pub(crate) struct ConsensusThread {
    pub(super) parts: ConsensusParts,
    pub(super) pending: Pending,
    pub(super) outcomes: Outcomes,
    pub(super) proxy_revisions: ProxyRevisions,
    pub(super) revision_queries: HashMap<u64, oneshot::Sender<ProxyRevisions>>,
    pub(super) last_query: u64,
    /// The replica that each proxy's last report of limits came through; none where it is connected here.
    pub(super) grant_routes: HashMap<ProxyName, Option<ReplicaId>>,
    pub(super) snapshot_index: u64,
    pub(super) repair: RepairState,
    next_housekeeping: Timestamp,
}

/// What a batch of inputs wants from the core.
#[derive(Default)]
pub(super) struct Batch {
    pub(super) events: Vec<Event<Message>>,
    pub(super) reads: Vec<ReadTask>,
    pub(super) stop: bool,
}

impl ConsensusThread {
    pub(crate) fn new(parts: ConsensusParts) -> Self {
        Self {
            pending: Pending::default(),
            outcomes: Outcomes::default(),
            proxy_revisions: ProxyRevisions::new(),
            revision_queries: HashMap::new(),
            last_query: 0,
            grant_routes: HashMap::new(),
            snapshot_index: parts.applied,
            repair: RepairState::default(),
            next_housekeeping: parts.clock.now(),
            parts,
        }
    }

    /// Runs until a stop, or until the disk fails.
    pub(crate) fn run(mut self, inputs: &Receiver<ConsensusInput>) {
        // The cell of the log on disk may be another one than the settings name.
        self.follow_cell();
        self.publish_status();
        if let Err(error) = self.run_batches(inputs) {
            log::error!(replica = self.parts.replica.id().0, error:% = error; "replica ends");
        }
        self.pending.refuse_all();
        self.parts.status.send_modify(|status| status.running = false);
    }

    fn run_batches(&mut self, inputs: &Receiver<ConsensusInput>) -> Result<(), ConsensusError> {
        loop {
            let mut batch = Batch::default();
            self.collect(inputs, &mut batch);
            self.keep_house();
            self.step(batch.events, batch.reads)?;
            self.perform_duties()?;
            self.snapshot_if_due()?;
            self.publish_status();
            if batch.stop {
                return Ok(());
            }
        }
    }

    /// Waits for an input or a deadline, then takes what else is there.
    fn collect(&mut self, inputs: &Receiver<ConsensusInput>, batch: &mut Batch) {
        match inputs.recv_timeout(self.time_to_deadline()) {
            Ok(input) => self.take_input(input, batch),
            Err(RecvTimeoutError::Timeout) => (),
            Err(RecvTimeoutError::Disconnected) => batch.stop = true,
        }
        for input in inputs.try_iter().take(INPUTS_AT_ONCE) {
            self.take_input(input, batch);
        }
        if self.parts.clock.now() >= self.parts.replica.next_deadline() {
            batch.events.push(Event::Tick);
        }
    }

    fn time_to_deadline(&self) -> Duration {
        let duties = self.parts.duties.next_deadline();
        let deadline = self.parts.replica.next_deadline().min(self.next_housekeeping);
        let deadline = duties.map_or(deadline, |duties| deadline.min(duties));
        let repairs = self.parts.cell_repair.is_some() && self.leads();
        let deadline = if repairs { deadline.min(self.repair.next_deadline()) } else { deadline };
        deadline - self.parts.clock.now()
    }

    fn keep_house(&mut self) {
        let now = self.parts.clock.now();
        if now >= self.next_housekeeping {
            self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
            self.pending.forget_abandoned();
            self.revision_queries.retain(|_, reply| !reply.is_closed());
        }
    }

    /// Hands events to the core and performs what it wants. All reads of the batch
    /// share one proof, which begins after each of them was requested.
    pub(super) fn step(
        &mut self,
        mut events: Vec<Event<Message>>,
        reads: Vec<ReadTask>,
    ) -> Result<(), ConsensusError> {
        if !reads.is_empty() {
            events.push(Event::ReadIndex { request: self.pending.add_reads(reads) });
        }
        if events.is_empty() {
            return Ok(());
        }
        let now = self.parts.clock.now();
        let actions = self.parts.replica.handle_all(now, events);
        actions.into_iter().try_for_each(|action| self.perform(action))
    }

    /// Lets the leader's duties see the newest state, and proposes what they want.
    fn perform_duties(&mut self) -> Result<(), ConsensusError> {
        let now = self.parts.clock.now();
        let proposals = self.parts.duties.advance(now, &self.parts.state);
        let events = proposals.into_iter().filter_map(|proposal| self.duty_event(proposal));
        let mut events: Vec<_> = events.collect();
        events.extend(self.repair_cell(now));
        self.step(events, Vec::new())?;
        let grants = self.parts.duties.grants_due(now, &self.parts.state);
        self.send_grants(grants);
        self.parts.duties.note_primaries(now, &self.parts.state);
        Ok(())
    }

    fn perform(&mut self, action: Action<Message>) -> Result<(), ConsensusError> {
        match action {
            Action::Persist { hard_state, entries } => self.persist(hard_state, &entries)?,
            Action::InstallSnapshot(snapshot) => self.install_snapshot(&snapshot)?,
            Action::Send { to, message } => {
                self.parts.links.send(to, PeerMessage::Consensus(message));
            }
            Action::Apply(entries) => self.apply(entries)?,
            Action::Committed { request, index } => self.answer_committed(request, index),
            Action::ReadReady { request, index } => self.answer_reads(request, index),
            Action::Rejected { request, rejection } => self.answer_rejected(request, rejection),
            Action::RoleChanged { role, leader, .. } => self.follow_role(role, leader),
        }
        Ok(())
    }

    fn follow_role(&mut self, role: Role, leader: Option<ReplicaId>) {
        let now = self.parts.clock.now();
        let term = self.parts.replica.term();
        self.parts.duties.follow_role(now, (role == Role::Leader).then_some(term));
        if leader != self.parts.status.borrow().leader {
            self.pending.give_back_forwarded();
        }
        self.publish_status();
    }

    /// Runs reads whose index the state has reached.
    pub(super) fn run_reads(&mut self, tasks: Vec<ReadTask>) {
        for task in tasks {
            let reader = StateReader { state: &self.parts.state, feed: &self.parts.feed };
            task(Ok(reader));
        }
    }

    pub(super) fn refuse_reads(tasks: Vec<ReadTask>, error: RequestError) {
        for task in tasks {
            task(Err(error));
        }
    }

    /// A replica that waits to be added knows no cell yet, only where to request it.
    fn follow_cell(&mut self) {
        let cell = self.parts.replica.cell().clone();
        if !cell.voters.is_empty() {
            self.parts.links.follow(&cell);
        }
    }

    /// Publishes what others may see of the replica, and follows its cell.
    pub(super) fn publish_status(&mut self) {
        let status = ReplicaStatus::of(&self.parts.replica, self.parts.applied);
        let status = status.after(&self.parts.status.borrow());
        self.parts.metrics.note_status(&status);
        let cell_changed = self.parts.status.borrow().cell != status.cell;
        if cell_changed {
            self.follow_cell();
        }
        self.parts.status.send_if_modified(|published| {
            let changed = *published != status;
            *published = status;
            changed
        });
    }
}
