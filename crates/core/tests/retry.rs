//! Retry budget and back-off.

use corktack_core::retry::{Backoff, RetryBudget};
use rstest::rstest;
use std::time::Duration;

/// Counts the retries until the budget refuses one.
fn retries(budget: &mut RetryBudget) -> usize {
    std::iter::repeat_with(|| budget.try_retry()).take_while(|taken| *taken).count()
}

#[rstest]
fn a_full_budget_allows_a_burst_and_then_a_share_of_requests() {
    let mut budget = RetryBudget::default();
    assert_eq!(retries(&mut budget), 50);
    (0..20).for_each(|_| budget.record_request());
    assert_eq!(retries(&mut budget), 4);
}

#[rstest]
fn unused_tokens_do_not_exceed_the_burst() {
    let mut budget = RetryBudget::default();
    (0..10_000).for_each(|_| budget.record_request());
    assert_eq!(retries(&mut budget), 50);
}

#[rstest]
#[case::first(1)]
#[case::second(2)]
fn delays_rise_to_a_bound_and_depend_on_the_seed_only(#[case] seed: u64) {
    let (mut first, mut second) = (Backoff::new(seed), Backoff::new(seed));
    for attempt in 0..100 {
        let delay = first.delay(attempt);
        assert_eq!(delay, second.delay(attempt));
        let ceiling = Duration::from_millis(2 << attempt.min(10)).min(Duration::from_millis(100));
        assert!(delay <= ceiling && delay >= ceiling / 2, "{delay:?} at attempt {attempt}");
    }
}
