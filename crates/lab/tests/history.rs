//! Tests that the check of callers' writes against the databases finds each kind of violation.

use corktack_lab::load::history::{
    ReportedOutcome, Violation, Write, WriteKind, check_writes, find_mixed_entries,
};
use rstest::rstest;

fn write(kind: WriteKind, told: ReportedOutcome) -> Write {
    Write { kind, id: "w".to_owned(), told }
}

fn violations(kind: WriteKind, told: ReportedOutcome, found: i64) -> Vec<Violation> {
    let counts = [("w".to_owned(), found)].into();
    check_writes(&[write(kind, told)], kind, &counts)
}

#[rstest]
#[case(WriteKind::Flag, ReportedOutcome::Acknowledged, 1)]
#[case(WriteKind::Flag, ReportedOutcome::NotRun, 0)]
#[case(WriteKind::Flag, ReportedOutcome::Unknown, 0)]
#[case(WriteKind::Flag, ReportedOutcome::Unknown, 1)]
#[case(WriteKind::Booking, ReportedOutcome::Acknowledged, 3)]
#[case(WriteKind::Booking, ReportedOutcome::Unknown, 0)]
fn a_reported_outcome_that_matches_the_database_is_no_violation(
    #[case] kind: WriteKind,
    #[case] told: ReportedOutcome,
    #[case] found: i64,
) {
    assert_eq!(violations(kind, told, found), Vec::new());
}

#[rstest]
fn a_lost_write_is_found() {
    let expected =
        vec![Violation::LostWrite(write(WriteKind::Flag, ReportedOutcome::Acknowledged))];
    assert_eq!(violations(WriteKind::Flag, ReportedOutcome::Acknowledged, 0), expected);
}

#[rstest]
fn a_refused_write_that_ran_is_found() {
    let expected =
        vec![Violation::RanThoughRefused(write(WriteKind::Flag, ReportedOutcome::NotRun))];
    assert_eq!(violations(WriteKind::Flag, ReportedOutcome::NotRun, 1), expected);
}

#[rstest]
fn a_repeated_write_is_found(
    #[values(ReportedOutcome::Acknowledged, ReportedOutcome::Unknown, ReportedOutcome::NotRun)]
    told: ReportedOutcome,
) {
    let write = write(WriteKind::Charge, told);
    let expected = vec![Violation::Repeated { write, times: 2 }];
    assert_eq!(violations(WriteKind::Charge, told, 2), expected);
}

#[rstest]
fn a_partial_transaction_is_found(#[values(1, 2)] parts: i64) {
    let write = write(WriteKind::Booking, ReportedOutcome::Unknown);
    let expected = vec![Violation::PartialTransaction { write, parts }];
    assert_eq!(violations(WriteKind::Booking, ReportedOutcome::Unknown, parts), expected);
}

#[rstest]
fn an_entry_with_two_bookings_is_found() {
    let entry = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    let entries = [entry(&["a", "a", "a"]), entry(&["a", "b"]), entry(&[])];
    let mixed = find_mixed_entries(&entries);
    assert_eq!(mixed, [["a".to_owned(), "b".to_owned()].into()]);
}
