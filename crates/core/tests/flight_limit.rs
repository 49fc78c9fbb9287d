//! Limit of the statements that a gateway has in flight at a member.

use corktack_core::gateway::InFlightLimit;
use corktack_core::time::Timestamp;
use rstest::rstest;

fn time(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// The highest number of statements in flight.
fn max_in_flight(limit: &InFlightLimit) -> usize {
    (0..).take_while(|in_flight| limit.allows(*in_flight)).count()
}

#[rstest]
#[case::six_holders_of_five_slots(5, 6, 4)]
#[case::four_holders_of_three_slots(3, 4, 3)]
#[case::single_holder(5, 1, 20)]
#[case::many_holders(1, 50, 2)]
fn holders_share_the_statements_in_flight(
    #[case] capacity: u32,
    #[case] holders: usize,
    #[case] expected: usize,
) {
    assert_eq!(max_in_flight(&InFlightLimit::new(capacity, holders)), expected);
}

#[test]
fn a_refusal_halves_the_limit_and_served_statements_raise_it() {
    let mut limit = InFlightLimit::new(5, 6);
    limit.record_refusal(time(1_000));
    assert_eq!(max_in_flight(&limit), 2);
    limit.record_refusal(time(1_049));
    assert_eq!(max_in_flight(&limit), 2, "refusals within 50 ms count as one");
    limit.record_refusal(time(1_050));
    limit.record_refusal(time(2_000));
    assert_eq!(max_in_flight(&limit), 1, "one statement stays allowed");
    let served = (1..).find(|_| {
        limit.record_served();
        max_in_flight(&limit) == 4
    });
    assert!(served.is_some_and(|count| (6..=12).contains(&count)), "{served:?}");
    (0..100).for_each(|_| limit.record_served());
    assert_eq!(max_in_flight(&limit), 4, "the limit does not exceed its initial value");
}
