//! Admission at a gateway: operations that begin, wait or are refused.

use crate::support::{
    LIMIT, RATE, TestCluster, at_ms, bounds, directory, gateway_name, request, tenant, try_begin,
};
use corktack_core::identity::Incarnation;
use corktack_core::limits::{
    AdmittedOperations, GatewayLimits, LimitBounds, OperationOutcome, OperationRequest,
    SettledRequest,
};
use corktack_core::tenancy::TenantRate;

#[test]
fn rate_burst_and_tolerance_determine_the_limit_of_a_window() {
    assert_eq!(bounds().window_limit(RATE), LIMIT);
    let tolerant = LimitBounds { overshoot: 0.1, slack: 20.0, ..bounds() };
    assert_eq!(tolerant.window_limit(TenantRate { per_second: 5.0, burst: 5.0 }), 53);
    assert_eq!(bounds().window_limit(TenantRate { per_second: 0.0, burst: 0.0 }), 0);
}

#[test]
fn a_tenant_without_a_rate_is_not_limited() {
    let mut gateway = GatewayLimits::new(at_ms(0), gateway_name(0), Incarnation(1), bounds());
    gateway.apply_rates(None);
    assert_eq!(
        gateway.request(at_ms(0), &tenant(), request(1, at_ms(0))),
        OperationOutcome::Unlimited
    );
}

#[test]
fn no_operation_begins_before_the_leader_grants_an_allowance() {
    let mut cluster = TestCluster::new(1);
    assert_eq!(cluster.begin(0, at_ms(10_000), 1), 0);
    let refused = try_begin(&mut cluster.gateways[0], at_ms(10_000))
        .expect_err("the gateway has no allowance");
    assert_eq!(refused.allowance, 0);
    assert!(cluster.gateways[0].is_urgent(at_ms(10_000)), "the leader has not received a report");
    assert!(cluster.gateways[0].is_urgent(at_ms(10_000)));
    assert!(cluster.exchange(0, at_ms(10_010)));
    assert_eq!(cluster.begin(0, at_ms(10_020), 1), 1);
}

#[test]
fn an_operation_that_did_not_run_no_longer_counts() {
    let mut cluster = TestCluster::new(1);
    cluster.ceilings.insert(tenant(), LIMIT);
    cluster.begin(0, at_ms(10_000), 200);
    cluster.exchange(0, at_ms(10_000));
    assert_eq!(cluster.begin(0, at_ms(10_100), 200), LIMIT);
    let begun = AdmittedOperations { operations: 1, counted_at: at_ms(10_100) };
    cluster.gateways[0].return_operations(&tenant(), begun);
    assert_eq!(cluster.begin(0, at_ms(10_200), 5), 1);
}

#[test]
fn an_allowance_expires_one_lifetime_after_it_was_requested() {
    let mut cluster = TestCluster::new(1);
    cluster.begin(0, at_ms(10_000), 5);
    let report =
        cluster.gateways[0].report(at_ms(10_000)).expect("a report that asks for an allowance");
    let grant = cluster.answer(at_ms(10_000), &report).expect("a grant");
    // The grant arrives when most of the allowance's life is over.
    cluster.gateways[0].apply_grant(at_ms(300_000), &grant);
    assert_eq!(cluster.begin(0, at_ms(309_000), 1), 1);
    assert_eq!(cluster.begin(0, at_ms(310_000), 1), 0);
}

#[test]
fn a_lower_limit_applies_at_a_gateway_that_is_cut_off() {
    let mut cluster = TestCluster::new(1);
    cluster.ceilings.insert(tenant(), LIMIT);
    cluster.begin(0, at_ms(10_000), 200);
    cluster.exchange(0, at_ms(10_000));
    let lower = TenantRate { per_second: 2.0, burst: 0.0 };
    cluster.gateways[0].apply_rates(Some(&directory(lower)));
    assert_eq!(
        cluster.begin(0, at_ms(10_100), 200),
        10,
        "the gateway held the whole limit, which is 10 now"
    );
}

