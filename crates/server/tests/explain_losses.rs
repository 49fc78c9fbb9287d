//! Counts of lost requests: how texts are classified, which window a line belongs to, and which windows the
//! report omits.
//!
//! The samples are lines of real processes; `crates/cli/tests/explain` holds the whole printed summary of
//! one sample.

use corktack_server::explain::losses::{
    Attempt, AttemptFailure, ConnectFailure, Durations, Events, FailedAttempts, FailedConnects,
    Losses, WINDOW_SECONDS,
};
use corktack_server::explain::{FailureCounts, LogLine, Report, report};
use rstest::rstest;
use serde_json::json;

const SAMPLE: &str = include_str!("../../../docs/samples/lagging-and-power-loss.log");
const AFTER_A_LOSS: &str = include_str!("../../../docs/samples/after-a-loss.log");
const EARLIER_VERSION: &str = include_str!("../../../docs/samples/failed-requests.log");
/// Start of the sample's window in which machines returned after the power loss, in seconds.
const POWER_LOSS: u64 = 1_786_453_640;

fn read_report(text: &str) -> Report {
    report(text.lines().map(|line| ("file", line)))
}

fn losses(lines: &[String]) -> Losses {
    report(lines.iter().map(|line| ("file", line.as_str()))).losses
}

/// Returns the line of a refused request that ended at a time of day in milliseconds.
fn refused_line(time_ms: u64, after_ms: u64, attempts: &str, retry_after_ms: u64) -> String {
    json!({
        "message": "statement ended", "time_ms": time_ms, "outcome": "Busy", "refusal": "no_slot",
        "why": format!("not run: no connection is free in time; retry_after_ms={retry_after_ms}"),
        "after_ms": after_ms, "attempts": attempts,
    })
    .to_string()
}

#[rstest]
#[case("Lagging at i-1", AttemptFailure::Lagging, Some("i-1"))]
#[case("ReadOnly at i-1", AttemptFailure::NotPrimary, Some("i-1"))]
#[case("Busy at i-1", AttemptFailure::Full, Some("i-1"))]
#[case("TooManyConnections at i-1", AttemptFailure::Full, Some("i-1"))]
#[case("member i-1 takes no more connections", AttemptFailure::Full, Some("i-1"))]
#[case("no answer in time at i-1", AttemptFailure::Silent, Some("i-1"))]
#[case(
    "the gateway that holds the connection is silent at i-1",
    AttemptFailure::Silent,
    Some("i-1")
)]
#[case("the member closed the connection at i-1", AttemptFailure::Lost, Some("i-1"))]
#[case("the connection failed at i-1", AttemptFailure::Lost, Some("i-1"))]
#[case("member i-1 cannot be connected to", AttemptFailure::Lost, Some("i-1"))]
#[case("UnknownStatement at i-1", AttemptFailure::Other, Some("i-1"))]
#[case("something new", AttemptFailure::Other, None)]
fn an_attempt_is_parsed_into_its_failure_and_member(
    #[case] text: &str,
    #[case] kind: AttemptFailure,
    #[case] member: Option<&str>,
) {
    let attempt = Attempt { kind, member: member.map(str::to_owned) };
    assert_eq!(Attempt::parse_list(text), [attempt]);
}

#[test]
fn attempts_are_listed_in_their_order() {
    let listed = Attempt::parse_list("member i-1 takes no more connections; Lagging at i-2");
    let kinds: Vec<_> = listed.iter().map(|attempt| attempt.kind).collect();
    assert_eq!(kinds, [AttemptFailure::Full, AttemptFailure::Lagging]);
    assert_eq!(Attempt::parse_list(""), []);
}

#[rstest]
#[case("refused with TooManyConnections: i-1", ConnectFailure::Full)]
#[case("unreachable: no answer in time", ConnectFailure::Unreachable)]
#[case("refused with WrongMember: i-1", ConnectFailure::Unreachable)]
#[case("no answer in time", ConnectFailure::Other)]
#[case("refused with Other: starting up", ConnectFailure::Other)]
fn a_failed_connection_is_classified_by_its_error(
    #[case] error: &str,
    #[case] kind: ConnectFailure,
) {
    assert_eq!(ConnectFailure::parse(error), kind);
}

#[test]
fn a_request_counts_in_the_window_in_which_it_ended() {
    let last_ms = 10 * WINDOW_SECONDS * 1_000 - 1;
    let losses =
        losses(&[refused_line(last_ms, 500, "", 20), refused_line(last_ms + 1, 500, "", 20)]);
    let windows: Vec<_> =
        losses.windows.iter().map(|(start, window)| (*start, window.lost())).collect();
    assert_eq!(windows, [(9 * WINDOW_SECONDS, 1), (10 * WINDOW_SECONDS, 1)]);
}

#[test]
fn refused_requests_with_failed_attempts_are_counted_apart_from_those_without() {
    let lines = [
        refused_line(0, 90, "Lagging at i-1; Lagging at i-2", 2_000),
        refused_line(1, 110, "Lagging at i-1", 1_001),
        refused_line(2, 0, "", 1_000),
    ];
    let losses = losses(&lines);
    let window = &losses.windows[&0];
    assert_eq!(
        (window.refused_after_attempts.count(), window.refused_after_attempts.sum_ms()),
        (2, 200)
    );
    assert_eq!(window.refused_without_attempts.median_ms(), Some(0));
    assert_eq!(
        (window.retry_after.median_ms(), window.retry_after.count_above(1_000)),
        (Some(1_001), 2)
    );
    assert_eq!(
        losses.members["i-1"].failed_attempts,
        FailedAttempts { lagging: 2, ..FailedAttempts::default() }
    );
    assert_eq!(losses.processes["file"].refused, 3);
}

