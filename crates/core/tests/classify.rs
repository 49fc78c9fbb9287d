//! Tests of the classification of statements: which texts are reads, writes, answered by the edge or refused.

use corktack_core::classify::{
    BlockEffect, Classification, LocalStatement, PARSED_TEXT_LIMIT, StatementProfile, Unsupported,
    classify,
};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::plain("SELECT value FROM flags WHERE id = 1")]
#[case::allowed_functions("SELECT count(*), max(at), now() FROM flags")]
#[case::system_schema("SELECT pg_catalog.now()")]
#[case::parentheses("(SELECT 1) UNION (SELECT 2)")]
#[case::signs("SELECT a+-1, b >= -2, -c FROM t WHERE d*-1 <> +3")]
#[case::table("TABLE flags")]
#[case::json("SELECT data->>'a' FROM t WHERE data @> '{}'")]
#[case::arrays("SELECT a[1:2], ARRAY[1, 2] FROM t")]
#[case::casts("SELECT a::int, $1::text FROM t")]
#[case::rollback("ROLLBACK")]
#[case::values("VALUES (1), (2)")]
#[case::set_operation("SELECT 1 UNION ALL SELECT 2")]
#[case::with_select("WITH x AS (SELECT 1) SELECT * FROM x")]
#[case::show("SHOW server_version")]
#[case::read_only_transaction("BEGIN READ ONLY")]
#[case::several_reads("SELECT 1; SELECT 2")]
#[case::words_in_texts("SELECT 'insert into t; LISTEN x'")]
#[case::words_in_comments("SELECT 1 /* FOR UPDATE; /* LISTEN x */ */")]
fn texts_that_only_read_are_reads(#[case] text: &str) {
    assert_eq!(classify(text), Classification::Read);
}

#[rstest]
#[case::insert("INSERT INTO t VALUES (1)")]
#[case::unknown_function("SELECT charge_card(1)")]
#[case::sequence("SELECT nextval('s')")]
#[case::sleep("SELECT pg_sleep(1)")]
#[case::other_schema("SELECT billing.now()")]
#[case::locking_read("SELECT * FROM t FOR UPDATE")]
#[case::locking_read_of_keys("SELECT * FROM t FOR NO KEY UPDATE")]
#[case::select_into("SELECT * INTO u FROM t")]
#[case::write_below_with("WITH x AS (DELETE FROM t RETURNING id) SELECT * FROM x")]
#[case::explain_analyze("EXPLAIN ANALYZE SELECT 1")]
#[case::transaction("BEGIN")]
#[case::read_write_transaction("BEGIN READ ONLY; SET TRANSACTION READ WRITE")]
#[case::chained("COMMIT AND CHAIN")]
#[case::write_after_a_read("SELECT 1; DELETE FROM t")]
#[case::local_setting("SET LOCAL work_mem = '1MB'")]
#[case::transaction_setting("SET TRANSACTION READ ONLY")]
#[case::operator_of_several_tokens("SELECT a +* b FROM t")]
#[case::operator_ending_in_a_sign("SELECT a @- b FROM t")]
#[case::escaped_name("SELECT U&\"!006Eextval\" UESCAPE '!' ('s')")]
#[case::commit_prepared("COMMIT PREPARED 'x'")]
#[case::rollback_to("ROLLBACK TO SAVEPOINT s")]
#[case::custom_operator("SELECT a OPERATOR(pg_catalog.+) b FROM t")]
#[case::block("DO $$ BEGIN PERFORM 1; END $$")]
#[case::call("CALL settle()")]
#[case::cursor("DECLARE c CURSOR FOR SELECT 1")]
#[case::cursor_without_hold("DECLARE c CURSOR WITHOUT HOLD FOR SELECT 1")]
#[case::not_a_statement("FROBNICATE THE TABLES")]
#[case::open_text("SELECT 'open")]
#[case::transaction_lock("SELECT pg_advisory_xact_lock(1)")]
fn other_texts_are_writes(#[case] text: &str) {
    assert_eq!(classify(text), Classification::Write);
}

