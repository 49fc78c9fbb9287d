//! The configuration in force, as sessions look it up.

use crate::clock::SteadyClock;
use crate::group::{Group, GroupFacts, MemberReach};
use crate::metrics::{Holdings, Metrics};
use crate::settings::GatewaySettings;
use crate::tunnel::Tunnels;
use crate::wire::Wire;
use corktack_core::gateway::{asking_order, holder_count, holders};
use corktack_core::identity::{GroupName, MemberName, ProxyName, ZoneName};
use corktack_core::registry::{Document, RegisteredBackEnd, RouteRule};
use corktack_core::view::{ProxyState, ProxyView, View};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Connections of a member that are left to control's questions.
const CONTROL_CONNECTIONS: u32 = 2;
/// How many times its even share of a member's connections a gateway may take: callers are spread
/// unevenly, and what others leave unused they close. A member that has no more to give says so.
const SHARE_FACTOR: f64 = 1.25;

/// How a session's statements are served.
#[derive(Clone)]
pub(crate) struct Route<W: Wire> {
    pub(crate) rule: Rc<RouteRule>,
    pub(crate) group: Rc<Group<W>>,
    pub(crate) transaction_idle: Duration,
}

/// The routes in force.
pub(crate) struct Routes<W: Wire> {
    wire: W,
    settings: Rc<GatewaySettings>,
    groups: RefCell<BTreeMap<GroupName, Rc<Group<W>>>>,
    routes: RefCell<BTreeMap<String, Route<W>>>,
    document: RefCell<Option<Arc<Document>>>,
    reach: mpsc::UnboundedSender<MemberReach>,
    tunnels: Rc<Tunnels>,
    clock: SteadyClock,
    metrics: Metrics,
}

impl<W: Wire> Routes<W> {
    pub(crate) fn new(
        wire: W,
        settings: Rc<GatewaySettings>,
        reach: mpsc::UnboundedSender<MemberReach>,
        clock: SteadyClock,
        metrics: Metrics,
    ) -> Self {
        Self {
            wire,
            settings,
            groups: RefCell::default(),
            routes: RefCell::default(),
            document: RefCell::default(),
            reach,
            tunnels: Rc::default(),
            clock,
            metrics,
        }
    }

    /// Whether there is a document to go by.
    pub(crate) fn has_document(&self) -> bool {
        self.document.borrow().is_some()
    }

    /// The route of a database name in force now.
    pub(crate) fn find(&self, database: &str) -> Option<Route<W>> {
        self.routes.borrow().get(database).cloned()
    }

    /// Puts a view in force.
    pub(crate) fn follow(&self, view: &View) {
        let Some(document) = &view.document else { return };
        self.follow_groups(view, document);
        let held = self.document.borrow().clone();
        if held.is_none_or(|held| !Arc::ptr_eq(&held, document)) {
            log::info!(version = document.version, revision = view.revision.0; "document in force");
            self.metrics.note_document(document.version);
            self.follow_document(document);
        }
    }

    fn follow_groups(&self, view: &View, document: &Document) {
        let live: Vec<(&ProxyName, &ProxyView)> =
            view.proxies.iter().filter(|(_, it)| it.state == ProxyState::Live).collect();
        let mut facts: BTreeMap<&GroupName, GroupFacts> = BTreeMap::new();
        for service in &document.services {
            let group = facts.entry(&service.name).or_default();
            group.gateways = live.len().max(1);
            group.promotion = view.promotions.get(&service.name).cloned();
        }
        for (member, back_end) in &view.back_ends {
            let Some(group) = facts.get_mut(&back_end.group) else { continue };
            let Some(service) = document.service(&back_end.group) else { continue };
            group.members.insert(member.clone(), Arc::clone(back_end));
            self.share(member, back_end, service.max_connections, &live, group);
        }
        let mut groups = self.groups.borrow_mut();
        groups.retain(|name, _| facts.contains_key(name));
        for (name, facts) in facts {
            let new = || Rc::new(self.new_group(name));
            groups.entry(name.clone()).or_insert_with(new).follow(&facts);
        }
    }

    /// Works out this gateway's share of a member, or who holds its connections.
    fn share(
        &self,
        member: &MemberName,
        back_end: &RegisteredBackEnd,
        max_connections: u32,
        live: &[(&ProxyName, &ProxyView)],
        group: &mut GroupFacts,
    ) {
        let all = max_connections.saturating_sub(CONTROL_CONNECTIONS).max(1);
        let zones: Vec<_> = live.iter().map(|(name, proxy)| (*name, &proxy.zone)).collect();
        let count = holder_count(max_connections, live.len());
        let holders = holders(member, &back_end.zone, &zones, count);
        let own = holders.iter().any(|holder| holder.as_str() == self.settings.name);
        // A gateway that control does not know yet serves its callers all the same.
        let known = live.iter().any(|(name, _)| name.as_str() == self.settings.name);
        if own || (!known && live.len() <= count) {
            let shared = f64::from(all) * SHARE_FACTOR / count as f64;
            group.shares.insert(member.clone(), (shared as usize).clamp(1, all as usize));
        }
        let others: Vec<ProxyName> =
            holders.into_iter().filter(|it| it.as_str() != self.settings.name).collect();
        group
            .holders
            .insert(member.clone(), self.asking_order((member, &back_end.zone), &others, live));
    }

    fn asking_order(
        &self,
        member: (&MemberName, &ZoneName),
        holders: &[ProxyName],
        live: &[(&ProxyName, &ProxyView)],
    ) -> Vec<SocketAddr> {
        let view_of = |name: &ProxyName| live.iter().find(|(it, _)| *it == name).map(|(_, it)| *it);
        let zoned: Vec<_> = holders
            .iter()
            .filter_map(|name| Some((name.clone(), view_of(name)?.zone.clone())))
            .collect();
        let Ok(own) = ProxyName::new(self.settings.name.as_str()) else { return Vec::new() };
        let order = asking_order(&own, &self.settings.zone, member, &zoned);
        order.iter().filter_map(|name| Some(view_of(name)?.address)).collect()
    }

    /// The group of a name, for other gateways.
    pub(crate) fn group(&self, name: &GroupName) -> Option<Rc<Group<W>>> {
        self.groups.borrow().get(name).cloned()
    }

    /// Closes connections that have not been used for long.
    pub(crate) fn close_unused(&self) {
        for group in self.groups.borrow().values() {
            group.close_unused();
        }
    }

    /// What is held and waited for now, over all groups.
    pub(crate) fn holdings(&self) -> Holdings {
        let mut holdings = Holdings::default();
        for group in self.groups.borrow().values() {
            group.add_holdings(&mut holdings);
        }
        holdings
    }

    fn new_group(&self, name: &GroupName) -> Group<W> {
        Group::new(
            name.clone(),
            self.wire.clone(),
            Rc::clone(&self.settings),
            self.clock,
            self.reach.clone(),
            Rc::clone(&self.tunnels),
            self.metrics.clone(),
        )
    }

    fn follow_document(&self, document: &Arc<Document>) {
        let groups = self.groups.borrow();
        let transaction_idle = document.limits.transaction_idle;
        let route = |rule: &RouteRule| {
            let group = Rc::clone(groups.get(&rule.group)?);
            let route = Route { rule: Rc::new(rule.clone()), group, transaction_idle };
            Some((rule.database.clone(), route))
        };
        let routes = document.routes.iter().filter_map(route).collect();
        *self.routes.borrow_mut() = routes;
        *self.document.borrow_mut() = Some(Arc::clone(document));
    }
}