#[test]
fn no_durations_have_no_median() {
    assert_eq!(Durations::default().median_ms(), None);
}

#[test]
fn events_are_counted_in_the_window_of_the_losses() {
    let losses = read_report(SAMPLE).losses;
    let window = &losses.windows[&POWER_LOSS];
    assert_eq!(
        window.events,
        Events {
            gateways_started: 9,
            primaries_found: 23,
            members_promoted: 0,
            leaders_elected: 1
        }
    );
    assert_eq!(window.failed_connects, FailedConnects { full: 38, ..FailedConnects::default() });
    assert_eq!(losses.windows[&1_786_453_632].events.members_promoted, 1);
}

#[test]
fn a_request_that_ran_or_may_have_run_counts_as_failed_and_not_as_refused() {
    let losses = read_report(AFTER_A_LOSS).losses;
    let failed: FailureCounts = [("Aborted", 3), ("InDoubt", 3), ("TimedOut", 3)]
        .map(|(failure, count)| (failure.to_owned(), count))
        .into();
    let window = &losses.windows[&1_772_987_888];
    assert_eq!((&window.failed, window.refused.len()), (&failed, 0));
    assert_eq!(window.failed_attempts, FailedAttempts { lost: 5, ..FailedAttempts::default() });
    assert_eq!(window.refused_after_attempts.count(), 0);
}

/// Lines of an earlier version have no `refusal`; requests that did not run are still distinguished from
/// failed ones.
#[test]
fn requests_that_did_not_run_are_recognized_by_their_reason() {
    let windows = read_report(EARLIER_VERSION).losses.windows;
    let refused: u64 = windows.values().flat_map(|counts| counts.refused.values()).sum();
    let failed: u64 = windows.values().flat_map(|counts| counts.failed.values()).sum();
    assert_eq!((refused, failed), (2, 1));
    let unreachable: u64 = windows.values().map(|counts| counts.failed_connects.unreachable).sum();
    assert_eq!(unreachable, 8);
}

#[rstest]
#[case(SAMPLE)]
#[case(AFTER_A_LOSS)]
#[case(EARLIER_VERSION)]
fn every_failure_of_the_summary_is_in_one_window_and_one_process(#[case] sample: &str) {
    let Report { summary, losses } = read_report(sample);
    let failures: u64 = summary.seconds.values().flat_map(FailureCounts::values).sum();
    assert_eq!(losses.windows.values().map(|counts| counts.lost()).sum::<u64>(), failures);
    let by_process: u64 =
        losses.processes.values().map(|counts| counts.failed + counts.refused).sum();
    assert_eq!(by_process, failures);
}

#[test]
fn attempts_and_connections_add_up_over_windows_processes_and_members() {
    let losses = read_report(SAMPLE).losses;
    let totals =
        |attempts: &FailedAttempts, connects: &FailedConnects| (attempts.total(), connects.total());
    let add = |sum: (u64, u64), totals: (u64, u64)| (sum.0 + totals.0, sum.1 + totals.1);
    let windows = losses
        .windows
        .values()
        .map(|counts| totals(&counts.failed_attempts, &counts.failed_connects));
    let processes = losses
        .processes
        .values()
        .map(|counts| totals(&counts.failed_attempts, &counts.failed_connects));
    let members = losses
        .members
        .values()
        .map(|counts| totals(&counts.failed_attempts, &counts.failed_connects));
    let windows = windows.fold((0, 0), add);
    assert_eq!(windows, processes.fold((0, 0), add));
    assert_eq!(windows, members.fold((0, 0), add));
    assert!(windows.0 > 0 && windows.1 > 0);
}

#[test]
fn a_process_is_named_by_the_last_word_before_the_json() {
    let line = refused_line(0, 0, "", 20);
    let losses = losses(&[format!("12:00:01 front-1 {line}"), format!("front-1 {line}")]);
    assert_eq!(losses.processes.keys().collect::<Vec<_>>(), ["front-1"]);
    assert_eq!(losses.processes["front-1"].refused, 2);
}

#[test]
fn of_many_windows_those_with_the_most_losses_are_shown_in_order_of_time() {
    let mut lines: Vec<String> =
        (0..70).map(|window| refused_line(window * 2_000, 0, "", 20)).collect();
    lines.push(refused_line(69 * 2_000, 0, "", 20));
    let text = losses(&lines).to_string();
    assert!(text.contains("10 windows in which less was lost are left out"), "{text}");
    let rows: Vec<&str> =
        text.lines().skip(2).take_while(|row| !row.contains("left out")).collect();
    assert_eq!(rows.len(), 60);
    let first_number =
        |row: &str| row.split_whitespace().next().and_then(|word| word.parse::<u64>().ok());
    assert!(rows.iter().map(|row| first_number(row)).is_sorted(), "{text}");
    assert_eq!(rows.last().and_then(|row| first_number(row)), Some(138));
}

#[test]
fn the_report_is_the_summary_followed_by_the_tables() {
    let report = read_report(SAMPLE);
    let text = report.to_string();
    assert_eq!(text, format!("{}{}", report.summary, report.losses));
    let lines = SAMPLE.lines();
    assert_eq!(report.summary, corktack_server::explain::summarize(lines));
    let parsed = SAMPLE.lines().filter_map(LogLine::parse).count();
    assert_eq!(parsed, SAMPLE.lines().count(), "every line of the sample is parsed");
}
