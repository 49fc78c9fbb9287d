//! What a gateway lets begin, lets wait and refuses.

use crate::support::{LIMIT, Pair, RATE, at, bounds, directory, name, request, tenant, try_begin};
use corktack_core::identity::Incarnation;
use corktack_core::limits::{
    AdmittedOperations, GatewayLimits, LimitBounds, OperationOutcome, OperationRequest,
    SettledRequest,
};
use corktack_core::tenancy::TenantRate;

#[test]
fn a_rate_and_its_room_make_the_limit_of_a_window() {
    assert_eq!(bounds().window_limit(RATE), LIMIT);
    let room = LimitBounds { overshoot: 0.1, slack: 20.0, ..bounds() };
    assert_eq!(room.window_limit(TenantRate { per_second: 5.0, burst: 5.0 }), 53);
    assert_eq!(bounds().window_limit(TenantRate { per_second: 0.0, burst: 0.0 }), 0);
}

#[test]
fn a_tenant_without_a_rate_is_not_limited() {
    let mut gateway = GatewayLimits::new(at(0), name(0), Incarnation(1), bounds());
    gateway.follow(None);
    assert_eq!(gateway.request(at(0), &tenant(), request(1, at(0))), OperationOutcome::Unlimited);
}

#[test]
fn nothing_begins_before_the_leader_has_said_so() {
    let mut pair = Pair::new(1);
    assert_eq!(pair.begin(0, at(10_000), 1), 0);
    let refused = try_begin(&mut pair.gateways[0], at(10_000)).expect_err("nothing is allowed");
    assert_eq!(refused.allowance, 0);
    assert!(pair.gateways[0].is_urgent(at(10_000)), "the leader has not been asked");
    assert!(pair.gateways[0].is_urgent(at(10_000)));
    assert!(pair.exchange(0, at(10_010)));
    assert_eq!(pair.begin(0, at(10_020), 1), 1);
}

#[test]
fn an_operation_that_did_not_run_is_taken_back() {
    let mut pair = Pair::new(1);
    pair.ceilings.insert(tenant(), LIMIT);
    pair.begin(0, at(10_000), 200);
    pair.exchange(0, at(10_000));
    assert_eq!(pair.begin(0, at(10_100), 200), LIMIT);
    let begun = AdmittedOperations { operations: 1, marked: at(10_100) };
    pair.gateways[0].return_operations(&tenant(), begun);
    assert_eq!(pair.begin(0, at(10_200), 5), 1);
}

#[test]
fn an_allowance_ends_its_life_after_it_was_asked_for() {
    let mut pair = Pair::new(1);
    pair.begin(0, at(10_000), 5);
    let report = pair.gateways[0].report(at(10_000)).expect("something to ask for");
    let grant = pair.answer(at(10_000), &report).expect("an answer");
    // It arrives when most of its life is over.
    pair.gateways[0].take(at(300_000), &grant);
    assert_eq!(pair.begin(0, at(309_000), 1), 1);
    assert_eq!(pair.begin(0, at(310_000), 1), 0);
}

#[test]
fn a_lower_limit_takes_hold_at_a_gateway_that_is_cut_off() {
    let mut pair = Pair::new(1);
    pair.ceilings.insert(tenant(), LIMIT);
    pair.begin(0, at(10_000), 200);
    pair.exchange(0, at(10_000));
    let lower = TenantRate { per_second: 2.0, burst: 0.0 };
    pair.gateways[0].follow(Some(&directory(lower)));
    assert_eq!(pair.begin(0, at(10_100), 200), 10, "its part of ten in a hundred");
}

#[test]
fn operations_wait_in_turn_for_places_that_become_free_in_their_time() {
    let mut pair = Pair::new(1);
    pair.ceilings.insert(tenant(), LIMIT);
    pair.begin(0, at(10_000), 200);
    pair.exchange(0, at(10_000));
    assert_eq!(pair.begin(0, at(11_100), 98), 98);
    let gateway = &mut pair.gateways[0];
    assert!(matches!(
        gateway.request(at(15_000), &tenant(), request(2, at(15_900))),
        OperationOutcome::Admitted(_)
    ));
    let OperationOutcome::Waiting(first) =
        gateway.request(at(15_900), &tenant(), request(3, at(16_500)))
    else {
        panic!("98 places become free within 0.4 s");
    };
    let OperationOutcome::Waiting(second) =
        gateway.request(at(15_900), &tenant(), request(4, at(16_500)))
    else {
        panic!("there are places for these as well");
    };
    assert_eq!(gateway.settle(at(15_950)), [], "nothing has become free yet");
    let due = gateway.settle_due(at(15_950)).expect("a place becomes free");
    let settled = gateway.settle(due);
    let begun: Vec<_> =
        settled.iter().map(|it| (it.number, it.outcome.map(|it| it.operations))).collect();
    assert_eq!(begun, [(first, Ok(3)), (second, Ok(4))]);
}

#[test]
fn the_places_of_a_limit_that_is_short_go_to_higher_classes_first() {
    let mut pair = Pair::new(1);
    pair.ceilings.insert(tenant(), LIMIT);
    pair.begin(0, at(10_000), 200);
    pair.exchange(0, at(10_000));
    for part in 0..10 {
        assert_eq!(pair.begin(0, at(11_100 + part * 100), 10), 10);
    }
    let gateway = &mut pair.gateways[0];
    let mut wait = |priority, operations| {
        let ask = OperationRequest { operations, priority, until: at(16_600) };
        match gateway.request(at(16_100), &tenant(), ask) {
            OperationOutcome::Waiting(number) => number,
            other => panic!("places become free in time: {other:?}"),
        }
    };
    let (low, high) = (wait(2, 10), wait(0, 10));
    let due = gateway.settle_due(at(16_100)).expect("a place becomes free");
    let numbers: Vec<_> = gateway.settle(due).iter().map(|settled| settled.number).collect();
    assert_eq!(numbers, [high]);
    let due = gateway.settle_due(due).expect("another place becomes free");
    let numbers: Vec<_> = gateway.settle(due).iter().map(|settled| settled.number).collect();
    assert_eq!(numbers, [low]);
}

#[test]
fn an_operation_for_which_no_place_becomes_free_in_time_is_refused_at_once() {
    let mut pair = Pair::new(1);
    pair.ceilings.insert(tenant(), LIMIT);
    pair.begin(0, at(10_000), 200);
    pair.exchange(0, at(10_000));
    assert_eq!(pair.begin(0, at(11_000), LIMIT), LIMIT);
    let gateway = &mut pair.gateways[0];
    // The leader may still allow more: it has not been asked.
    assert!(matches!(
        gateway.request(at(12_000), &tenant(), request(1, at(12_200))),
        OperationOutcome::Waiting(_)
    ));
    let report = gateway.report(at(12_010)).expect("it is told that one waits");
    let grant = pair.answer(at(12_020), &report).expect("an answer");
    let gateway = &mut pair.gateways[0];
    gateway.take(at(12_030), &grant);
    let settled = gateway.settle(at(12_030));
    assert!(matches!(settled[..], [SettledRequest { outcome: Err(_), .. }]), "{settled:?}");
    assert!(matches!(
        gateway.request(at(12_040), &tenant(), request(1, at(12_300))),
        OperationOutcome::Refused(_)
    ));
}
