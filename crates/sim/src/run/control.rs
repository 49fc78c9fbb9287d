//! A control machine: the core's replica on the log of `corktack-storage`, the control
//! state, and the duties of a leader.
//!
//! Owns the machine's disk and, while it runs, its process; performs the replica's actions in order as the
//! product's driver does. A crash drops the process and a drawn part of what was not synced. The parts that
//! repair the cell, decide on requests to join and open a log again after a failed write are the product's.

mod cell;
mod disk;
mod duties;
mod outage;
mod perform;
mod promotion;
mod serve;

use super::event::{Address, Context, Packet};
use super::history::Note;
use cell::CellState;
use corktack_core::consensus::{
    CellConfig, CellMember, ConsensusSettings, Event, Message, PersistedState, Replica, RequestId,
    Role, Snapshot,
};
use corktack_core::failover::ProposalId;
use corktack_core::identity::{Incarnation, ReplicaId};
use corktack_core::state::ControlState;
use corktack_core::state::command::{ChangeId, Command, Outcome};
use corktack_core::time::Timestamp;
use corktack_core::watch::DeltaLog;
use corktack_protocol::frame::{FrameError, decode, encode};
use corktack_storage::{LogStore, MemoryDisk, MemoryLog, ReplicaLogSettings, StorageError};
use duties::Duties;
use outage::Outage;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Control machines; one more than the cell has voters, so that a learner is there to replace one.
pub(crate) const MACHINES: u8 = 4;
/// Voters that the cell should have.
pub(crate) const VOTERS: u8 = 3;
/// Port of the first machine; the others follow it.
const FIRST_PORT: u16 = 1_000;
/// Ids of successive replicas of one machine differ by this.
const IDENTITIES_PER_LIFE: u64 = 10;
const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(60);
/// Entries after which the log is compacted; small, so that snapshots are sent.
const COMPACT_AFTER: u64 = 24;
/// Changes held for watchers; few, so that proxies need snapshots, or enough to go back
/// to the start.
pub(crate) const DELTA_LIMITS: [usize; 2] = [6, 10_000];
/// Bytes of a segment; small, so that segments follow each other.
const SEGMENT_BYTES: u64 = 4_096;

/// Why a machine had to end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MachineError {
    #[error(transparent)]
    Storage(#[from] StorageError),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Consensus(#[from] corktack_core::consensus::ConsensusError),
}

/// Who waits for a proposal.
#[derive(Clone, Debug)]
enum Origin {
    Operator(Address, ChangeId),
    Membership,
    Failover(ProposalId),
    /// Nobody waits: the duty reads its decisions from the state.
    Registry,
    Cell,
}

/// What a process keeps.
struct Process {
    replica: Replica,
    log: MemoryLog,
    state: ControlState,
    /// Index of the last log entry that `state` holds.
    applied: u64,
    cell: CellState,
    /// The outage of the disk, while the log cannot be written.
    outage: Option<Outage>,
    feed: DeltaLog,
    outcomes: BTreeMap<u64, Outcome>,
    proposals: BTreeMap<RequestId, Origin>,
    /// Committed proposals whose entry is not applied yet.
    committed: Vec<(u64, Origin)>,
    /// Proxies that wait for a proof that this replica is current.
    reads: BTreeMap<RequestId, (Address, Incarnation)>,
    proven: Vec<(u64, Address, Incarnation)>,
    next_request: u64,
    snapshot_index: u64,
    delta_limit: usize,
    duties: Option<Duties>,
}

/// One machine.
pub(crate) struct Machine {
    pub index: u8,
    pub id: ReplicaId,
    /// Address of the machine; a machine that replaces another has a new one.
    address: SocketAddr,
    disk: MemoryDisk,
    is_disk_full: bool,
    /// Whether the process waits at its start for a full disk.
    waits_for_disk: bool,
    first_cell: Option<CellConfig>,
    starts: u64,
    delta_limit: usize,
    process: Option<Process>,
}

/// The address of the first machine with this index.
fn first_address(index: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + u16::from(index)))
}

/// The machine that runs a replica.
pub(crate) fn machine_of(id: ReplicaId) -> Address {
    Address::Control(u8::try_from((id.0 - 1) % IDENTITIES_PER_LIFE).unwrap_or(u8::MAX))
}

fn first_id(index: u8) -> ReplicaId {
    ReplicaId(u64::from(index) + 1)
}

/// The cell that the first voters start with; the other machines request to join.
fn first_cell() -> CellConfig {
    let member = |index| CellMember { id: first_id(index), address: first_address(index) };
    CellConfig { voters: (0..VOTERS).map(member).collect(), learners: Vec::new() }
}

impl Machine {
    pub fn new(index: u8, delta_limit: usize) -> Self {
        Self {
            index,
            id: first_id(index),
            address: first_address(index),
            disk: MemoryDisk::new(),
            is_disk_full: false,
            waits_for_disk: false,
            first_cell: (index < VOTERS).then(first_cell),
            starts: 0,
            delta_limit,
            process: None,
        }
    }

    /// Starts the process from what is on its disk. On a full disk it waits and tries again.
    pub fn start(&mut self, context: &mut Context<'_>) {
        self.waits_for_disk = false;
        match self.open(context) {
            Ok(process) => self.process = Some(process),
            Err(MachineError::Storage(StorageError::Io { .. })) => self.waits_for_disk = true,
            Err(error) => context
                .notes
                .push(Note::StartFailed { machine: self.index, error: error.to_string() }),
        }
    }

