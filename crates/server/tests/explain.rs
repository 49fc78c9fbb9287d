//! Three failed requests of a run are explained by log lines alone, as the operators' page does it.
//!
//! The sample was written by real processes on a day on which replicas lagged and a primary went
//! dark; see "From a request to its cause" in docs/OPERATIONS.md.

use corktack_server::explain::{Ends, LimitedTenant, LogLine, UnknownRequest, explain, summarize};
use rstest::rstest;

const SAMPLE: &str = include_str!("../../../docs/samples/failed-requests.log");

fn messages(id: &str) -> Vec<String> {
    let lines = explain(id, SAMPLE.lines()).expect("the request is in the sample");
    lines.into_iter().map(|line| line.message).collect()
}

fn request(id: &str) -> LogLine {
    let lines = explain(id, SAMPLE.lines()).expect("the request is in the sample");
    let mut requests = lines.into_iter().filter(|line| line.fields.contains_key("id"));
    requests.next().expect("its own line is among them")
}

#[test]
fn a_write_in_doubt_is_led_back_to_the_primary_that_went_dark() {
    let id = "046a0d9252606424";
    let own = request(id);
    assert_eq!(own.fields["outcome"], "InDoubt");
    let member = own.fields["attempts"].as_str().expect("a text");
    assert!(member.ends_with("i-8041c31610"), "the line names the member: {member}");
    let told = messages(id);
    let order = ["primary is suspected", "no status", "member is to be promoted", "member leads"];
    let places: Vec<_> = order
        .iter()
        .map(|wanted| told.iter().position(|message| message == wanted).expect("it is told"))
        .collect();
    assert!(places.is_sorted(), "{told:?}");
}

#[test]
fn a_read_refused_as_lagging_names_position_and_members() {
    let own = request("bc46736e240a72a9");
    assert_eq!(own.fields["outcome"], "Busy");
    assert_eq!(own.fields["needed"], "1/120");
    assert_eq!(own.fields["attempts"], "Lagging at i-81e0551d0c; Lagging at i-d96f1bebbf");
    assert!(own.fields["position_age_ms"].as_i64().expect("a number") >= 0);
}

#[test]
fn a_request_refused_for_lack_of_connections_says_how_long_it_waited() {
    let own = request("3b7277c98f564c85");
    assert_eq!(own.fields["outcome"], "Busy");
    assert!(own.fields["why"].as_str().expect("a text").contains("no connection became free"));
    assert!(own.fields["why"].as_str().expect("a text").contains("retry_after_ms="));
    assert_eq!(own.fields["after_ms"], 177);
}

#[test]
fn lines_of_another_group_are_left_out() {
    let told = messages("bc46736e240a72a9");
    assert!(!told.iter().any(|message| message == "member is to be promoted"), "{told:?}");
}

#[test]
fn an_unknown_request_is_said_to_be_unknown() {
    let error = UnknownRequest { id: "nobody".to_owned() };
    assert_eq!(explain("nobody", SAMPLE.lines()), Err(error));
}

#[rstest]
#[case("")]
#[case("no json")]
#[case("{\"level\":\"INFO\"}")]
#[case("{\"message\":7,\"time_ms\":1}")]
#[case("front {\"message\":\"cut sho")]
fn what_is_no_line_is_passed_over(#[case] text: &str) {
    assert_eq!(LogLine::parse(text), None);
}

/// Lines of the seconds before and after a loss of everything, a few of each kind, and one that tells of
/// dropped lines.
const AFTER_A_LOSS: &str = include_str!("../../../docs/samples/after-a-loss.log");

fn ends(counts: &[(&str, u64)]) -> Ends {
    counts.iter().map(|(end, count)| ((*end).to_owned(), *count)).collect()
}

#[test]
fn a_summary_counts_failures_by_second_class_and_tenant() {
    let summary = summarize(AFTER_A_LOSS.lines());
    let before = ends(&[("Aborted", 3), ("InDoubt", 3), ("TimedOut", 3)]);
    let after = ends(&[("Busy/no_slot", 2), ("OverLimit/over_limit", 14)]);
    let seconds: Vec<_> = summary.seconds.values().collect();
    assert_eq!(seconds, [&before, &after]);
    let highest =
        ends(&[("Aborted", 2), ("InDoubt", 2), ("OverLimit/over_limit", 6), ("TimedOut", 2)]);
    assert_eq!(summary.classes[&0], highest);
    assert_eq!(
        summary.tenants["xale221"],
        ends(&[("Busy/no_slot", 1), ("OverLimit/over_limit", 4)])
    );
    assert_eq!(summary.groups.len(), 8);
}

#[test]
fn a_summary_names_tenants_near_their_limits_and_lines_that_are_missing() {
    let summary = summarize(AFTER_A_LOSS.lines());
    let limited = LimitedTenant { lines: 4, limit: 3_029, most_given: 3_029, most_needed: 3_253 };
    assert_eq!(summary.limited["cuti170"], limited);
    assert_eq!(summary.dropped, 7);
    let text = summary.to_string();
    assert!(text.starts_with("7 log lines were dropped: not all is counted"), "{text}");
    assert!(text.contains("cuti170                  limit 3029"), "{text}");
}

#[test]
fn what_succeeded_is_no_failure() {
    // An earlier sample, whose lines have no classes: successes are in it.
    let summary = summarize(SAMPLE.lines());
    let failures: u64 = summary.seconds.values().flat_map(Ends::values).sum();
    let lines = SAMPLE.lines().filter_map(LogLine::parse);
    let ended = lines.filter(|line| line.message == "statement ended");
    let failed = ended.filter(|line| line.fields["outcome"] != "Done").count();
    assert_eq!(failures, failed as u64);
    assert!(summary.classes.is_empty());
}
