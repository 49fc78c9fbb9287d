//! Durable log, snapshots and small files of a corktack process.
//!
//! A process owns one [`DataFolder`]. A control replica keeps its log in a
//! [`ReplicaLog`] there; a proxy keeps its last view and its identity in [`SyncedFile`]s.
//! All file access goes through the [`Disk`] trait, so the simulator runs the same
//! code over a [`MemoryDisk`] that loses unsynced bytes at a crash.

mod checked_file;
mod disk;
mod error;
mod folder;
mod lock;
mod memory;
mod record;
mod recovery;
mod replica_log;
mod segment;
mod synced_file;

pub use disk::{Disk, FolderDisk};
pub use error::{Damage, Operation, StorageError};
pub use folder::DataFolder;
pub use memory::{MemoryDisk, MemoryLog};
pub use record::decode_record;
pub use replica_log::{LogStore, ReplicaLog, ReplicaLogSettings};
pub use synced_file::SyncedFile;
