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

/// Ports by which the addresses of a machine and of its replacement differ.
const REPLACEMENT_PORTS: u16 = 100;

impl Machine {
    /// Ends the process; of every file's unsynced tail a drawn part stays.
    pub fn crash(&mut self, context: &mut Context<'_>) {
        if context.is(Variant::LogNotPersisted) && self.process.is_some() {
            self.forget_last_entries();
        }
        self.process = None;
        self.waits_for_disk = false;
        self.disk.crash(|bytes| context.random.random_range(0..=bytes));
        if self.is_disk_full {
            self.disk.fail_after(0);
        }
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

    /// Lets the disk refuse every change after some more, until it has room again.
    pub fn fill_disk_after(&mut self, operations: u64) {
        self.is_disk_full = true;
        self.disk.fail_after(operations);
    }

    /// Lets the disk accept changes again.
    pub fn free_disk(&mut self) {
        self.is_disk_full = false;
        self.disk.accept_changes();
    }

    /// Ends the process and empties its disk; it comes back under a new identity.
    pub fn lose_disk(&mut self) {
        self.process = None;
        self.waits_for_disk = false;
        self.disk = MemoryDisk::new();
        self.id = ReplicaId(self.id.0 + IDENTITIES_PER_LIFE);
        self.first_cell = None;
        if self.is_disk_full {
            self.disk.fail_after(0);
        }
    }

    /// Takes the machine away for good; the one that comes in its place has another address and an empty
    /// disk.
    pub fn replace(&mut self) {
        self.free_disk();
        self.lose_disk();
        let port = self.address.port() + REPLACEMENT_PORTS;
        self.address.set_port(port);
    }
}
