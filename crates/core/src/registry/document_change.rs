//! What turns a configuration document into the next one.
//!
//! Gateways are sent what is other in a new document: a document of 1,500 routes is 66 KB, a
//! changed time-out of one route some 60 bytes, and both go to every gateway.
//!
//! Owns nothing; a gateway that holds another version than the change is for asks for the whole document.

use super::document::{Document, DocumentLimits, RouteRule, ServiceRule};
use crate::list_difference::{ListStep, StepsMismatch, follow_steps, list_steps};
use crate::tenancy::TenantRule;
use serde::{Deserialize, Serialize};

/// Part of the entries of a document that may be new in it for the change to be sent in its place. Chosen, not
/// measured: with more, changes are sent that save little.
const LARGEST_PART: f64 = 0.5;

/// What turns a document into the next one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentChange {
    /// Version of the document that it is for.
    pub former: u64,
    /// Version of the document that it leads to.
    pub version: u64,
    routes: Vec<ListStep<RouteRule>>,
    services: Vec<ListStep<ServiceRule>>,
    limits: DocumentLimits,
    /// None where callers are served without a key.
    tenants: Option<Vec<ListStep<TenantRule>>>,
}

/// A change that cannot be applied to the document that is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentChangeError {
    /// It is for another document.
    #[error("the change is for version {expected}, and version {found:?} is there")]
    OtherVersion {
        /// Version that it is for.
        expected: u64,
        /// Version that is there; none where there is no document.
        found: Option<u64>,
    },
    /// A list has another length than in the document that it is for.
    #[error(transparent)]
    OtherList(#[from] StepsMismatch),
}

impl DocumentChange {
    /// What turns one document into another; none where that would not be much less than the whole.
    #[must_use]
    pub fn between(former: &Document, document: &Document) -> Option<Self> {
        let tenants_before = former.tenants.as_deref().unwrap_or_default();
        let tenants = document.tenants.as_deref();
        let change = Self {
            former: former.version,
            version: document.version,
            routes: list_steps(&former.routes, &document.routes, |route| &route.name),
            services: list_steps(&former.services, &document.services, |service| &service.name),
            limits: document.limits,
            tenants: tenants.map(|it| list_steps(tenants_before, it, |tenant| &tenant.name)),
        };
        let entries = document.routes.len() + tenants.map_or(0, <[_]>::len);
        let is_small = change.weight() as f64 <= entries as f64 * LARGEST_PART;
        is_small.then_some(change)
    }

    /// Routes and tenants that it brings.
    #[must_use]
    pub fn weight(&self) -> usize {
        let tenants = self.tenants.as_deref().unwrap_or_default();
        inserted(&self.routes) + inserted(tenants)
    }

    /// The document that it leads to.
    ///
    /// # Errors
    /// [`DocumentChangeError`] where it is for another document.
    pub fn apply(&self, former: Option<&Document>) -> Result<Document, DocumentChangeError> {
        let found = former.map(|it| it.version);
        let former = former.filter(|it| it.version == self.former);
        let other = DocumentChangeError::OtherVersion { expected: self.former, found };
        let former = former.ok_or(other)?;
        let tenants_before = former.tenants.as_deref().unwrap_or_default();
        let tenants = self.tenants.as_ref();
        Ok(Document {
            version: self.version,
            routes: follow_steps(&former.routes, &self.routes)?,
            services: follow_steps(&former.services, &self.services)?,
            limits: self.limits,
            tenants: tenants.map(|it| follow_steps(tenants_before, it)).transpose()?,
        })
    }
}

fn inserted<T>(steps: &[ListStep<T>]) -> usize {
    let count = |step: &ListStep<T>| match step {
        ListStep::Insert(entries) => entries.len(),
        ListStep::Keep(_) | ListStep::Drop(_) => 0,
    };
    steps.iter().map(count).sum()
}
