//! Tests of names, positions, the parsing of a member's status, and the order of revisions.

use corktack_core::backend::{MemberRole, MemberStatus, STATUS_COLUMNS, StatusError};
use corktack_core::identity::{GroupName, NAME_LIMIT, NameError};
use corktack_core::position::{Position, Term};
use corktack_core::view::{Delta, Revision, View, ViewError};
use rstest::rstest;

#[rstest]
#[case("", NameError::Empty)]
#[case("a b", NameError::Character(' '))]
#[case("é", NameError::Character('é'))]
fn invalid_names_are_refused(#[case] text: &str, #[case] expected: NameError) {
    assert_eq!(GroupName::new(text), Err(expected));
}

#[rstest]
fn a_name_longer_than_the_limit_is_refused() {
    assert!(GroupName::new("a".repeat(NAME_LIMIT)).is_ok());
    let too_long = "a".repeat(NAME_LIMIT + 1);
    assert_eq!(GroupName::new(too_long), Err(NameError::TooLong(NAME_LIMIT + 1)));
}

#[rstest]
fn an_invalid_name_is_refused_when_it_is_decoded() {
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
fn a_position_covers_lower_or_equal_terms_and_indexes(
    #[case] held: Position,
    #[case] needed: Position,
    #[case] expected: bool,
) {
    assert_eq!(held.covers(needed), expected);
}

#[rstest]
fn a_position_is_parsed_from_its_text() {
    let position = position(3, 77);
    assert_eq!(position.to_string().parse(), Ok(position));
    for text in ["", "1", "1/", "/1", "a/b", "1/2/3", "-1/2"] {
        assert!(text.parse::<Position>().is_err(), "{text:?} was accepted");
    }
}

#[rstest]
fn a_status_row_is_parsed() {
    let row = [Some("m1"), Some("primary"), Some("4"), Some("4/9"), Some("4/8"), Some("m1")];
    let status = MemberStatus::from_columns(&row).expect("valid row");
    assert_eq!(status.role, MemberRole::Primary);
    assert_eq!(status.applied_position, position(4, 8));
}

#[rstest]
fn an_invalid_column_of_a_status_row_is_named_in_the_error(
    #[values(0, 1, 2, 3, 4)] invalid: usize,
) {
    let mut row = [Some("m1"), Some("primary"), Some("4"), Some("4/9"), Some("4/8"), Some("")];
    row[invalid] = Some("?");
    let StatusError::Column { column, .. } =
        MemberStatus::from_columns(&row).expect_err("invalid column");
    assert_eq!(column, STATUS_COLUMNS[invalid]);
}

#[rstest]
fn a_view_refuses_a_revision_that_is_not_newer(#[values(0, 4, 5)] offered: u64) {
    let mut view = View { revision: Revision(5), ..View::default() };
    let offered = Revision(offered);
    let in_force = Revision(5);
    let delta = Delta { revision: offered, changes: Vec::new() };
    let snapshot = View { revision: offered, ..View::default() };
    assert_eq!(view.apply(delta), Err(ViewError::NotNewer { offered, in_force }));
    assert_eq!(view.replace(snapshot), Err(ViewError::NotNewer { offered, in_force }));
    assert_eq!(view.revision, in_force);
}
