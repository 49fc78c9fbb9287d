//! Detects replicas that lost their data folder.
//!
//! Votes and acknowledgements must survive a crash. A replica that lost its data folder has also lost
//! its votes and log entries, so its messages must not count under its old id: they could complete a
//! majority that lacks committed entries.
//!
//! Each data folder gets a random disk id at its first start, and the replica sends this id in the first
//! message of every connection. The receiver stores and syncs the first disk id that it sees for a
//! replica before it accepts a message from it, and refuses every other disk id from then on. A replica
//! with a new data folder must rejoin as a learner under a new replica id.

use corktack_core::identity::{Incarnation, ReplicaId};
use corktack_storage::{DataFolder, StorageError, SyncedFile};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

const FILE_NAME: &str = "disks";

/// The disk ids as they are stored in the data folder.
#[derive(Debug, Serialize, Deserialize)]
struct StoredDiskIds {
    own: Incarnation,
    others: BTreeMap<ReplicaId, Incarnation>,
}

#[derive(Debug)]
struct DiskRecords {
    file: SyncedFile,
    stored: StoredDiskIds,
    refused: BTreeSet<(ReplicaId, Incarnation)>,
}

/// Whether a connection of another replica is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskCheck {
    /// The disk id matches the stored one, or is the first one seen for this replica.
    Accepted {
        /// The number of other replicas whose disk id is stored.
        stored_count: usize,
    },
    /// The disk id differs from the stored one.
    Refused {
        /// Whether this disk id is refused for the first time since the start.
        first_time: bool,
    },
}

/// The disk ids of the cell's replicas. Clones share one set of records.
#[derive(Clone, Debug)]
pub(crate) struct Disks {
    own: Incarnation,
    records: Arc<Mutex<DiskRecords>>,
}

impl Disks {
    /// Reads the disk ids from the data folder, or draws a random own id if none is stored.
    pub(crate) fn open(folder: &DataFolder) -> Result<Self, StorageError> {
        let mut file = SyncedFile::new(folder, FILE_NAME)?;
        let stored = match file.load()? {
            Some(stored) => stored,
            None => {
                let new_ids =
                    StoredDiskIds { own: Incarnation(rand::random()), others: BTreeMap::new() };
                file.store(&new_ids)?;
                new_ids
            }
        };
        let own = stored.own;
        let records = DiskRecords { file, stored, refused: BTreeSet::new() };
        Ok(Self { own, records: Arc::new(Mutex::new(records)) })
    }

    /// Returns the disk id of this replica's own data folder.
    pub(crate) const fn own(&self) -> Incarnation {
        self.own
    }

    /// Compares a replica's disk id with the stored one, and stores it if there is none.
    ///
    /// Fails if the new disk id cannot be synced.
    pub(crate) fn check(
        &self,
        replica: ReplicaId,
        disk: Incarnation,
    ) -> Result<DiskCheck, StorageError> {
        // The records stay consistent when a thread panics while it holds the lock.
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.check(replica, disk)
    }
}

impl DiskRecords {
    fn check(&mut self, replica: ReplicaId, disk: Incarnation) -> Result<DiskCheck, StorageError> {
        match self.stored.others.get(&replica) {
            Some(stored_disk) if *stored_disk != disk => {
                let first_time = self.refused.insert((replica, disk));
                return Ok(DiskCheck::Refused { first_time });
            }
            Some(_) => (),
            None => self.record(replica, disk)?,
        }
        Ok(DiskCheck::Accepted { stored_count: self.stored.others.len() })
    }

    /// Stores and syncs a disk id. A failed write leaves no record in memory either.
    fn record(&mut self, replica: ReplicaId, disk: Incarnation) -> Result<(), StorageError> {
        self.stored.others.insert(replica, disk);
        self.file.store(&self.stored).inspect_err(|_| {
            self.stored.others.remove(&replica);
        })
    }
}
