//! What may happen to a machine's disk: crashes, failing writes and its loss.

use super::{IDENTITIES_PER_LIFE, Machine, SEGMENT_BYTES};
use crate::run::event::Context;
use crate::run::variant::Variant;
use corktack_core::consensus::HardState;
use corktack_core::identity::ReplicaId;
use corktack_storage::{LogStore, MemoryDisk, MemoryLog, ReplicaLogSettings};
use rand::Rng;

/// Entries that a machine forgets at a crash when it does not write its log.
const FORGOTTEN_ENTRIES: usize = 3;

impl Machine {
    /// Ends the process; of every file's unsynced tail a drawn part stays.
    pub fn crash(&mut self, context: &mut Context<'_>) {
        if context.is(Variant::LogNotPersisted) && self.process.is_some() {
            self.forget_last_entries();
        }
        self.process = None;
        self.disk.crash(|bytes| context.random.random_range(0..=bytes));
    }

    /// Makes the disk as if the last entries had not been written, for a broken variant.
    fn forget_last_entries(&mut self) {
        let settings = ReplicaLogSettings { segment_bytes: SEGMENT_BYTES };
        let Ok((_, persisted)) = MemoryLog::open_on(self.disk.clone(), settings) else { return };
        let disk = MemoryDisk::new();
        let settings = ReplicaLogSettings { segment_bytes: SEGMENT_BYTES };
        let Ok((mut log, _)) = MemoryLog::open_on(disk.clone(), settings) else { return };
        let kept = persisted.entries.len().saturating_sub(FORGOTTEN_ENTRIES);
        let hard_state = HardState { commit: 0, ..persisted.hard_state };
        let installed = persisted.snapshot.is_none_or(|it| log.install_snapshot(&it).is_ok());
        if installed && log.persist(Some(hard_state), &persisted.entries[..kept]).is_ok() {
            self.disk = disk;
        }
    }

    /// Lets the disk fail after some more changes, which ends the process inside a write.
    pub fn fail_disk_after(&mut self, operations: u64) {
        self.disk.fail_after(operations);
    }

    /// Ends the process and empties its disk; it comes back under a new identity.
    pub fn lose_disk(&mut self) {
        self.process = None;
        self.disk = MemoryDisk::new();
        self.id = ReplicaId(self.id.0 + IDENTITIES_PER_LIFE);
        self.first_cell = None;
    }
}
