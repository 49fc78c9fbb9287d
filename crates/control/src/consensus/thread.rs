//! The loop of the consensus thread: collects inputs, passes them to the core and performs its actions.
//!
//! Owns the replica, its log, its state and the requests that wait for them.

use super::input::{ConsensusInput, ProxyRevisions, ReadTask, StateReader};
use super::outage::OutageEnd;
use super::outcomes::Outcomes;
use super::pending::Pending;
use super::stalls::{StallMonitor, Wait};
use super::status::ReplicaStatus;
use crate::cell::{Links, PeerMessage};
use crate::clock::Clock;
use crate::error::{Causes, RequestError};
use crate::feed::Feed;
use crate::leader::LeaderDuties;
use crate::metrics::Metrics;
use crate::proxies::ProxyTable;
use crate::recovered::ReplicaStart;
use corktack_core::consensus::{Action, Event, Message, Replica, Role};
use corktack_core::identity::{ProxyName, ReplicaId};
use corktack_core::registry::CellRepairDuty;
use corktack_core::state::ControlState;
use corktack_core::time::Timestamp;
use corktack_storage::{ReplicaLog, StorageError};
use std::collections::HashMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Most inputs handled in one batch, with one sync. A smaller batch syncs more often under load; a larger
/// one delays the first answers.
const MAX_BATCH_INPUTS: usize = 512;
/// Time between two removals of requests whose requesters have given up. A longer interval keeps their
/// memory for longer.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// The parts that the consensus thread is built from.
pub(crate) struct ConsensusParts {
    pub(crate) clock: Clock,
    pub(crate) replica: Replica,
    /// What a replica is started with, for the replica after an outage of the disk.
    pub(crate) start: ReplicaStart,
    pub(crate) log: ReplicaLog,
    pub(crate) state: ControlState,
    /// Index of the last log entry that `state` holds.
    pub(crate) applied: u64,
    pub(crate) snapshot_entries: u64,
    /// Shortest time without receiving that counts as a stall.
    pub(crate) stall_threshold: Duration,
    pub(crate) links: Links,
    pub(crate) feed: Feed,
    pub(crate) duties: LeaderDuties,
    /// The proxies that are connected to this replica.
    pub(crate) proxies: ProxyTable,
    pub(crate) cell_repair: Option<CellRepairDuty>,
    pub(crate) status: watch::Sender<ReplicaStatus>,
    pub(crate) metrics: Metrics,
}

