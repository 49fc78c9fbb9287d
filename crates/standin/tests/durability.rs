//! What a member keeps when it ends without warning, and damage to its files.

mod common;

use common::{TestGroup, client, eventually, start_group};
use corktack_core::backend::{fence_statement, promote_statement};
use corktack_core::position::{Position, Term};
use corktack_standin::{DurableError, LOG_FILE_NAME, Member, MemberError};
use rstest::rstest;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

const CREATE: &str = "CREATE TABLE calls (id INT PRIMARY KEY)";
const WRITERS: usize = 4;

fn log_path(test: &TestGroup, place: usize) -> PathBuf {
    test.group.member_folder(place).expect("the place exists").join(LOG_FILE_NAME)
}

/// Removes the engine's files: only the log is synced before a write is acknowledged.
fn lose_unsynced_bytes(test: &TestGroup, place: usize) {
    let folder = test.group.member_folder(place).expect("the place exists");
    for name in ["state.sqlite", "state.sqlite-wal", "state.sqlite-shm"] {
        match fs::remove_file(folder.join(name)) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => panic!("{error}"),
            _ => {}
        }
    }
}

fn append_to_log(test: &TestGroup, place: usize, bytes: &[u8]) {
    let file = OpenOptions::new().append(true).open(log_path(test, place));
    file.and_then(|mut file| file.write_all(bytes)).expect("the log can be written");
}

async fn fill(test: &TestGroup, rows: usize) {
    let mut primary = test.caller(0).await;
    primary.simple(CREATE).await.expect("a majority runs");
    for id in 0..rows {
        let insert = format!("INSERT INTO calls VALUES ({id})");
        primary.simple(&insert).await.expect("a majority runs");
    }
}

/// Writes rows until the connection ends; returns those that were acknowledged.
async fn write_until_cut(
    address: std::net::SocketAddr,
    writer: usize,
    acknowledged: Arc<AtomicUsize>,
) -> Vec<usize> {
    let client = client(address).await;
    let mut kept = Vec::new();
    for number in 0.. {
        let id = number * WRITERS + writer;
        if client.simple_query(&format!("INSERT INTO calls VALUES ({id})")).await.is_err() {
            break;
        }
        kept.push(id);
        acknowledged.fetch_add(1, Ordering::SeqCst);
    }
    kept
}

#[rstest]
#[tokio::test]
async fn a_group_killed_under_load_keeps_every_acknowledged_write() {
    let mut test = start_group();
    fill(&test, 0).await;
    let acknowledged = Arc::new(AtomicUsize::new(0));
    let address = test.group.postgres_addresses()[0];
    let writers: Vec<_> = (0..WRITERS)
        .map(|writer| tokio::spawn(write_until_cut(address, writer, acknowledged.clone())))
        .collect();
    eventually(|| async { acknowledged.load(Ordering::SeqCst) >= 50 }).await;
    for place in 0..3 {
        test.group.stop_member(place);
    }
    let mut kept = Vec::new();
    for writer in writers {
        kept.extend(writer.await.expect("the writer does not panic"));
    }
    for place in 0..3 {
        lose_unsynced_bytes(&test, place);
        append_to_log(&test, place, &[7, 0, 0, 0, 9]);
    }
    // One member stays away: a majority alone has to hold every acknowledged write.
    for place in [0, 1] {
        test.group.restart_member(place).expect("the member starts");
        let mut caller = test.caller(place).await;
        caller.simple(&fence_statement(Term(2))).await.expect("a higher term is promised");
    }
    let mut primary = test.caller(0).await;
    primary.simple(&promote_statement(Term(2))).await.expect("the old primary has the most");
    let rows = primary.simple("SELECT id FROM calls").await.expect("the primary reads");
    let found: Vec<usize> = rows.iter().flatten().flatten().flat_map(|id| id.parse()).collect();
    assert!(kept.iter().all(|id| found.contains(id)), "{kept:?} {found:?}");
}

#[rstest]
#[tokio::test]
async fn a_killed_member_comes_back_with_its_acknowledged_writes() {
    let mut test = start_group();
    fill(&test, 30).await;
    test.group.stop_member(2);
    lose_unsynced_bytes(&test, 2);
    test.group.restart_member(2).expect("the member starts");
    let whole = Position { term: Term(1), index: 31 };
    eventually(|| async {
        test.group.member(2).is_some_and(|member| member.applied_position() == whole)
    })
    .await;
    let mut replica = test.caller(2).await;
    let rows = replica.simple("SELECT count(*) FROM calls").await.expect("the replica reads");
    assert_eq!(rows[0][0].as_deref(), Some("30"));
}

#[rstest]
#[case::half_a_header(&[200, 0, 0, 0])]
#[case::no_payload(&[200, 0, 0, 0, 1, 2, 3, 4, 9, 0, 0, 0, 0, 0, 0, 0])]
#[case::zeros(&[0; 64])]
#[case::length_beyond_memory(&[255; 40])]
#[tokio::test]
async fn a_torn_tail_is_cut(#[case] torn: &[u8]) {
    let mut test = start_group();
    fill(&test, 5).await;
    test.group.stop_member(0);
    let whole = fs::read(log_path(&test, 0)).expect("the log can be read");
    append_to_log(&test, 0, torn);
    test.group.restart_member(0).expect("a torn tail is no damage");
    assert_eq!(fs::read(log_path(&test, 0)).expect("the log can be read"), whole);
}

#[rstest]
#[tokio::test]
async fn a_record_cut_anywhere_is_a_torn_tail() {
    let mut test = start_group();
    fill(&test, 3).await;
    test.group.stop_member(0);
    let folder = test.group.member_folder(0).expect("the place exists");
    let whole = fs::read(log_path(&test, 0)).expect("the log can be read");
    let mut last = 4;
    for length in (0..whole.len()).rev() {
        fs::write(log_path(&test, 0), &whole[..length]).expect("the log can be written");
        let read = Member::read_log(&folder).expect("a cut log is no damage").len();
        assert!(read == last || read + 1 == last, "{read} entries at {length} bytes");
        last = read;
    }
    assert_eq!(last, 0);
}

#[rstest]
#[case::length(0)]
#[case::checksum(5)]
#[case::payload(20)]
#[tokio::test]
async fn damage_before_synced_records_is_refused(#[case] offset: usize) {
    let mut test = start_group();
    fill(&test, 5).await;
    test.group.stop_member(0);
    let mut bytes = fs::read(log_path(&test, 0)).expect("the log can be read");
    bytes[offset] ^= 0x40;
    fs::write(log_path(&test, 0), &bytes).expect("the log can be written");
    let error = test.group.restart_member(0).expect_err("acknowledged writes would be lost");
    let MemberError::Durable(DurableError::Corrupt { offset: 0, .. }) = error else {
        panic!("{error}");
    };
    assert_eq!(fs::read(log_path(&test, 0)).expect("the log can be read"), bytes);
}
