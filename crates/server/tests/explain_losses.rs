//! Where requests are lost, counted from lines: what each text means, what belongs to which window, and what is
//! left out.
//!
//! The samples are lines of real processes; `crates/cli/tests/explain` holds the whole printed summary of one.

use corktack_server::explain::losses::{
    Attempt, AttemptKind, DialKind, Dials, Events, Losses, Offers, Times, WINDOW_SECONDS,
};
use corktack_server::explain::{Ends, LogLine, Report, report};
use rstest::rstest;
use serde_json::json;

const SAMPLE: &str = include_str!("../../../docs/samples/lagging-and-power-loss.log");
const AFTER_A_LOSS: &str = include_str!("../../../docs/samples/after-a-loss.log");
const EARLIER: &str = include_str!("../../../docs/samples/failed-requests.log");
/// The window of the sample in which machines came back.
const POWER_LOSS: u64 = 1_786_453_640;

fn read(text: &str) -> Report {
    report(text.lines().map(|line| ("file", line)))
}

fn losses(lines: &[String]) -> Losses {
    report(lines.iter().map(|line| ("file", line.as_str()))).losses
}

/// A line of a request that was refused, at a time of day in milliseconds.
fn refused(time_ms: u64, after_ms: u64, attempts: &str, retry_after_ms: u64) -> String {
    json!({
        "message": "statement ended", "time_ms": time_ms, "outcome": "Busy", "refusal": "no_slot",
        "why": format!("not run: no connection is free in time; retry_after_ms={retry_after_ms}"),
        "after_ms": after_ms, "attempts": attempts,
    })
    .to_string()
}

#[rstest]
#[case("Lagging at i-1", AttemptKind::Lagging, Some("i-1"))]
#[case("ReadOnly at i-1", AttemptKind::NotPrimary, Some("i-1"))]
#[case("Busy at i-1", AttemptKind::Full, Some("i-1"))]
#[case("TooManyConnections at i-1", AttemptKind::Full, Some("i-1"))]
#[case("member i-1 takes no more connections", AttemptKind::Full, Some("i-1"))]
#[case("no answer in time at i-1", AttemptKind::Silent, Some("i-1"))]
#[case("the gateway that holds the connection is silent at i-1", AttemptKind::Silent, Some("i-1"))]
#[case("the member closed the connection at i-1", AttemptKind::Lost, Some("i-1"))]
#[case("the connection failed at i-1", AttemptKind::Lost, Some("i-1"))]
#[case("member i-1 cannot be connected to", AttemptKind::Lost, Some("i-1"))]
#[case("UnknownStatement at i-1", AttemptKind::Other, Some("i-1"))]
#[case("something new", AttemptKind::Other, None)]
fn an_attempt_has_a_kind_and_a_member(
    #[case] text: &str,
    #[case] kind: AttemptKind,
    #[case] member: Option<&str>,
) {
    let attempt = Attempt { kind, member: member.map(str::to_owned) };
    assert_eq!(Attempt::list(text), [attempt]);
}

#[test]
fn attempts_are_listed_in_their_order() {
    let listed = Attempt::list("member i-1 takes no more connections; Lagging at i-2");
    let kinds: Vec<_> = listed.iter().map(|attempt| attempt.kind).collect();
    assert_eq!(kinds, [AttemptKind::Full, AttemptKind::Lagging]);
    assert_eq!(Attempt::list(""), []);
}

#[rstest]
#[case("refused with TooManyConnections: i-1", DialKind::Full)]
#[case("unreachable: no answer in time", DialKind::Unreachable)]
#[case("refused with WrongMember: i-1", DialKind::Unreachable)]
#[case("no answer in time", DialKind::Other)]
#[case("refused with Other: starting up", DialKind::Other)]
fn a_connection_that_was_not_opened_has_a_kind(#[case] error: &str, #[case] kind: DialKind) {
    assert_eq!(DialKind::read(error), kind);
}

#[test]
fn a_request_counts_in_the_window_in_which_it_ended() {
    let last = 10 * WINDOW_SECONDS * 1_000 - 1;
    let losses = losses(&[refused(last, 500, "", 20), refused(last + 1, 500, "", 20)]);
    let windows: Vec<_> = losses.windows.iter().map(|(start, it)| (*start, it.lost())).collect();
    assert_eq!(windows, [(9 * WINDOW_SECONDS, 1), (10 * WINDOW_SECONDS, 1)]);
}

#[test]
fn refused_requests_that_were_offered_stand_apart_from_those_that_were_not() {
    let lines = [
        refused(0, 90, "Lagging at i-1; Lagging at i-2", 2_000),
        refused(1, 110, "Lagging at i-1", 1_001),
        refused(2, 0, "", 1_000),
    ];
    let losses = losses(&lines);
    let window = &losses.windows[&0];
    assert_eq!((window.refused_offered.count(), window.refused_offered.sum_ms()), (2, 200));
    assert_eq!(window.refused_not_offered.median_ms(), Some(0));
    assert_eq!(
        (window.retry_after.median_ms(), window.retry_after.beyond(1_000)),
        (Some(1_001), 2)
    );
    assert_eq!(losses.members["i-1"].offers, Offers { lagging: 2, ..Offers::default() });
    assert_eq!(losses.processes["file"].refused, 3);
}

