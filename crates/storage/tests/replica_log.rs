//! The durable log: reopening, torn tails, damage, and crashes at every operation.

mod support;

use corktack_core::consensus::{PersistedState, Snapshot};
use corktack_storage::{
    Damage, DataFolder, Disk, LogStore, MemoryDisk, MemoryLog, ReplicaLog, StorageError,
};
use proptest::prelude::*;
use rstest::rstest;
use support::{LARGE_SEGMENTS, SMALL_SEGMENTS, entry, hard_state, open, snapshot, snapshot_index};

fn only_segment(disk: &MemoryDisk) -> String {
    let mut names = disk.list().expect("names");
    names.retain(|name| name.starts_with("segment"));
    assert_eq!(names.len(), 1);
    names.remove(0)
}

fn replace(disk: &mut MemoryDisk, name: &str, content: &[u8]) {
    disk.remove(name).expect("removed");
    disk.append(name, content).expect("written");
}

/// Returns a log of three records in one segment, the name of the segment, and the end offset of its start
/// record and of each of the three.
fn three_records() -> (MemoryDisk, String, Vec<usize>) {
    let disk = MemoryDisk::new();
    let (mut log, _) = open(&disk, LARGE_SEGMENTS);
    let mut ends = vec![disk.bytes()];
    for number in 1..=3 {
        let entries = [entry(1, number * 2 - 1), entry(1, number * 2)];
        log.persist(hard_state(number), &entries).expect("persisted");
        ends.push(disk.bytes());
    }
    let name = only_segment(&disk);
    (disk, name, ends)
}

#[test]
fn a_folder_keeps_the_log_over_restarts_and_is_locked() {
    let directory = tempfile::tempdir().expect("folder");
    let folder = DataFolder::open(directory.path()).expect("free folder");
    let (mut log, empty) = ReplicaLog::open(&folder, "control").expect("new log");
    assert_eq!(empty, PersistedState::default());
    log.persist(hard_state(2), &[entry(1, 1), entry(2, 2), entry(2, 3)]).expect("persisted");
    log.persist(None, &[entry(3, 3)]).expect("persisted");
    log.compact(&snapshot(2, 2)).expect("compacted");
    drop(folder);
    // The log still uses the folder.
    assert!(matches!(DataFolder::open(directory.path()), Err(StorageError::InUse { .. })));
    drop(log);
    let folder = DataFolder::open(directory.path()).expect("free folder");
    let (_, found) = ReplicaLog::open(&folder, "control").expect("log");
    assert_eq!(found.hard_state, hard_state(2).expect("hard state"));
    assert_eq!(found.snapshot, Some(snapshot(2, 2)));
    assert_eq!(found.entries, [entry(3, 3)]);
}

#[test]
fn a_folder_that_cannot_be_created_is_unwritable_and_names_are_checked() {
    let directory = tempfile::tempdir().expect("folder");
    let file = directory.path().join("file");
    std::fs::write(&file, "").expect("file");
    let refused = DataFolder::open(file.join("below"));
    assert!(matches!(refused, Err(StorageError::Unwritable { .. })));
    let folder = DataFolder::open(directory.path()).expect("free folder");
    for name in ["", "..", "a/b", ".hidden"] {
        assert!(matches!(folder.subfolder(name), Err(StorageError::Name { .. })));
    }
}

#[rstest]
fn a_tail_torn_at_any_byte_is_truncated_and_the_log_continues(#[values(0, 0xFF)] filler: u8) {
    let (mut disk, name, ends) = three_records();
    let whole = disk.read(&name).expect("read").expect("segment");
    for length in ends[0]..whole.len() {
        // The file may have grown before its content reached the disk.
        for filler_bytes in [0, 5] {
            let torn = [&whole[..length], &vec![filler; filler_bytes]].concat();
            replace(&mut disk, &name, &torn);
            let records = ends.iter().filter(|end| **end <= length).count() - 1;
            let (mut log, found) = open(&disk, LARGE_SEGMENTS);
            assert_eq!(found.entries.len(), records * 2, "truncated at {length}");
            let next_index = records as u64 * 2 + 1;
            log.persist(None, &[entry(1, next_index)]).expect("persisted");
            drop(log);
            assert_eq!(open(&disk, LARGE_SEGMENTS).1.entries.len(), records * 2 + 1);
        }
    }
}

