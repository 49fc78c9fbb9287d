//! How many statements a gateway has under way at a member.

use corktack_core::gateway::FlightLimit;
use corktack_core::time::Timestamp;
use rstest::rstest;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Most statements that may be under way.
fn most(limit: &FlightLimit) -> usize {
    (0..).take_while(|under_way| limit.allows(*under_way)).count()
}

#[rstest]
#[case::large_huts(5, 6, 4)]
#[case::large_carte(3, 4, 3)]
#[case::alone(5, 1, 20)]
#[case::many_holders(1, 50, 2)]
fn holders_share_what_keeps_a_member_at_work(
    #[case] capacity: u32,
    #[case] holders: usize,
    #[case] expected: usize,
) {
    assert_eq!(most(&FlightLimit::new(capacity, holders)), expected);
}

#[test]
fn a_refusal_halves_the_limit_and_what_is_served_raises_it_again() {
    let mut limit = FlightLimit::new(5, 6);
    limit.refused(at(1_000));
    assert_eq!(most(&limit), 2);
    limit.refused(at(1_049));
    assert_eq!(most(&limit), 2, "refusals of the same moment count as one");
    limit.refused(at(1_050));
    limit.refused(at(2_000));
    assert_eq!(most(&limit), 1, "one is always sent");
    let served = (1..).find(|_| {
        limit.served();
        most(&limit) == 4
    });
    assert!(served.is_some_and(|count| (6..=12).contains(&count)), "{served:?}");
    (0..100).for_each(|_| limit.served());
    assert_eq!(most(&limit), 4, "never above where it began");
}
