//! Demands of gateways, and how the leader shares a limit between them.

use crate::support::{LIMIT, Terms, TestCluster, at_ms, tenant, try_begin};
use corktack_core::limits::{CeilingChange, default_ceiling};
use std::collections::BTreeMap;

#[test]
fn a_tenant_far_below_its_limit_costs_messages_only_while_its_use_grows() {
    let mut cluster = TestCluster::new(1);
    let mut messages = 0;
    // 2 operations a second for 60 s; a report may be due every 0.25 s.
    for tick in 40..280_u64 {
        let now = at_ms(tick * 250);
        if tick.is_multiple_of(2) {
            let begun = cluster.begin(0, now, 1);
            assert!(begun == 1 || tick < 44, "refused at {tick}");
        }
        messages += u64::from(cluster.exchange(0, now));
    }
    assert!(messages < 15, "{messages} messages");
}

#[test]
fn a_limit_that_two_gateways_exceed_is_shared_by_what_they_want() {
    let mut cluster = TestCluster::new(2);
    for tick in 40..140_u64 {
        let now = at_ms(tick * 250);
        // The first gateway gets 6 times as many requests as the second, together 10 times the limit.
        cluster.begin(0, now, 43);
        cluster.begin(1, now, 7);
        cluster.exchange(0, now);
        cluster.exchange(1, now);
    }
    let allocated = cluster.ledger.allocated(at_ms(35_000), &tenant());
    assert!(allocated <= LIMIT, "{allocated}");
    // Each gateway wants at most the limit, so both want the same.
    let begun: Vec<u64> = (0..2).map(|index| cluster.begin(index, at_ms(40_500), 200)).collect();
    assert!(begun[0] + begun[1] >= 95, "{begun:?}");
}

#[test]
fn without_a_ceiling_in_the_log_no_more_than_the_default_is_allocated() {
    let mut cluster = TestCluster::new(1);
    cluster.begin(0, at_ms(10_000), 90);
    let report =
        cluster.gateways[0].report(at_ms(10_000)).expect("a report that asks for an allowance");
    let terms = Terms(BTreeMap::new());
    let answer = cluster.ledger.process_report(at_ms(10_000), &report, &terms);
    assert_eq!(answer.grants[0].allowances[0].operations, default_ceiling(LIMIT));
    // The 90 needed operations and most of the rest, with a margin, come to the whole limit.
    assert_eq!(answer.ceilings, [CeilingChange::Raise(tenant(), LIMIT)]);
}

#[test]
fn returned_operations_go_to_a_gateway_below_its_share_without_a_new_report_of_it() {
    let mut cluster = TestCluster::new(2);
    for round in 0..3 {
        cluster.begin(0, at_ms(6_000 + 20 * round), 40 / 3);
        cluster.exchange(0, at_ms(6_010 + 20 * round));
    }
    let begun_at_once = cluster.begin(1, at_ms(6_100), 60);
    cluster.exchange(1, at_ms(6_110));
    let begun_after_grant = cluster.begin(1, at_ms(6_111), 60 - begun_at_once);
    assert!(
        begun_at_once + begun_after_grant < 60,
        "{begun_at_once} and {begun_after_grant}: the other gateway held nothing to spare"
    );
    assert!(cluster.gateways[0].is_urgent(at_ms(6_120)), "part of its allowance was recalled");
    cluster.exchange(0, at_ms(6_120));
    let begun_after_recall = cluster.begin(1, at_ms(6_121), 60 - begun_at_once - begun_after_grant);
    assert_eq!(begun_at_once + begun_after_grant + begun_after_recall, 60);
}

#[test]
fn a_home_gets_what_others_hold_beyond_their_share_of_a_limit_that_all_exceed() {
    let mut cluster = TestCluster::new(2);
    cluster.ceilings.insert(tenant(), LIMIT);
    // The first gateway gets the whole limit; then it receives a third of the requests that the second
    // one does.
    for (index, asked) in [(0, 200), (0, 200)] {
        cluster.begin(index, at_ms(6_000), asked);
        cluster.exchange(index, at_ms(6_010));
    }
    let mut begun = [0, 0];
    for tick in 0..400 {
        let now = at_ms(6_050 + tick * 50);
        for (index, asked) in [(0, 1), (1, 3)] {
            let newly_begun = cluster.begin(index, now, asked);
            // Counts only after the first windows: the shares while both gateways ask for more than
            // there is.
            begun[index] += if tick >= 200 { newly_begun } else { 0 };
        }
        if tick % 5 == 0 {
            cluster.exchange(0, now);
            cluster.exchange(1, now);
        }
    }
    let [first, second] = begun;
    // 10 s are two windows; an operation counts for up to 0.2 s longer than a window.
    assert!(first + second >= 190, "{first} and {second} of a limit of 200");
    assert!((35..=65).contains(&first), "{first} and {second}: a quarter of the requests");
}

#[test]
fn an_operation_that_cannot_begin_at_once_makes_a_report_urgent() {
    let mut cluster = TestCluster::new(1);
    cluster.exchange(0, at_ms(0));
    assert!(!cluster.gateways[0].is_urgent(at_ms(10)));
    assert!(try_begin(&mut cluster.gateways[0], at_ms(10)).is_err());
    assert!(
        cluster.gateways[0].is_urgent(at_ms(10)),
        "the leader should be told that an operation waits"
    );
}