    fn open(&mut self, context: &mut Context<'_>) -> Result<Process, MachineError> {
        self.starts += 1;
        let settings = ReplicaLogSettings { segment_bytes: SEGMENT_BYTES };
        let (log, persisted) = MemoryLog::open_on(self.disk.clone(), settings)?;
        let snapshot = persisted.snapshot.as_ref();
        let snapshot_index = snapshot.map_or(0, |snapshot| snapshot.index);
        let state: ControlState =
            snapshot.map_or_else(|| Ok(ControlState::default()), |found| decode(&found.data))?;
        let replica = self.new_replica(persisted, context.now)?;
        Ok(Process {
            replica,
            log,
            feed: DeltaLog::with_limit(state.view_revision(), self.delta_limit),
            state,
            applied: snapshot_index,
            cell: CellState::new(context.now),
            outage: None,
            outcomes: BTreeMap::new(),
            proposals: BTreeMap::new(),
            committed: Vec::new(),
            reads: BTreeMap::new(),
            proven: Vec::new(),
            next_request: 0,
            snapshot_index,
            delta_limit: self.delta_limit,
            duties: None,
        })
    }

    fn new_replica(
        &self,
        persisted: PersistedState,
        now: Timestamp,
    ) -> Result<Replica, corktack_core::consensus::ConsensusError> {
        let settings = ConsensusSettings {
            id: self.id,
            election_timeout: ELECTION_TIMEOUT,
            first_election_timeout: ELECTION_TIMEOUT,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            append_bytes_limit: 2_048,
            snapshot_chunk_bytes: 1_024,
            seed: self.starts,
        };
        Replica::new(settings, persisted, self.first_cell.clone(), now)
    }

    pub fn is_running(&self) -> bool {
        self.process.is_some() || self.waits_for_disk
    }

    /// The leader that this machine follows.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.process.as_ref().filter(|process| process.outage.is_none())?.replica.leader()
    }

    /// The cell, where this machine leads.
    pub fn led_cell(&self) -> Option<(CellConfig, bool)> {
        let process = self.process.as_ref().filter(|process| process.outage.is_none())?;
        let replica = &process.replica;
        let settled = replica.commit_index() == replica.last_index();
        (replica.role() == Role::Leader).then(|| (replica.cell().clone(), settled))
    }

    /// The state applied here.
    pub fn state(&self) -> Option<&ControlState> {
        self.process.as_ref().map(|process| &process.state)
    }

    pub fn tick(&mut self, context: &mut Context<'_>) {
        if self.waits_for_disk {
            self.start(context);
        }
        let Some(process) = &self.process else { return };
        if process.outage.is_some() {
            self.try_to_reopen(context);
            return;
        }
        if context.now >= process.replica.next_deadline() {
            self.step(context, Event::Tick);
        }
        self.compact(context);
        self.run_duties(context);
        self.repair_cell(context);
        self.request_to_join(context);
    }

    pub fn handle(&mut self, context: &mut Context<'_>, from: Address, packet: Packet) {
        let Some(process) = &self.process else { return };
        if process.outage.is_some() {
            Self::refuse(context, from, packet);
            return;
        }
        match packet {
            Packet::Cell { from, to, message } if to == self.id => {
                self.step(context, Event::Message { from, message });
            }
            Packet::Join(member) => self.take_join_request(context, member),
            Packet::Report(report) => self.take_report(context, from, *report),
            Packet::Operate { change, operation } => {
                let command = Command::Resource { change: change.clone(), operation };
                self.propose(context, &command, Origin::Operator(from, change));
            }
            packet => self.take_back_end(context, from, packet),
        }
        self.run_duties(context);
    }

    fn next_request(&mut self, origin: Origin) -> Option<RequestId> {
        let process = self.process.as_mut()?;
        process.next_request += 1;
        let request = RequestId(process.next_request);
        process.proposals.insert(request, origin);
        Some(request)
    }

    fn propose(&mut self, context: &mut Context<'_>, command: &Command, origin: Origin) {
        match encode(command) {
            Ok(command) => {
                if let Some(request) = self.next_request(origin) {
                    self.step(context, Event::Propose { request, command });
                }
            }
            Err(error) => self.fail(context, error.into()),
        }
    }

    /// Feeds one event to the replica and performs its actions in order.
    fn step(&mut self, context: &mut Context<'_>, event: Event<Message>) {
        let Some(process) = &mut self.process else { return };
        for action in process.replica.handle(context.now, event) {
            if let Err(error) = process.perform(context, action) {
                self.fail(context, error);
                return;
            }
        }
    }

    /// Waits for the disk after a failed write; no other error is expected.
    fn fail(&mut self, context: &mut Context<'_>, error: MachineError) {
        if matches!(error, MachineError::Storage(StorageError::Io { .. })) {
            self.begin_outage(context);
            return;
        }
        let error = error.to_string();
        context.notes.push(Note::StartFailed { machine: self.index, error });
        self.crash(context);
    }

    fn compact(&mut self, context: &mut Context<'_>) {
        let Some(process) = &mut self.process else { return };
        match process.compaction() {
            Ok(Some(snapshot)) => self.step(context, Event::Compact { snapshot }),
            Ok(None) => {}
            Err(error) => self.fail(context, error),
        }
    }
}

impl Process {
    /// A snapshot that is on disk and whose log may be dropped, when one is due.
    fn compaction(&mut self) -> Result<Option<Snapshot>, MachineError> {
        let index = self.applied;
        if index < self.snapshot_index + COMPACT_AFTER {
            return Ok(None);
        }
        let Some((term, cell)) = self.replica.snapshot_header(index) else { return Ok(None) };
        let snapshot = Snapshot { index, term, cell, data: encode(&self.state)? };
        self.log.compact(&snapshot)?;
        self.snapshot_index = index;
        Ok(Some(snapshot))
    }
}
