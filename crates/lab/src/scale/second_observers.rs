//! Second observers of all groups, worked out once a revision for all hollow nodes.
//!
//! A real proxy weighs all proxies for all groups by itself at every change, on a machine
//! of its own. A thousand nodes in one process cannot, so the two heaviest proxies of each
//! group are kept, and only what a change of proxies touches is weighed again.

use super::observe::Changed;
use corktack_core::identity::{GroupName, ProxyName};
use corktack_core::routing::observer_weight;
use corktack_core::view::{ProxyState, Revision, View};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Mutex, PoisonError};

/// The heaviest proxies of a group, the heaviest first. One of two is not the owner.
type Heaviest = [Option<(u64, ProxyName)>; 2];

/// Second observers of all groups at the newest revision that any node has.
#[derive(Debug, Default)]
pub struct SecondObservers {
    known: Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    revision: Revision,
    live: BTreeSet<ProxyName>,
    heaviest: BTreeMap<GroupName, Heaviest>,
    observers: BTreeMap<GroupName, ProxyName>,
    groups: HashMap<ProxyName, BTreeSet<GroupName>>,
}

impl SecondObservers {
    /// Takes a node's configuration, if it is the newest so far; `before` was the node's
    /// revision before the change.
    pub fn follow(&self, before: Revision, view: &View, changed: &Changed) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if known.revision >= view.revision {
            return;
        }
        let complete = changed.all || changed.proxies || known.revision != before;
        if complete {
            known.follow_proxies(view);
        }
        let everything = Changed::everything();
        let changed = if complete { &everything } else { changed };
        for name in changed.names(view) {
            let owner = view.groups.get(name).map(|group| group.owner.as_ref());
            let observer = owner.and_then(|owner| known.second(name, owner));
            known.set(name, observer);
        }
        known.revision = view.revision;
    }

    /// Groups that a proxy observes.
    #[must_use]
    pub fn groups_of(&self, proxy: &ProxyName) -> BTreeSet<GroupName> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.groups.get(proxy).cloned().unwrap_or_default()
    }
}

impl Known {
    /// Weighs those that came, and all where one of the heaviest went.
    fn follow_proxies(&mut self, view: &View) {
        let live = view.proxies.iter().filter(|(_, proxy)| proxy.state == ProxyState::Live);
        let live: BTreeSet<ProxyName> = live.map(|(name, _)| name.clone()).collect();
        let came: Vec<&ProxyName> = live.difference(&self.live).collect();
        for (group, heaviest) in &mut self.heaviest {
            let went = heaviest.iter().flatten().any(|(_, proxy)| !live.contains(proxy));
            if went {
                *heaviest = heaviest_of(group, &live);
            } else {
                came.iter().for_each(|proxy| weigh(heaviest, group, proxy));
            }
        }
        self.live = live;
    }

    fn second(&mut self, name: &GroupName, owner: Option<&ProxyName>) -> Option<ProxyName> {
        if !self.heaviest.contains_key(name) {
            self.heaviest.insert(name.clone(), heaviest_of(name, &self.live));
        }
        let mut heaviest = self.heaviest.get(name)?.iter().flatten();
        heaviest.find(|(_, proxy)| Some(proxy) != owner).map(|(_, proxy)| proxy.clone())
    }

    fn set(&mut self, name: &GroupName, observer: Option<ProxyName>) {
        if self.observers.get(name) == observer.as_ref() {
            return;
        }
        if let Some(former) = self.observers.remove(name)
            && let Some(groups) = self.groups.get_mut(&former)
        {
            groups.remove(name);
        }
        if let Some(observer) = observer {
            self.groups.entry(observer.clone()).or_default().insert(name.clone());
            self.observers.insert(name.clone(), observer);
        }
    }
}

fn heaviest_of(group: &GroupName, live: &BTreeSet<ProxyName>) -> Heaviest {
    let mut heaviest = Heaviest::default();
    live.iter().for_each(|proxy| weigh(&mut heaviest, group, proxy));
    heaviest
}

fn weigh(heaviest: &mut Heaviest, group: &GroupName, proxy: &ProxyName) {
    let weight = observer_weight(group, proxy);
    let heavier = |than: &Option<(u64, ProxyName)>| than.as_ref().is_none_or(|it| weight > it.0);
    if heavier(&heaviest[0]) {
        heaviest[1] = heaviest[0].replace((weight, proxy.clone()));
    } else if heavier(&heaviest[1]) {
        heaviest[1] = Some((weight, proxy.clone()));
    }
}
