//! Retry times of refused callers.

use crate::support::{LIMIT, TestCluster, at_ms, gateway, request, tenant, try_begin};
use corktack_core::limits::{AllowanceGrant, GatewayLimits, TenantAllowance};
use corktack_core::position::Term;
use corktack_core::time::Timestamp;

#[test]
fn a_refusal_says_when_to_retry() {
    let mut cluster = TestCluster::new(1);
    cluster.ceilings.insert(tenant(), LIMIT);
    cluster.begin(0, at_ms(10_000), 200);
    cluster.exchange(0, at_ms(10_000));
    assert_eq!(cluster.begin(0, at_ms(11_000), LIMIT), LIMIT);
    let refused =
        try_begin(&mut cluster.gateways[0], at_ms(12_000)).expect_err("the limit is reached");
    let retry_at = at_ms(12_000) + refused.retry_after;
    assert!(at_ms(16_000) <= retry_at && retry_at <= at_ms(16_300), "{refused:?}");
    assert_eq!(cluster.begin(0, retry_at, 200), LIMIT);
}

#[test]
fn refused_callers_are_told_to_retry_as_capacity_becomes_free() {
    let mut cluster = TestCluster::new(1);
    cluster.ceilings.insert(tenant(), LIMIT);
    cluster.begin(0, at_ms(10_000), 200);
    cluster.exchange(0, at_ms(10_000));
    // Half of the limit begins, and the other half 2 s later.
    assert_eq!(cluster.begin(0, at_ms(11_100), 50), 50);
    assert_eq!(cluster.begin(0, at_ms(13_100), 50), 50);
    let refused: Vec<Timestamp> = (0..70)
        .map(|_| {
            try_begin(&mut cluster.gateways[0], at_ms(14_000)).expect_err("the limit is reached")
        })
        .map(|refusal| at_ms(14_000) + refusal.retry_after)
        .collect();
    let early_retries = refused.iter().filter(|retry_at| **retry_at < at_ms(17_000)).count();
    assert_eq!(
        early_retries, 50,
        "as many as the operations that become older than a window first"
    );
    assert!(
        refused.iter().all(|retry_at| at_ms(16_000) <= *retry_at && *retry_at <= at_ms(18_500))
    );
}

#[test]
fn a_caller_that_was_told_to_retry_soon_does_not_delay_later_callers() {
    let mut gateway = gateway(0, 1, at_ms(0), Term(3));
    let allow_half = |gateway: &mut GatewayLimits, now, number| {
        let report = gateway.report(now).expect("a report that asks for an allowance");
        let allowance = TenantAllowance {
            tenant: tenant(),
            operations: LIMIT / 2,
            window_limit: LIMIT,
            more_follows: false,
            more_available_after: None,
        };
        let grant = AllowanceGrant {
            gateway: report.gateway,
            incarnation: report.incarnation,
            term: report.term,
            number,
            report_sequence: report.sequence,
            wants_full_report: false,
            allowances: vec![allowance],
            recalls: Vec::new(),
        };
        gateway.apply_grant(now, &grant);
    };
    let refuse = |gateway: &mut GatewayLimits, now| {
        now + try_begin(gateway, now).expect_err("the allowance is used").retry_after
    };
    refuse(&mut gateway, at_ms(10_000));
    allow_half(&mut gateway, at_ms(10_000), 1);
    gateway.request(at_ms(10_100), &tenant(), request(25, at_ms(10_100)));
    gateway.request(at_ms(12_100), &tenant(), request(25, at_ms(12_100)));
    refuse(&mut gateway, at_ms(12_200));
    // The leader has no more to grant: the time of the next free capacity is known.
    allow_half(&mut gateway, at_ms(12_250), 2);
    assert!(refuse(&mut gateway, at_ms(12_300)) > at_ms(15_000));
    // 1 s later the leader may have more, so callers are told to retry once it has answered.
    for _ in 0..40 {
        assert_eq!(refuse(&mut gateway, at_ms(13_300)), at_ms(13_400));
    }
    allow_half(&mut gateway, at_ms(13_500), 3);
    let retry_at = refuse(&mut gateway, at_ms(13_600));
    assert!(
        retry_at < at_ms(16_000),
        "25 operations may begin by then, and one caller was told to retry: {retry_at:?}"
    );
}
