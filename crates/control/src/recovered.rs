//! What a replica finds on its disk at its start, and the settings of the core.
//!
//! Relies on the storage for what is whole. The state is that of the snapshot; the entries after it come
//! from the core, as if they had just been committed.

use crate::cell::Disks;
use crate::clock::Clock;
use crate::error::ControlError;
use crate::settings::{CellStart, ControlSettings};
use crate::state_codec::decode_state;
use corktack_core::consensus::{ConsensusSettings, PersistedState, Replica};
use corktack_core::state::ControlState;
use corktack_storage::{DataFolder, ReplicaLog};

/// Most entry bytes in one append message. Chosen, not measured; a lower value takes more round trips to
/// bring a replica up to date, a higher one holds heartbeats up behind slow links.
const APPEND_BYTES_LIMIT: usize = 256 * 1024;
/// Bytes of one piece of a snapshot sent to another replica. Chosen, not measured, as that of an append.
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;

/// What a replica found on its disk.
pub(crate) struct Recovered {
    pub(crate) replica: Replica,
    pub(crate) log: ReplicaLog,
    pub(crate) disks: Disks,
    pub(crate) state: ControlState,
    pub(crate) applied: u64,
}

impl Recovered {
    /// Reads the log, its snapshot and the disks known.
    pub(crate) fn open(settings: &ControlSettings, clock: &Clock) -> Result<Self, ControlError> {
        let folder = DataFolder::open(&settings.data_folder)?;
        let (log, persisted) = ReplicaLog::open(&folder, &settings.cell.0)?;
        let disks = Disks::open(&folder)?;
        let (state, applied) = recover_state(&persisted)?;
        let bootstrap = match &settings.start {
            CellStart::Bootstrap(cell) => Some(cell.clone()),
            CellStart::Join(_) => None,
        };
        let consensus = consensus_settings(settings);
        let replica = Replica::new(consensus, persisted, bootstrap, clock.now())?;
        Ok(Self { replica, log, disks, state, applied })
    }
}

/// The state of the snapshot; the core hands out the entries after it once more.
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
        append_bytes_limit: APPEND_BYTES_LIMIT,
        snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
        // Numbers drawn in another incarnation of this replica must not come again.
        seed: settings.seed ^ settings.incarnation.0,
    }
}
