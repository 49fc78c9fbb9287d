//! The configuration in force, as sessions use it.
//!
//! It is for sessions and for other gateways' requests. It owns the document, the routes by database, the
//! groups and the tenants. It relies on [`membership`] for what a change of the view touches, and on
//! [`handle`](crate::handle) to bring each view.

mod membership;

use crate::clock::SteadyClock;
use crate::group::{Group, MemberReach};
use crate::metrics::{Holdings, Metrics};
use crate::retry_after::{self, not_run};
use crate::settings::GatewaySettings;
use crate::tunnel::Tunnels;
use crate::wire::Wire;
use corktack_core::gateway::{GatewayPlace, Holder};
use corktack_core::identity::GroupName;
use corktack_core::registry::{Document, RouteRule};
use corktack_core::statement::ErrorCode;
use corktack_core::tenancy::{ApiKey, Principal, TenantDirectory};
use corktack_core::view::View;
use membership::Membership;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How long a transaction may be idle where the document sets no limit, before another gateway's connection
/// is taken back from it. Chosen, not measured: an hour ends only those that were forgotten.
const UNLIMITED_IDLE: Duration = Duration::from_secs(3_600);

/// How a session's statements are served.
#[derive(Clone)]
pub(crate) struct Route<W: Wire> {
    pub(crate) rule: Rc<RouteRule>,
    pub(crate) group: Rc<Group<W>>,
    pub(crate) transaction_idle: Duration,
}

/// What a caller may do now.
#[derive(Clone)]
pub(crate) struct Admitted<W: Wire> {
    pub(crate) route: Route<W>,
    /// On whose behalf its statements are run.
    pub(crate) principal: Principal,
}

/// Why a caller may do nothing. Its key is not told.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum NotAdmitted {
    /// No route has the database's name.
    #[error("{0}")]
    UnknownDatabase(String),
    /// The route asks for a key, and the caller's stands for nobody.
    #[error("the key stands for nobody")]
    UnknownKey,
    /// Nothing has proved for too long that the configuration is current.
    #[error(
        "{}",
        not_run("nothing proves that the configuration is current", retry_after::UNPROVED)
    )]
    Unproved,
}

impl NotAdmitted {
    pub(crate) const fn code(&self) -> ErrorCode {
        match self {
            Self::UnknownDatabase(_) => ErrorCode::UnknownDatabase,
            Self::UnknownKey => ErrorCode::Unauthenticated,
            Self::Unproved => ErrorCode::Busy,
        }
    }
}

/// The routes in force.
pub(crate) struct Routes<W: Wire> {
    wire: W,
    settings: Rc<GatewaySettings>,
    membership: RefCell<Membership>,
    groups: RefCell<BTreeMap<GroupName, Rc<Group<W>>>>,
    routes: RefCell<BTreeMap<String, Route<W>>>,
    document: RefCell<Option<Arc<Document>>>,
    /// The tenants in force; none where callers are served without a key.
    tenants: RefCell<Option<TenantDirectory>>,
    reach: mpsc::UnboundedSender<MemberReach>,
    /// When control was last asked whether the configuration is current, and said so.
    proved: watch::Receiver<Option<std::time::Instant>>,
    tunnels: Rc<Tunnels>,
    clock: SteadyClock,
    metrics: Metrics,
}

impl<W: Wire> Routes<W> {
    pub(crate) fn new(
        wire: W,
        settings: Rc<GatewaySettings>,
        reach: mpsc::UnboundedSender<MemberReach>,
        proved: watch::Receiver<Option<std::time::Instant>>,
        tunnels: Rc<Tunnels>,
        clock: SteadyClock,
        metrics: Metrics,
    ) -> Self {
        let place = GatewayPlace { zone: settings.zone.clone(), address: settings.peers };
        let membership = Membership::new(settings.name.clone(), place);
        Self {
            wire,
            settings,
            membership: RefCell::new(membership),
            groups: RefCell::default(),
            routes: RefCell::default(),
            document: RefCell::default(),
            tenants: RefCell::default(),
            reach,
            proved,
            tunnels,
            clock,
            metrics,
        }
    }