/// A failure after which the thread must end.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConsensusError {
    /// The log cannot be written or is damaged. After [`StorageError::Io`] the replica waits for the disk.
    #[error("the log cannot be written")]
    Storage(#[from] StorageError),
    /// The log that was opened again does not allow a replica to start.
    #[error("the log cannot be continued")]
    Restart(#[from] corktack_core::consensus::ConsensusError),
    /// A committed entry or snapshot cannot be decoded. Skipping it would let the replicas' states diverge.
    #[error("a committed entry or snapshot cannot be read")]
    Unreadable(#[from] corktack_protocol::frame::FrameError),
}

/// The state of the consensus thread.
pub(crate) struct ConsensusThread {
    pub(super) parts: ConsensusParts,
    pub(super) pending: Pending,
    pub(super) outcomes: Outcomes,
    pub(super) proxy_revisions: ProxyRevisions,
    pub(super) revision_queries: HashMap<u64, oneshot::Sender<ProxyRevisions>>,
    pub(super) last_query: u64,
    /// The replica that forwarded each proxy's last allowance report; `None` for a proxy connected to this
    /// replica.
    pub(super) grant_routes: HashMap<ProxyName, Option<ReplicaId>>,
    pub(super) snapshot_index: u64,
    next_housekeeping: Timestamp,
    pub(super) stalls: StallMonitor,
}

/// The events and reads that a batch of inputs results in.
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
            next_housekeeping: parts.clock.now(),
            stalls: StallMonitor::new(parts.stall_threshold, parts.metrics.stall_seconds.clone()),
            parts,
        }
    }

    /// Runs until a stop input, until all handles are dropped, or until a failure that the thread cannot
    /// recover from. Dropping the sender of the status tells of the end as well, also after a panic.
    pub(crate) fn run(mut self, inputs: &Receiver<ConsensusInput>) {
        // The cell in the log on disk may differ from the cell in the settings.
        self.update_links();
        self.publish_status();
        if let Err(error) = self.run_until_stopped(inputs) {
            log::error!(
                replica = self.parts.replica.id().0, error:% = Causes(&error);
                "consensus thread ends, the replica serves no more requests"
            );
        }
        self.pending.refuse_all(RequestError::Stopping);
        self.parts.status.send_modify(|status| status.running = false);
    }

    fn run_until_stopped(
        &mut self,
        inputs: &Receiver<ConsensusInput>,
    ) -> Result<(), ConsensusError> {
        loop {
            let cause = match self.run_batches(inputs) {
                Err(ConsensusError::Storage(cause @ StorageError::Io { .. })) => cause,
                ended => return ended,
            };
            if self.wait_out_outage(&cause, inputs)? == OutageEnd::Stopped {
                return Ok(());
            }
        }
    }

    fn run_batches(&mut self, inputs: &Receiver<ConsensusInput>) -> Result<(), ConsensusError> {
        loop {
            let mut batch = Batch::default();
            self.collect(inputs, &mut batch);
            self.forget_abandoned_requests();
            self.step(batch.events, batch.reads)?;
            self.perform_duties()?;
            self.snapshot_if_due()?;
            self.publish_status();
            if batch.stop {
                return Ok(());
            }
        }
    }

    /// Waits for an input or a deadline, then handles the other inputs that are queued.
    fn collect(&mut self, inputs: &Receiver<ConsensusInput>, batch: &mut Batch) {
        let waiting_since = self.parts.clock.now();
        let deadline = self.next_deadline();
        match inputs.recv_timeout(deadline - waiting_since) {
            Ok(input) => self.handle_input(input, batch),
            Err(RecvTimeoutError::Timeout) => (),
            Err(RecvTimeoutError::Disconnected) => batch.stop = true,
        }
        for input in inputs.try_iter().take(MAX_BATCH_INPUTS) {
            self.handle_input(input, batch);
        }
        let now = self.parts.clock.now();
        let wait = Wait { since: waiting_since, deadline, until: now };
        if let Some(duration) = self.stalls.end_wait(wait) {
            batch.events.insert(0, Event::Stalled { duration });
        }
        if now >= self.parts.replica.next_deadline() {
            batch.events.push(Event::Tick);
        }
    }

    fn next_deadline(&self) -> Timestamp {
        let duties_deadline = self.parts.duties.next_deadline();
        let deadline = self.parts.replica.next_deadline().min(self.next_housekeeping);
        let deadline = duties_deadline.map_or(deadline, |duties| deadline.min(duties));
        let repair = self.parts.cell_repair.as_ref();
        let repair_deadline = repair.and_then(|repair| repair.next_deadline(&self.parts.replica));
        repair_deadline.map_or(deadline, |repair| deadline.min(repair))
    }

    fn forget_abandoned_requests(&mut self) {
        let now = self.parts.clock.now();
        if now >= self.next_housekeeping {
            self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
            self.pending.forget_abandoned();
            self.revision_queries.retain(|_, reply| !reply.is_closed());
        }
    }

    /// Passes events to the core and performs the actions that it returns. All reads of the batch share one
    /// read index, which is requested after the last of them arrived.
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

    /// Passes the newest state to the leader's duties, and performs their proposals and grants. Begins the
    /// duties of a new leader once the state contains what earlier leaders committed.
    fn perform_duties(&mut self) -> Result<(), ConsensusError> {
        let now = self.parts.clock.now();
        if self.parts.replica.has_applied_own_term() {
            self.parts.duties.begin(now, self.parts.applied, &self.parts.state);
        }
        let proposals = self.parts.duties.advance(now, &self.parts.state);
        let events = proposals.into_iter().filter_map(|proposal| self.duty_event(proposal));
        let mut events: Vec<_> = events.collect();
        events.extend(self.repair_cell(now));
        self.step(events, Vec::new())?;
        let grants = self.parts.duties.grants_due(now, &self.parts.state);
        self.send_grants(grants);
        self.parts.duties.record_new_primaries(now, &self.parts.state);
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
            Action::RoleChanged { role, leader, .. } => self.apply_role(role, leader),
        }
        Ok(())
    }

    fn apply_role(&mut self, role: Role, leader: Option<ReplicaId>) {
        let now = self.parts.clock.now();
        let term = self.parts.replica.term();
        self.parts.duties.apply_role(now, (role == Role::Leader).then_some(term));
        if leader != self.parts.status.borrow().leader {
            self.pending.reject_forwarded();
        }
        self.publish_status();
    }

    /// Runs reads on the local state.
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

    /// Updates the links to the replica's cell. A replica that waits to be added knows no cell yet and
    /// keeps the links that it requests to join through.
    fn update_links(&mut self) {
        let cell = self.parts.replica.cell().clone();
        if !cell.voters.is_empty() {
            self.parts.links.apply_cell(&cell, self.parts.replica.leader());
        }
    }

    /// Publishes the replica's status if it changed, and updates the links if the cell changed.
    pub(super) fn publish_status(&mut self) {
        let status = ReplicaStatus::of(&self.parts.replica, self.parts.applied);
        let status = status.continued_from(&self.parts.status.borrow());
        self.parts.metrics.record_status(&status);
        let cell_changed = self.parts.status.borrow().cell != status.cell;
        if cell_changed {
            self.update_links();
        }
        self.parts.status.send_if_modified(|published| {
            let changed = *published != status;
            *published = status;
            changed
        });
    }
}
