//! Which disk each replica of the cell has.
//!
//! A vote or an acknowledgement promises to survive a crash. A replica whose data
//! folder was lost broke its promises, so nothing of it may be taken under its old id
//! again: with its help a majority could be formed that lacks committed entries.
//! Each data folder draws an id at its first start and shows it in the first
//! message of every connection. A replica notes the id it saw first, syncs it
//! before it takes any message, and takes none from another one ever after. The
//! way back is a new replica id, as a learner.

use corktack_core::identity::{Incarnation, ReplicaId};
use corktack_storage::{DataFolder, StorageError, SyncedFile};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

const FILE_NAME: &str = "disks";

/// What is kept on disk.
#[derive(Debug, Serialize, Deserialize)]
struct Known {
    own: Incarnation,
    others: BTreeMap<ReplicaId, Incarnation>,
}

#[derive(Debug)]
struct Book {
    file: SyncedFile,
    known: Known,
    refused: BTreeSet<(ReplicaId, Incarnation)>,
}

/// What is to be done with a connection of another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskCheck {
    /// It has the disk that is known, or is the first one seen.
    Accepted {
        /// How many other replicas' disks are known.
        known: usize,
    },
    /// It has another disk than the one known.
    Refused {
        /// Whether it is the first time that this disk is refused.
        first_time: bool,
    },
}

/// The disks known of the cell's replicas; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Disks {
    own: Incarnation,
    book: Arc<Mutex<Book>>,
}

impl Disks {
    /// Reads what this data folder knows; one that is new draws its id.
    pub(crate) fn open(folder: &DataFolder) -> Result<Self, StorageError> {
        let mut file = SyncedFile::new(folder, FILE_NAME)?;
        let known = match file.load()? {
            Some(known) => known,
            None => {
                let drawn = Known { own: Incarnation(rand::random()), others: BTreeMap::new() };
                file.store(&drawn)?;
                drawn
            }
        };
        let own = known.own;
        let book = Book { file, known, refused: BTreeSet::new() };
        Ok(Self { own, book: Arc::new(Mutex::new(book)) })
    }

    /// Id of this replica's own data folder.
    pub(crate) const fn own(&self) -> Incarnation {
        self.own
    }

    /// Compares the disk of another replica with the one known, or notes it.
    pub(crate) fn check(
        &self,
        replica: ReplicaId,
        disk: Incarnation,
    ) -> Result<DiskCheck, StorageError> {
        // A panic while the lock was held leaves a book that is still whole.
        let mut book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        book.check(replica, disk)
    }
}

impl Book {
    fn check(&mut self, replica: ReplicaId, disk: Incarnation) -> Result<DiskCheck, StorageError> {
        match self.known.others.get(&replica) {
            Some(known) if *known != disk => {
                let first_time = self.refused.insert((replica, disk));
                return Ok(DiskCheck::Refused { first_time });
            }
            Some(_) => (),
            None => self.note(replica, disk)?,
        }
        Ok(DiskCheck::Accepted { known: self.known.others.len() })
    }

    /// What is noted is durable, or it is not noted.
    fn note(&mut self, replica: ReplicaId, disk: Incarnation) -> Result<(), StorageError> {
        self.known.others.insert(replica, disk);
        self.file.store(&self.known).inspect_err(|_| {
            self.known.others.remove(&replica);
        })
    }
}
