//! What hollow nodes see of a lost zone, and how its repair is counted.

use corktack_core::identity::{GroupName, Incarnation, MemberName, ProxyName, ZoneName};
use corktack_core::position::Term;
use corktack_core::resources::{DatabaseGroupSpec, MemberSpec};
use corktack_core::routing::second_observer;
use corktack_core::view::{GroupView, ProxyState, ProxyView, Revision, View};
use corktack_lab::scale::group::{HollowGroup, Life};
use corktack_lab::scale::loss::{FollowedLoss, Loss, Part};
use corktack_lab::scale::observe::{Changed, HollowGroups, Observer, PROBE_INTERVAL};
use corktack_lab::scale::samples::Spread;
use corktack_lab::scale::second_observers::SecondObservers;
use corktack_protocol::control::MemberHealth::{Primary, Replica, Unreachable};
use corktack_protocol::control::{MemberHealth, Observation};
use rstest::{fixture, rstest};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Longer than a probe to a dead member goes unanswered.
const AFTER_TIMEOUT: Duration = Duration::from_millis(500);

/// Proxies of the configuration.
const PROXIES: usize = 8;

fn group_name() -> GroupName {
    GroupName::new("records").expect("a valid name")
}

fn member(place: usize) -> MemberName {
    MemberName::new(format!("m-{place}")).expect("a valid name")
}

fn proxy(place: usize) -> ProxyName {
    ProxyName::new(format!("p-{place}")).expect("a valid name")
}

/// Some proxies, and a group of three whose first member is primary and first proxy owner.
#[fixture]
fn view() -> View {
    let zone = ZoneName::new("amba.a").expect("a valid name");
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let members = (0..3).map(|place| MemberSpec {
        name: member(place),
        address,
        zone: zone.clone(),
        draining: false,
    });
    let spec = DatabaseGroupSpec {
        database: "records".to_owned(),
        members: members.collect(),
        slots: 5,
        connections: 15,
        queue_limit: 10,
        queue_timeout_ms: 1_000,
        replica_wait_ms: 100,
    };
    let group = GroupView {
        spec,
        primary: Some(member(0)),
        term: Term(1),
        owner: Some(proxy(0)),
        draining: BTreeSet::new(),
    };
    let state = ProxyState::Live;
    let running = || ProxyView { address, zone: zone.clone(), incarnation: Incarnation(1), state };
    View {
        revision: Revision(1),
        groups: [(group_name(), Arc::new(group))].into(),
        proxies: (0..PROXIES).map(|place| (proxy(place), running())).collect(),
        ..View::default()
    }
}

fn change(view: &mut View, change: impl FnOnce(&mut GroupView)) -> Changed {
    let mut group = GroupView::clone(&view.groups[&group_name()]);
    change(&mut group);
    view.groups.insert(group_name(), Arc::new(group));
    view.revision.0 += 1;
    Changed { groups: vec![group_name()], ..Changed::default() }
}

fn hollow() -> (Arc<HollowGroup>, Arc<HollowGroups>) {
    let group = Arc::new(HollowGroup::new((0..3).map(member).collect(), 0));
    let groups = HollowGroups::from([(group_name(), Arc::clone(&group))]);
    (group, Arc::new(groups))
}

fn healths(observations: Vec<Observation>) -> Vec<(MemberName, MemberHealth)> {
    observations.into_iter().map(|it| (it.member, it.health)).collect()
}

#[rstest]
fn an_owner_reports_changes_only_and_a_death_after_the_timeout(view: View) {
    let (group, groups) = hollow();
    let mut observer = Observer::new(proxy(0), groups, Arc::default());
    // Two probes ago, so that the death, which is noted at the clock's time, is not older
    // than the look that must not report it yet.
    let start = Instant::now() - PROBE_INTERVAL * 2;
    observer.follow(start, &view, &Changed::everything());
    let first = healths(observer.look(start));
    let term = Term(1);
    let expected =
        vec![(member(0), Primary(term)), (member(1), Replica(term)), (member(2), Replica(term))];
    assert_eq!(first, expected);
    assert_eq!(observer.deadline(), Some(start + PROBE_INTERVAL));
    assert_eq!(observer.look(start + PROBE_INTERVAL), []);

    group.kill(0, Life::Refusing);
    assert_eq!(observer.look(start + PROBE_INTERVAL * 2), []);
    let seen = healths(observer.look(Instant::now() + AFTER_TIMEOUT));
    assert_eq!(seen, [(member(0), Unreachable)]);
}