#[test]
fn a_first_segment_torn_before_its_first_record_is_an_empty_log() {
    let (mut disk, name, ends) = three_records();
    let whole = disk.read(&name).expect("read").expect("segment");
    for length in 0..ends[0] {
        replace(&mut disk, &name, &whole[..length]);
        assert_eq!(open(&disk, LARGE_SEGMENTS).1, PersistedState::default());
    }
}

#[test]
fn any_flipped_byte_before_the_last_record_is_refused_with_file_and_offset() {
    let (mut disk, name, ends) = three_records();
    let whole = disk.read(&name).expect("read").expect("segment");
    for flipped_offset in 0..ends[2] {
        let mut flipped = whole.clone();
        flipped[flipped_offset] ^= 0x10;
        replace(&mut disk, &name, &flipped);
        let start =
            ends.iter().rev().find(|end| **end <= flipped_offset).copied().unwrap_or(0) as u64;
        match ReplicaLog::open_on(disk.clone(), LARGE_SEGMENTS) {
            Err(StorageError::Corrupt { path, offset, damage: Damage::Checksum }) => {
                assert_eq!(
                    (path.to_str(), offset),
                    (Some(&*name), start),
                    "flip at {flipped_offset}"
                );
            }
            other => panic!("flip at {flipped_offset}: {other:?}"),
        }
    }
}

#[test]
fn a_missing_segment_and_a_damaged_snapshot_are_refused() {
    let mut disk = MemoryDisk::new();
    let (mut log, _) = open(&disk, SMALL_SEGMENTS);
    for index in 1..=40 {
        log.persist(None, &[entry(1, index)]).expect("persisted");
    }
    log.compact(&snapshot(1, 30)).expect("compacted");
    let names = disk.list().expect("names");
    let segments: Vec<_> = names.iter().filter(|name| name.starts_with("segment")).collect();
    assert!(segments.len() > 2);
    for missing in &segments[..segments.len() - 1] {
        let content = disk.read(missing).expect("read").expect("segment");
        disk.remove(missing).expect("removed");
        let refused = ReplicaLog::open_on(disk.clone(), SMALL_SEGMENTS);
        assert!(
            matches!(refused, Err(StorageError::Corrupt { damage: Damage::MissingFile, .. })),
            "without {missing}: {refused:?}"
        );
        disk.append(missing, &content).expect("restored");
    }
    let mut content = disk.read("snapshot").expect("read").expect("snapshot");
    content[20] ^= 1;
    replace(&mut disk, "snapshot", &content);
    assert!(ReplicaLog::open_on(disk, SMALL_SEGMENTS).is_err());
}

#[test]
fn compaction_bounds_the_files_on_disk() {
    let disk = MemoryDisk::new();
    let (mut log, _) = open(&disk, SMALL_SEGMENTS);
    let mut largest = 0;
    for index in 1..=2_000 {
        log.persist(hard_state(1), &[entry(1, index)]).expect("persisted");
        if index % 50 == 0 {
            log.compact(&Snapshot { data: Vec::new(), ..snapshot(1, index - 5) })
                .expect("compacted");
        }
        largest = largest.max(disk.bytes());
    }
    assert!(largest < 10_000, "{largest} bytes");
    drop(log);
    assert_eq!(open(&disk, SMALL_SEGMENTS).1.entries.len(), 5);
}

#[test]
fn after_a_failed_write_the_log_refuses_writes_until_it_is_opened_again() {
    let disk = MemoryDisk::new();
    let (mut log, _) = open(&disk, LARGE_SEGMENTS);
    disk.fail_after(1);
    let failed = log.persist(None, &[entry(1, 1)]);
    assert!(matches!(failed, Err(StorageError::Io { .. })));
    disk.crash(|_| 0);
    assert!(matches!(log.persist(None, &[entry(1, 1)]), Err(StorageError::Poisoned)));
    assert!(open(&disk, LARGE_SEGMENTS).1.entries.is_empty());
}

#[test]
fn entries_read_at_a_start_survive_a_crash_right_after_it() {
    let disk = MemoryDisk::new();
    let (mut log, _) = open(&disk, LARGE_SEGMENTS);
    // The process ends after the write and before the sync; the machine keeps running.
    disk.fail_after(1);
    log.persist(None, &[entry(1, 1)]).expect_err("no sync");
    disk.fail_after(u64::MAX);
    assert_eq!(open(&disk, LARGE_SEGMENTS).1.entries.len(), 1);
    disk.crash(|_| 0);
    assert_eq!(open(&disk, LARGE_SEGMENTS).1.entries.len(), 1);
}

