//! Tests of the reply tracker, and of the word checks for session changes and transaction control.

use corktack_core::pool::replies::{Disposition, ReplyTracker, Sent};
use corktack_core::pool::statements::{may_change_session, may_commit, only_begins};
use rstest::rstest;
use std::collections::BTreeSet;

/// Feeds back-end messages to the tracker and returns one character for each: the tag of a forwarded message,
/// `-` for a swallowed one, `!` for the end of a batch and `?` for an unexpected one. A `+` stands for each
/// synthesized `ParseComplete`.
fn match_replies(tracker: &mut ReplyTracker, tags: &str) -> String {
    let mut trace = String::new();
    for tag in tags.bytes() {
        match tracker.match_reply(tag) {
            Ok(reply) => {
                trace.push_str(&"+".repeat(reply.synthesized));
                trace.push(match reply.disposition {
                    Disposition::Forward => char::from(tag),
                    Disposition::Discard => '-',
                    Disposition::Ready => '!',
                });
            }
            Err(_) => trace.push('?'),
        }
    }
    trace
}

fn owned(text: &str) -> String {
    text.to_owned()
}

#[rstest]
#[case::simple(vec![Sent::Query], "TDDCZ", "TDDC!")]
#[case::simple_error(vec![Sent::Query], "CEZ", "CE!")]
#[case::extended(
    vec![Sent::Bind, Sent::Describe, Sent::Execute, Sent::Sync], "2TDDCZ", "2TDDC!")]
#[case::injected(
    vec![Sent::InjectedParse(owned("a")), Sent::Bind, Sent::Execute, Sent::Sync], "12CZ", "-2C!")]
#[case::skipped(
    vec![Sent::SkippedParse, Sent::Bind, Sent::Execute, Sent::Sync], "2CZ", "+2C!")]
#[case::skipped_last(vec![Sent::Bind, Sent::SkippedParse, Sent::Sync], "2Z", "2+!")]
#[case::error_skips_to_sync(
    vec![Sent::Bind, Sent::SkippedParse, Sent::Execute, Sent::Sync, Sent::Query], "EZCZ", "E!C!")]
#[case::notices_and_parameters(vec![Sent::Execute, Sent::Sync], "NSDSCZ", "NSDSC!")]
#[case::unexpected(vec![Sent::Bind], "1", "?")]
#[case::nothing_sent(vec![], "C", "?")]
fn replies_are_matched_to_sent_messages(
    #[case] sent: Vec<Sent>,
    #[case] tags: &str,
    #[case] expected: &str,
) {
    let mut tracker = ReplyTracker::default();
    sent.into_iter().for_each(|message| tracker.record_sent(message));
    assert_eq!(match_replies(&mut tracker, tags), expected);
}

#[rstest]
#[case::nothing_to_wait_for(vec![Sent::Flush], "", "", Some(0))]
#[case::answered(vec![Sent::Bind, Sent::Execute, Sent::Flush], "2DC", "2DC", Some(0))]
#[case::not_answered(vec![Sent::Bind, Sent::Execute, Sent::Flush], "2D", "2D", None)]
#[case::only_skipped(vec![Sent::SkippedParse, Sent::SkippedParse, Sent::Flush], "", "", Some(2))]
#[case::skipped_last(vec![Sent::Bind, Sent::SkippedParse, Sent::Flush], "2", "2", Some(1))]
#[case::error(vec![Sent::Bind, Sent::SkippedParse, Sent::Execute, Sent::Flush], "E", "E", Some(0))]
#[case::sync(vec![Sent::Bind, Sent::Sync], "2", "2", None)]
fn a_part_ends_when_all_messages_before_its_flush_are_answered(
    #[case] sent: Vec<Sent>,
    #[case] tags: &str,
    #[case] expected: &str,
    #[case] flushed: Option<usize>,
) {
    let mut tracker = ReplyTracker::default();
    sent.into_iter().for_each(|message| tracker.record_sent(message));
    assert_eq!(match_replies(&mut tracker, tags), expected);
    assert_eq!(tracker.pop_answered_flush(), flushed);
    if flushed.is_some() {
        assert!(tracker.is_idle(), "no message of the part is left");
        tracker.record_sent(Sent::Sync);
        assert_eq!(match_replies(&mut tracker, "Z"), "!");
    }
}

#[rstest]
fn a_statement_exists_unless_its_parse_fails_or_it_is_closed() {
    let mut tracker = ReplyTracker::default();
    tracker.record_sent(Sent::InjectedParse(owned("a")));
    tracker.record_sent(Sent::Sync);
    assert!(tracker.has_statement("a"));
    assert_eq!(match_replies(&mut tracker, "EZ"), "E!");
    assert!(!tracker.has_statement("a"));
    tracker.record_sent(Sent::Parse(owned("a")));
    tracker.record_sent(Sent::Close(Some(owned("a"))));
    assert!(!tracker.has_statement("a"));
    assert_eq!(match_replies(&mut tracker, "1"), "1");
    tracker.record_sent(Sent::Sync);
    assert_eq!(match_replies(&mut tracker, "3Z"), "3!");
    assert!(!tracker.has_statement("a") && tracker.is_idle());
}

#[rstest]
fn the_least_recently_used_statement_is_closed_first() {
    let mut tracker = ReplyTracker::default();
    for statement in ["a", "b", "c"] {
        tracker.record_sent(Sent::Parse(owned(statement)));
    }
    assert_eq!(match_replies(&mut tracker, "111"), "111");
    tracker.mark_statement_used("a");
    assert_eq!(tracker.statements_to_close(3, &BTreeSet::new()), ["b"]);
    assert_eq!(tracker.statements_to_close(3, &BTreeSet::from(["b"])), ["c"]);
    assert!(tracker.statements_to_close(4, &BTreeSet::new()).is_empty());
}

#[rstest]
#[case("SET search_path = a", true)]
#[case("select 1; set x = 1", true)]
#[case("UPDATE t SET a = 1", false)]
#[case("SELECT pg_advisory_lock(1)", true)]
#[case("CREATE TEMP TABLE t (a int)", true)]
#[case("SELECT a FROM offset_table", false)]
fn statements_that_may_change_the_session_are_detected(#[case] text: &str, #[case] expected: bool) {
    assert_eq!(may_change_session(text), expected);
}

#[rstest]
fn commits_and_lone_begins_are_recognized_by_words() {
    assert!(may_commit("insert into t values (1); COMMIT"));
    assert!(!may_commit("insert into t values (1)"));
    assert!(only_begins("BEGIN ISOLATION LEVEL SERIALIZABLE"));
    assert!(!only_begins("BEGIN; insert into t values (1)"));
    assert!(!only_begins("select 1"));
}
