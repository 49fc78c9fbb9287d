//! Follows which gateways and members there are, change by change.
//!
//! It is for [`routes`](super). It owns the last view and who holds connections to which member. It relies on
//! [`corktack_core::gateway::HolderTable`] for who holds them.
//!
//! At hundreds of gateways a view changes with each that starts or stops; only the groups that a
//! change touches are evaluated again.

use crate::group::{GroupFacts, MemberFacts};
use crate::member::MemberShare;
use corktack_core::gateway::{GatewayPlace, Holder, HolderTable, MemberNeeds};
use corktack_core::identity::{GroupName, MemberName, ProxyName};
use corktack_core::map_difference::{EntryChange, differences};
use corktack_core::registry::{Document, RegisteredBackEnd};
use corktack_core::view::{ProxyState, ProxyView, View};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Connections of a member that are left to control's questions. Chosen, not measured: with one, a question
/// that hangs keeps the next one out; more are taken from statements.
const CONTROL_CONNECTIONS: u32 = 2;

/// How connections to members are kept.
#[derive(Clone, Copy, Debug)]
struct Pooling {
    /// How many times its even share of a member's connections a gateway may take.
    share_factor: f64,
    /// How long a connection may be idle before it is closed.
    idle_limit: Duration,
}

/// Any connection serves any statement: a few are enough, and what others leave unused they close.
/// Callers are spread unevenly, so a gateway may take more than its share; a member that has no more to
/// give says so. Connections of a machine that lost power fill a member's cap for 3 s: idle ones kept for
/// 2.5 s served less after power losses (docs/PLATFORM.md).
const POOLED_FOR_ALL: Pooling =
    Pooling { share_factor: 1.25, idle_limit: Duration::from_millis(800) };
/// A connection serves one tenant, and there are more tenants than connections: all are kept until
/// another tenant needs the room, so that shares must not add up to more than the member takes.
const POOLED_BY_TENANT: Pooling =
    Pooling { share_factor: 1.0, idle_limit: Duration::from_secs(10) };

/// The gateways and members of the view in force.
#[derive(Debug)]
pub(super) struct Membership {
    view: Arc<View>,
    holders: HolderTable,
    /// Members of the groups that the document declares.
    members: BTreeMap<GroupName, BTreeMap<MemberName, Arc<RegisteredBackEnd>>>,
}

impl Membership {
    pub(super) fn new(own: ProxyName, own_place: GatewayPlace) -> Self {
        Self {
            view: Arc::default(),
            holders: HolderTable::new(own, own_place),
            members: BTreeMap::new(),
        }
    }

    /// Takes a view; gives the declared groups of which something changed.
    pub(super) fn follow(
        &mut self,
        view: &Arc<View>,
        document: &Arc<Document>,
    ) -> BTreeSet<GroupName> {
        let before = std::mem::replace(&mut self.view, Arc::clone(view));
        self.follow_gateways(&before, view);
        let same_document = before.document.as_ref().is_some_and(|it| Arc::ptr_eq(it, document));
        let mut touched = if same_document {
            self.follow_members(&before, view, document)
        } else {
            self.take_all_members(view, document)
        };
        for change in differences(&before.promotions, &view.promotions, PartialEq::eq) {
            let (EntryChange::Put(group, _) | EntryChange::Removed(group, _)) = change;
            touched.insert(group.clone());
        }
        for member in self.holders.take_changed() {
            touched.extend(view.back_ends.get(&member).map(|it| it.group.clone()));
        }
        touched.retain(|group| self.members.contains_key(group));
        touched
    }

