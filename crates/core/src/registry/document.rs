//! The whole configuration of a deployment as one versioned document.
//!
//! Owns the checks of what its parts say of each other. The document is stored and sent: order and number of
//! fields stay. Its text is read elsewhere and kept beside it.

use crate::identity::GroupName;
use crate::tenancy::{TenantError, TenantRule, check_tenants};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// What a read on a route may miss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// No commit that was acknowledged before the read began.
    Linearizable,
    /// Commits acknowledged less than this long before the read began.
    BoundedStaleness(Duration),
    /// As [`Consistency::BoundedStaleness`], but never a commit of the same session.
    ReadYourWrites(Duration),
}

/// How statements of one database name are served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route.
    pub name: String,
    /// Database name that callers ask for.
    pub database: String,
    /// Path below the database name; two routes may share a name and differ here.
    pub path_prefix: String,
    /// What a read may miss.
    pub consistency: Consistency,
    /// Longest time for one statement.
    pub statement_timeout: Duration,
    /// Time within which an operation should be answered.
    pub latency_objective: Duration,
    /// Priority class; 0 is served first.
    pub priority: u32,
    /// The group that serves it.
    pub group: GroupName,
    /// Members that a read may be offered to.
    pub attempts: u32,
    /// Whether callers are served without a key, also where there are tenants.
    pub public: bool,
}

/// What is declared of one group of back ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Its name.
    pub name: GroupName,
    /// Connections that each member accepts from all proxies together.
    pub max_connections: u32,
    /// Replicas that hold a commit before it is acknowledged.
    pub synchronous_replicas: u32,
}

/// Limits that hold for all routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentLimits {
    /// Longest time that a transaction may be idle between two statements.
    pub transaction_idle: Duration,
}

/// The whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The highest version is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// The groups.
    pub services: Vec<ServiceRule>,
    /// Limits for all routes.
    pub limits: DocumentLimits,
    /// The tenants; none where callers are served without a key.
    pub tenants: Option<Vec<TenantRule>>,
}

/// A document together with the text it was read from, which is given back as it came.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// What the text says.
    pub document: Arc<Document>,
    /// The text, which holds callers' keys.
    pub source: Arc<str>,
}

impl fmt::Debug for StoredDocument {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = formatter.debug_struct("StoredDocument");
        text.field("document", &self.document).finish_non_exhaustive()
    }
}

/// Why a document cannot be put in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum DocumentError {
    /// A route names a group that the document does not declare.
    #[error("route {route:?}: service {service:?} is not declared")]
    UnknownService {
        /// The route.
        route: String,
        /// The name that is missing.
        service: String,
    },
    /// Two routes answer for the same database name and path.
    #[error("route {route:?}: another route has the same database name and path")]
    DuplicateRoute {
        /// The second of the routes.
        route: String,
    },
    /// A route gives its statements no time at all.
    #[error("route {route:?}: the statement timeout is 0")]
    NoTime {
        /// The route.
        route: String,
    },
    /// Two groups have the same name.
    #[error("service {service:?} is declared twice")]
    DuplicateService {
        /// The name.
        service: String,
    },
    /// The tenants cannot be put in force.
    #[error(transparent)]
    Tenants(#[from] TenantError),
}

impl Document {
    /// Checks what the parts of a document say of each other.
    ///
    /// # Errors
    /// [`DocumentError`], which names the route, service or tenant.
    pub fn check(&self) -> Result<(), DocumentError> {
        let mut services = BTreeSet::new();
        for service in &self.services {
            if !services.insert(&service.name) {
                let service = service.name.to_string();
                return Err(DocumentError::DuplicateService { service });
            }
        }
        let mut places = BTreeSet::new();
        for route in &self.routes {
            self.check_route(route, &services, &mut places)?;
        }
        check_tenants(self.tenants.as_deref().unwrap_or_default())?;
        Ok(())
    }

    fn check_route<'d>(
        &self,
        rule: &'d RouteRule,
        services: &BTreeSet<&GroupName>,
        places: &mut BTreeSet<(&'d str, &'d str)>,
    ) -> Result<(), DocumentError> {
        let route = rule.name.clone();
        if !services.contains(&rule.group) {
            return Err(DocumentError::UnknownService { route, service: rule.group.to_string() });
        }
        if !places.insert((&rule.database, &rule.path_prefix)) {
            return Err(DocumentError::DuplicateRoute { route });
        }
        if rule.statement_timeout.is_zero() {
            return Err(DocumentError::NoTime { route });
        }
        Ok(())
    }

    /// The route of a database name.
    #[must_use]
    pub fn route(&self, database: &str) -> Option<&RouteRule> {
        self.routes.iter().find(|route| route.database == database)
    }

    /// What is declared of a group.
    #[must_use]
    pub fn service(&self, name: &GroupName) -> Option<&ServiceRule> {
        self.services.iter().find(|service| service.name == *name)
    }
}
