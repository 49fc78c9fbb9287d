//! Tracks the gateways and members of the view in force, and which gateways hold connections to which member.
//!
//! [`corktack_core::gateway::HolderTable`] assigns the holders. With hundreds of gateways, the view changes
//! whenever one starts or stops, so that only the groups that a change affects are evaluated again.

use crate::group::{GroupUpdate, MemberUpdate};
use crate::member::MemberShare;
use corktack_core::gateway::{GatewayLocation, Holder, HolderTable, MemberCapacity};
use corktack_core::identity::{GroupName, MemberName, ProxyName};
use corktack_core::map_difference::{EntryChange, differences};
use corktack_core::registry::{Document, RegisteredBackEnd};
use corktack_core::view::{ProxyState, ProxyView, View};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Connections of a member that are reserved for requests of control. With only 1, a request that hangs
/// blocks the next one; more are taken from statements.
const CONTROL_CONNECTIONS: u32 = 2;

/// Size of a gateway's share of a member's connections, and how long they may be idle.
#[derive(Clone, Copy, Debug)]
struct Pooling {
    /// Factor on the even share of a member's connections, giving the most that a gateway may take.
    share_factor: f64,
    /// Idle time after which a connection is closed.
    idle_limit: Duration,
}

/// Pooling without tenants, where any connection serves any statement. A gateway needs few connections and
/// closes unused ones for the others. As callers are spread unevenly, a gateway may take more than its even
/// share; a full member refuses further connections. Connections of a machine that lost power fill a member's
/// cap for 3 s; with an idle limit of 2.5 s, less is served after power losses (docs/PLATFORM.md).
const POOLING_WITHOUT_TENANTS: Pooling =
    Pooling { share_factor: 1.25, idle_limit: Duration::from_millis(800) };
/// Pooling with tenants, where a connection serves one tenant and there are more tenants than connections. A
/// gateway keeps all connections until another tenant needs the room, so that the shares of all gateways must
/// not exceed what the member accepts.
const POOLING_BY_TENANT: Pooling =
    Pooling { share_factor: 1.0, idle_limit: Duration::from_secs(10) };

/// Gateways and members of the view in force.
#[derive(Debug)]
pub(super) struct Membership {
    view: Arc<View>,
    holders: HolderTable,
    /// Registered members of each group that the document declares.
    members: BTreeMap<GroupName, BTreeMap<MemberName, Arc<RegisteredBackEnd>>>,
}

impl Membership {
    pub(super) fn new(own: ProxyName, own_place: GatewayLocation) -> Self {
        Self {
            view: Arc::default(),
            holders: HolderTable::new(own, own_place),
            members: BTreeMap::new(),
        }
    }

    /// Applies a view; returns the declared groups that changed.
    pub(super) fn apply_view(
        &mut self,
        view: &Arc<View>,
        document: &Arc<Document>,
    ) -> BTreeSet<GroupName> {
        let before = std::mem::replace(&mut self.view, Arc::clone(view));
        self.update_gateways(&before, view);
        let same_document =
            before.document.as_ref().is_some_and(|current| Arc::ptr_eq(current, document));
        let mut changed_groups = if same_document {
            self.update_members(&before, view, document)
        } else {
            self.rebuild_members(view, document)
        };
        for change in differences(&before.promotions, &view.promotions, PartialEq::eq) {
            let (EntryChange::Put(group, _) | EntryChange::Removed(group, _)) = change;
            changed_groups.insert(group.clone());
        }
        for member in self.holders.take_changed() {
            changed_groups
                .extend(view.back_ends.get(&member).map(|back_end| back_end.group.clone()));
        }
        changed_groups.retain(|group| self.members.contains_key(group));
        changed_groups
    }

    fn update_gateways(&mut self, before: &View, view: &View) {
        for change in differences(&before.proxies, &view.proxies, PartialEq::eq) {
            match change {
                EntryChange::Put(name, proxy) if proxy.state == ProxyState::Live => {
                    self.holders.put_gateway(name, place_of(proxy));
                }
                EntryChange::Put(name, _) | EntryChange::Removed(name, _) => {
                    self.holders.remove_gateway(name);
                }
            }
        }
    }