#[rstest]
fn long_lists_of_values_are_still_reads() {
    let values: Vec<String> = (0..5_000).map(|number| number.to_string()).collect();
    let text = format!("SELECT * FROM t WHERE id IN ({})", values.join(", "));
    assert_eq!(classify(&text), Classification::Read);
}

#[rstest]
fn a_text_too_long_to_parse_is_a_write() {
    let text = format!("SELECT '{}'", "x".repeat(PARSED_TEXT_LIMIT));
    assert_eq!(classify(&text), Classification::Write);
}

#[rstest]
#[case("LISTEN flags", Unsupported::Notification)]
#[case("UNLISTEN *", Unsupported::Notification)]
#[case("NOTIFY flags, 'x'", Unsupported::Notification)]
#[case("SELECT 1; LISTEN flags", Unsupported::Notification)]
#[case("/* /* */ */ LISTEN flags", Unsupported::Notification)]
#[case("SELECT 'a\\'; LISTEN flags", Unsupported::Notification)]
#[case("CREATE TEMP TABLE t (id int)", Unsupported::TemporaryTable)]
#[case("CREATE LOCAL TEMPORARY TABLE t (id int)", Unsupported::TemporaryTable)]
#[case("CREATE OR REPLACE TEMP VIEW v AS SELECT 1", Unsupported::TemporaryTable)]
#[case("CREATE OR REPLACE TEMP RECURSIVE VIEW v (a) AS SELECT 1", Unsupported::TemporaryTable)]
#[case("CREATE TEMP SEQUENCE s", Unsupported::TemporaryTable)]
#[case("CREATE TABLE pg_temp.t (id int)", Unsupported::TemporaryTable)]
#[case("SELECT 1 INTO TEMP t", Unsupported::TemporaryTable)]
#[case("SELECT 1 INTO LOCAL TEMPORARY TABLE t", Unsupported::TemporaryTable)]
#[case("COPY t FROM STDIN", Unsupported::Copy)]
#[case("copy t to stdout", Unsupported::Copy)]
#[case("PREPARE p AS SELECT 1", Unsupported::PreparedByStatement)]
#[case("EXECUTE p", Unsupported::PreparedByStatement)]
#[case("PREPARE TRANSACTION 'x'", Unsupported::PreparedByStatement)]
#[case("DEALLOCATE p", Unsupported::PreparedByStatement)]
#[case("DECLARE c CURSOR WITH HOLD FOR SELECT 1", Unsupported::HoldCursor)]
#[case("SELECT pg_advisory_lock(1)", Unsupported::AdvisoryLock)]
#[case("SELECT pg_catalog.pg_try_advisory_lock(1)", Unsupported::AdvisoryLock)]
#[case("SELECT \"pg_advisory_unlock_all\"()", Unsupported::AdvisoryLock)]
#[case("DO $$ BEGIN PERFORM pg_advisory_lock(1); END $$", Unsupported::AdvisoryLock)]
#[case("DO 'BEGIN PERFORM pg_advisory_lock(1); END'", Unsupported::AdvisoryLock)]
#[case("DO $$ BEGIN PERFORM set_config('a.b', 'c', false); END $$", Unsupported::SessionSetting)]
#[case("DO $$ BEGIN EXECUTE 'LISTEN x'; END $$", Unsupported::Notification)]
#[case("DO $$ BEGIN CREATE TEMP TABLE t (id int); END $$", Unsupported::TemporaryTable)]
#[case("SET work_mem = '1MB'", Unsupported::SessionSetting)]
#[case("SET SESSION work_mem = '1MB'", Unsupported::SessionSetting)]
#[case("SET ROLE admin", Unsupported::SessionSetting)]
#[case("SET SESSION AUTHORIZATION admin", Unsupported::SessionSetting)]
#[case("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", Unsupported::SessionSetting)]
#[case("SET timezone = 'Europe/Paris'", Unsupported::SessionSetting)]
#[case("RESET ALL", Unsupported::SessionSetting)]
#[case("SELECT set_config('work_mem', '1MB', false)", Unsupported::SessionSetting)]
#[case("LOAD 'x'", Unsupported::SessionSetting)]
#[case("SELECT 1; SHOW corktack.token", Unsupported::EdgeStatementAmongOthers)]
fn effects_that_outlive_the_transaction_are_refused(
    #[case] text: &str,
    #[case] reason: Unsupported,
) {
    assert_eq!(classify(text), Classification::Refused(reason));
}

