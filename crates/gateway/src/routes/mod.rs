//! Configuration in force: the document, the routes by database, the groups and the tenants.
//!
//! Sessions look up their route and principal here, and requests of other gateways their group.
//! [`handle`](crate::handle) passes in each new view; [`membership`] finds the groups that it changes.

mod membership;

use crate::byte_budget::ByteBudget;
use crate::clock::SteadyClock;
use crate::group::{Group, MemberReach, SharedParts};
use crate::metrics::{ConnectionTotals, Metrics};
use crate::retry_after::{self, not_run};
use crate::settings::GatewaySettings;
use crate::tunnel::Tunnels;
use crate::wire::Wire;
use corktack_core::gateway::{GatewayLocation, Holder};
use corktack_core::identity::GroupName;
use corktack_core::registry::{Document, RouteRule};
use corktack_core::statement::ErrorCode;
use corktack_core::tenancy::{ApiKey, Principal, TenantDirectory};
use corktack_core::text::shortened;
use corktack_core::view::View;
use membership::Membership;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Idle limit of a transaction on a connection lent to another gateway if the document sets none; after 1 h,
/// only abandoned transactions are ended.
const DEFAULT_TRANSACTION_IDLE: Duration = Duration::from_secs(3_600);

/// Route of a database: its rule, and the group that serves the statements.
#[derive(Clone)]
pub(crate) struct Route<W: Wire> {
    pub(crate) rule: Rc<RouteRule>,
    pub(crate) group: Rc<Group<W>>,
    pub(crate) transaction_idle_limit: Duration,
}

/// Route and principal of an admitted caller.
#[derive(Clone)]
pub(crate) struct Admission<W: Wire> {
    pub(crate) route: Route<W>,
    /// Principal whose statements are run.
    pub(crate) principal: Principal,
}

/// Reason why a caller is not admitted. No text contains the caller's key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum NotAdmitted {
    /// No route exists for the database; the start of a long name.
    #[error("{0}")]
    UnknownDatabase(String),
    /// The route requires a key, and the caller's key belongs to no tenant.
    #[error("the key stands for nobody")]
    UnknownKey,
    /// Control has not confirmed for too long that the configuration is current.
    #[error(
        "{}",
        not_run("nothing proves that the configuration is current", retry_after::UNCONFIRMED)
    )]
    Unconfirmed,
}

impl NotAdmitted {
    pub(crate) const fn code(&self) -> ErrorCode {
        match self {
            Self::UnknownDatabase(_) => ErrorCode::UnknownDatabase,
            Self::UnknownKey => ErrorCode::Unauthenticated,
            Self::Unconfirmed => ErrorCode::Busy,
        }
    }
}

/// Configuration in force, with the groups that serve it.
pub(crate) struct Routes<W: Wire> {
    wire: W,
    settings: Rc<GatewaySettings>,
    membership: RefCell<Membership>,
    groups: RefCell<BTreeMap<GroupName, Rc<Group<W>>>>,
    routes: RefCell<BTreeMap<String, Route<W>>>,
    document: RefCell<Option<Arc<Document>>>,
    /// Tenants in force; none if callers are served without a key.
    tenants: RefCell<Option<TenantDirectory>>,
    reach: mpsc::UnboundedSender<MemberReach>,
    /// Time of the last request to which control answered that the configuration is current.
    confirmed_at: watch::Receiver<Option<std::time::Instant>>,
    tunnels: Rc<Tunnels>,
    /// Budget of the answers that arrive from members.
    answers: Rc<ByteBudget>,
    clock: SteadyClock,
    metrics: Metrics,
}

impl<W: Wire> Routes<W> {
    pub(crate) fn new(
        wire: W,
        settings: Rc<GatewaySettings>,
        reach: mpsc::UnboundedSender<MemberReach>,
        confirmed_at: watch::Receiver<Option<std::time::Instant>>,
        tunnels: Rc<Tunnels>,
        clock: SteadyClock,
        metrics: Metrics,
    ) -> Self {
        let place = GatewayLocation { zone: settings.zone.clone(), address: settings.peers };
        let membership = Membership::new(settings.name.clone(), place);
        let answers = ByteBudget::new(settings.max_answer_bytes);
        Self {
            wire,
            settings,
            membership: RefCell::new(membership),
            groups: RefCell::default(),
            routes: RefCell::default(),
            document: RefCell::default(),
            tenants: RefCell::default(),
            reach,
            confirmed_at,
            tunnels,
            answers,
            clock,
            metrics,
        }
    }

    /// Returns how long a transaction may be idle between two statements by the document in force, or
    /// [`DEFAULT_TRANSACTION_IDLE`] if the document sets no limit.
    pub(crate) fn transaction_idle_limit(&self) -> Duration {
        let document = self.document.borrow();
        let limit = document.as_ref().map(|document| document.limits.transaction_idle);
        limit.filter(|limit| !limit.is_zero()).unwrap_or(DEFAULT_TRANSACTION_IDLE)
    }