    fn update_members(
        &mut self,
        before: &View,
        view: &View,
        document: &Document,
    ) -> BTreeSet<GroupName> {
        let is_same = |left: &Arc<RegisteredBackEnd>, right: &Arc<RegisteredBackEnd>| {
            Arc::ptr_eq(left, right) || left == right
        };
        let mut changed_groups = BTreeSet::new();
        for change in differences(&before.back_ends, &view.back_ends, is_same) {
            let (EntryChange::Put(member, _) | EntryChange::Removed(member, _)) = change;
            if let Some(former) = before.back_ends.get(member) {
                self.remove_member(member, former);
                changed_groups.insert(former.group.clone());
            }
            match change {
                EntryChange::Put(member, back_end) => {
                    self.put_member(member, back_end, document);
                    changed_groups.insert(back_end.group.clone());
                }
                EntryChange::Removed(member, _) => self.holders.remove_member(member),
            }
        }
        changed_groups
    }

    /// Rebuilds the members of all groups after a new document; returns all declared groups.
    fn rebuild_members(&mut self, view: &View, document: &Document) -> BTreeSet<GroupName> {
        let former: Vec<_> = self.members.values().flat_map(BTreeMap::keys).cloned().collect();
        let declared = document.services.iter();
        self.members = declared.map(|service| (service.name.clone(), BTreeMap::new())).collect();
        for (member, back_end) in &view.back_ends {
            self.put_member(member, back_end, document);
        }
        for member in former {
            if !self.is_in_declared_group(view, &member) {
                self.holders.remove_member(&member);
            }
        }
        self.members.keys().cloned().collect()
    }

    fn is_in_declared_group(&self, view: &View, member: &MemberName) -> bool {
        let back_end = view.back_ends.get(member);
        back_end.is_some_and(|back_end| self.members.contains_key(&back_end.group))
    }

    fn put_member(
        &mut self,
        member: &MemberName,
        back_end: &Arc<RegisteredBackEnd>,
        document: &Document,
    ) {
        let Some(service) = document.service(&back_end.group) else { return };
        let Some(members) = self.members.get_mut(&back_end.group) else { return };
        members.insert(member.clone(), Arc::clone(back_end));
        let needs = MemberCapacity {
            zone: back_end.zone.clone(),
            capacity: back_end.capacity,
            max_connections: service.max_connections,
        };
        self.holders.put_member(member, needs);
    }

    /// Removes a member from its group. Its holders stay in the holder table, as the member may only have
    /// changed.
    fn remove_member(&mut self, member: &MemberName, former: &RegisteredBackEnd) {
        if let Some(members) = self.members.get_mut(&former.group) {
            members.remove(member);
        }
    }

    /// Returns the other gateways of this gateway's zone.
    pub(super) fn zone_peers(&self) -> Vec<Holder> {
        self.holders.zone_peers()
    }

    /// Returns the names of the declared groups.
    pub(super) fn groups(&self) -> impl Iterator<Item = &GroupName> {
        self.members.keys()
    }

    /// Returns the current members, shares and promotion of a declared group.
    pub(super) fn group_update(&self, group: &GroupName, document: &Document) -> GroupUpdate {
        let max_connections = document.service(group).map_or(1, |service| service.max_connections);
        let pooling =
            if document.tenants.is_some() { POOLING_BY_TENANT } else { POOLING_WITHOUT_TENANTS };
        let members = self.members.get(group).into_iter().flatten();
        let update_of = |(name, back_end): (&MemberName, &Arc<RegisteredBackEnd>)| {
            let share = self.member_share(name, max_connections, pooling);
            (name.clone(), MemberUpdate { back_end: Arc::clone(back_end), share })
        };
        GroupUpdate {
            members: members.map(update_of).collect(),
            promotion: self.view.promotions.get(group).cloned(),
        }
    }

    fn member_share(
        &self,
        member: &MemberName,
        max_connections: u32,
        pooling: Pooling,
    ) -> MemberShare {
        let holder_count = self.holders.holder_count(member).max(1);
        let available = max_connections.saturating_sub(CONTROL_CONNECTIONS).max(1);
        let even_share = f64::from(available) / holder_count as f64;
        let connections =
            ((even_share * pooling.share_factor) as usize).clamp(1, available as usize);
        MemberShare {
            connections: if self.holders.is_own_member(member) { connections } else { 0 },
            others: self.holders.other_holders(member),
            holder_count,
            idle_limit: pooling.idle_limit,
        }
    }
}

fn place_of(proxy: &ProxyView) -> GatewayLocation {
    GatewayLocation { zone: proxy.zone.clone(), address: proxy.address }
}