#[test]
fn a_gap_is_refused_before_anything_is_written() {
    let disk = MemoryDisk::new();
    let (mut log, _) = open(&disk, LARGE_SEGMENTS);
    let refused = log.persist(None, &[entry(1, 2)]);
    assert!(matches!(refused, Err(StorageError::NotConsecutive { first: 2, last: 0 })));
    log.persist(None, &[entry(1, 1)]).expect("persisted");
}

/// One change of the store.
#[derive(Clone, Debug)]
enum Step {
    Append { count: u64 },
    Overwrite { back: u64, count: u64 },
    Vote,
    Compact { back: u64 },
    Install { ahead: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1_u64..6).prop_map(|count| Step::Append { count }),
        2 => (0_u64..4, 1_u64..4).prop_map(|(back, count)| Step::Overwrite { back, count }),
        1 => Just(Step::Vote),
        1 => (0_u64..6).prop_map(|back| Step::Compact { back }),
        1 => (0_u64..9).prop_map(|ahead| Step::Install { ahead }),
    ]
}

fn last_index(state: &PersistedState) -> u64 {
    snapshot_index(state) + state.entries.len() as u64
}

/// Performs a step on the store, and updates `state` to the state that the store must hold afterwards.
fn perform(
    log: &mut MemoryLog,
    state: &mut PersistedState,
    step: &Step,
) -> Result<(), StorageError> {
    let term = state.hard_state.term.0 + 1;
    let base = snapshot_index(state);
    match step {
        Step::Append { count } => persist(log, state, last_index(state) + 1, *count),
        Step::Overwrite { back, count } => {
            let first = last_index(state).saturating_sub(*back).max(base + 1);
            persist(log, state, first, *count)
        }
        Step::Vote => {
            state.hard_state = hard_state(term).expect("hard state");
            log.persist(Some(state.hard_state), &[])
        }
        Step::Compact { back } => {
            let index = last_index(state).saturating_sub(*back);
            let Some(position) = index.checked_sub(base + 1) else { return Ok(()) };
            let compacted = snapshot(state.entries[position as usize].term.0, index);
            state.entries.drain(..=position as usize);
            state.snapshot = Some(compacted.clone());
            log.compact(&compacted)
        }
        Step::Install { ahead } => {
            // A leader's snapshot is installed only if the log does not hold the last entry of the snapshot.
            let installed = snapshot(1_000 + term, base + 1 + ahead);
            state.entries.clear();
            state.snapshot = Some(installed.clone());
            log.install_snapshot(&installed)
        }
    }
}

fn persist(
    log: &mut MemoryLog,
    state: &mut PersistedState,
    first: u64,
    count: u64,
) -> Result<(), StorageError> {
    let term = state.hard_state.term.0 + 1;
    let entries: Vec<_> = (first..first + count).map(|index| entry(term, index)).collect();
    state.entries.truncate((first - snapshot_index(state) - 1) as usize);
    state.entries.extend(entries.iter().cloned());
    state.hard_state = hard_state(term).expect("hard state");
    log.persist(Some(state.hard_state), &entries)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After a crash at any operation of any step, the log holds the state before
    /// or after that step, and acknowledged changes are never lost.
    #[test]
    fn a_crash_at_any_operation_loses_nothing_acknowledged(
        lives in prop::collection::vec((prop::collection::vec(step(), 1..12), 0_u64..40, 0_usize..99), 1..6),
    ) {
        let disk = MemoryDisk::new();
        let mut state = PersistedState::default();
        for (steps, operations, kept) in lives {
            let (mut log, found) = open(&disk, SMALL_SEGMENTS);
            prop_assert_eq!(&found, &state);
            disk.fail_after(operations);
            let mut before = state.clone();
            for step in &steps {
                before = state.clone();
                if perform(&mut log, &mut state, step).is_err() {
                    break;
                }
                before = state.clone();
            }
            disk.crash(|tail| kept % (tail + 1));
            // A crash also interrupts the opening of the log.
            disk.fail_after(operations % 7);
            drop(ReplicaLog::open_on(disk.clone(), SMALL_SEGMENTS));
            disk.crash(|tail| kept % (tail + 1));
            let (_, found) = open(&disk, SMALL_SEGMENTS);
            prop_assert!(found == before || found == state, "{:?} of {:?}", found, state);
            state = found;
        }
    }
}
