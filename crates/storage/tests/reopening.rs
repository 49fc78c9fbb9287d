//! A log whose write failed opens again, with what was synced and nothing else.

mod support;

use corktack_core::consensus::PersistedState;
use corktack_storage::{LogStore, MemoryDisk, MemoryLog, ReplicaLogSettings, StorageError};
use rstest::rstest;
use support::{LARGE_SEGMENTS, SMALL_SEGMENTS, entry, hard_state, open, snapshot, snapshot_index};

/// A change of a log of three entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    HardState,
    Entries,
    EntriesInANewSegment,
    Compaction,
    InstalledSnapshot,
}

impl Change {
    /// The segment size at which the change is made.
    fn settings(self) -> ReplicaLogSettings {
        if self == Self::EntriesInANewSegment { SMALL_SEGMENTS } else { LARGE_SEGMENTS }
    }

    /// Returns what a log holds after the change.
    fn expected(self, before: &PersistedState) -> PersistedState {
        let mut after = before.clone();
        match self {
            Self::HardState => after.hard_state = hard_state(9).expect("hard state"),
            Self::Entries | Self::EntriesInANewSegment => {
                after.hard_state = hard_state(9).expect("hard state");
                after.entries.extend([entry(1, 4), entry(1, 5)]);
            }
            Self::Compaction => {
                after.snapshot = Some(snapshot(1, 2));
                after.entries.drain(..2);
            }
            Self::InstalledSnapshot => {
                after.snapshot = Some(snapshot(3, 8));
                after.entries.clear();
            }
        }
        after
    }

    fn make(self, log: &mut MemoryLog) -> Result<(), StorageError> {
        match self {
            Self::HardState => log.persist(hard_state(9), &[]),
            Self::Entries | Self::EntriesInANewSegment => {
                log.persist(hard_state(9), &[entry(1, 4), entry(1, 5)])
            }
            Self::Compaction => log.compact(&snapshot(1, 2)),
            Self::InstalledSnapshot => log.install_snapshot(&snapshot(3, 8)),
        }
    }
}

/// A log after a change that failed or was made, with what it held before and would hold after.
struct ChangedLog {
    log: MemoryLog,
    before: PersistedState,
    after: PersistedState,
    is_made: bool,
}

/// Opens a log of three entries and lets a change fail after some operations of the disk. A change of fewer
/// operations is made, and the next one fails.
fn fail_change(disk: &MemoryDisk, change: Change, operations: u64) -> ChangedLog {
    let (mut log, _) = open(disk, change.settings());
    let hard_state_before = hard_state(1).expect("hard state");
    let mut before = PersistedState { hard_state: hard_state_before, ..Default::default() };
    for index in 1..=3 {
        before.entries.push(entry(1, index));
        log.persist(hard_state(1), &[entry(1, index)]).expect("persisted");
    }
    let after = change.expected(&before);
    disk.fail_after(operations);
    let is_made = change.make(&mut log).is_ok();
    if is_made {
        disk.fail_after(0);
        log.install_snapshot(&snapshot(9, 99)).expect_err("a full disk");
    }
    ChangedLog { log, before, after, is_made }
}

/// Guards against a replica that never serves again because its disk was full for a moment. While the disk
/// refuses changes, the log refuses to open; later it holds what was synced before, and nothing that was
/// only written.
#[rstest]
fn after_a_failed_change_the_log_opens_again_with_what_was_synced(
    #[values(
        Change::HardState,
        Change::Entries,
        Change::EntriesInANewSegment,
        Change::Compaction,
        Change::InstalledSnapshot
    )]
    change: Change,
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9)] operations: u64,
    #[values(0, 1, 2, 3, 4, 5)] operations_of_a_refused_try: u64,
) {
    let disk = MemoryDisk::new();
    let ChangedLog { mut log, before, after, is_made } = fail_change(&disk, change, operations);
    disk.fail_after(operations_of_a_refused_try);
    assert!(matches!(log.reopen(), Err(StorageError::Io { .. })));
    let refused = log.persist(None, &[entry(1, 4)]);
    assert!(matches!(refused, Err(StorageError::Poisoned)));
    disk.accept_changes();
    let found = log.reopen().expect("the log opens again");
    // A snapshot takes effect when its synced file gets its name, before the change is complete.
    let is_snapshot = matches!(change, Change::Compaction | Change::InstalledSnapshot);
    let is_possible = if is_made { found == after } else { found == before };
    assert!(is_possible || (is_snapshot && found == after), "{found:?}");
    let last = found.entries.last().map_or(snapshot_index(&found), |entry| entry.index);
    log.persist(None, &[entry(9, last + 1)]).expect("the log accepts writes again");
    disk.crash(|_| 0);
    let (_, after_crash) = open(&disk, change.settings());
    let entries = [&found.entries[..], &[entry(9, last + 1)]].concat();
    assert_eq!(after_crash, PersistedState { entries, ..found });
}

/// Guards against entries that count as written although their sync failed: the operating system may still
/// return them and never write them, so that the next loss of power takes them.
#[test]
fn entries_whose_sync_failed_are_gone_when_the_log_opens_again() {
    let disk = MemoryDisk::new();
    // The write succeeds and its sync fails.
    let ChangedLog { mut log, before, .. } = fail_change(&disk, Change::Entries, 1);
    disk.accept_changes();
    assert_eq!(log.reopen().expect("the log opens again"), before);
    disk.crash(|_| 0);
    assert_eq!(open(&disk, LARGE_SEGMENTS).1, before);
}
