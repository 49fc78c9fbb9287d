//! Difference between two versions of the configuration document.
//!
//! Gateways are sent the difference to the previous document: a document of 1,500 routes is 66 KB, a
//! changed timeout of one route some 60 bytes, and either goes to every gateway. A gateway that holds
//! another version than the base of the change requests the whole document.

use super::document::{Document, DocumentLimits, RouteRule, ServiceRule};
use crate::list_difference::{ListStep, StepsMismatch, apply_steps, edit_steps};
use crate::tenancy::TenantRule;
use serde::{Deserialize, Serialize};

/// Largest fraction of new or changed entries at which a change is sent instead of the document.
/// With a larger fraction, changes are sent that save little.
const MAX_CHANGED_FRACTION: f64 = 0.5;

/// The change that turns one document into a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentChange {
    /// Version of the document that the change applies to.
    pub base_version: u64,
    /// Version of the document that results from the change.
    pub version: u64,
    routes: Vec<ListStep<RouteRule>>,
    services: Vec<ListStep<ServiceRule>>,
    limits: DocumentLimits,
    /// Changes of the tenants; none if callers are served without a key after the change.
    tenants: Option<Vec<ListStep<TenantRule>>>,
}

/// Why a change cannot be applied to the document in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentChangeError {
    /// The change is for another version of the document.
    #[error("the change is for version {expected}, and version {found:?} is there")]
    OtherVersion {
        /// Version that the change applies to.
        expected: u64,
        /// Version of the document in force; none if there is no document.
        found: Option<u64>,
    },
    /// A list of the document has another length than the change expects.
    #[error(transparent)]
    OtherList(#[from] StepsMismatch),
}

impl DocumentChange {
    /// Returns the change from `base` to `document`; none if the change would not be much smaller
    /// than the document.
    #[must_use]
    pub fn between(base: &Document, document: &Document) -> Option<Self> {
        let tenants_before = base.tenants.as_deref().unwrap_or_default();
        let tenants = document.tenants.as_deref();
        let change = Self {
            base_version: base.version,
            version: document.version,
            routes: edit_steps(&base.routes, &document.routes, |route| &route.name),
            services: edit_steps(&base.services, &document.services, |service| &service.name),
            limits: document.limits,
            tenants: tenants
                .map(|tenants| edit_steps(tenants_before, tenants, |tenant| &tenant.name)),
        };
        let entries = document.routes.len() + tenants.map_or(0, <[_]>::len);
        let is_small = change.weight() as f64 <= entries as f64 * MAX_CHANGED_FRACTION;
        is_small.then_some(change)
    }

    /// Returns the number of routes and tenants that the change inserts.
    #[must_use]
    pub fn weight(&self) -> usize {
        let tenants = self.tenants.as_deref().unwrap_or_default();
        inserted_count(&self.routes) + inserted_count(tenants)
    }

    /// Returns the document that results from applying the change to `base`.
    ///
    /// # Errors
    /// [`DocumentChangeError`] if the change is for another document.
    pub fn apply(&self, base: Option<&Document>) -> Result<Document, DocumentChangeError> {
        let found = base.map(|document| document.version);
        let base = base.filter(|document| document.version == self.base_version);
        let mismatch = DocumentChangeError::OtherVersion { expected: self.base_version, found };
        let base = base.ok_or(mismatch)?;
        let tenants_before = base.tenants.as_deref().unwrap_or_default();
        let tenants = self.tenants.as_ref();
        Ok(Document {
            version: self.version,
            routes: apply_steps(&base.routes, &self.routes)?,
            services: apply_steps(&base.services, &self.services)?,
            limits: self.limits,
            tenants: tenants.map(|steps| apply_steps(tenants_before, steps)).transpose()?,
        })
    }
}

fn inserted_count<T>(steps: &[ListStep<T>]) -> usize {
    let count = |step: &ListStep<T>| match step {
        ListStep::Insert(entries) => entries.len(),
        ListStep::Keep(_) | ListStep::Drop(_) => 0,
    };
    steps.iter().map(count).sum()
}
