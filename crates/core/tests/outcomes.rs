//! Tests of keyed writes: SQL statements, stored answers, fingerprints and the detection of
//! transaction control.

use corktack_core::pool::outcomes::{
    AnswerError, COMMITS_BETWEEN_SWEEPS, Fingerprint, SWEEP_ROWS, claim_statement, decode_answer,
    lookup_statement, store_statement,
};
use corktack_core::pool::statements::{TransactionEnd, may_control_transaction, only_ends};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case("COMMIT", Some(TransactionEnd::Commit))]
#[case("end work;", Some(TransactionEnd::Commit))]
#[case("ROLLBACK TRANSACTION", Some(TransactionEnd::Rollback))]
#[case("ROLLBACK TO first", None)]
#[case("COMMIT; INSERT INTO t VALUES (1)", None)]
#[case("INSERT INTO t VALUES (1)", None)]
fn a_text_that_only_ends_a_transaction_is_recognized(
    #[case] text: &str,
    #[case] expected: Option<TransactionEnd>,
) {
    assert_eq!(only_ends(text), expected);
}

#[rstest]
#[case("BEGIN; INSERT INTO t VALUES (1)", true)]
#[case("INSERT INTO t VALUES (1); commit", true)]
#[case("PREPARE TRANSACTION 'x'", true)]
#[case("ROLLBACK AND CHAIN", true)]
#[case("ROLLBACK TO first", false)]
#[case("ROLLBACK WORK TO SAVEPOINT first", false)]
#[case("SELECT CASE WHEN a THEN 1 END FROM t", false)]
#[case("PREPARE p AS SELECT 1", false)]
fn transaction_control_is_found_at_the_start_of_statements(
    #[case] text: &str,
    #[case] expected: bool,
) {
    assert_eq!(may_control_transaction(text), expected);
}

#[rstest]
fn a_key_cannot_inject_sql() {
    let key = "'; DROP TABLE charge; --";
    for text in [claim_statement(key, 1), store_statement(key, b"'"), lookup_statement(key)] {
        assert!(!text.contains("DROP"), "{text}");
        assert!(!text.contains("--"), "{text}");
    }
}

#[rstest]
fn fingerprints_distinguish_parts_by_their_lengths() {
    let fingerprint_of = |parts: &[&str]| {
        let mut fingerprint = Fingerprint::default();
        parts.iter().for_each(|part| fingerprint.add_part(part.as_bytes()));
        fingerprint.finish()
    };
    assert_eq!(fingerprint_of(&["ab", "c"]), fingerprint_of(&["ab", "c"]));
    assert_ne!(fingerprint_of(&["ab", "c"]), fingerprint_of(&["a", "bc"]));
}

#[rstest]
#[case("0")]
#[case("zz")]
#[case("é")]
fn a_stored_answer_that_is_not_hexadecimal_is_an_error(#[case] text: &str) {
    assert_eq!(decode_answer(text), Err(AnswerError));
}

#[rstest]
fn a_removal_deletes_more_outcomes_than_are_added_between_two_removals() {
    const { assert!(SWEEP_ROWS > COMMITS_BETWEEN_SWEEPS) };
}

fn config_with_fixed_seed() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(0x00c0_ffee);
    ProptestConfig { cases: 128, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config_with_fixed_seed())]

    #[test]
    fn a_stored_answer_is_decoded_unchanged(answer in proptest::collection::vec(any::<u8>(), 0..200)) {
        let text = store_statement("key", &answer);
        let stored = text.split('\'').nth(1).unwrap_or_default();
        prop_assert_eq!(decode_answer(stored), Ok(answer));
    }
}