    /// How long a transaction may be idle between two statements, by the document in force; for long where
    /// that is not limited.
    pub(crate) fn transaction_idle(&self) -> Duration {
        let document = self.document.borrow();
        let limit = document.as_ref().map(|document| document.limits.transaction_idle);
        limit.filter(|limit| !limit.is_zero()).unwrap_or(UNLIMITED_IDLE)
    }

    /// Whether there is a document to go by.
    pub(crate) fn has_document(&self) -> bool {
        self.document.borrow().is_some()
    }

    /// What a caller that shows this key may do on a database now.
    pub(crate) fn admit(&self, database: &str, key: &ApiKey) -> Result<Admitted<W>, NotAdmitted> {
        let routes = self.routes.borrow();
        let unknown = || NotAdmitted::UnknownDatabase(database.to_owned());
        let route = routes.get(database).ok_or_else(unknown)?;
        let principal = self.principal(&route.rule, key)?;
        if !self.is_proved() {
            return Err(NotAdmitted::Unproved);
        }
        Ok(Admitted { route: route.clone(), principal })
    }

    /// Whether the configuration is proved to be as current as it has to be.
    fn is_proved(&self) -> bool {
        let Some(limit) = self.settings.unproved_limit else { return true };
        self.proved.borrow().is_some_and(|proved| proved.elapsed() < limit)
    }

    fn principal(&self, rule: &RouteRule, key: &ApiKey) -> Result<Principal, NotAdmitted> {
        let tenants = self.tenants.borrow();
        match tenants.as_ref().filter(|_| !rule.public) {
            None => Ok(Principal::Unnamed),
            Some(tenants) => {
                let tenant = tenants.holder(key).ok_or(NotAdmitted::UnknownKey)?;
                Ok(Principal::Tenant(tenant.clone()))
            }
        }
    }

    /// Puts a view in force; says whether its document is another than before.
    pub(crate) fn follow(&self, view: &Arc<View>) -> bool {
        let Some(document) = &view.document else { return false };
        self.follow_groups(view, document);
        let held = self.document.borrow().clone();
        let is_other = held.is_none_or(|held| !Arc::ptr_eq(&held, document));
        if is_other {
            log::info!(version = document.version, revision = view.revision.0; "document in force");
            self.metrics.note_document(document.version);
            self.follow_document(document);
        }
        is_other
    }

    /// Looks at the tenants in force; none where callers are served without a key.
    pub(crate) fn with_tenants(&self, look: impl FnOnce(Option<&TenantDirectory>)) {
        look(self.tenants.borrow().as_ref());
    }

    fn follow_groups(&self, view: &Arc<View>, document: &Arc<Document>) {
        let mut membership = self.membership.borrow_mut();
        let touched = membership.follow(view, document);
        let mut groups = self.groups.borrow_mut();
        let declared: BTreeSet<_> = membership.groups().collect();
        groups.retain(|name, _| declared.contains(name));
        for name in &touched {
            let new = || Rc::new(self.new_group(name));
            let group = groups.entry(name.clone()).or_insert_with(new);
            group.follow(&membership.facts(name, document));
        }
    }

    /// The other gateways of this one's zone.
    pub(crate) fn zone_peers(&self) -> Vec<Holder> {
        self.membership.borrow().zone_peers()
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

    fn follow_tenants(&self, document: &Document) {
        let mut tenants = self.tenants.borrow_mut();
        match &document.tenants {
            None => *tenants = None,
            Some(declared) => tenants.get_or_insert_default().follow(declared),
        }
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
        self.follow_tenants(document);
        *self.document.borrow_mut() = Some(Arc::clone(document));
    }
}
