//! Recovers a replica from its data folder, and builds the settings of the consensus core.
//!
//! The storage detects and rejects damaged files. The recovered state is that of the snapshot; the core
//! hands out the committed entries after it again, as if they had just been committed.

use crate::cell::Disks;
use crate::clock::Clock;
use crate::error::ControlError;
use crate::settings::{CellStart, ControlSettings};
use crate::state_codec::decode_state;
use corktack_core::consensus::{
    CellConfig, ConsensusError, ConsensusSettings, PersistedState, Replica,
};
use corktack_core::state::ControlState;
use corktack_core::time::Timestamp;
use corktack_storage::{DataFolder, ReplicaLog};

/// Most entry bytes in one append message. A lower limit takes more round trips to bring a replica up to
/// date; a higher one delays heartbeats on slow links.
const MAX_APPEND_BYTES: usize = 256 * 1024;
/// Bytes of one chunk of a snapshot sent to another replica. The same trade-off as for
/// [`MAX_APPEND_BYTES`].
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

/// What a replica is started with besides its data folder.
pub(crate) struct ReplicaStart {
    settings: ConsensusSettings,
    bootstrap: Option<CellConfig>,
}

impl ReplicaStart {
    fn new(settings: &ControlSettings) -> Self {
        let bootstrap = match &settings.start {
            CellStart::Bootstrap(cell) => Some(cell.clone()),
            CellStart::Join(_) => None,
        };
        Self { settings: consensus_settings(settings), bootstrap }
    }

    /// Starts a replica from what its log holds.
    pub(crate) fn replica(
        &self,
        persisted: PersistedState,
        now: Timestamp,
    ) -> Result<Replica, ConsensusError> {
        Replica::new(self.settings.clone(), persisted, self.bootstrap.clone(), now)
    }
}

/// The parts of a replica that were recovered from its data folder.
pub(crate) struct Recovered {
    pub(crate) replica: Replica,
    pub(crate) start: ReplicaStart,
    pub(crate) log: ReplicaLog,
    pub(crate) disks: Disks,
    pub(crate) state: ControlState,
    /// Index of the last log entry that `state` holds.
    pub(crate) applied: u64,
}

impl Recovered {
    /// Reads the log, its snapshot and the stored disk ids.
    pub(crate) fn open(settings: &ControlSettings, clock: &Clock) -> Result<Self, ControlError> {
        let folder = DataFolder::open(&settings.data_folder)?;
        let (log, persisted) = ReplicaLog::open(&folder, &settings.cell.0)?;
        let disks = Disks::open(&folder)?;
        let (state, applied) = recover_state(&persisted)?;
        let start = ReplicaStart::new(settings);
        let replica = start.replica(persisted, clock.now())?;
        Ok(Self { replica, start, log, disks, state, applied })
    }
}

/// Returns the state and index of the snapshot, or an empty state without one.
fn recover_state(persisted: &PersistedState) -> Result<(ControlState, u64), ControlError> {
    match &persisted.snapshot {
        Some(snapshot) => Ok((decode_state(&snapshot.data)?, snapshot.index)),
        None => Ok((ControlState::default(), 0)),
    }
}

fn consensus_settings(settings: &ControlSettings) -> ConsensusSettings {
    ConsensusSettings {
        id: settings.replica,
        election_timeout: settings.election_timeout,
        first_election_timeout: settings.first_election_timeout,
        heartbeat_interval: settings.heartbeat_interval,
        append_bytes_limit: MAX_APPEND_BYTES,
        snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
        // Another incarnation of this replica must draw other random numbers.
        seed: settings.seed ^ settings.incarnation.0,
    }
}
