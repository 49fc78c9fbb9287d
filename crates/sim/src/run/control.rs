//! A control machine: the core's replica on the log of `corktack-storage`, the control
//! state, and the duties of a leader.
//!
//! Owns the machine's disk and, while it runs, its process; performs the replica's actions in order as the
//! product's driver does. A crash drops the process and a drawn part of what was not synced.

mod disk;
mod duties;
mod perform;
mod promotion;
mod serve;

use super::event::{Address, Context, Packet};
use super::history::Note;
use corktack_core::consensus::{
    CellConfig, CellMember, ConsensusSettings, Event, Message, Replica, RequestId, Role, Snapshot,
};
use corktack_core::failover::ProposalId;
use corktack_core::identity::{Incarnation, ReplicaId};
use corktack_core::state::ControlState;
use corktack_core::state::command::{ChangeId, Command, Outcome};
use corktack_core::watch::DeltaLog;
use corktack_protocol::frame::{FrameError, decode, encode};
use corktack_storage::{LogStore, MemoryDisk, MemoryLog, ReplicaLogSettings, StorageError};
use duties::Duties;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Control machines.
pub(crate) const MACHINES: u8 = 3;
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
    disk: MemoryDisk,
    first_cell: Option<CellConfig>,
    starts: u64,
    delta_limit: usize,
    process: Option<Process>,
}

/// A member of the cell as its machine serves it.
pub(crate) fn cell_member(id: ReplicaId) -> CellMember {
    let port = u16::try_from(id.0).unwrap_or(u16::MAX);
    CellMember { id, address: SocketAddr::from(([127, 0, 0, 1], port)) }
}

/// The machine that runs a replica.
pub(crate) fn machine_of(id: ReplicaId) -> Address {
    Address::Control(u8::try_from((id.0 - 1) % IDENTITIES_PER_LIFE).unwrap_or(u8::MAX))
}

/// The cell that every machine starts with.
fn first_cell() -> CellConfig {
    let voters = (1..=u64::from(MACHINES)).map(|id| cell_member(ReplicaId(id))).collect();
    CellConfig { voters, learners: Vec::new() }
}

impl Machine {
    pub fn new(index: u8, delta_limit: usize) -> Self {
        Self {
            index,
            id: ReplicaId(u64::from(index) + 1),
            disk: MemoryDisk::new(),
            first_cell: Some(first_cell()),
            starts: 0,
            delta_limit,
            process: None,
        }
    }

    /// Starts the process from what is on its disk.
    pub fn start(&mut self, context: &mut Context<'_>) {
        match self.open(context) {
            Ok(process) => self.process = Some(process),
            // An injected fault; the machine is started again later.
            Err(MachineError::Storage(StorageError::Io { .. })) => self.crash(context),
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
        let settings = ConsensusSettings {
            id: self.id,
            election_timeout: ELECTION_TIMEOUT,
            first_election_timeout: ELECTION_TIMEOUT,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            append_bytes_limit: 2_048,
            snapshot_chunk_bytes: 1_024,
            seed: self.starts,
        };
        let replica = Replica::new(settings, persisted, self.first_cell.clone(), context.now)?;
        Ok(Process {
            replica,
            log,
            feed: DeltaLog::with_limit(state.view_revision(), self.delta_limit),
            state,
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

    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// The cell, where this machine leads.
    pub fn led_cell(&self) -> Option<(CellConfig, bool)> {
        let replica = &self.process.as_ref()?.replica;
        let settled = replica.commit_index() == replica.last_index();
        (replica.role() == Role::Leader).then(|| (replica.cell().clone(), settled))
    }

    /// The state applied here.
    pub fn state(&self) -> Option<&ControlState> {
        self.process.as_ref().map(|process| &process.state)
    }

    pub fn tick(&mut self, context: &mut Context<'_>) {
        let Some(process) = &self.process else { return };
        if context.now >= process.replica.next_deadline() {
            self.step(context, Event::Tick);
        }
        self.compact(context);
        self.run_duties(context);
    }

    pub fn handle(&mut self, context: &mut Context<'_>, from: Address, packet: Packet) {
        if self.process.is_none() {
            return;
        }
        match packet {
            Packet::Cell { from, to, message } if to == self.id => {
                self.step(context, Event::Message { from, message });
            }
            Packet::Report(report) => self.take_report(context, from, *report),
            Packet::Operate { change, operation } => {
                let command = Command::Resource { change: change.clone(), operation };
                self.propose(context, &command, Origin::Operator(from, change));
            }
            Packet::ChangeCell(change) => {
                if let Some(request) = self.next_request(Origin::Cell) {
                    self.step(context, Event::ProposeCell { request, change });
                }
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
            Err(error) => self.fail(context, &error.into()),
        }
    }

    /// Feeds one event to the replica and performs its actions in order.
    fn step(&mut self, context: &mut Context<'_>, event: Event<Message>) {
        let Some(process) = &mut self.process else { return };
        for action in process.replica.handle(context.now, event) {
            if let Err(error) = process.perform(context, action) {
                self.fail(context, &error);
                return;
            }
        }
    }

    /// Ends the process after an error; only an injected one is expected.
    fn fail(&mut self, context: &mut Context<'_>, error: &MachineError) {
        if !matches!(error, MachineError::Storage(StorageError::Io { .. })) {
            let error = error.to_string();
            context.notes.push(Note::StartFailed { machine: self.index, error });
        }
        self.crash(context);
    }

    fn compact(&mut self, context: &mut Context<'_>) {
        let Some(process) = &mut self.process else { return };
        match process.compaction() {
            Ok(Some(snapshot)) => self.step(context, Event::Compact { snapshot }),
            Ok(None) => {}
            Err(error) => self.fail(context, &error),
        }
    }
}

impl Process {
    /// A snapshot that is on disk and whose log may be dropped, when one is due.
    fn compaction(&mut self) -> Result<Option<Snapshot>, MachineError> {
        let index = self.replica.applied_index();
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
