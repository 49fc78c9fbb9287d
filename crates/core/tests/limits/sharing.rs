//! How gateways ask for allowances, and how the leader shares a limit between them.

use crate::support::{LIMIT, Pair, Terms, at, tenant, try_begin};
use corktack_core::limits::{CeilingChange, default_ceiling};
use std::collections::BTreeMap;

#[test]
fn a_tenant_far_below_its_limit_costs_messages_only_while_it_grows() {
    let mut pair = Pair::new(1);
    let mut messages = 0;
    // Two operations a second for a minute, and a look every quarter of a second.
    for tick in 40..280_u64 {
        let now = at(tick * 250);
        if tick.is_multiple_of(2) {
            let begun = pair.begin(0, now, 1);
            assert!(begun == 1 || tick < 44, "refused at {tick}");
        }
        messages += u64::from(pair.exchange(0, now));
    }
    assert!(messages < 15, "{messages} messages");
}

#[test]
fn what_two_gateways_want_beyond_the_limit_is_shared_by_what_they_want() {
    let mut pair = Pair::new(2);
    for tick in 40..140_u64 {
        let now = at(tick * 250);
        // Six times as much at the first as at the second, together ten times the limit.
        pair.begin(0, now, 43);
        pair.begin(1, now, 7);
        pair.exchange(0, now);
        pair.exchange(1, now);
    }
    let given = pair.ledger.given(at(35_000), &tenant());
    assert!(given <= LIMIT, "{given}");
    // The limit is what each wants at most, so that they want as much as each other.
    let begun: Vec<u64> = (0..2).map(|number| pair.begin(number, at(40_500), 200)).collect();
    assert!(begun[0] + begun[1] >= 95, "{begun:?}");
}

#[test]
fn without_a_ceiling_in_the_log_no_more_than_the_default_is_given() {
    let mut pair = Pair::new(1);
    pair.begin(0, at(10_000), 90);
    let report = pair.gateways[0].report(at(10_000)).expect("something to ask for");
    let terms = Terms(BTreeMap::new());
    let answer = pair.ledger.take_report(at(10_000), &report, &terms);
    assert_eq!(answer.grants[0].allowances[0].operations, default_ceiling(LIMIT));
    // The 90 that are needed and most of what is left, with some room: all there is.
    assert_eq!(answer.ceilings, [CeilingChange::Raise(tenant(), LIMIT)]);
}

#[test]
fn what_a_gateway_gives_back_goes_to_one_that_lacks_it_without_being_asked_for_again() {
    let mut pair = Pair::new(2);
    for round in 0..3 {
        pair.begin(0, at(6_000 + 20 * round), 40 / 3);
        pair.exchange(0, at(6_010 + 20 * round));
    }
    let at_once = pair.begin(1, at(6_100), 60);
    pair.exchange(1, at(6_110));
    let granted = pair.begin(1, at(6_111), 60 - at_once);
    assert!(at_once + granted < 60, "{at_once} and {granted}: the other held nothing to spare");
    assert!(pair.gateways[0].is_urgent(at(6_120)), "it was told to give some back");
    pair.exchange(0, at(6_120));
    let freed = pair.begin(1, at(6_121), 60 - at_once - granted);
    assert_eq!(at_once + granted + freed, 60);
}

#[test]
fn a_home_gets_what_others_hold_beside_their_part_of_a_limit_that_all_exceed() {
    let mut pair = Pair::new(2);
    pair.ceilings.insert(tenant(), LIMIT);
    // The first has all there is; then its callers ask for a third of what the other's ask for.
    for (number, asked) in [(0, 200), (0, 200)] {
        pair.begin(number, at(6_000), asked);
        pair.exchange(number, at(6_010));
    }
    let mut begun = [0, 0];
    for tick in 0..400 {
        let now = at(6_050 + tick * 50);
        for (number, asked) in [(0, 1), (1, 3)] {
            let begins = pair.begin(number, now, asked);
            // After the first windows: what each gets while both ask for more than there is.
            begun[number] += if tick >= 200 { begins } else { 0 };
        }
        if tick % 5 == 0 {
            pair.exchange(0, now);
            pair.exchange(1, now);
        }
    }
    let [first, second] = begun;
    // Ten seconds are two windows; a count keeps what it counted for up to 0.2 s longer than that.
    assert!(first + second >= 190, "{first} and {second} of a limit of 200");
    assert!((35..=65).contains(&first), "{first} and {second}: a quarter of what is asked for");
}

#[test]
fn an_operation_that_cannot_begin_at_once_makes_a_report_urgent() {
    let mut pair = Pair::new(1);
    pair.exchange(0, at(0));
    assert!(!pair.gateways[0].is_urgent(at(10)));
    assert!(try_begin(&mut pair.gateways[0], at(10)).is_err());
    assert!(pair.gateways[0].is_urgent(at(10)), "the leader should hear that one waits");
}
