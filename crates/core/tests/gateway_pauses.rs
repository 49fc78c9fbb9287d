//! When a gateway uses a member again after trouble, on made-up time.

use corktack_core::gateway::{FALLBACK_CONNECTIONS, FallbackPeriod, MemberPauses, WitnessPeriod};
use rstest::rstest;
use std::time::Duration;

const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// A time since the start of the test's clock.
const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn pauses() -> MemberPauses<Duration> {
    MemberPauses::default()
}

#[test]
fn a_member_without_trouble_takes_everything() {
    let pauses = pauses();
    assert!(pauses.takes_reads(at(0)) && pauses.takes_writes(at(0), DRAIN_LIMIT));
    assert!(!pauses.is_passed_over(at(0)) && !pauses.is_full(at(0)));
    assert!(!pauses.is_unreached() && !pauses.is_unreachable(at(0)));
}

#[rstest]
#[case::first(1, 100)]
#[case::second(2, 200)]
#[case::third(3, 400)]
#[case::fifth(5, 1_600)]
#[case::sixth_is_the_longest(6, 2_000)]
#[case::after_an_hour(1_800, 2_000)]
fn each_failed_attempt_doubles_the_pause_up_to_the_longest(
    #[case] failures: u32,
    #[case] pause_millis: u64,
) {
    let mut pauses = pauses();
    for _ in 0..failures {
        pauses.note_unreachable(at(1_000));
    }
    assert!(pauses.is_unreachable(at(1_000 + pause_millis - 1)));
    assert!(!pauses.is_unreachable(at(1_000 + pause_millis)));
    assert!(pauses.is_unreached());
}

#[test]
fn the_pause_ends_to_the_nanosecond() {
    let mut pauses = pauses();
    pauses.note_unreachable(Duration::from_nanos(1));
    assert!(pauses.is_unreachable(at(100)));
    assert!(!pauses.is_unreachable(at(100) + Duration::from_nanos(1)));
}

#[test]
fn only_a_change_between_reached_and_unreached_is_news() {
    let mut pauses = pauses();
    assert!(!pauses.note_reached());
    assert!(pauses.note_unreachable(at(0)));
    assert!(!pauses.note_unreachable(at(200)));
    assert!(pauses.note_reached());
    assert!(!pauses.note_reached());
    assert!(pauses.takes_reads(at(200)));
}

#[test]
fn an_unreachable_member_takes_neither_reads_nor_writes() {
    let mut pauses = pauses();
    pauses.note_unreachable(at(0));
    assert!(!pauses.takes_reads(at(99)) && !pauses.takes_writes(at(99), DRAIN_LIMIT));
    assert!(pauses.takes_reads(at(100)) && pauses.takes_writes(at(100), DRAIN_LIMIT));
}

#[rstest]
#[case::lagging(MemberPauses::note_lagging, 150)]
#[case::busy(MemberPauses::note_busy, 50)]
#[case::silent(MemberPauses::note_silent, 300)]
fn a_member_is_passed_over_for_a_moment(
    #[case] note: fn(&mut MemberPauses<Duration>, Duration),
    #[case] pause_millis: u64,
) {
    let mut pauses = pauses();
    note(&mut pauses, at(10));
    assert!(pauses.is_passed_over(at(10 + pause_millis - 1)));
    assert!(!pauses.is_passed_over(at(10 + pause_millis)));
    assert!(pauses.takes_reads(at(10)));
}

#[test]
fn the_last_reason_to_pass_a_member_over_counts() {
    let mut pauses = pauses();
    pauses.note_silent(at(0));
    pauses.note_busy(at(10));
    assert!(pauses.is_passed_over(at(59)) && !pauses.is_passed_over(at(60)));
}

#[test]
fn a_full_member_gets_no_connections_for_a_moment_and_keeps_its_work() {
    let mut pauses = pauses();
    pauses.note_full(at(0));
    assert!(pauses.is_full(at(149)) && !pauses.is_full(at(150)));
    assert!(pauses.takes_reads(at(0)) && !pauses.is_passed_over(at(0)));
}

#[test]
fn a_draining_primary_takes_writes_until_its_time_is_over() {
    let mut pauses = pauses();
    pauses.note_draining(at(1_000));
    pauses.note_draining(at(4_000));
    assert!(pauses.is_draining() && !pauses.takes_reads(at(1_000)));
    assert!(pauses.takes_writes(at(5_999), DRAIN_LIMIT));
    assert!(pauses.has_left(at(6_000), DRAIN_LIMIT));
    assert!(!pauses.takes_writes(at(6_000), DRAIN_LIMIT));
}

#[test]
fn a_member_is_connected_to_anew_once_in_a_while() {
    let mut pauses = pauses();
    assert!(pauses.begin_check(at(0)));
    assert!(!pauses.begin_check(at(299)));
    assert!(pauses.begin_check(at(300)));
}

#[test]
fn an_unreachable_member_is_not_connected_to_before_its_pause_ends() {
    let mut pauses = pauses();
    pauses.note_unreachable(at(0));
    assert!(!pauses.begin_check(at(99)));
    assert!(pauses.begin_check(at(100)));
}

#[test]
fn fallback_connections_last_two_seconds() {
    let mut period = FallbackPeriod::default();
    assert!(!period.end_if_over(at(0)));
    period.begin(at(500));
    assert!(!period.end_if_over(at(2_499)));
    assert!(period.end_if_over(at(2_500)));
    assert!(!period.end_if_over(at(2_501)));
    assert_eq!(FALLBACK_CONNECTIONS, 2);
}

#[test]
fn a_cancelled_fallback_does_not_end_again() {
    let mut period = FallbackPeriod::default();
    period.begin(at(0));
    period.cancel();
    assert!(!period.end_if_over(at(10_000)));
}

#[test]
fn what_was_found_counts_for_four_seconds_without_connections() {
    let mut period = WitnessPeriod::default();
    assert!(!period.is_over(at(0), true));
    assert!(!period.is_over(at(10_000), true), "it has connections");
    assert!(!period.is_over(at(10_500), false));
    assert!(!period.is_over(at(14_499), false));
    assert!(period.is_over(at(14_500), false));
    assert!(period.is_over(at(15_000), false), "what was found later counts no more either");
}

#[test]
fn connections_in_between_begin_the_time_anew() {
    let mut period = WitnessPeriod::default();
    assert!(!period.is_over(at(0), false));
    assert!(!period.is_over(at(3_900), true));
    assert!(!period.is_over(at(4_000), false));
    assert!(!period.is_over(at(7_999), false));
    assert!(period.is_over(at(8_000), false));
}

#[test]
fn forgotten_failures_are_news_again_and_pause_as_the_first() {
    let mut pauses = pauses();
    assert!(!pauses.forget_failures());
    assert!(pauses.note_unreachable(at(0)));
    assert!(!pauses.note_unreachable(at(100)));
    assert!(pauses.forget_failures());
    assert!(!pauses.is_unreachable(at(100)) && !pauses.is_unreached());
    assert!(!pauses.forget_failures(), "it is taken back once");
    assert!(pauses.note_unreachable(at(200)), "and said again");
    assert!(!pauses.is_unreachable(at(300)));
}
