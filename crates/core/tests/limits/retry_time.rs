//! When refused callers are told to come back.

use crate::support::{LIMIT, Pair, at, gateway, request, tenant, try_begin};
use corktack_core::limits::{AllowanceGrant, GatewayLimits, TenantAllowance};
use corktack_core::position::Term;
use corktack_core::time::Timestamp;

#[test]
fn what_is_refused_says_when_to_come_back() {
    let mut pair = Pair::new(1);
    pair.ceilings.insert(tenant(), LIMIT);
    pair.begin(0, at(10_000), 200);
    pair.exchange(0, at(10_000));
    assert_eq!(pair.begin(0, at(11_000), LIMIT), LIMIT);
    let refused = try_begin(&mut pair.gateways[0], at(12_000)).expect_err("the limit is reached");
    let back = at(12_000) + refused.retry_after;
    assert!(at(16_000) <= back && back <= at(16_300), "{refused:?}");
    assert_eq!(pair.begin(0, back, 200), LIMIT);
}

#[test]
fn refused_callers_come_back_as_places_become_free() {
    let mut pair = Pair::new(1);
    pair.ceilings.insert(tenant(), LIMIT);
    pair.begin(0, at(10_000), 200);
    pair.exchange(0, at(10_000));
    // Half of the limit begins, and two seconds later the other half.
    assert_eq!(pair.begin(0, at(11_100), 50), 50);
    assert_eq!(pair.begin(0, at(13_100), 50), 50);
    let refused: Vec<Timestamp> = (0..70)
        .map(|_| try_begin(&mut pair.gateways[0], at(14_000)).expect_err("the limit is reached"))
        .map(|over| at(14_000) + over.retry_after)
        .collect();
    let early = refused.iter().filter(|back| **back < at(17_000)).count();
    assert_eq!(early, 50, "as many as places become free first");
    assert!(refused.iter().all(|back| at(16_000) <= *back && *back <= at(18_500)));
}

#[test]
fn who_was_told_to_come_back_soon_stands_before_nobody_later() {
    let mut gateway = gateway(0, 1, at(0), Term(3));
    let allow_half = |gateway: &mut GatewayLimits, now, number| {
        let report = gateway.report(now).expect("something to ask for");
        let allowance = TenantAllowance {
            tenant: tenant(),
            operations: LIMIT / 2,
            window_limit: LIMIT,
            more_follows: false,
            more_after: None,
        };
        let grant = AllowanceGrant {
            gateway: report.gateway,
            incarnation: report.incarnation,
            term: report.term,
            number,
            answers: report.sequence,
            wants_whole: false,
            allowances: vec![allowance],
            recalls: Vec::new(),
        };
        gateway.take(now, &grant);
    };
    let refuse = |gateway: &mut GatewayLimits, now| {
        now + try_begin(gateway, now).expect_err("the allowance is used").retry_after
    };
    refuse(&mut gateway, at(10_000));
    allow_half(&mut gateway, at(10_000), 1);
    gateway.request(at(10_100), &tenant(), request(25, at(10_100)));
    gateway.request(at(12_100), &tenant(), request(25, at(12_100)));
    refuse(&mut gateway, at(12_200));
    // The leader says that there is no more: the next place is known.
    allow_half(&mut gateway, at(12_250), 2);
    assert!(refuse(&mut gateway, at(12_300)) > at(15_000));
    // A second later it might know better, and is asked.
    for _ in 0..40 {
        assert_eq!(refuse(&mut gateway, at(13_300)), at(13_400));
    }
    allow_half(&mut gateway, at(13_500), 3);
    let back = refuse(&mut gateway, at(13_600));
    assert!(back < at(16_000), "25 places become free by then, one was promised: {back:?}");
}
