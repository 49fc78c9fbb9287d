//! The whole configuration of a deployment as one versioned document.
//!
//! The module checks the references between the parts of a document. Documents are stored and sent
//! by position, so the order and number of the fields must not change. The source text is parsed
//! elsewhere and stored with the document.

use crate::identity::GroupName;
use crate::tenancy::{TenantError, TenantRule, check_tenants};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Which acknowledged commits a read on a route may miss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// The read misses no commit that was acknowledged before the read began.
    Linearizable,
    /// The read may miss commits acknowledged less than this time before the read began.
    BoundedStaleness(Duration),
    /// As [`Consistency::BoundedStaleness`], but the read misses no commit of the same session.
    ReadYourWrites(Duration),
}

/// Rule by which statements for one database name are served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route.
    pub name: String,
    /// Database name that callers ask for.
    pub database: String,
    /// Path below the database name; two routes with the same database name differ in the path.
    pub path_prefix: String,
    /// Consistency of the reads on the route.
    pub consistency: Consistency,
    /// Timeout of one statement; must be above 0.
    pub statement_timeout: Duration,
    /// Target latency of an operation.
    pub latency_objective: Duration,
    /// Priority class; 0 is served first.
    pub priority: u32,
    /// Group that serves the route.
    pub group: GroupName,
    /// Highest number of members that a read is tried on.
    pub attempts: u32,
    /// Whether callers are served without a key, even if the document declares tenants.
    pub public: bool,
}

/// Declared settings of one group of back ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Name of the group.
    pub name: GroupName,
    /// Number of connections that each member accepts from all proxies together.
    pub max_connections: u32,
    /// Number of replicas that hold a commit before it is acknowledged.
    pub synchronous_replicas: u32,
}

/// Limits that apply to all routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentLimits {
    /// Timeout of an idle transaction between two statements.
    pub transaction_idle: Duration,
}

/// A version of the whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version number; the document with the highest version is in force.
    pub version: u64,
    /// Routes by which statements are served.
    pub routes: Vec<RouteRule>,
    /// Groups of back ends that the routes refer to.
    pub services: Vec<ServiceRule>,
    /// Limits that apply to all routes.
    pub limits: DocumentLimits,
    /// Declared tenants; none if callers are served without a key.
    pub tenants: Option<Vec<TenantRule>>,
}

/// A document and its source text, which is returned unchanged.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// Parsed content of the text.
    pub document: Arc<Document>,
    /// Source text, which contains callers' keys and is left out of `Debug` output.
    pub source: Arc<str>,
}

impl fmt::Debug for StoredDocument {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = formatter.debug_struct("StoredDocument");
        text.field("document", &self.document).finish_non_exhaustive()
    }
}

/// Why a document is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum DocumentError {
    /// A route names a group that the document does not declare.
    #[error("route {route:?}: service {service:?} is not declared")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the undeclared group.
        service: String,
    },
    /// Two routes have the same database name and path.
    #[error("route {route:?}: another route has the same database name and path")]
    DuplicateRoute {
        /// Name of the second of the two routes.
        route: String,
    },
    /// The statement timeout of a route is 0.
    #[error("route {route:?}: the statement timeout is 0")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// Two groups have the same name.
    #[error("service {service:?} is declared twice")]
    DuplicateService {
        /// Name that is declared twice.
        service: String,
    },
    /// The declared tenants are invalid.
    #[error(transparent)]
    Tenants(#[from] TenantError),
}

impl Document {
    /// Checks the references between the parts of the document, and the tenants.
    ///
    /// # Errors
    /// [`DocumentError`], which names the invalid route, service or tenant.
    pub fn check(&self) -> Result<(), DocumentError> {
        let mut services = BTreeSet::new();
        for service in &self.services {
            if !services.insert(&service.name) {
                let service = service.name.to_string();
                return Err(DocumentError::DuplicateService { service });
            }
        }
        let mut paths = BTreeSet::new();
        for route in &self.routes {
            self.check_route(route, &services, &mut paths)?;
        }
        check_tenants(self.tenants.as_deref().unwrap_or_default())?;
        Ok(())
    }

    fn check_route<'d>(
        &self,
        rule: &'d RouteRule,
        services: &BTreeSet<&GroupName>,
        paths: &mut BTreeSet<(&'d str, &'d str)>,
    ) -> Result<(), DocumentError> {
        let route = rule.name.clone();
        if !services.contains(&rule.group) {
            return Err(DocumentError::UnknownService { route, service: rule.group.to_string() });
        }
        if !paths.insert((&rule.database, &rule.path_prefix)) {
            return Err(DocumentError::DuplicateRoute { route });
        }
        if rule.statement_timeout.is_zero() {
            return Err(DocumentError::ZeroTimeout { route });
        }
        Ok(())
    }

    /// Returns the first route of a database name.
    #[must_use]
    pub fn route(&self, database: &str) -> Option<&RouteRule> {
        self.routes.iter().find(|route| route.database == database)
    }

    /// Returns the declared settings of a group.
    #[must_use]
    pub fn service(&self, name: &GroupName) -> Option<&ServiceRule> {
        self.services.iter().find(|service| service.name == *name)
    }
}
