//! Applies changes of proxies to the control state, and reassigns the owners of groups accordingly.
//!
//! [`crate::membership`] decides which proxies are down, and [`crate::ownership`] which proxy owns a group.

use super::ControlState;
use super::change_set::ChangeSet;
use super::command::{ProxyRegistration, Refusal};
use super::records::{GroupRecord, ProxyRecord};
use crate::identity::{GroupName, Incarnation, ProxyName};
use crate::ownership::{Balancer, OwnedGroup, Placement};
use crate::view::{ProxyState, ProxyView, Revision};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of down proxies in the state, which bounds its size. Proxies that went down first are
/// removed first; a removed proxy that returns counts as new.
pub const DOWN_PROXY_LIMIT: usize = 256;

impl ControlState {
    /// Registers new and changed proxies. A proxy that becomes live takes over groups from other proxies.
    pub(super) fn register_proxies(
        &mut self,
        batch: Vec<ProxyRegistration>,
        changed: &mut ChangeSet,
    ) -> Vec<(usize, Refusal)> {
        let mut newly_live = BTreeSet::new();
        let mut has_state_change = false;
        for registration in batch {
            let name = registration.proxy.clone();
            let before = self.proxies.get(&name).map(|record| record.view.state);
            if !self.register_proxy(registration) {
                continue;
            }
            let after = self.proxies.get(&name).map(|record| record.view.state);
            if before != after && after == Some(ProxyState::Live) {
                newly_live.insert(name.clone());
            }
            has_state_change |= before != after;
            changed.proxies.insert(name);
        }
        if has_state_change {
            self.update_owners(&newly_live, changed);
        }
        Vec::new()
    }

    /// Stores the registration and returns whether it changed anything. A draining proxy stays draining for
    /// the rest of its incarnation.
    fn register_proxy(&mut self, registration: ProxyRegistration) -> bool {
        let ProxyRegistration { proxy, incarnation, address, zone } = registration;
        let stored = self.proxies.get(&proxy).map(|record| &record.view);
        let is_draining = stored.is_some_and(|view| {
            view.state == ProxyState::Draining && view.incarnation == incarnation
        });
        let state = if is_draining { ProxyState::Draining } else { ProxyState::Live };
        let view = ProxyView { address, zone, incarnation, state };
        if stored == Some(&view) {
            return false;
        }
        self.proxies.insert(proxy, ProxyRecord { view, down_since: Revision::default() });
        true
    }

    /// Declares proxies down, in the given incarnations. Returns the index and reason of each refused item.
    pub(super) fn mark_proxies_down(
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
        self.remove_excess_down_proxies(changed);
        self.update_owners(&BTreeSet::new(), changed);
        refused
    }

    /// Marks proxies as draining, in the given incarnations. Returns the index and reason of
    /// each refused item.
    pub(super) fn mark_proxies_draining(
        &mut self,
        batch: Vec<(ProxyName, Incarnation)>,
        changed: &mut ChangeSet,
    ) -> Vec<(usize, Refusal)> {
        let refused = self.set_states(batch, ProxyState::Draining, changed);
        self.update_owners(&BTreeSet::new(), changed);
        refused
    }

    fn set_states(
        &mut self,
        batch: Vec<(ProxyName, Incarnation)>,
        state: ProxyState,
        changed: &mut ChangeSet,
    ) -> Vec<(usize, Refusal)> {
        let mut refused = Vec::new();
        for (index, (name, incarnation)) in batch.into_iter().enumerate() {
            let record = self.proxies.get_mut(&name);
            let Some(record) = record.filter(|record| record.view.incarnation == incarnation)
            else {
                refused.push((index, Refusal::NotFound));
                continue;
            };
            if record.view.state != state && record.view.state != ProxyState::Down {
                record.view.state = state;
                changed.proxies.insert(name);
            }
        }
        refused
    }

    fn remove_excess_down_proxies(&mut self, changed: &mut ChangeSet) {
        let down = self.proxies.iter().filter(|(_, record)| record.view.state == ProxyState::Down);
        let mut down: Vec<_> =
            down.map(|(name, record)| (record.down_since, name.clone())).collect();
        let excess = down.len().saturating_sub(DOWN_PROXY_LIMIT);
        down.sort();
        for (_, name) in down.into_iter().take(excess) {
            self.proxies.remove(&name);
            changed.proxies.insert(name);
        }
    }

    /// Assigns an owner to each group without a live owner, then moves groups to the proxies
    /// that became live.
    fn update_owners(&mut self, newly_live: &BTreeSet<ProxyName>, changed: &mut ChangeSet) {
        let Self { groups, proxies, .. } = self;
        let mut balancer = balancer(proxies, groups);
        let has_no_live_owner = |group: &GroupRecord| {
            group.view.owner.as_ref().is_none_or(|owner| !balancer.is_live(owner))
        };
        let unowned = groups.iter().filter(|(_, group)| has_no_live_owner(group));
        let unowned: BTreeSet<_> = unowned.map(|(name, _)| name.clone()).collect();
        for name in &unowned {
            record_former_owner(groups, name);
            assign_owner(groups, &mut balancer, name, changed);
        }
        for proxy in newly_live {
            let movable = groups.iter().filter(|(name, _)| !unowned.contains(*name));
            let owned = movable.filter_map(|(name, group)| owned_group(name, group));
            for name in balancer.rebalance_to(proxy, owned) {
                set_owner(groups, &name, Some(proxy.clone()), changed);
            }
        }
    }

    /// Assigns owners to groups that have none.
    pub(super) fn assign_owners<'n>(
        &mut self,
        names: impl IntoIterator<Item = &'n GroupName>,
        changed: &mut ChangeSet,
    ) {
        let Self { groups, proxies, .. } = self;
        let mut balancer = balancer(proxies, groups);
        for name in names {
            assign_owner(groups, &mut balancer, name, changed);
        }
    }

    /// Chooses new owners for groups whose owner was assigned while the zone of the primary was unknown.
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
            assign_owner(groups, &mut balancer, name, changed);
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

fn owned_group<'a>(name: &'a GroupName, group: &'a GroupRecord) -> Option<OwnedGroup<'a>> {
    let owner = group.view.owner.as_ref()?;
    let former_owner = group.former_owner.as_ref();
    Some(OwnedGroup { placement: placement(name, group), owner, former_owner })
}

/// Records the owner that went down or is draining, so that it gets the group back when it returns.
fn record_former_owner(groups: &mut BTreeMap<GroupName, GroupRecord>, name: &GroupName) {
    let Some(group) = groups.get_mut(name) else { return };
    if let Some(owner) = &group.view.owner {
        group.former_owner = Some(owner.clone());
    }
}

fn assign_owner(
    groups: &mut BTreeMap<GroupName, GroupRecord>,
    balancer: &mut Balancer<'_>,
    name: &GroupName,
    changed: &mut ChangeSet,
) {
    let Some(group) = groups.get_mut(name) else { return };
    let placement = placement(name, group);
    let is_zone_unknown = placement.zone.is_none();
    let owner = balancer.assign(placement);
    group.owner_chosen_without_zone = is_zone_unknown;
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
