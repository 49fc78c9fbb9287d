//! Proxies that come and go, and the owners that follow from it.
//!
//! Changes the state as a command of the log says. Relies on [`crate::membership`] for who is down, and on
//! [`crate::ownership`] for who owns what.

use super::ControlState;
use super::change_set::ChangeSet;
use super::command::{ProxyRegistration, Refusal};
use super::records::{GroupRecord, ProxyRecord};
use crate::identity::{GroupName, Incarnation, ProxyName};
use crate::ownership::{Balancer, Owned, Placement};
use crate::view::{ProxyState, ProxyView, Revision};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Proxies that are down and still remembered; the ones that went down first are
/// forgotten first. Chosen, not measured: a bound on the state; a proxy that is forgotten comes back as a new one.
pub const DOWN_PROXY_LIMIT: usize = 256;

impl ControlState {
    /// Notes proxies that came or changed. A proxy that is new among the live ones
    /// takes over groups.
    pub(super) fn register_proxies(
        &mut self,
        batch: Vec<ProxyRegistration>,
        changed: &mut ChangeSet,
    ) -> Vec<(usize, Refusal)> {
        let mut newcomers = BTreeSet::new();
        let mut orphaned = false;
        for registration in batch {
            let name = registration.proxy.clone();
            let before = self.proxies.get(&name).map(|record| record.view.state);
            if !self.register_proxy(registration) {
                continue;
            }
            let after = self.proxies.get(&name).map(|record| record.view.state);
            if before != after && after == Some(ProxyState::Live) {
                newcomers.insert(name.clone());
            }
            orphaned |= before != after;
            changed.proxies.insert(name);
        }
        if orphaned {
            self.settle_owners(&newcomers, changed);
        }
        Vec::new()
    }

    /// Stores the registration; tells whether it changed anything. A proxy that is
    /// stopping stays so for the rest of its incarnation.
    fn register_proxy(&mut self, registration: ProxyRegistration) -> bool {
        let ProxyRegistration { proxy, incarnation, address, zone } = registration;
        let stored = self.proxies.get(&proxy).map(|record| &record.view);
        let stopping = stored
            .is_some_and(|it| it.state == ProxyState::Draining && it.incarnation == incarnation);
        let state = if stopping { ProxyState::Draining } else { ProxyState::Live };
        let view = ProxyView { address, zone, incarnation, state };
        if stored == Some(&view) {
            return false;
        }
        self.proxies.insert(proxy, ProxyRecord { view, down_since: Revision::default() });
        true
    }

    /// Declares proxies down, in the incarnations given.
    pub(super) fn proxies_down(
        &mut self,
        revision: Revision,
        batch: Vec<(ProxyName, Incarnation)>,
        changed: &mut ChangeSet,
    ) -> Vec<(usize, Refusal)> {
        let refused = self.set_states(batch, ProxyState::Down, changed);
        for name in &changed.proxies {
            if let Some(record) = self.proxies.get_mut(name) {
                record.down_since = revision;
            }
        }
        self.forget_proxies(changed);
        self.settle_owners(&BTreeSet::new(), changed);
        refused
    }

    /// Notes proxies that are stopping, in the incarnations given.
    pub(super) fn proxies_draining(
        &mut self,
        batch: Vec<(ProxyName, Incarnation)>,
        changed: &mut ChangeSet,
    ) -> Vec<(usize, Refusal)> {
        let refused = self.set_states(batch, ProxyState::Draining, changed);
        self.settle_owners(&BTreeSet::new(), changed);
        refused
    }

    fn set_states(
        &mut self,
        batch: Vec<(ProxyName, Incarnation)>,
        state: ProxyState,
        changed: &mut ChangeSet,
    ) -> Vec<(usize, Refusal)> {
        let mut refused = Vec::new();
        for (place, (name, incarnation)) in batch.into_iter().enumerate() {
            let record = self.proxies.get_mut(&name);
            let Some(record) = record.filter(|it| it.view.incarnation == incarnation) else {
                refused.push((place, Refusal::NotFound));
                continue;
            };
            if record.view.state != state && record.view.state != ProxyState::Down {
                record.view.state = state;
                changed.proxies.insert(name);
            }
        }
        refused
    }

    fn forget_proxies(&mut self, changed: &mut ChangeSet) {
        let down = self.proxies.iter().filter(|(_, it)| it.view.state == ProxyState::Down);
        let mut down: Vec<_> = down.map(|(name, it)| (it.down_since, name.clone())).collect();
        let excess = down.len().saturating_sub(DOWN_PROXY_LIMIT);
        down.sort();
        for (_, name) in down.into_iter().take(excess) {
            self.proxies.remove(&name);
            changed.proxies.insert(name);
        }
    }

