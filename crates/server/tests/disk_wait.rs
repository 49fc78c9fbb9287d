//! A process starts once its disk accepts writes, and reports any other reason at once.

use corktack_server::disk_wait::start_once_writable;
use corktack_storage::{Operation, StorageError};
use rstest::rstest;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

fn refused(kind: ErrorKind) -> StorageError {
    StorageError::Io { operation: Operation::Write, path: "identity".into(), source: kind.into() }
}

/// Starts with these failures first. Returns the outcome, the number of tries and the time that they took.
async fn start_after(failures: &[ErrorKind]) -> (Result<(), StorageError>, usize, Duration) {
    let mut tries = 0;
    let began = Instant::now();
    let start = || {
        tries += 1;
        failures.get(tries - 1).map_or(Ok(()), |kind| Err(refused(*kind)))
    };
    let outcome = start_once_writable(start, StorageError::is_disk_full).await;
    (outcome, tries, began.elapsed())
}

/// Guards against a process that ends again and again while its disk is full.
#[rstest]
#[case::at_once(&[], Duration::ZERO)]
#[case::a_full_disk(&[ErrorKind::StorageFull; 3], Duration::from_millis(200))]
#[case::a_used_up_quota(&[ErrorKind::QuotaExceeded], Duration::from_millis(20))]
#[actix_rt::test]
async fn a_start_waits_for_a_full_disk(#[case] failures: &[ErrorKind], #[case] shortest: Duration) {
    let (outcome, tries, took) = start_after(failures).await;
    assert!(outcome.is_ok(), "{outcome:?}");
    assert_eq!(tries, failures.len() + 1);
    assert!(took >= shortest, "the tries have pauses between them: {took:?}");
}

#[actix_rt::test]
async fn a_start_reports_any_other_failure_at_once() {
    let (outcome, tries, _) = start_after(&[ErrorKind::PermissionDenied]).await;
    assert!(outcome.is_err());
    assert_eq!(tries, 1);
}
