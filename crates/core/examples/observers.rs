//! Measures what a proxy spends on second observers when a zone is lost, revision by revision.
//!
//! `cargo run --release -p corktack-core --example observers -- PROXIES GROUPS`

use corktack_core::identity::{GroupName, Incarnation, NameError, ProxyName, ZoneName};
use corktack_core::position::Term;
use corktack_core::resources::DatabaseGroupSpec;
use corktack_core::routing::{SecondObservers, second_observer};
use corktack_core::view::{GroupView, ProxyState, ProxyView, View};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

const DEFAULT_PROXIES: usize = 1_100;
const DEFAULT_GROUPS: usize = 733;
/// Revisions over which a zone of three is lost.
const REVISIONS: usize = 40;

/// Why a measurement ended early.
#[derive(Debug, thiserror::Error)]
enum ObserversError {
    #[error("usage: observers [PROXIES [GROUPS]]")]
    Usage,
    #[error(transparent)]
    Name(#[from] NameError),
    #[error("the two forms differ")]
    Differ,
}

fn main() -> Result<(), ObserversError> {
    let proxies = argument(1, DEFAULT_PROXIES)?;
    let groups = argument(2, DEFAULT_GROUPS)?;
    let mut view = view(proxies, groups)?;
    let mut observers = SecondObservers::default();
    println!("proxies={proxies} groups={groups}");
    report("first view", &[measure(&view, &mut observers)?]);
    report("nothing changed", &[measure(&view, &mut observers)?]);
    let lost: Vec<ProxyName> = view.proxies.keys().step_by(3).cloned().collect();
    report("zone lost", &set_state(&mut view, &mut observers, &lost, ProxyState::Down)?);
    report("zone back", &set_state(&mut view, &mut observers, &lost, ProxyState::Live)?);
    Ok(())
}

fn argument(place: usize, default: usize) -> Result<usize, ObserversError> {
    let given = std::env::args().nth(place);
    given.map_or(Ok(default), |text| text.parse().map_err(|_| ObserversError::Usage))
}

fn view(proxies: usize, groups: usize) -> Result<View, NameError> {
    let mut view = View::default();
    for number in 0..proxies {
        let proxy = ProxyView {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            zone: ZoneName::new("amba.a")?,
            incarnation: Incarnation(1),
            state: ProxyState::Live,
        };
        view.proxies.insert(ProxyName::new(format!("proxy-{number:05}"))?, proxy);
    }
    for number in 0..groups {
        let owner = ProxyName::new(format!("proxy-{:05}", number % proxies))?;
        view.groups.insert(GroupName::new(format!("group-{number:05}"))?, group(owner));
    }
    Ok(view)
}

fn group(owner: ProxyName) -> Arc<GroupView> {
    let spec = DatabaseGroupSpec {
        database: "calls".into(),
        members: Vec::new(),
        slots: 1,
        connections: 1,
        queue_limit: 1,
        queue_timeout_ms: 1,
        replica_wait_ms: 1,
    };
    let draining = BTreeSet::new();
    Arc::new(GroupView { spec, primary: None, term: Term(1), owner: Some(owner), draining })
}

/// Sets the state of proxies over the revisions, and measures each.
fn set_state(
    view: &mut View,
    observers: &mut SecondObservers,
    names: &[ProxyName],
    state: ProxyState,
) -> Result<Vec<Measured>, ObserversError> {
    let each = names.len().div_ceil(REVISIONS).max(1);
    let revisions = names.chunks(each).map(|changed| {
        let changed: BTreeSet<&ProxyName> = changed.iter().collect();
        let changed = view.proxies.iter_mut().filter(|(name, _)| changed.contains(name));
        changed.for_each(|(_, proxy)| proxy.state = state);
        measure(view, observers)
    });
    revisions.collect()
}

/// What one view took in both forms.
struct Measured {
    full: Duration,
    kept: Duration,
    weighed: usize,
}

fn measure(view: &View, observers: &mut SecondObservers) -> Result<Measured, ObserversError> {
    let start = Instant::now();
    let full: Vec<_> =
        view.groups.iter().map(|(name, group)| second_observer(view, name, group)).collect();
    let full_time = start.elapsed();
    let start = Instant::now();
    let weighed = observers.update(view);
    let groups = view.groups.iter();
    let kept: Vec<_> =
        groups.map(|(name, group)| observers.observer_of(name, group.owner.as_ref())).collect();
    let kept_time = start.elapsed();
    if kept != full {
        return Err(ObserversError::Differ);
    }
    Ok(Measured { full: full_time, kept: kept_time, weighed })
}

fn report(what: &str, measured: &[Measured]) {
    let full: Duration = measured.iter().map(|one| one.full).sum();
    let kept: Duration = measured.iter().map(|one| one.kept).sum();
    let slowest = measured.iter().map(|one| one.kept).max().unwrap_or_default();
    let weighed: usize = measured.iter().map(|one| one.weighed).sum();
    let revisions = measured.len();
    println!(
        "{what}: revisions={revisions} full={full:?} kept={kept:?} slowest_kept={slowest:?} weights={weighed}"
    );
}
