//! Pauses of a gateway after failures of a member, on a simulated clock.

use corktack_core::gateway::{
    FALLBACK_CONNECTIONS, FallbackPeriod, MemberPauses, ObservationPeriod,
};
use rstest::rstest;
use std::time::Duration;

const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// A time since the start of the test's clock.
const fn time(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn pauses() -> MemberPauses<Duration> {
    MemberPauses::default()
}

#[test]
fn a_member_without_failures_accepts_reads_and_writes() {
    let pauses = pauses();
    assert!(pauses.accepts_reads(time(0)) && pauses.accepts_writes(time(0), DRAIN_LIMIT));
    assert!(!pauses.is_passed_over(time(0)) && !pauses.is_full(time(0)));
    assert!(!pauses.has_failed_attempts() && !pauses.is_unreachable(time(0)));
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
        pauses.record_unreachable(time(1_000));
    }
    assert!(pauses.is_unreachable(time(1_000 + pause_millis - 1)));
    assert!(!pauses.is_unreachable(time(1_000 + pause_millis)));
    assert!(pauses.has_failed_attempts());
}

#[test]
fn the_pause_end_is_not_rounded() {
    let mut pauses = pauses();
    pauses.record_unreachable(Duration::from_nanos(1));
    assert!(pauses.is_unreachable(time(100)));
    assert!(!pauses.is_unreachable(time(100) + Duration::from_nanos(1)));
}

#[test]
fn only_changes_between_reached_and_unreached_are_returned() {
    let mut pauses = pauses();
    assert!(!pauses.record_reached());
    assert!(pauses.record_unreachable(time(0)));
    assert!(!pauses.record_unreachable(time(200)));
    assert!(pauses.record_reached());
    assert!(!pauses.record_reached());
    assert!(pauses.accepts_reads(time(200)));
}

#[test]
fn an_unreachable_member_accepts_neither_reads_nor_writes() {
    let mut pauses = pauses();
    pauses.record_unreachable(time(0));
    assert!(!pauses.accepts_reads(time(99)) && !pauses.accepts_writes(time(99), DRAIN_LIMIT));
    assert!(pauses.accepts_reads(time(100)) && pauses.accepts_writes(time(100), DRAIN_LIMIT));
}

#[rstest]
#[case::lagging(MemberPauses::record_lagging, 150)]
#[case::busy(MemberPauses::record_busy, 50)]
#[case::silent(MemberPauses::record_silence, 300)]
fn a_member_is_passed_over_for_a_moment(
    #[case] record: fn(&mut MemberPauses<Duration>, Duration),
    #[case] pause_millis: u64,
) {
    let mut pauses = pauses();
    record(&mut pauses, time(10));
    assert!(pauses.is_passed_over(time(10 + pause_millis - 1)));
    assert!(!pauses.is_passed_over(time(10 + pause_millis)));
    assert!(pauses.accepts_reads(time(10)));
}

#[test]
fn the_last_reason_to_pass_over_a_member_counts() {
    let mut pauses = pauses();
    pauses.record_silence(time(0));
    pauses.record_busy(time(10));
    assert!(pauses.is_passed_over(time(59)) && !pauses.is_passed_over(time(60)));
}

#[test]
fn a_full_member_gets_no_connections_for_a_moment_and_still_accepts_reads() {
    let mut pauses = pauses();
    pauses.record_full(time(0));
    assert!(pauses.is_full(time(149)) && !pauses.is_full(time(150)));
    assert!(pauses.accepts_reads(time(0)) && !pauses.is_passed_over(time(0)));
}

#[test]
fn a_draining_primary_accepts_writes_until_the_drain_limit() {
    let mut pauses = pauses();
    pauses.record_draining(time(1_000));
    pauses.record_draining(time(4_000));
    assert!(pauses.is_draining() && !pauses.accepts_reads(time(1_000)));
    assert!(pauses.accepts_writes(time(5_999), DRAIN_LIMIT));
    assert!(pauses.is_drain_over(time(6_000), DRAIN_LIMIT));
    assert!(!pauses.accepts_writes(time(6_000), DRAIN_LIMIT));
}

#[test]
fn attempts_to_connect_anew_are_spaced() {
    let mut pauses = pauses();
    assert!(pauses.begin_check(time(0)));
    assert!(!pauses.begin_check(time(299)));
    assert!(pauses.begin_check(time(300)));
}

#[test]
fn an_unreachable_member_is_not_connected_to_before_its_pause_ends() {
    let mut pauses = pauses();
    pauses.record_unreachable(time(0));
    assert!(!pauses.begin_check(time(99)));
    assert!(pauses.begin_check(time(100)));
}

#[test]
fn fallback_connections_last_two_seconds() {
    let mut period = FallbackPeriod::default();
    assert!(!period.end_if_over(time(0)));
    period.begin(time(500));
    assert!(!period.end_if_over(time(2_499)));
    assert!(period.end_if_over(time(2_500)));
    assert!(!period.end_if_over(time(2_501)));
    assert_eq!(FALLBACK_CONNECTIONS, 2);
}

#[test]
fn a_cancelled_fallback_does_not_end_again() {
    let mut period = FallbackPeriod::default();
    period.begin(time(0));
    period.cancel();
    assert!(!period.end_if_over(time(10_000)));
}

#[test]
fn observations_stay_valid_for_four_seconds_without_connections() {
    let mut period = ObservationPeriod::default();
    assert!(!period.update_and_check_expired(time(0), true));
    assert!(!period.update_and_check_expired(time(10_000), true), "the gateway has connections");
    assert!(!period.update_and_check_expired(time(10_500), false));
    assert!(!period.update_and_check_expired(time(14_499), false));
    assert!(period.update_and_check_expired(time(14_500), false));
    assert!(
        period.update_and_check_expired(time(15_000), false),
        "later observations are not valid either"
    );
}

#[test]
fn connections_in_between_restart_the_period() {
    let mut period = ObservationPeriod::default();
    assert!(!period.update_and_check_expired(time(0), false));
    assert!(!period.update_and_check_expired(time(3_900), true));
    assert!(!period.update_and_check_expired(time(4_000), false));
    assert!(!period.update_and_check_expired(time(7_999), false));
    assert!(period.update_and_check_expired(time(8_000), false));
}

#[test]
fn after_forgotten_failures_the_next_failure_counts_as_the_first() {
    let mut pauses = pauses();
    assert!(!pauses.clear_failures());
    assert!(pauses.record_unreachable(time(0)));
    assert!(!pauses.record_unreachable(time(100)));
    assert!(pauses.clear_failures());
    assert!(!pauses.is_unreachable(time(100)) && !pauses.has_failed_attempts());
    assert!(!pauses.clear_failures(), "failures are cleared once");
    assert!(pauses.record_unreachable(time(200)), "the next failure is the first again");
    assert!(!pauses.is_unreachable(time(300)));
}