#[rstest]
#[case::column("CREATE TABLE readings (temp int)")]
#[case::table("CREATE TABLE temp (id int)")]
#[case::index("CREATE INDEX temp ON readings (id)")]
#[case::insert("INSERT INTO temp VALUES (1)")]
#[case::merge("MERGE INTO temp USING u ON true WHEN MATCHED THEN DO NOTHING")]
fn objects_named_temp_are_not_temporary(#[case] text: &str) {
    assert_eq!(classify(text), Classification::Write);
}

#[rstest]
#[case("", LocalStatement::Empty)]
#[case(" ; -- nothing", LocalStatement::Empty)]
#[case("SHOW corktack.token", LocalStatement::ShowToken)]
#[case("SET corktack.token TO 'g=1/2'", LocalStatement::SetToken("g=1/2".to_owned()))]
#[case("SET client_encoding = 'UTF8'", LocalStatement::SetIgnored)]
#[case("SET TIME ZONE 'UTC'", LocalStatement::SetIgnored)]
#[case("DISCARD ALL", LocalStatement::DiscardAll)]
#[case("DEALLOCATE PREPARE ALL", LocalStatement::DeallocateAll)]
#[case("DISCARD TEMP", LocalStatement::DiscardNothing("DISCARD TEMP"))]
#[case("DISCARD PLANS", LocalStatement::DiscardNothing("DISCARD PLANS"))]
#[case("DISCARD SEQUENCES", LocalStatement::DiscardNothing("DISCARD SEQUENCES"))]
fn the_edge_answers_local_statements(#[case] text: &str, #[case] statement: LocalStatement) {
    assert_eq!(classify(text), Classification::Local(statement));
}

#[rstest]
#[case("COMMIT", true)]
#[case("END TRANSACTION", true)]
#[case("INSERT INTO t VALUES (1); COMMIT", true)]
#[case("SELECT 'open", true)]
#[case("ROLLBACK", false)]
#[case("INSERT INTO t VALUES (1)", false)]
fn texts_that_may_commit_are_detected(#[case] text: &str, #[case] expected: bool) {
    assert_eq!(StatementProfile::of(text).may_commit, expected);
}

#[rstest]
#[case("BEGIN", BlockEffect::Opens)]
#[case("START TRANSACTION READ ONLY", BlockEffect::Opens)]
#[case("COMMIT", BlockEffect::Ends)]
#[case("ABORT WORK", BlockEffect::Ends)]
#[case("COMMIT AND NO CHAIN", BlockEffect::Ends)]
#[case("ROLLBACK AND CHAIN", BlockEffect::Opens)]
#[case("ROLLBACK TO SAVEPOINT s", BlockEffect::None)]
#[case("ROLLBACK PREPARED 'x'", BlockEffect::None)]
#[case("INSERT INTO t VALUES (1)", BlockEffect::None)]
#[case("COMMIT; BEGIN; SELECT 1", BlockEffect::Opens)]
#[case("BEGIN; SELECT 1; COMMIT", BlockEffect::Ends)]
fn the_effect_on_the_transaction_block_is_determined(
    #[case] text: &str,
    #[case] effect: BlockEffect,
) {
    assert_eq!(StatementProfile::of(text).block, effect);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn classifying_any_text_does_not_panic(text in ".{0,200}") {
        let _ = StatementProfile::of(&text);
    }

    #[test]
    fn a_text_with_a_write_is_never_a_read(
        prefix in prop::sample::select(vec!["", "SELECT 1; ", "/* x */ ", "BEGIN READ ONLY; ", "WITH x AS (SELECT 1) "]),
        write in prop::sample::select(vec!["INSERT INTO t VALUES (1)", "UPDATE t SET a = 1",
            "DELETE FROM t", "TRUNCATE t", "SELECT f(1)", "SELECT 1 FOR SHARE", "CALL p()"]),
        suffix in prop::sample::select(vec!["", ";", "; SELECT 1", " -- x", "; COMMIT"]),
    ) {
        prop_assert_ne!(classify(&format!("{prefix}{write}{suffix}")), Classification::Read);
    }
}