    fn follow_gateways(&mut self, before: &View, view: &View) {
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

    fn follow_members(
        &mut self,
        before: &View,
        view: &View,
        document: &Document,
    ) -> BTreeSet<GroupName> {
        let is_same = |left: &Arc<RegisteredBackEnd>, right: &Arc<RegisteredBackEnd>| {
            Arc::ptr_eq(left, right) || left == right
        };
        let mut touched = BTreeSet::new();
        for change in differences(&before.back_ends, &view.back_ends, is_same) {
            let (EntryChange::Put(member, _) | EntryChange::Removed(member, _)) = change;
            if let Some(former) = before.back_ends.get(member) {
                self.remove(member, former);
                touched.insert(former.group.clone());
            }
            match change {
                EntryChange::Put(member, back_end) => {
                    self.put(member, back_end, document);
                    touched.insert(back_end.group.clone());
                }
                EntryChange::Removed(member, _) => self.holders.remove_member(member),
            }
        }
        touched
    }

    /// After a new document, every group is evaluated again.
    fn take_all_members(&mut self, view: &View, document: &Document) -> BTreeSet<GroupName> {
        let former: Vec<_> = self.members.values().flat_map(BTreeMap::keys).cloned().collect();
        let declared = document.services.iter();
        self.members = declared.map(|it| (it.name.clone(), BTreeMap::new())).collect();
        for (member, back_end) in &view.back_ends {
            self.put(member, back_end, document);
        }
        for member in former {
            if !self.has(view, &member) {
                self.holders.remove_member(&member);
            }
        }
        self.members.keys().cloned().collect()
    }

    fn has(&self, view: &View, member: &MemberName) -> bool {
        let back_end = view.back_ends.get(member);
        back_end.is_some_and(|it| self.members.contains_key(&it.group))
    }

    fn put(&mut self, member: &MemberName, back_end: &Arc<RegisteredBackEnd>, document: &Document) {
        let Some(service) = document.service(&back_end.group) else { return };
        let Some(members) = self.members.get_mut(&back_end.group) else { return };
        members.insert(member.clone(), Arc::clone(back_end));
        let needs = MemberNeeds {
            zone: back_end.zone.clone(),
            capacity: back_end.capacity,
            max_connections: service.max_connections,
        };
        self.holders.put_member(member, needs);
    }

    /// Takes a member out of its group; who holds connections to it stays known, as it may only
    /// have changed.
    fn remove(&mut self, member: &MemberName, former: &RegisteredBackEnd) {
        if let Some(members) = self.members.get_mut(&former.group) {
            members.remove(member);
        }
    }

    /// The other gateways of this one's zone.
    pub(super) fn zone_peers(&self) -> Vec<Holder> {
        self.holders.zone_peers()
    }

    /// The names of the declared groups.
    pub(super) fn groups(&self) -> impl Iterator<Item = &GroupName> {
        self.members.keys()
    }

    /// What is known of a declared group.
    pub(super) fn facts(&self, group: &GroupName, document: &Document) -> GroupFacts {
        let max_connections = document.service(group).map_or(1, |it| it.max_connections);
        let pooling = if document.tenants.is_some() { POOLED_BY_TENANT } else { POOLED_FOR_ALL };
        let members = self.members.get(group).into_iter().flatten();
        let facts = |(name, back_end): (&MemberName, &Arc<RegisteredBackEnd>)| {
            let share = self.share(name, max_connections, pooling);
            (name.clone(), MemberFacts { back_end: Arc::clone(back_end), share })
        };
        GroupFacts {
            members: members.map(facts).collect(),
            promotion: self.view.promotions.get(group).cloned(),
        }
    }

    fn share(&self, member: &MemberName, max_connections: u32, pooling: Pooling) -> MemberShare {
        let holder_count = self.holders.count(member).max(1);
        let all = max_connections.saturating_sub(CONTROL_CONNECTIONS).max(1);
        let even = f64::from(all) / holder_count as f64;
        let connections = ((even * pooling.share_factor) as usize).clamp(1, all as usize);
        MemberShare {
            connections: if self.holders.holds(member) { connections } else { 0 },
            others: self.holders.others(member),
            holder_count,
            idle_limit: pooling.idle_limit,
        }
    }
}

fn place_of(proxy: &ProxyView) -> GatewayPlace {
    GatewayPlace { zone: proxy.zone.clone(), address: proxy.address }
}
