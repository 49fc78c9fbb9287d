//! [`SecondObservers`] returns the same observers as computing the weights of all proxies for each view.
#![allow(clippy::unwrap_used)]

use corktack_core::identity::{GroupName, Incarnation, ProxyName, ZoneName};
use corktack_core::position::Term;
use corktack_core::resources::DatabaseGroupSpec;
use corktack_core::routing::{SecondObservers, second_observer};
use corktack_core::view::{GroupView, ProxyState, ProxyView, View};
use proptest::prelude::*;
use proptest::sample::select;
use rstest::rstest;
use std::collections::BTreeSet;
use std::sync::Arc;

const PROXIES: usize = 12;
const GROUPS: usize = 8;

fn proxy_name(number: usize) -> ProxyName {
    ProxyName::new(format!("x{number}")).unwrap()
}

fn group_name(number: usize) -> GroupName {
    GroupName::new(format!("g{number}")).unwrap()
}

fn proxy(state: ProxyState) -> ProxyView {
    ProxyView {
        address: "127.0.0.1:1".parse().unwrap(),
        zone: ZoneName::new("amba.a").unwrap(),
        incarnation: Incarnation(1),
        state,
    }
}

fn group(owner: Option<ProxyName>) -> Arc<GroupView> {
    let spec = DatabaseGroupSpec {
        database: "calls".into(),
        members: Vec::new(),
        slots: 1,
        connections: 1,
        queue_limit: 1,
        queue_timeout_ms: 1,
        replica_wait_ms: 1,
    };
    Arc::new(GroupView { spec, primary: None, term: Term(1), owner, draining: BTreeSet::new() })
}

fn view(proxies: usize, groups: usize) -> View {
    let mut view = View::default();
    for number in 0..proxies {
        view.proxies.insert(proxy_name(number), proxy(ProxyState::Live));
    }
    for number in 0..groups {
        view.groups.insert(group_name(number), group(Some(proxy_name(number % proxies))));
    }
    view
}

fn check_observers(observers: &SecondObservers, view: &View) -> Result<(), TestCaseError> {
    for (name, group) in &view.groups {
        let kept = observers.observer_of(name, group.owner.as_ref());
        prop_assert_eq!(kept, second_observer(view, name, group), "{:?}", name);
    }
    Ok(())
}

#[derive(Clone, Debug)]
enum Change {
    Proxy(usize, Option<ProxyState>),
    Group(usize, Option<usize>),
    DeleteGroup(usize),
}

impl Change {
    fn apply(&self, view: &mut View) {
        match *self {
            Self::Proxy(number, Some(state)) => {
                view.proxies.insert(proxy_name(number), proxy(state));
            }
            Self::Proxy(number, None) => drop(view.proxies.remove(&proxy_name(number))),
            Self::Group(number, owner) => {
                view.groups.insert(group_name(number), group(owner.map(proxy_name)));
            }
            Self::DeleteGroup(number) => drop(view.groups.remove(&group_name(number))),
        }
    }
}

fn change() -> impl Strategy<Value = Change> {
    use ProxyState::{Down, Draining, Live};
    let states = vec![Some(Live), Some(Live), Some(Live), Some(Draining), Some(Down), None];
    prop_oneof![
        6 => (0..PROXIES, select(states)).prop_map(|(number, state)| Change::Proxy(number, state)),
        2 => (0..GROUPS, proptest::option::of(0..PROXIES))
            .prop_map(|(number, owner)| Change::Group(number, owner)),
        1 => (0..GROUPS).prop_map(Change::DeleteGroup),
    ]
}

/// Sequences of views, each given by its changes to the previous view.
fn revisions() -> impl Strategy<Value = Vec<Vec<Change>>> {
    proptest::collection::vec(proptest::collection::vec(change(), 0..5), 1..60)
}

fn fixed_cases() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(0x00c0_ffee);
    ProptestConfig { cases: 256, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn kept_observers_equal_those_of_all_weights(
        proxies in 1..=PROXIES,
        revisions in revisions(),
    ) {
        let mut view = view(proxies, GROUPS);
        let mut observers = SecondObservers::default();
        observers.update(&view);
        check_observers(&observers, &view)?;
        for changes in revisions {
            changes.iter().for_each(|change| change.apply(&mut view));
            observers.update(&view);
            check_observers(&observers, &view)?;
        }
    }
}

#[rstest]
fn only_changed_weights_are_computed() {
    let mut view = view(PROXIES, GROUPS);
    let mut observers = SecondObservers::default();
    assert_eq!(observers.update(&view), PROXIES * GROUPS);
    assert_eq!(observers.update(&view), 0);
    // The owner changes to the second observer.
    let name = group_name(0);
    let second = observers.observer_of(&name, Some(&proxy_name(0))).cloned();
    view.groups.insert(name.clone(), group(second.clone()));
    assert_eq!(observers.update(&view), 0);
    assert_ne!(observers.observer_of(&name, second.as_ref()), second.as_ref());
    // A proxy joins, another goes down, and a group is added.
    view.proxies.insert(proxy_name(PROXIES), proxy(ProxyState::Live));
    assert_eq!(observers.update(&view), GROUPS);
    view.proxies.insert(proxy_name(1), proxy(ProxyState::Down));
    assert_eq!(observers.update(&view), 0);
    view.groups.insert(group_name(GROUPS), group(None));
    assert_eq!(observers.update(&view), PROXIES);
}

#[rstest]
fn a_deleted_group_has_no_second_observer() {
    let mut view = view(PROXIES, GROUPS);
    let mut observers = SecondObservers::default();
    observers.update(&view);
    assert!(observers.observer_of(&group_name(0), None).is_some());
    view.groups.remove(&group_name(0));
    assert_eq!(observers.update(&view), 0);
    assert_eq!(observers.observer_of(&group_name(0), None), None);
}