/// Stack size of the thread that classifies, in bytes: that of the edge's threads.
const STACK_BYTES: usize = 2 * 1024 * 1024;

/// Returns `start`, `part` repeated, and `end` repeated as often, up to the length of [`PARSED_TEXT_LIMIT`].
fn repeated(start: &str, part: &str, end: &str) -> String {
    let count = (PARSED_TEXT_LIMIT - start.len()) / (part.len() + end.len()).max(1);
    [start, &part.repeat(count), &end.repeat(count)].concat()
}

#[rstest]
#[case::parentheses(repeated("SELECT 1", "", ")"))]
#[case::nested(repeated("SELECT ", "(", ""))]
#[case::balanced(repeated("SELECT ", "(", ")"))]
#[case::sums(repeated("SELECT 1", "+1", ""))]
#[case::conditions(repeated("SELECT true", " AND a", ""))]
#[case::casts(repeated("SELECT a", "::int", ""))]
#[case::negations(repeated("SELECT ", "NOT ", ""))]
#[case::signs(repeated("SELECT ", "- ", ""))]
#[case::subscripts(repeated("SELECT a", "[1]", ""))]
#[case::unions(repeated("SELECT 1", " UNION SELECT 1", ""))]
#[case::joins(repeated("SELECT 1 FROM a", " JOIN a USING(b)", ""))]
#[case::tests(repeated("SELECT a", " IS NULL", ""))]
#[case::cases(repeated("SELECT ", "CASE WHEN a THEN ", ""))]
#[case::subqueries(repeated("SELECT ", "(SELECT ", ""))]
#[case::comments(repeated("SELECT 1 ", "/*", ""))]
#[case::statements(repeated("", "SELECT 1;", ""))]
#[case::explains(repeated("", "EXPLAIN ", ""))]
#[case::collations(repeated("SELECT a", " COLLATE b", ""))]
#[case::nested_functions(repeated("SELECT ", "abs(", ")"))]
#[case::nested_arrays(repeated("SELECT ", "ARRAY[", "]"))]
#[case::nested_extracts(repeated("SELECT ", "extract(day from ", ")"))]
#[case::nested_casts(repeated("SELECT ", "cast(", " as int)"))]
#[case::nested_lists(repeated("SELECT a IN ", "(a IN ", ")"))]
#[case::extracts(repeated("SELECT ", "extract ", ""))]
#[case::intervals(repeated("SELECT ", "interval ", ""))]
#[case::ends(repeated("SELECT ", "end (", ""))]
#[case::ordering(repeated("SELECT a ORDER BY a", " AT TIME ZONE a", ""))]
fn deeply_nested_texts_are_classified_on_a_small_stack(#[case] text: String) {
    let thread = std::thread::Builder::new().stack_size(STACK_BYTES).spawn(move || {
        let _ = StatementProfile::of(&text);
    });
    thread.expect("the thread starts").join().expect("the text is classified");
}
