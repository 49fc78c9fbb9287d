//! Replaced processes and leaders: what the previous ones may have begun still counts.

use crate::support::{LIMIT, TestCluster, at_ms, bounds, gateway, incarnation, tenant};
use corktack_core::limits::LimitLedger;
use corktack_core::position::Term;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn operations_of_an_ended_process_count_for_one_more_window() {
    let mut cluster = TestCluster::new(2);
    cluster.ceilings.insert(tenant(), LIMIT);
    cluster.begin(0, at_ms(10_000), 200);
    cluster.exchange(0, at_ms(10_000));
    assert_eq!(cluster.begin(0, at_ms(10_100), 200), LIMIT);
    cluster.gateways[0] = gateway(0, 2, at_ms(10_200), cluster.term);
    cluster
        .ledger
        .follow_gateways(at_ms(10_200), &BTreeSet::from([incarnation(0, 2), incarnation(1, 1)]));
    cluster.begin(1, at_ms(10_300), 50);
    cluster.exchange(1, at_ms(10_300));
    assert_eq!(cluster.begin(1, at_ms(10_400), 50), 0);
    // A window and the clock slack later.
    cluster.begin(1, at_ms(15_400), 50);
    cluster.exchange(1, at_ms(15_400));
    assert!(cluster.begin(1, at_ms(15_500), 50) > 0);
}

#[test]
fn a_new_leader_allocates_only_what_nobody_can_hold_until_all_have_reported() {
    let mut cluster = TestCluster::new(2);
    cluster.ceilings.insert(tenant(), 60);
    let incarnations = BTreeSet::from([incarnation(0, 1), incarnation(1, 1)]);
    cluster.term = Term(4);
    let (term, ceilings) = (cluster.term, cluster.ceilings.clone());
    cluster.ledger = LimitLedger::new(at_ms(10_000), term, bounds(), incarnations, ceilings);
    cluster.gateways[0].follow_leader(at_ms(10_000), Term(4));
    cluster.begin(0, at_ms(10_100), 80);
    cluster.exchange(0, at_ms(10_100));
    // The raise of the ceiling is committed by now.
    cluster.begin(0, at_ms(10_200), 80);
    cluster.exchange(0, at_ms(10_200));
    assert_eq!(
        cluster.begin(0, at_ms(10_300), 80),
        40,
        "the ceiling of 60 in the log may be allocated already"
    );
    cluster.gateways[1].follow_leader(at_ms(10_400), Term(4));
    cluster.exchange(1, at_ms(10_400));
    // The operations of ended incarnations count for one more window.
    assert_eq!(cluster.begin(0, at_ms(15_600), 80), 40);
    cluster.exchange(0, at_ms(15_600));
    assert_eq!(cluster.begin(0, at_ms(15_700), 80), 60, "the whole limit is available now");
}

#[test]
fn operations_of_a_previous_incarnation_count_until_a_window_after_its_successor_started() {
    let mut cluster = TestCluster::new(2);
    cluster.ceilings.insert(tenant(), LIMIT);
    cluster.begin(0, at_ms(10_000), 200);
    cluster.exchange(0, at_ms(10_000));
    assert_eq!(cluster.begin(0, at_ms(10_100), 200), LIMIT);
    // The process was killed, restarted at 11 s and reported 2 s later.
    cluster.gateways[0] = gateway(0, 2, at_ms(11_000), cluster.term);
    cluster.exchange(0, at_ms(13_000));
    cluster.begin(1, at_ms(15_800), 50);
    cluster.exchange(1, at_ms(15_900));
    assert_eq!(cluster.begin(1, at_ms(15_950), 1), 0, "a window after the start is not over");
    cluster.exchange(1, at_ms(16_300));
    assert!(cluster.begin(1, at_ms(16_310), 50) > 0);
}

#[test]
fn a_late_report_frees_nothing_that_began_under_an_expired_lease_of_the_same_incarnation() {
    let mut cluster = TestCluster::new(1);
    cluster.ceilings.insert(tenant(), LIMIT);
    let started = at_ms(0);
    cluster.gateways[0] = gateway(0, 1, started, cluster.term);
    cluster.begin(0, at_ms(60_000), 200);
    let first =
        cluster.gateways[0].report(at_ms(60_000)).expect("a report that asks for an allowance");
    assert!(first.is_full);
    let grant = cluster.answer(at_ms(60_000), &first).expect("a grant");
    cluster.gateways[0].apply_grant(at_ms(60_000), &grant);
    let ended = at_ms(60_000) + bounds().allowance_life.mul_f64(1.03);
    cluster.ledger.expire(ended);
    assert_eq!(
        cluster.ledger.allocated(ended, &tenant()),
        LIMIT,
        "operations of the expired lease count for a window"
    );
    cluster.answer(ended, &first);
    assert_eq!(cluster.ledger.allocated(ended, &tenant()), LIMIT);
}

#[test]
fn a_new_leader_that_knows_of_all_incarnations_waits_only_a_window_after_the_last_start() {
    let incarnations = BTreeSet::from([incarnation(0, 1), incarnation(1, 1)]);
    let ceilings = BTreeMap::from([(tenant(), LIMIT)]);
    let mut cluster = TestCluster::new(0);
    cluster.ledger =
        LimitLedger::new(at_ms(20_000), cluster.term, bounds(), incarnations, ceilings.clone());
    cluster.ceilings = ceilings;
    // All processes were lost; both new ones have run for 2.5 s and have just been added to the state.
    cluster.gateways = (0..2).map(|index| gateway(index, 2, at_ms(18_000), cluster.term)).collect();
    cluster
        .ledger
        .follow_gateways(at_ms(20_100), &BTreeSet::from([incarnation(0, 2), incarnation(1, 2)]));
    for index in 0..2 {
        cluster.begin(index, at_ms(20_500), 10);
        cluster.exchange(index, at_ms(20_500));
        assert_eq!(
            cluster.begin(index, at_ms(20_550), 1),
            0,
            "operations up to the ceiling may have begun"
        );
    }
    cluster.exchange(0, at_ms(23_300));
    assert!(
        cluster.begin(0, at_ms(23_310), 10) > 0,
        "5.1 s after the start nothing begun before counts"
    );
}

#[test]
fn grants_of_an_old_leader_are_ignored_once_a_new_term_is_known() {
    let mut cluster = TestCluster::new(1);
    cluster.begin(0, at_ms(10_000), 5);
    let report =
        cluster.gateways[0].report(at_ms(10_000)).expect("a report that asks for an allowance");
    let grant = cluster.answer(at_ms(10_000), &report).expect("a grant");
    cluster.gateways[0].follow_leader(at_ms(10_010), Term(4));
    cluster.gateways[0].apply_grant(at_ms(10_020), &grant);
    assert_eq!(cluster.begin(0, at_ms(10_030), 1), 0);
}