#[test]
fn operations_wait_in_order_for_capacity_that_becomes_free_before_their_deadline() {
    let mut cluster = TestCluster::new(1);
    cluster.ceilings.insert(tenant(), LIMIT);
    cluster.begin(0, at_ms(10_000), 200);
    cluster.exchange(0, at_ms(10_000));
    assert_eq!(cluster.begin(0, at_ms(11_100), 98), 98);
    let gateway = &mut cluster.gateways[0];
    assert!(matches!(
        gateway.request(at_ms(15_000), &tenant(), request(2, at_ms(15_900))),
        OperationOutcome::Admitted(_)
    ));
    let OperationOutcome::Waiting(first) =
        gateway.request(at_ms(15_900), &tenant(), request(3, at_ms(16_500)))
    else {
        panic!("98 operations become older than a window within 0.4 s");
    };
    let OperationOutcome::Waiting(second) =
        gateway.request(at_ms(15_900), &tenant(), request(4, at_ms(16_500)))
    else {
        panic!("there is capacity for these as well");
    };
    assert_eq!(gateway.settle(at_ms(15_950)), [], "no capacity has become free yet");
    let due = gateway.settle_due(at_ms(15_950)).expect("capacity becomes free");
    let settled = gateway.settle(due);
    let begun: Vec<_> = settled
        .iter()
        .map(|settled| (settled.number, settled.outcome.map(|admitted| admitted.operations)))
        .collect();
    assert_eq!(begun, [(first, Ok(3)), (second, Ok(4))]);
}

#[test]
fn scarce_capacity_goes_to_higher_priority_classes_first() {
    let mut cluster = TestCluster::new(1);
    cluster.ceilings.insert(tenant(), LIMIT);
    cluster.begin(0, at_ms(10_000), 200);
    cluster.exchange(0, at_ms(10_000));
    for step in 0..10 {
        assert_eq!(cluster.begin(0, at_ms(11_100 + step * 100), 10), 10);
    }
    let gateway = &mut cluster.gateways[0];
    let mut queue_request = |priority, operations| {
        let queued = OperationRequest { operations, priority, until: at_ms(16_600) };
        match gateway.request(at_ms(16_100), &tenant(), queued) {
            OperationOutcome::Waiting(number) => number,
            other => panic!("capacity becomes free in time: {other:?}"),
        }
    };
    let (low_priority, high_priority) = (queue_request(2, 10), queue_request(0, 10));
    let due = gateway.settle_due(at_ms(16_100)).expect("capacity becomes free");
    let numbers: Vec<_> = gateway.settle(due).iter().map(|settled| settled.number).collect();
    assert_eq!(numbers, [high_priority]);
    let due = gateway.settle_due(due).expect("more capacity becomes free");
    let numbers: Vec<_> = gateway.settle(due).iter().map(|settled| settled.number).collect();
    assert_eq!(numbers, [low_priority]);
}

#[test]
fn an_operation_that_cannot_begin_before_its_deadline_is_refused_at_once() {
    let mut cluster = TestCluster::new(1);
    cluster.ceilings.insert(tenant(), LIMIT);
    cluster.begin(0, at_ms(10_000), 200);
    cluster.exchange(0, at_ms(10_000));
    assert_eq!(cluster.begin(0, at_ms(11_000), LIMIT), LIMIT);
    let gateway = &mut cluster.gateways[0];
    // The leader has not been asked yet, so it may still grant more.
    assert!(matches!(
        gateway.request(at_ms(12_000), &tenant(), request(1, at_ms(12_200))),
        OperationOutcome::Waiting(_)
    ));
    let report = gateway.report(at_ms(12_010)).expect("a report that an operation waits");
    let grant = cluster.answer(at_ms(12_020), &report).expect("a grant");
    let gateway = &mut cluster.gateways[0];
    gateway.apply_grant(at_ms(12_030), &grant);
    let settled = gateway.settle(at_ms(12_030));
    assert!(matches!(settled[..], [SettledRequest { outcome: Err(_), .. }]), "{settled:?}");
    assert!(matches!(
        gateway.request(at_ms(12_040), &tenant(), request(1, at_ms(12_300))),
        OperationOutcome::Refused(_)
    ));
}
