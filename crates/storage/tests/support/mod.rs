//! Entries, snapshots and logs on a disk in memory.
#![allow(dead_code, reason = "each test file uses its own part")]

use corktack_core::consensus::{
    CellConfig, CellMember, Entry, HardState, Payload, PersistedState, Snapshot,
};
use corktack_core::identity::ReplicaId;
use corktack_core::position::Term;
use corktack_storage::{MemoryDisk, MemoryLog, ReplicaLog, ReplicaLogSettings};

pub const SMALL_SEGMENTS: ReplicaLogSettings = ReplicaLogSettings { segment_bytes: 200 };
pub const LARGE_SEGMENTS: ReplicaLogSettings = ReplicaLogSettings { segment_bytes: u64::MAX };

pub fn entry(term: u64, index: u64) -> Entry {
    let command = vec![index as u8; 10 + (index % 7) as usize];
    Entry { term: Term(term), index, payload: Payload::Command(command) }
}

pub fn hard_state(term: u64) -> Option<HardState> {
    Some(HardState { term: Term(term), vote: Some(ReplicaId(term % 3)), commit: 0 })
}

pub fn snapshot(term: u64, index: u64) -> Snapshot {
    let member = CellMember { id: ReplicaId(1), address: ([127, 0, 0, 1], 1).into() };
    let cell = CellConfig { voters: vec![member], learners: Vec::new() };
    Snapshot { index, term: Term(term), cell, data: vec![7; index as usize] }
}

pub fn open(disk: &MemoryDisk, settings: ReplicaLogSettings) -> (MemoryLog, PersistedState) {
    ReplicaLog::open_on(disk.clone(), settings).expect("a log without damage")
}

pub fn snapshot_index(state: &PersistedState) -> u64 {
    state.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
}
