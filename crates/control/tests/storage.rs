//! A replica's start on a data folder that is in use, unwritable or damaged.

mod support;

use awc::http::StatusCode;
use corktack_control::api::AnyManifest;
use corktack_control::{CellStart, ControlError, ControlHandle, ControlListeners};
use corktack_control::{ControlReplica, ControlSettings};
use corktack_core::identity::ReplicaId;
use corktack_protocol::cell::CellName;
use corktack_storage::{Damage, StorageError};
use prometheus_client::registry::Registry;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use support::{Cell, wait_until};

const PATH: &str = "/v1/classes/gold";
/// The beginning of a record whose write was interrupted by a crash before the sync.
const TORN_RECORD: [u8; 15] = *b"\xC0rkR\x40\0\0\0\x01\x02\x03\x04abc";

fn start_in(folder: &Path) -> Result<ControlHandle, ControlError> {
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listeners = ControlListeners { cell: bind(), proxies: bind(), operators: bind() };
    let name = CellName("test".to_owned());
    let start = CellStart::Join(Vec::new());
    let settings = ControlSettings::new(name, ReplicaId(1), start, folder.to_path_buf());
    ControlReplica::start(settings, listeners, &mut Registry::default())
}

/// Returns the newest segment of a replica's log.
fn newest_segment(folder: &Path) -> PathBuf {
    let files = std::fs::read_dir(folder.join("test")).expect("the folder of the log");
    let paths = files.map(|file| file.expect("a file").path());
    let is_segment = |path: &PathBuf| {
        path.file_name().is_some_and(|name| name.to_string_lossy().starts_with("segment"))
    };
    paths.filter(is_segment).max().expect("a segment")
}

/// Starts a cell of three, makes 20 changes and stops a follower. Returns the follower's index and the
/// newest state.
async fn with_a_stopped_replica() -> (Cell, usize, AnyManifest) {
    let mut cell = Cell::start(3);
    let operator = cell.replicas[cell.leader().await].operator();
    for priority in 1..=20 {
        operator.put_class("gold", priority, None).await.accepted();
    }
    let index = cell.follower().await;
    let replica = &mut cell.replicas[index];
    let stored: AnyManifest = replica.operator().get(PATH).await.read();
    replica.stop().await;
    (cell, index, stored)
}

#[actix_rt::test]
async fn a_data_folder_in_use_is_refused() {
    let cell = Cell::start(1);
    let refused = start_in(cell.replicas[0].folder.path());
    let path = cell.replicas[0].folder.path();
    assert!(
        matches!(&refused, Err(ControlError::Storage(StorageError::InUse { path: found })) if found == path),
        "{refused:?}"
    );
}

#[actix_rt::test]
async fn an_unwritable_data_folder_is_refused() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    // Permissions do not stop every user, but a folder instead of the lock file does.
    std::fs::create_dir(folder.path().join("LOCK")).expect("a folder");
    let refused = start_in(folder.path());
    let unwritable = StorageError::Unwritable {
        path: folder.path().to_path_buf(),
        source: std::io::ErrorKind::IsADirectory.into(),
    };
    let Err(ControlError::Storage(error)) = refused else { panic!("{refused:?}") };
    assert_eq!(error.to_string(), unwritable.to_string());
}

#[actix_rt::test]
async fn a_flipped_byte_in_the_middle_of_the_log_is_refused_with_its_offset() {
    let (cell, index, _) = with_a_stopped_replica().await;
    let folder = cell.replicas[index].folder.path();
    let file = newest_segment(folder);
    let whole = std::fs::read(&file).expect("the segment is read");
    let middle = whole.len() / 2;
    let mut flipped = whole.clone();
    flipped[middle] ^= 0x20;
    std::fs::write(&file, &flipped).expect("the segment is written");
    match start_in(folder) {
        Err(ControlError::Storage(StorageError::Corrupt { path, offset, damage })) => {
            assert_eq!((path, damage), (file.clone(), Damage::Checksum));
            assert!(offset as usize <= middle && middle - (offset as usize) < whole.len() / 4);
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(
        std::fs::read(&file).expect("the segment is read"),
        flipped,
        "the file is unchanged"
    );
}

#[actix_rt::test]
async fn a_torn_tail_is_truncated_and_the_replica_continues() {
    let (mut cell, index, stored) = with_a_stopped_replica().await;
    let file = newest_segment(cell.replicas[index].folder.path());
    let whole = std::fs::read(&file).expect("the segment is read");
    let torn = [&whole, &TORN_RECORD[..]].concat();
    std::fs::write(&file, torn).expect("the segment is written");
    cell.replicas[index].restart(&|_| ()).await;
    let operator = cell.replicas[index].operator();
    let found: AnyManifest = wait_until("the replica serves", async || {
        let answer = operator.get(PATH).await;
        (answer.status == StatusCode::OK).then(|| answer.read())
    })
    .await;
    assert_eq!(found, stored);
    let newest = operator.put_class("gold", 21, None).await.accepted().resource_version;
    // The change written after the truncation is read back at the next start.
    cell.replicas[index].stop().await;
    cell.replicas[index].restart(&|_| ()).await;
    let operator = cell.replicas[index].operator();
    wait_until("the replica serves the newest", async || {
        let answer = operator.get(PATH).await;
        let metadata = (answer.status == StatusCode::OK).then(|| answer.read::<AnyManifest>());
        (metadata?.metadata().resource_version == Some(newest)).then_some(())
    })
    .await;
}
