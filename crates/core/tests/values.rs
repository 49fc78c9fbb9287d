//! Names, positions, member status and the order of revisions.

use corktack_core::backend::{MemberRole, MemberStatus, STATUS_COLUMNS, StatusError};
use corktack_core::identity::{GroupName, NAME_LIMIT, NameError};
use corktack_core::position::{Position, Term};
use corktack_core::view::{Delta, Revision, View, ViewError};
use rstest::rstest;

#[rstest]
#[case("", NameError::Empty)]
#[case("a b", NameError::Character(' '))]
#[case("é", NameError::Character('é'))]
fn bad_names_are_refused(#[case] text: &str, #[case] expected: NameError) {
    assert_eq!(GroupName::new(text), Err(expected));
}

#[rstest]
fn a_name_has_a_limit() {
    assert!(GroupName::new("a".repeat(NAME_LIMIT)).is_ok());
    let long = "a".repeat(NAME_LIMIT + 1);
    assert_eq!(GroupName::new(long), Err(NameError::TooLong(NAME_LIMIT + 1)));
}

#[rstest]
fn a_bad_name_is_refused_when_it_is_decoded() {
    assert!(serde_json::from_str::<GroupName>("\"a/b\"").is_err());
}

const fn position(term: u64, index: u64) -> Position {
    Position { term: Term(term), index }
}

#[rstest]
#[case(position(2, 10), position(1, 10), true)]
#[case(position(2, 9), position(1, 10), false)]
#[case(position(1, 10), position(2, 5), false)]
#[case(position(1, 1), position(1, 1), true)]
fn a_position_covers(#[case] held: Position, #[case] needed: Position, #[case] expected: bool) {
    assert_eq!(held.covers(needed), expected);
}

#[rstest]
fn positions_are_read_back_as_written() {
    let written = position(3, 77);
    assert_eq!(written.to_string().parse(), Ok(written));
    for text in ["", "1", "1/", "/1", "a/b", "1/2/3", "-1/2"] {
        assert!(text.parse::<Position>().is_err(), "{text:?} was taken");
    }
}

#[rstest]
fn a_status_row_is_understood() {
    let row = [Some("m1"), Some("primary"), Some("4"), Some("4/9"), Some("4/8"), Some("m1")];
    let status = MemberStatus::from_columns(&row).expect("valid row");
    assert_eq!(status.role, MemberRole::Primary);
    assert_eq!(status.applied_position, position(4, 8));
}

#[rstest]
fn the_bad_column_of_a_status_row_is_named(#[values(0, 1, 2, 3, 4)] damaged: usize) {
    let mut row = [Some("m1"), Some("primary"), Some("4"), Some("4/9"), Some("4/8"), Some("")];
    row[damaged] = Some("?");
    let StatusError::Column { column, .. } = MemberStatus::from_columns(&row).expect_err("damaged");
    assert_eq!(column, STATUS_COLUMNS[damaged]);
}

#[rstest]
fn a_view_never_takes_a_revision_that_is_not_newer(#[values(0, 4, 5)] offered: u64) {
    let mut view = View { revision: Revision(5), ..View::default() };
    let offered = Revision(offered);
    let in_force = Revision(5);
    let delta = Delta { revision: offered, changes: Vec::new() };
    let snapshot = View { revision: offered, ..View::default() };
    assert_eq!(view.apply(delta), Err(ViewError::NotNewer { offered, in_force }));
    assert_eq!(view.replace(snapshot), Err(ViewError::NotNewer { offered, in_force }));
    assert_eq!(view.revision, in_force);
}
