//! Second observers of all groups, kept from view to view.
//!
//! Owns the heaviest proxies of each group, so that a change of the view weighs few of them anew. Relies on the view
//! for which proxies are live.

use super::observer_weight;
use crate::identity::{GroupName, ProxyName};
use crate::view::{ProxyState, View};
use std::collections::{BTreeMap, BTreeSet};

/// Heaviest proxies kept for a group when all are weighed. Two answer for every
/// owner; the others spare weighing all again when one of the two goes.
const KEPT: usize = 4;
/// Proxies that answer for every owner: the first, or the next if that owns it.
const NEEDED: usize = 2;

/// The second observers of all groups, as [`super::second_observer`] gives them
/// view by view. Weights depend on names only, so what is kept of a group changes
/// only with the set of live proxies; its owner is left out when it is asked for.
#[derive(Debug, Default)]
pub struct SecondObservers {
    live: BTreeSet<ProxyName>,
    heaviest: BTreeMap<GroupName, Heaviest>,
}

/// Live proxies and their weights for a group, the heaviest first: none that is
/// left out is heavier than one that is kept.
#[derive(Debug, Default)]
struct Heaviest {
    kept: Vec<(u64, ProxyName)>,
}

impl SecondObservers {
    /// Takes over a view, whichever came before; gives the number of weights that
    /// had to be worked out.
    pub fn follow(&mut self, view: &View) -> usize {
        let weighed = self.follow_proxies(view) + self.weigh_new_groups(view);
        // All groups of the view are known now, so others are left only if more are.
        if self.heaviest.len() > view.groups.len() {
            self.heaviest.retain(|name, _| view.groups.contains_key(name));
        }
        weighed
    }

    /// The second observer of a group of the view that was followed last.
    #[must_use]
    pub fn of(&self, group: &GroupName, owner: Option<&ProxyName>) -> Option<&ProxyName> {
        let kept = &self.heaviest.get(group)?.kept;
        kept.iter().map(|(_, proxy)| proxy).find(|proxy| Some(*proxy) != owner)
    }

    fn follow_proxies(&mut self, view: &View) -> usize {
        if live_proxies(view).eq(&self.live) {
            return 0;
        }
        let live: BTreeSet<ProxyName> = live_proxies(view).cloned().collect();
        let left: BTreeSet<&ProxyName> = self.live.difference(&live).collect();
        let came: Vec<&ProxyName> = live.difference(&self.live).collect();
        let known = self.heaviest.iter_mut();
        let weighed =
            known.map(|(group, heaviest)| heaviest.follow(group, &live, &left, &came)).sum();
        self.live = live;
        weighed
    }

    fn weigh_new_groups(&mut self, view: &View) -> usize {
        let mut weighed = 0;
        for name in view.groups.keys() {
            if !self.heaviest.contains_key(name) {
                self.heaviest.insert(name.clone(), Heaviest::of(name, &self.live));
                weighed += self.live.len();
            }
        }
        weighed
    }
}

impl Heaviest {
    /// Weighs all live proxies.
    fn of(group: &GroupName, live: &BTreeSet<ProxyName>) -> Self {
        let mut heaviest = Self::default();
        for proxy in live {
            let weight = observer_weight(group, proxy);
            if heaviest.kept.len() < KEPT || heaviest.outweighs_last(weight, proxy) {
                heaviest.insert(weight, proxy);
            }
        }
        heaviest
    }

    /// Drops those that left and weighs those that came; weighs all only when too few
    /// are left to answer. Gives the number of weights worked out.
    fn follow(
        &mut self,
        group: &GroupName,
        live: &BTreeSet<ProxyName>,
        left: &BTreeSet<&ProxyName>,
        came: &[&ProxyName],
    ) -> usize {
        self.kept.retain(|(_, proxy)| !left.contains(proxy));
        if self.kept.len() < NEEDED {
            *self = Self::of(group, live);
            return live.len();
        }
        came.iter().for_each(|proxy| self.weigh_newcomer(group, proxy));
        came.len()
    }

    /// Keeps a newcomer only if it is heavier than one that is kept. That one left
    /// makes no room: a proxy that was left out may be heavier than the newcomer.
    fn weigh_newcomer(&mut self, group: &GroupName, proxy: &ProxyName) {
        let weight = observer_weight(group, proxy);
        if self.outweighs_last(weight, proxy) {
            self.insert(weight, proxy);
        }
    }

    /// Of equal weights the last by name is the heavier, as for
    /// [`super::second_observer`].
    fn outweighs_last(&self, weight: u64, proxy: &ProxyName) -> bool {
        self.kept.last().is_some_and(|(last, name)| (weight, proxy) > (*last, name))
    }

    fn insert(&mut self, weight: u64, proxy: &ProxyName) {
        let entry = (weight, proxy.clone());
        let place = self.kept.partition_point(|kept| *kept > entry);
        self.kept.insert(place, entry);
        self.kept.truncate(KEPT);
    }
}

fn live_proxies(view: &View) -> impl Iterator<Item = &ProxyName> {
    view.proxies.iter().filter(|(_, proxy)| proxy.state == ProxyState::Live).map(|(name, _)| name)
}
