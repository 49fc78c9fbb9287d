//! Arbitrary and damaged bytes are refused without a panic or a large allocation.

use corktack_core::consensus::{Entry, Payload, PersistedState};
use corktack_core::position::Term;
use corktack_storage::{
    Disk, LogStore, MemoryDisk, ReplicaLog, ReplicaLogSettings, StorageError, SyncedFile,
    decode_record,
};
use proptest::prelude::*;

const SEGMENT: &str = "segment-00000000000000000001.log";

fn disk_with(name: &str, bytes: &[u8]) -> MemoryDisk {
    let mut disk = MemoryDisk::new();
    disk.append(name, bytes).expect("written");
    disk
}

/// Returns the bytes of a segment with a few entries.
fn segment() -> Vec<u8> {
    let disk = MemoryDisk::new();
    let settings = ReplicaLogSettings::default();
    let (mut log, _) = ReplicaLog::open_on(disk.clone(), settings).expect("new log");
    for index in 1..=5 {
        let payload = Payload::Command(vec![9; 30]);
        log.persist(None, &[Entry { term: Term(1), index, payload }]).expect("persisted");
    }
    disk.read(SEGMENT).expect("read").expect("segment")
}

#[test]
fn a_length_beyond_the_file_allocates_nothing() {
    let mut bytes = segment();
    let false_length = u32::MAX.to_le_bytes();
    bytes[4..8].copy_from_slice(&false_length);
    assert_eq!(decode_record(&bytes, 1, 0), Ok(None));
}

#[test]
fn small_values_are_kept_and_damage_is_refused() {
    let disk = MemoryDisk::new();
    let mut file = SyncedFile::on_disk(disk.clone(), "identity").expect("file");
    assert_eq!(file.load::<u64>().expect("no value yet"), None);
    file.store(&17_u64).expect("stored");
    disk.fail_after(2);
    file.store(&18_u64).expect_err("no operations left");
    disk.crash(|tail| tail);
    assert_eq!(file.load::<u64>().expect("old value"), Some(17));
    let whole = disk.read("identity").expect("read").expect("file");
    for offset in 0..whole.len() {
        let mut flipped = whole.clone();
        flipped[offset] ^= 1;
        let damaged =
            SyncedFile::on_disk(disk_with("identity", &flipped), "identity").expect("file");
        assert!(matches!(damaged.load::<u64>(), Err(StorageError::Corrupt { .. })));
        let truncated =
            SyncedFile::on_disk(disk_with("identity", &whole[..offset]), "identity").expect("file");
        assert!(matches!(truncated.read(), Err(StorageError::Corrupt { .. })));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode_record(&bytes, 1, 0);
        let _ = ReplicaLog::open_on(disk_with(SEGMENT, &bytes), ReplicaLogSettings::default());
        let _ = ReplicaLog::open_on(disk_with("snapshot", &bytes), ReplicaLogSettings::default());
        let _ = SyncedFile::on_disk(disk_with("view", &bytes), "view").expect("file").load::<Vec<String>>();
    }

    /// Whatever the damage, an opened log holds a prefix of the entries that were written.
    #[test]
    fn damage_never_invents_entries(position in any::<prop::sample::Index>(), flip in 1_u8.., cut in any::<prop::sample::Index>()) {
        let mut bytes = segment();
        let whole = ReplicaLog::open_on(disk_with(SEGMENT, &bytes), ReplicaLogSettings::default());
        let whole: PersistedState = whole.expect("no damage").1;
        let offset = position.index(bytes.len());
        bytes[offset] ^= flip;
        bytes.truncate(cut.index(bytes.len()) + 1);
        if let Ok((_, found)) = ReplicaLog::open_on(disk_with(SEGMENT, &bytes), ReplicaLogSettings::default()) {
            prop_assert!(whole.entries.starts_with(&found.entries));
        }
    }
}
