//! Second observers of all groups, worked out once a revision for all hollow nodes.
//!
//! A real proxy follows them by itself, on a machine of its own. A thousand nodes in one
//! process would each do the same work, so they share it.

use super::observe::Changed;
use corktack_core::identity::{GroupName, ProxyName};
use corktack_core::routing;
use corktack_core::view::{Revision, View};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Mutex, PoisonError};

/// Second observers of all groups at the newest revision that any node has.
#[derive(Debug, Default)]
pub struct SecondObservers {
    known: Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    revision: Revision,
    seconds: routing::SecondObservers,
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
        known.seconds.follow(view);
        let everything = Changed::everything();
        let changed = if complete { &everything } else { changed };
        for name in changed.names(view) {
            let owner = view.groups.get(name).map(|group| group.owner.as_ref());
            let observer = owner.and_then(|owner| known.seconds.of(name, owner)).cloned();
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