    /// Reports whether a document is in force.
    pub(crate) fn has_document(&self) -> bool {
        self.document.borrow().is_some()
    }

    /// Admits a caller with this key to a database, or returns why it is not admitted.
    pub(crate) fn admit(&self, database: &str, key: &ApiKey) -> Result<Admission<W>, NotAdmitted> {
        let routes = self.routes.borrow();
        let unknown = || NotAdmitted::UnknownDatabase(shortened(database).to_owned());
        let route = routes.get(database).ok_or_else(unknown)?;
        let principal = self.principal(&route.rule, key)?;
        if !self.is_recently_confirmed() {
            return Err(NotAdmitted::Unconfirmed);
        }
        Ok(Admission { route: route.clone(), principal })
    }

    /// Reports whether control has confirmed the configuration recently enough.
    fn is_recently_confirmed(&self) -> bool {
        let Some(limit) = self.settings.max_confirmation_age else { return true };
        self.confirmed_at.borrow().is_some_and(|confirmed_at| confirmed_at.elapsed() < limit)
    }

    fn principal(&self, rule: &RouteRule, key: &ApiKey) -> Result<Principal, NotAdmitted> {
        let tenants = self.tenants.borrow();
        match tenants.as_ref().filter(|_| !rule.public) {
            None => Ok(Principal::Anonymous),
            Some(tenants) => {
                let tenant = tenants.tenant_of_key(key).ok_or(NotAdmitted::UnknownKey)?;
                Ok(Principal::Tenant(tenant.clone()))
            }
        }
    }

    /// Puts a view in force; reports whether its document has changed.
    pub(crate) fn apply_view(&self, view: &Arc<View>) -> bool {
        let Some(document) = &view.document else { return false };
        self.update_groups(view, document);
        let current = self.document.borrow().clone();
        let is_changed = current.is_none_or(|current| !Arc::ptr_eq(&current, document));
        if is_changed {
            log::info!(version = document.version, revision = view.revision.0; "document in force");
            self.metrics.record_document(document.version);
            self.apply_document(document);
        }
        is_changed
    }

    /// Passes the tenants in force to `inspect`; none if callers are served without a key.
    pub(crate) fn with_tenants(&self, inspect: impl FnOnce(Option<&TenantDirectory>)) {
        inspect(self.tenants.borrow().as_ref());
    }

    fn update_groups(&self, view: &Arc<View>, document: &Arc<Document>) {
        let mut membership = self.membership.borrow_mut();
        let changed_groups = membership.apply_view(view, document);
        let mut groups = self.groups.borrow_mut();
        let declared: BTreeSet<_> = membership.groups().collect();
        groups.retain(|name, _| declared.contains(name));
        for name in &changed_groups {
            let new = || Rc::new(self.new_group(name));
            let group = groups.entry(name.clone()).or_insert_with(new);
            group.apply_update(&membership.group_update(name, document));
        }
    }

    /// Returns the other gateways of this gateway's zone.
    pub(crate) fn zone_peers(&self) -> Vec<Holder> {
        self.membership.borrow().zone_peers()
    }

    /// Returns the group of a name, for requests of other gateways.
    pub(crate) fn group(&self, name: &GroupName) -> Option<Rc<Group<W>>> {
        self.groups.borrow().get(name).cloned()
    }

    /// Closes connections that have been idle for too long, in all groups.
    pub(crate) fn close_unused(&self) {
        for group in self.groups.borrow().values() {
            group.close_unused();
        }
    }

    /// Returns the connections and waiting statements of all groups.
    pub(crate) fn connection_totals(&self) -> ConnectionTotals {
        let mut totals = ConnectionTotals::default();
        for group in self.groups.borrow().values() {
            group.add_connection_totals(&mut totals);
        }
        totals
    }

    fn new_group(&self, name: &GroupName) -> Group<W> {
        let shared = SharedParts {
            settings: Rc::clone(&self.settings),
            clock: self.clock,
            reach: self.reach.clone(),
            tunnels: Rc::clone(&self.tunnels),
            answers: Rc::clone(&self.answers),
            metrics: self.metrics.clone(),
        };
        Group::new(name.clone(), self.wire.clone(), shared)
    }

    fn update_tenants(&self, document: &Document) {
        let mut tenants = self.tenants.borrow_mut();
        match &document.tenants {
            None => *tenants = None,
            Some(declared) => tenants.get_or_insert_default().update(declared),
        }
    }

    fn apply_document(&self, document: &Arc<Document>) {
        let groups = self.groups.borrow();
        let transaction_idle_limit = document.limits.transaction_idle;
        let route = |rule: &RouteRule| {
            let group = Rc::clone(groups.get(&rule.group)?);
            let route = Route { rule: Rc::new(rule.clone()), group, transaction_idle_limit };
            Some((rule.database.clone(), route))
        };
        let routes = document.routes.iter().filter_map(route).collect();
        *self.routes.borrow_mut() = routes;
        self.update_tenants(document);
        *self.document.borrow_mut() = Some(Arc::clone(document));
    }
}
