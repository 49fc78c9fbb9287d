//! Tests of timestamps before the origin of the clock.

use corktack_core::time::Timestamp;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case::after_the_origin(1_000, Some(Timestamp::from_millis(2_000)))]
#[case::the_origin_itself(3_000, Some(Timestamp::ZERO))]
#[case::before_the_origin(3_001, None)]
fn a_timestamp_before_the_origin_is_none(
    #[case] age_millis: u64,
    #[case] expected: Option<Timestamp>,
) {
    let now = Timestamp::from_millis(3_000);
    assert_eq!(now.checked_sub(Duration::from_millis(age_millis)), expected);
}

#[test]
fn an_age_beyond_all_timestamps_is_before_the_origin() {
    assert_eq!(Timestamp::from_micros(u64::MAX).checked_sub(Duration::MAX), None);
}