#[test]
fn without_times_there_is_no_median() {
    assert_eq!(Times::default().median_ms(), None);
}

#[test]
fn what_happened_stands_beside_what_was_lost() {
    let losses = read(SAMPLE).losses;
    let window = &losses.windows[&POWER_LOSS];
    assert_eq!(window.events, Events { started: 9, found: 23, promoted: 0, elected: 1 });
    assert_eq!(window.dials, Dials { full: 38, ..Dials::default() });
    assert_eq!(losses.windows[&1_786_453_632].events.promoted, 1);
}

#[test]
fn a_request_that_ran_or_may_have_run_failed_and_was_not_refused() {
    let losses = read(AFTER_A_LOSS).losses;
    let failed: Ends = [("Aborted", 3), ("InDoubt", 3), ("TimedOut", 3)]
        .map(|(end, count)| (end.to_owned(), count))
        .into();
    let window = &losses.windows[&1_772_987_888];
    assert_eq!((&window.failed, window.refused.len()), (&failed, 0));
    assert_eq!(window.offers, Offers { lost: 5, ..Offers::default() });
    assert_eq!(window.refused_offered.count(), 0);
}

/// Lines of an earlier version have no `refusal`: what did not run is still told from what failed.
#[test]
fn what_did_not_run_is_known_by_its_reason() {
    let windows = read(EARLIER).losses.windows;
    let refused: u64 = windows.values().flat_map(|it| it.refused.values()).sum();
    let failed: u64 = windows.values().flat_map(|it| it.failed.values()).sum();
    assert_eq!((refused, failed), (2, 1));
    let dials: u64 = windows.values().map(|it| it.dials.unreachable).sum();
    assert_eq!(dials, 8);
}

#[rstest]
#[case(SAMPLE)]
#[case(AFTER_A_LOSS)]
#[case(EARLIER)]
fn every_failure_of_the_summary_is_in_one_window_and_one_process(#[case] sample: &str) {
    let Report { summary, losses } = read(sample);
    let failures: u64 = summary.seconds.values().flat_map(Ends::values).sum();
    assert_eq!(losses.windows.values().map(|it| it.lost()).sum::<u64>(), failures);
    let by_process: u64 = losses.processes.values().map(|it| it.failed + it.refused).sum();
    assert_eq!(by_process, failures);
}

#[test]
fn offers_and_connections_add_up_over_windows_processes_and_members() {
    let losses = read(SAMPLE).losses;
    let totals = |offers: &Offers, dials: &Dials| (offers.total(), dials.total());
    let add = |one: (u64, u64), other: (u64, u64)| (one.0 + other.0, one.1 + other.1);
    let windows = losses.windows.values().map(|it| totals(&it.offers, &it.dials));
    let processes = losses.processes.values().map(|it| totals(&it.offers, &it.dials));
    let members = losses.members.values().map(|it| totals(&it.offers, &it.dials));
    let windows = windows.fold((0, 0), add);
    assert_eq!(windows, processes.fold((0, 0), add));
    assert_eq!(windows, members.fold((0, 0), add));
    assert!(windows.0 > 0 && windows.1 > 0);
}

#[test]
fn a_process_is_named_by_the_last_word_before_the_json() {
    let line = refused(0, 0, "", 20);
    let losses = losses(&[format!("12:00:01 front-1 {line}"), format!("front-1 {line}")]);
    assert_eq!(losses.processes.keys().collect::<Vec<_>>(), ["front-1"]);
    assert_eq!(losses.processes["front-1"].refused, 2);
}

#[test]
fn of_many_windows_those_with_most_lost_are_shown_in_order_of_time() {
    let mut lines: Vec<String> = (0..70).map(|it| refused(it * 2_000, 0, "", 20)).collect();
    lines.push(refused(69 * 2_000, 0, "", 20));
    let text = losses(&lines).to_string();
    assert!(text.contains("10 windows in which less was lost are left out"), "{text}");
    let rows: Vec<&str> =
        text.lines().skip(2).take_while(|row| !row.contains("left out")).collect();
    assert_eq!(rows.len(), 60);
    let first = |row: &str| row.split_whitespace().next().and_then(|it| it.parse::<u64>().ok());
    assert!(rows.iter().map(|row| first(row)).is_sorted(), "{text}");
    assert_eq!(rows.last().and_then(|row| first(row)), Some(138));
}

#[test]
fn the_report_is_the_summary_as_it_was_and_then_the_tables() {
    let report = read(SAMPLE);
    let text = report.to_string();
    assert_eq!(text, format!("{}{}", report.summary, report.losses));
    let lines = SAMPLE.lines();
    assert_eq!(report.summary, corktack_server::explain::summarize(lines));
    let read_back = SAMPLE.lines().filter_map(LogLine::parse).count();
    assert_eq!(read_back, SAMPLE.lines().count(), "every line of the sample is a line");
}
