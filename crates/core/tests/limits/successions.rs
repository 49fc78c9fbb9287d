//! Processes and leaders that follow others: what the former ones may have begun.

use crate::support::{LIMIT, Pair, at, bounds, gateway, incarnation, tenant};
use corktack_core::limits::LimitLedger;
use corktack_core::position::Term;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn what_a_process_may_have_begun_counts_for_a_window_after_it_is_gone() {
    let mut pair = Pair::new(2);
    pair.ceilings.insert(tenant(), LIMIT);
    pair.begin(0, at(10_000), 200);
    pair.exchange(0, at(10_000));
    assert_eq!(pair.begin(0, at(10_100), 200), LIMIT);
    pair.gateways[0] = gateway(0, 2, at(10_200), pair.term);
    pair.ledger
        .follow_gateways(at(10_200), &BTreeSet::from([incarnation(0, 2), incarnation(1, 1)]));
    pair.begin(1, at(10_300), 50);
    pair.exchange(1, at(10_300));
    assert_eq!(pair.begin(1, at(10_400), 50), 0);
    // A window and the slack for clocks later.
    pair.begin(1, at(15_400), 50);
    pair.exchange(1, at(15_400));
    assert!(pair.begin(1, at(15_500), 50) > 0);
}

#[test]
fn a_new_leader_gives_what_surely_nobody_holds_until_all_have_reported() {
    let mut pair = Pair::new(2);
    pair.ceilings.insert(tenant(), 60);
    let lives = BTreeSet::from([incarnation(0, 1), incarnation(1, 1)]);
    pair.term = Term(4);
    let (term, ceilings) = (pair.term, pair.ceilings.clone());
    pair.ledger = LimitLedger::new(at(10_000), term, bounds(), lives, ceilings);
    pair.gateways[0].follow_leader(at(10_000), Term(4));
    pair.begin(0, at(10_100), 80);
    pair.exchange(0, at(10_100));
    // The raise of the ceiling is committed by now.
    pair.begin(0, at(10_200), 80);
    pair.exchange(0, at(10_200));
    assert_eq!(pair.begin(0, at(10_300), 80), 40, "the log says that 60 may be given");
    pair.gateways[1].follow_leader(at(10_400), Term(4));
    pair.exchange(1, at(10_400));
    // What lives that are over began counts for one window more.
    assert_eq!(pair.begin(0, at(15_600), 80), 40);
    pair.exchange(0, at(15_600));
    assert_eq!(pair.begin(0, at(15_700), 80), 60, "the whole limit may be given now");
}

#[test]
fn what_a_former_incarnation_began_counts_until_a_window_after_the_new_one_started() {
    let mut pair = Pair::new(2);
    pair.ceilings.insert(tenant(), LIMIT);
    pair.begin(0, at(10_000), 200);
    pair.exchange(0, at(10_000));
    assert_eq!(pair.begin(0, at(10_100), 200), LIMIT);
    // Killed, started at 11 s, reported 2 s later.
    pair.gateways[0] = gateway(0, 2, at(11_000), pair.term);
    pair.exchange(0, at(13_000));
    pair.begin(1, at(15_800), 50);
    pair.exchange(1, at(15_900));
    assert_eq!(pair.begin(1, at(15_950), 1), 0, "a window after the start is not over");
    pair.exchange(1, at(16_300));
    assert!(pair.begin(1, at(16_310), 50) > 0);
}

#[test]
fn a_late_report_frees_nothing_of_what_the_lease_of_the_same_incarnation_let_begin() {
    let mut pair = Pair::new(1);
    pair.ceilings.insert(tenant(), LIMIT);
    let started = at(0);
    pair.gateways[0] = gateway(0, 1, started, pair.term);
    pair.begin(0, at(60_000), 200);
    let first = pair.gateways[0].report(at(60_000)).expect("something to ask for");
    assert!(first.whole);
    let grant = pair.answer(at(60_000), &first).expect("an answer");
    pair.gateways[0].take(at(60_000), &grant);
    let ended = at(60_000) + bounds().allowance_life.mul_f64(1.03);
    pair.ledger.expire(ended);
    assert_eq!(pair.ledger.given(ended, &tenant()), LIMIT, "it counts for a window");
    pair.answer(ended, &first);
    assert_eq!(pair.ledger.given(ended, &tenant()), LIMIT);
}

#[test]
fn a_new_leader_that_has_heard_of_all_incarnations_waits_for_a_window_after_the_last_start_only() {
    let lives = BTreeSet::from([incarnation(0, 1), incarnation(1, 1)]);
    let ceilings = BTreeMap::from([(tenant(), LIMIT)]);
    let mut pair = Pair::new(0);
    pair.ledger = LimitLedger::new(at(20_000), pair.term, bounds(), lives, ceilings.clone());
    pair.ceilings = ceilings;
    // Everything was lost; both processes run for 2.5 s and are in the state since just now.
    pair.gateways = (0..2).map(|number| gateway(number, 2, at(18_000), pair.term)).collect();
    pair.ledger
        .follow_gateways(at(20_100), &BTreeSet::from([incarnation(0, 2), incarnation(1, 2)]));
    for number in 0..2 {
        pair.begin(number, at(20_500), 10);
        pair.exchange(number, at(20_500));
        assert_eq!(pair.begin(number, at(20_550), 1), 0, "the ceiling may have begun");
    }
    pair.exchange(0, at(23_300));
    assert!(pair.begin(0, at(23_310), 10) > 0, "5.1 s after the start nothing of that counts");
}

#[test]
fn an_old_leader_is_not_listened_to_once_the_new_one_was_told() {
    let mut pair = Pair::new(1);
    pair.begin(0, at(10_000), 5);
    let report = pair.gateways[0].report(at(10_000)).expect("something to ask for");
    let grant = pair.answer(at(10_000), &report).expect("an answer");
    pair.gateways[0].follow_leader(at(10_010), Term(4));
    pair.gateways[0].take(at(10_020), &grant);
    assert_eq!(pair.begin(0, at(10_030), 1), 0);
}
