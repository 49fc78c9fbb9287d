//! Explanations of three failed requests and summaries of failures, from log lines alone.
//!
//! Real processes wrote the first sample while replicas lagged and a primary became unreachable; see "From
//! a request to its cause" in docs/OPERATIONS.md.

use corktack_server::explain::{
    FailureCounts, LimitedTenant, LogLine, UnknownRequest, explain, summarize,
};
use rstest::rstest;

const SAMPLE: &str = include_str!("../../../docs/samples/failed-requests.log");

fn explained_messages(id: &str) -> Vec<String> {
    let lines = explain(id, SAMPLE.lines()).expect("the request is in the sample");
    lines.into_iter().map(|line| line.message).collect()
}

fn request_line(id: &str) -> LogLine {
    let lines = explain(id, SAMPLE.lines()).expect("the request is in the sample");
    let mut requests = lines.into_iter().filter(|line| line.fields.contains_key("id"));
    requests.next().expect("the request's own line is in the result")
}

#[test]
fn a_write_in_doubt_is_explained_by_the_primary_that_became_unreachable() {
    let id = "046a0d9252606424";
    let request_line = request_line(id);
    assert_eq!(request_line.fields["outcome"], "InDoubt");
    let member = request_line.fields["attempts"].as_str().expect("a text");
    assert!(member.ends_with("i-8041c31610"), "the line names the member: {member}");
    let messages = explained_messages(id);
    let expected_order =
        ["primary is suspected", "no status", "member is to be promoted", "member leads"];
    let positions: Vec<_> = expected_order
        .iter()
        .map(|expected| {
            messages
                .iter()
                .position(|message| message == expected)
                .expect("the message is in the result")
        })
        .collect();
    assert!(positions.is_sorted(), "{messages:?}");
}

#[test]
fn a_read_refused_as_lagging_names_position_and_members() {
    let request_line = request_line("bc46736e240a72a9");
    assert_eq!(request_line.fields["outcome"], "Busy");
    assert_eq!(request_line.fields["needed"], "1/120");
    assert_eq!(request_line.fields["attempts"], "Lagging at i-81e0551d0c; Lagging at i-d96f1bebbf");
    assert!(request_line.fields["position_age_ms"].as_i64().expect("a number") >= 0);
}

#[test]
fn a_request_refused_for_lack_of_connections_reports_its_wait() {
    let request_line = request_line("3b7277c98f564c85");
    assert_eq!(request_line.fields["outcome"], "Busy");
    assert!(
        request_line.fields["why"].as_str().expect("a text").contains("no connection became free")
    );
    assert!(request_line.fields["why"].as_str().expect("a text").contains("retry_after_ms="));
    assert_eq!(request_line.fields["after_ms"], 177);
}

#[test]
fn lines_of_another_group_are_left_out() {
    let messages = explained_messages("bc46736e240a72a9");
    assert!(!messages.iter().any(|message| message == "member is to be promoted"), "{messages:?}");
}

#[test]
fn an_unknown_request_is_an_error() {
    let error = UnknownRequest { id: "nobody".to_owned() };
    assert_eq!(explain("nobody", SAMPLE.lines()), Err(error));
}

#[rstest]
#[case("")]
#[case("no json")]
#[case("{\"level\":\"INFO\"}")]
#[case("{\"message\":7,\"time_ms\":1}")]
#[case("front {\"message\":\"cut sho")]
fn a_text_that_is_no_log_line_is_ignored(#[case] text: &str) {
    assert_eq!(LogLine::parse(text), None);
}

/// Log lines from the seconds before and after a loss of all processes, a few of each kind, with one line
/// on dropped lines.
const AFTER_A_LOSS: &str = include_str!("../../../docs/samples/after-a-loss.log");

fn failure_counts(counts: &[(&str, u64)]) -> FailureCounts {
    counts.iter().map(|(failure, count)| ((*failure).to_owned(), *count)).collect()
}

#[test]
fn a_summary_counts_failures_by_second_class_and_tenant() {
    let summary = summarize(AFTER_A_LOSS.lines());
    let before = failure_counts(&[("Aborted", 3), ("InDoubt", 3), ("TimedOut", 3)]);
    let after = failure_counts(&[("Busy/no_slot", 2), ("OverLimit/over_limit", 14)]);
    let seconds: Vec<_> = summary.seconds.values().collect();
    assert_eq!(seconds, [&before, &after]);
    let highest = failure_counts(&[
        ("Aborted", 2),
        ("InDoubt", 2),
        ("OverLimit/over_limit", 6),
        ("TimedOut", 2),
    ]);
    assert_eq!(summary.classes[&0], highest);
    assert_eq!(
        summary.tenants["xale221"],
        failure_counts(&[("Busy/no_slot", 1), ("OverLimit/over_limit", 4)])
    );
    assert_eq!(summary.groups.len(), 8);
}

#[test]
fn a_summary_names_tenants_near_their_limits_and_counts_dropped_lines() {
    let summary = summarize(AFTER_A_LOSS.lines());
    let limited = LimitedTenant { lines: 4, limit: 3_029, max_given: 3_029, max_needed: 3_253 };
    assert_eq!(summary.limited["cuti170"], limited);
    assert_eq!(summary.dropped, 7);
    let text = summary.to_string();
    assert!(text.starts_with("7 log lines were dropped: not all is counted"), "{text}");
    assert!(text.contains("cuti170                  limit 3029"), "{text}");
}

#[test]
fn successful_requests_are_not_counted_as_failures() {
    // This sample has lines of successful requests, and its lines have no priority classes.
    let summary = summarize(SAMPLE.lines());
    let failures: u64 = summary.seconds.values().flat_map(FailureCounts::values).sum();
    let lines = SAMPLE.lines().filter_map(LogLine::parse);
    let ended = lines.filter(|line| line.message == "statement ended");
    let failed = ended.filter(|line| line.fields["outcome"] != "Done").count();
    assert_eq!(failures, failed as u64);
    assert!(summary.classes.is_empty());
}
