//! Choice of a group's second observer as the proxies in the view change.
#![allow(clippy::unwrap_used)]

mod support;

use corktack_core::identity::{GroupName, Incarnation, ProxyName};
use corktack_core::routing::observer_weight;
use corktack_core::view::{ProxyState, ProxyView, View};
use rstest::rstest;
use std::collections::BTreeSet;
use std::sync::Arc;
use support::{Fleet, GROUP, zone};

fn proxy_name(number: usize) -> ProxyName {
    ProxyName::new(format!("proxy-{number}")).unwrap()
}

fn set_proxy(view: &mut View, name: ProxyName, state: ProxyState) {
    let address = "127.0.0.1:1".parse().unwrap();
    let proxy = ProxyView { address, zone: zone("amba.a"), incarnation: Incarnation(1), state };
    view.proxies.insert(name, proxy);
}

/// Makes the proxy under test the only possible second observer: the other proxy owns the group.
fn observe(view: &mut View) {
    view.proxies.clear();
    set_proxy(view, proxy_name(1), ProxyState::Live);
    set_proxy(view, proxy_name(9), ProxyState::Live);
    set_owner(view, 9);
}

fn set_owner(view: &mut View, number: usize) {
    let group = view.groups.get_mut(&GroupName::new(GROUP).unwrap()).unwrap();
    Arc::make_mut(group).owner = Some(proxy_name(number));
}

fn drain(view: &mut View) {
    set_proxy(view, proxy_name(1), ProxyState::Draining);
}

fn take_down(view: &mut View) {
    set_proxy(view, proxy_name(1), ProxyState::Down);
}

fn forget(view: &mut View) {
    view.proxies.remove(&proxy_name(1));
}

fn add_heavier(view: &mut View) {
    let group = GroupName::new(GROUP).unwrap();
    let weight = |number: &usize| observer_weight(&group, &proxy_name(*number));
    let heavier = (10..).find(|number| weight(number) > weight(&1)).unwrap();
    set_proxy(view, proxy_name(heavier), ProxyState::Live);
}

fn change(fleet: &Fleet, change: fn(&mut View)) {
    fleet.views.send_modify(|view| {
        let next = Arc::make_mut(view);
        next.revision.0 += 1;
        change(next);
    });
}

/// Returns the members that the next three reports of the group are about.
async fn next_reports(fleet: &mut Fleet) -> BTreeSet<String> {
    let mut members = BTreeSet::new();
    for _ in 0..3 {
        let mut report = fleet.observations.recv().await.unwrap();
        while report.group.as_str() != GROUP {
            report = fleet.observations.recv().await.unwrap();
        }
        members.insert(report.member.to_string());
    }
    members
}

#[rstest]
#[case::proxy_draining(drain)]
#[case::proxy_down(take_down)]
#[case::proxy_removed(forget)]
#[case::heavier_proxy_added(add_heavier)]
#[actix_rt::test]
async fn a_proxy_probes_a_group_only_while_it_is_its_second_observer(#[case] end: fn(&mut View)) {
    let all = BTreeSet::from(["m1", "m2", "m3"].map(str::to_owned));
    let mut fleet = Fleet::start(1, 20).await;
    let mut edge = fleet.edge().await;
    assert_eq!(next_reports(&mut fleet).await, all);
    change(&fleet, observe);
    assert_eq!(next_reports(&mut fleet).await, all);
    change(&fleet, end);
    fleet.wait_for_view(&mut edge).await;
    // Health is reported on change only, so these reports come from restarted probes.
    change(&fleet, observe);
    assert_eq!(next_reports(&mut fleet).await, all);
}