#[rstest]
fn the_second_observer_is_the_one_that_a_real_proxy_would_choose(mut view: View) {
    let (_, groups) = hollow();
    let seconds: Arc<SecondObservers> = Arc::default();
    let new = |place| Observer::new(proxy(place), Arc::clone(&groups), Arc::clone(&seconds));
    let mut observers: Vec<_> = (0..PROXIES).map(new).collect();
    let now = Instant::now();
    let mut changed = Changed::everything();
    let losses = (0..PROXIES).flat_map(|owner| (0..PROXIES).map(move |lost| (owner, Some(lost))));
    for (owner, lost) in [(0, None), (1, None), (2, None)].into_iter().chain(losses) {
        if view.revision > Revision(1) || owner > 0 {
            changed = change(&mut view, |group| group.owner = Some(proxy(owner)));
            changed.proxies = true;
        }
        for (name, known) in &mut view.proxies {
            let down = lost.map(proxy).as_ref() == Some(name);
            known.state = if down { ProxyState::Down } else { ProxyState::Live };
        }
        let group = &view.groups[&group_name()];
        let second = second_observer(&view, &group_name(), group).expect("a second observer");
        let observes = |place| place == owner || *second == proxy(place);
        // The first to follow a revision works it out for all, so it is followed twice.
        for _ in 0..2 {
            observers.iter_mut().for_each(|it| it.follow(now, &view, &changed));
        }
        for (place, observer) in observers.iter().enumerate() {
            let expected = observes(place).then_some(now);
            assert_eq!(observer.deadline(), expected, "owner {owner}, lost {lost:?}, p-{place}");
        }
    }
}

#[rstest]
fn a_loss_is_repaired_when_every_survivor_has_live_parts(mut view: View) {
    let (members, proxies) = ([member(0)].into(), [proxy(0)].into());
    let loss = Arc::new(Loss::new(&view, 2, members, proxies));
    assert_eq!((loss.count(Part::Primary), loss.count(Part::Owner)), (1, 1));
    let mut nodes = [FollowedLoss::new(Arc::clone(&loss)), FollowedLoss::new(Arc::clone(&loss))];

    let begun = change(&mut view, |group| group.primary = None);
    nodes.iter_mut().for_each(|node| node.follow(&view, &begun));
    assert_eq!(loss.begun_millis(Part::Primary).len(), 1);
    assert_eq!(
        (loss.begun_millis(Part::Owner).len(), loss.first_millis(Part::Primary).len()),
        (0, 0)
    );
    assert!(loss.millis(Part::Primary).is_empty());

    let changed = change(&mut view, |group| group.primary = Some(member(1)));
    nodes[0].follow(&view, &changed);
    nodes[0].follow(&view, &changed);
    assert_eq!(loss.first_millis(Part::Primary).len(), 1);
    assert!(loss.millis(Part::Primary).is_empty());
    nodes[1].follow(&view, &changed);
    assert_eq!((loss.millis(Part::Primary).len(), loss.millis(Part::Owner).len()), (1, 0));
    assert!(!loss.is_repaired());

    let changed = change(&mut view, |group| group.owner = Some(proxy(1)));
    nodes.iter_mut().for_each(|node| node.follow(&view, &changed));
    assert!(loss.is_repaired());

    let again = change(&mut view, |group| group.primary = Some(member(0)));
    nodes[0].follow(&view, &again);
    assert!(!loss.is_repaired(), "a dead primary in force undoes the repair");
}

#[rstest]
#[case::none(&[], (0, 0.0, 0.0, 0.0, 0.0))]
#[case::one(&[3.0], (1, 3.0, 3.0, 3.0, 3.0))]
#[case::some(&[1.0, 2.0, 3.0, 4.0], (4, 1.0, 2.0, 4.0, 4.0))]
fn a_spread_is_by_nearest_rank(
    #[case] sorted: &[f64],
    #[case] (count, min, median, p99, max): (usize, f64, f64, f64, f64),
) {
    assert_eq!(Spread::of(sorted), Spread { count, min, median, p99, max });
}
