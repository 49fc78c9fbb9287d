//! Tests of session tokens and of a session's prepared statements.

use corktack_core::classify::StatementProfile;
use corktack_core::identity::GroupName;
use corktack_core::position::{Position, Term};
use corktack_core::session::{
    SessionStatement, SessionStatements, SessionToken, StatementError, TEXT_LIMIT,
    TOKEN_GROUP_LIMIT, TokenError, shared_name,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::sync::Arc;

fn token(text: &str) -> SessionToken {
    text.parse().expect("a valid token")
}

fn group(name: &str) -> GroupName {
    GroupName::new(name).expect("a valid name")
}

fn statement(text: &str) -> SessionStatement {
    SessionStatement {
        shared_name: shared_name(text, &[]),
        query: text.to_owned(),
        parameter_types: Vec::new(),
        profile: Arc::new(StatementProfile::of("SELECT 1")),
    }
}

/// Returns the text of a token for `count` groups, whose names are numbered from `first`.
fn token_text(first: usize, count: usize) -> String {
    let parts: Vec<String> =
        (first..first + count).map(|number| format!("g{number}=1/1")).collect();
    parts.join(",")
}

#[rstest]
#[case("", "")]
#[case("cdr=3/41", "cdr=3/41")]
#[case(" b=1/2 , a=3/4 ,", "a=3/4,b=1/2")]
#[case::twice("a=3/4,a=2/9", "a=3/9")]
fn a_token_is_parsed_and_formatted(#[case] text: &str, #[case] formatted: &str) {
    assert_eq!(token(text).to_string(), formatted);
}

#[rstest]
#[case("x")]
#[case("=1/2")]
#[case("a=1")]
#[case("a=1/2/3")]
#[case("a=-1/2")]
#[case("a=1/99999999999999999999")]
#[case("A B=1/2")]
fn a_malformed_token_is_refused(#[case] text: &str) {
    assert!(text.parse::<SessionToken>().is_err(), "{text:?}");
}

#[rstest]
fn a_token_has_a_bounded_number_of_groups() {
    assert!(token_text(0, TOKEN_GROUP_LIMIT).parse::<SessionToken>().is_ok());
    let text = token_text(0, TOKEN_GROUP_LIMIT + 1);
    assert_eq!(text.parse::<SessionToken>(), Err(TokenError::TooManyGroups));
}

#[rstest]
fn merged_tokens_have_a_bounded_number_of_groups() {
    let mut merged = token(&token_text(0, TOKEN_GROUP_LIMIT));
    let before = merged.clone();
    let other = token(&token_text(TOKEN_GROUP_LIMIT, 1));
    assert_eq!(merged.merge(&other), Err(TokenError::TooManyGroups));
    assert_eq!(merged, before, "a refused merge changes nothing");
    assert_eq!(merged.merge(&token("g0=2/2")), Ok(()));
    assert_eq!(merged.position(&group("g0")), Some(Position { term: Term(2), index: 2 }));
}

#[rstest]
fn statements_hold_a_bounded_amount_of_text() {
    let mut statements = SessionStatements::new(10_000);
    let half = "x".repeat(TEXT_LIMIT / 2 + 1);
    for name in ["a", "b"] {
        let defined = statements.define(name, statement(&half));
        statements.confirm();
        let expected =
            if name == "a" { Ok(()) } else { Err(StatementError::TooMuchText(TEXT_LIMIT)) };
        assert_eq!(defined, expected);
    }
    statements.forget("a");
    statements.confirm();
    assert_eq!(
        statements.define("b", statement(&half)),
        Ok(()),
        "closing a statement frees its text"
    );
}

#[rstest]
fn a_new_unnamed_statement_replaces_the_text_of_the_former() {
    let mut statements = SessionStatements::new(2);
    for _ in 0..100 {
        assert_eq!(statements.define("", statement(&"x".repeat(TEXT_LIMIT / 4))), Ok(()));
        statements.confirm();
    }
    statements.clear();
    assert_eq!(statements.define("a", statement(&"x".repeat(TEXT_LIMIT))), Ok(()));
}

#[rstest]
fn unconfirmed_statements_do_not_survive_the_batch() {
    let mut statements = SessionStatements::new(10);
    assert_eq!(statements.define("a", statement("SELECT 1")), Ok(()));
    assert!(statements.find("a").is_some(), "later messages of the batch see the statement");
    statements.end_batch();
    assert!(statements.find("a").is_none());
}

#[rstest]
#[case("SELECT 1", &[], "SELECT 1", &[], true)]
#[case("SELECT 1", &[], "SELECT 2", &[], false)]
#[case("SELECT $1", &[23], "SELECT $1", &[25], false)]
#[case("SELECT $1", &[], "SELECT $1", &[0], false)]
fn statements_share_a_name_if_text_and_types_are_equal(
    #[case] first: &str,
    #[case] first_types: &[u32],
    #[case] second: &str,
    #[case] second_types: &[u32],
    #[case] equal: bool,
) {
    assert_eq!(shared_name(first, first_types) == shared_name(second, second_types), equal);
}

fn any_position() -> impl Strategy<Value = Position> {
    (0..4_u64, 0..8_u64).prop_map(|(term, index)| Position { term: Term(term), index })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None,
        rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn positions_in_a_token_never_decrease(positions in prop::collection::vec(any_position(), 1..20)) {
        let (mut seen, name) = (SessionToken::default(), group("cdr"));
        for position in positions {
            let before = seen.position(&name).unwrap_or_default();
            seen.advance(&name, position);
            let after = seen.position(&name).expect("the token has the group");
            prop_assert!(after.covers(before) && after.covers(position));
        }
        prop_assert_eq!(token(&seen.to_string()), seen);
    }

    #[test]
    fn parsing_any_text_does_not_panic_and_accepted_tokens_round_trip(text in ".{0,100}") {
        if let Ok(parsed) = text.parse::<SessionToken>() {
            prop_assert_eq!(token(&parsed.to_string()), parsed);
        }
    }
}

/// Guards against a lookup that scans the batch: the time of a long batch would grow with the square of its
/// length.
#[rstest]
fn lookups_in_long_batches_are_fast() {
    let mut statements = SessionStatements::new(10_000);
    assert_eq!(statements.define("kept", statement("SELECT 1")), Ok(()));
    for number in 0..200_000 {
        statements.forget(&format!("s{number}"));
        assert!(statements.find("kept").is_some());
    }
    assert_eq!(
        statements.define("late", statement("SELECT 2")),
        Ok(()),
        "closed statements do not count"
    );
    statements.forget("kept");
    assert!(statements.find("kept").is_none());
    statements.confirm();
    statements.end_batch();
    assert!(statements.find("kept").is_some() && statements.find("late").is_none());
}