    /// Gives an owner to each group whose owner is gone, then moves groups to newcomers.
    fn settle_owners(&mut self, newcomers: &BTreeSet<ProxyName>, changed: &mut ChangeSet) {
        let Self { groups, proxies, .. } = self;
        let mut balancer = balancer(proxies, groups);
        let is_orphan = |group: &GroupRecord| {
            group.view.owner.as_ref().is_none_or(|owner| !balancer.is_live(owner))
        };
        let orphans = groups.iter().filter(|(_, group)| is_orphan(group));
        let orphans: BTreeSet<_> = orphans.map(|(name, _)| name.clone()).collect();
        for name in &orphans {
            remember_owner(groups, name);
            assign(groups, &mut balancer, name, changed);
        }
        for newcomer in newcomers {
            let settled = groups.iter().filter(|(name, _)| !orphans.contains(*name));
            let owned = settled.filter_map(|(name, group)| owned(name, group));
            for name in balancer.attract(newcomer, owned) {
                set_owner(groups, &name, Some(newcomer.clone()), changed);
            }
        }
    }

    /// Gives owners to groups that have none.
    pub(super) fn assign_owners<'n>(
        &mut self,
        names: impl IntoIterator<Item = &'n GroupName>,
        changed: &mut ChangeSet,
    ) {
        let Self { groups, proxies, .. } = self;
        let mut balancer = balancer(proxies, groups);
        for name in names {
            assign(groups, &mut balancer, name, changed);
        }
    }

    /// Chooses owners again that were chosen while there was no primary.
    pub(super) fn reassign_owners(&mut self, names: &BTreeSet<GroupName>, changed: &mut ChangeSet) {
        if names.is_empty() {
            return;
        }
        let Self { groups, proxies, .. } = self;
        let mut balancer = balancer(proxies, groups);
        for name in names {
            let owner = groups.get(name).and_then(|group| group.view.owner.as_ref());
            if let Some(owner) = owner {
                balancer.release(owner);
            }
            assign(groups, &mut balancer, name, changed);
        }
    }
}

fn balancer<'a>(
    proxies: &'a BTreeMap<ProxyName, ProxyRecord>,
    groups: &BTreeMap<GroupName, GroupRecord>,
) -> Balancer<'a> {
    let live = proxies.iter().filter(|(_, record)| record.view.state == ProxyState::Live);
    let live = live.map(|(name, record)| (name, &record.view.zone));
    Balancer::new(live, groups.values().map(|group| group.view.owner.as_ref()))
}

fn placement<'a>(name: &'a GroupName, group: &'a GroupRecord) -> Placement<'a> {
    Placement { group: name, zone: group.primary_spec().map(|member| &member.zone) }
}

fn owned<'a>(name: &'a GroupName, group: &'a GroupRecord) -> Option<Owned<'a>> {
    let owner = group.view.owner.as_ref()?;
    let former_owner = group.former_owner.as_ref();
    Some(Owned { placement: placement(name, group), owner, former_owner })
}

/// Notes the owner that went, so that it gets the group back.
fn remember_owner(groups: &mut BTreeMap<GroupName, GroupRecord>, name: &GroupName) {
    let Some(group) = groups.get_mut(name) else { return };
    if let Some(owner) = &group.view.owner {
        group.former_owner = Some(owner.clone());
    }
}

fn assign(
    groups: &mut BTreeMap<GroupName, GroupRecord>,
    balancer: &mut Balancer<'_>,
    name: &GroupName,
    changed: &mut ChangeSet,
) {
    let Some(group) = groups.get_mut(name) else { return };
    let placement = placement(name, group);
    let blindly = placement.zone.is_none();
    let owner = balancer.assign(placement);
    group.placed_blindly = blindly;
    set_owner(groups, name, owner, changed);
}

fn set_owner(
    groups: &mut BTreeMap<GroupName, GroupRecord>,
    name: &GroupName,
    owner: Option<ProxyName>,
    changed: &mut ChangeSet,
) {
    let Some(group) = groups.get_mut(name) else { return };
    if group.former_owner == owner {
        group.former_owner = None;
    }
    if group.view.owner != owner {
        Arc::make_mut(&mut group.view).owner = owner;
        changed.groups.insert(name.clone());
    }
}
