//! Second observers of all groups, updated with each view.
//!
//! The module keeps the proxies of highest weight for each group, so that a change of the view
//! computes few weights anew. The view says which proxies are live.

use super::observer_weight;
use crate::identity::{GroupName, ProxyName};
use crate::view::{ProxyState, View};
use std::collections::{BTreeMap, BTreeSet};

/// Number of highest-weight proxies kept for a group. Two suffice for every
/// owner; the others avoid computing all weights again when one of the two leaves.
const KEPT_PROXIES: usize = 4;
/// Number of kept proxies that suffice for every owner: the first, or the second if the first owns
/// the group.
const REQUIRED_PROXIES: usize = 2;

/// The second observers of all groups, equal to those of [`super::second_observer`] for each
/// view. Weights depend on names only, so the kept proxies of a group change only with the
/// set of live proxies; [`SecondObservers::observer_of`] leaves out the owner.
#[derive(Debug, Default)]
pub struct SecondObservers {
    live: BTreeSet<ProxyName>,
    heaviest: BTreeMap<GroupName, Heaviest>,
}

/// Live proxies and their weights for a group, in descending order of weight. No live proxy that
/// is left out has a higher weight than a kept one.
#[derive(Debug, Default)]
struct Heaviest {
    kept: Vec<(u64, ProxyName)>,
}

impl SecondObservers {
    /// Updates the observers to a view, whichever view came before; returns the number of
    /// weights that were computed.
    pub fn update(&mut self, view: &View) -> usize {
        let computed = self.update_proxies(view) + self.add_new_groups(view);
        // All groups of the view are stored by now, so others remain only if there are more.
        if self.heaviest.len() > view.groups.len() {
            self.heaviest.retain(|name, _| view.groups.contains_key(name));
        }
        computed
    }

    /// Returns the second observer of a group of the last view.
    #[must_use]
    pub fn observer_of(&self, group: &GroupName, owner: Option<&ProxyName>) -> Option<&ProxyName> {
        let kept = &self.heaviest.get(group)?.kept;
        kept.iter().map(|(_, proxy)| proxy).find(|proxy| Some(*proxy) != owner)
    }

    fn update_proxies(&mut self, view: &View) -> usize {
        if live_proxies(view).eq(&self.live) {
            return 0;
        }
        let live: BTreeSet<ProxyName> = live_proxies(view).cloned().collect();
        let departed: BTreeSet<&ProxyName> = self.live.difference(&live).collect();
        let joined: Vec<&ProxyName> = live.difference(&self.live).collect();
        let groups = self.heaviest.iter_mut();
        let computed =
            groups.map(|(group, heaviest)| heaviest.update(group, &live, &departed, &joined)).sum();
        self.live = live;
        computed
    }

    fn add_new_groups(&mut self, view: &View) -> usize {
        let mut computed = 0;
        for name in view.groups.keys() {
            if !self.heaviest.contains_key(name) {
                self.heaviest.insert(name.clone(), Heaviest::of(name, &self.live));
                computed += self.live.len();
            }
        }
        computed
    }
}

impl Heaviest {
    /// Computes the weights of all live proxies.
    fn of(group: &GroupName, live: &BTreeSet<ProxyName>) -> Self {
        let mut heaviest = Self::default();
        for proxy in live {
            let weight = observer_weight(group, proxy);
            if heaviest.kept.len() < KEPT_PROXIES || heaviest.outweighs_last(weight, proxy) {
                heaviest.insert(weight, proxy);
            }
        }
        heaviest
    }

    /// Removes departed proxies and computes the weights of joined ones; computes all weights only
    /// when too few kept proxies remain. Returns the number of weights computed.
    fn update(
        &mut self,
        group: &GroupName,
        live: &BTreeSet<ProxyName>,
        departed: &BTreeSet<&ProxyName>,
        joined: &[&ProxyName],
    ) -> usize {
        self.kept.retain(|(_, proxy)| !departed.contains(proxy));
        if self.kept.len() < REQUIRED_PROXIES {
            *self = Self::of(group, live);
            return live.len();
        }
        joined.iter().for_each(|proxy| self.consider_joined(group, proxy));
        joined.len()
    }

    /// Keeps a joined proxy only if its weight is above that of a kept one. A departed proxy
    /// makes no room: a proxy that was left out may have a higher weight than the joined one.
    fn consider_joined(&mut self, group: &GroupName, proxy: &ProxyName) {
        let weight = observer_weight(group, proxy);
        if self.outweighs_last(weight, proxy) {
            self.insert(weight, proxy);
        }
    }

    /// Reports whether a proxy ranks above the last kept one. Of equal weights the last by name
    /// ranks higher, as in [`super::second_observer`].
    fn outweighs_last(&self, weight: u64, proxy: &ProxyName) -> bool {
        self.kept.last().is_some_and(|(last, name)| (weight, proxy) > (*last, name))
    }

    fn insert(&mut self, weight: u64, proxy: &ProxyName) {
        let entry = (weight, proxy.clone());
        let index = self.kept.partition_point(|kept| *kept > entry);
        self.kept.insert(index, entry);
        self.kept.truncate(KEPT_PROXIES);
    }
}

fn live_proxies(view: &View) -> impl Iterator<Item = &ProxyName> {
    view.proxies.iter().filter(|(_, proxy)| proxy.state == ProxyState::Live).map(|(name, _)| name)
}
