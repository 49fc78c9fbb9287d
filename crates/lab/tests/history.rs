//! The check of callers' writes against the databases finds each kind of fault.

use corktack_lab::load::history::{Told, Violation, Write, WriteKind, check, mixed_entries};
use rstest::rstest;

fn write(kind: WriteKind, told: Told) -> Write {
    Write { kind, id: "w".to_owned(), told }
}

fn violations(kind: WriteKind, told: Told, found: i64) -> Vec<Violation> {
    let counts = [("w".to_owned(), found)].into();
    check(&[write(kind, told)], kind, &counts)
}

#[rstest]
#[case(WriteKind::Flag, Told::Acknowledged, 1)]
#[case(WriteKind::Flag, Told::NotRun, 0)]
#[case(WriteKind::Flag, Told::Unknown, 0)]
#[case(WriteKind::Flag, Told::Unknown, 1)]
#[case(WriteKind::Booking, Told::Acknowledged, 3)]
#[case(WriteKind::Booking, Told::Unknown, 0)]
fn what_was_told_and_found_agrees(#[case] kind: WriteKind, #[case] told: Told, #[case] found: i64) {
    assert_eq!(violations(kind, told, found), Vec::new());
}

#[rstest]
fn a_lost_write_is_found() {
    let expected = vec![Violation::LostWrite(write(WriteKind::Flag, Told::Acknowledged))];
    assert_eq!(violations(WriteKind::Flag, Told::Acknowledged, 0), expected);
}

#[rstest]
fn a_refused_write_that_ran_is_found() {
    let expected = vec![Violation::RanThoughRefused(write(WriteKind::Flag, Told::NotRun))];
    assert_eq!(violations(WriteKind::Flag, Told::NotRun, 1), expected);
}

#[rstest]
fn a_repeated_write_is_found(
    #[values(Told::Acknowledged, Told::Unknown, Told::NotRun)] told: Told,
) {
    let write = write(WriteKind::Charge, told);
    let expected = vec![Violation::Repeated { write, times: 2 }];
    assert_eq!(violations(WriteKind::Charge, told, 2), expected);
}

#[rstest]
fn a_transaction_in_parts_is_found(#[values(1, 2)] parts: i64) {
    let write = write(WriteKind::Booking, Told::Unknown);
    let expected = vec![Violation::PartialTransaction { write, parts }];
    assert_eq!(violations(WriteKind::Booking, Told::Unknown, parts), expected);
}

#[rstest]
fn an_entry_with_two_bookings_is_found() {
    let entry = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    let entries = [entry(&["a", "a", "a"]), entry(&["a", "b"]), entry(&[])];
    let mixed = mixed_entries(&entries);
    assert_eq!(mixed, [["a".to_owned(), "b".to_owned()].into()]);
}
