//! Requests of the operators' interface: method, path, body and the id of the change.
//!
//! Draws the id of a change once, so that every resend of it carries the same.

use awc::http::Method;
use corktack_control::api::{key_parts, kind_segment};
use corktack_core::resources::{ResourceKey, ResourceSpec, ResourceVersion};
use serde_json::{Value, json};

/// Draws the id of one change. Every resend of the change carries the same one.
fn draw_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// One request; the same for every server that is tried.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Option<Value>,
    /// Id of the change, the same on every try.
    pub change: Option<String>,
}

impl Request {
    /// A write of one resource under a new change id.
    ///
    /// # Errors
    /// The declared part has no JSON form.
    pub fn put(
        key: &ResourceKey,
        spec: &ResourceSpec,
        expected: Option<ResourceVersion>,
    ) -> Result<Self, serde_json::Error> {
        let spec = match spec {
            ResourceSpec::DatabaseGroup(spec) => serde_json::to_value(spec),
            ResourceSpec::PriorityClass(spec) => serde_json::to_value(spec),
            ResourceSpec::Binding(spec) => serde_json::to_value(spec),
        }?;
        let body = match expected {
            Some(version) => json!({"metadata": {"resourceVersion": version}, "spec": spec}),
            None => json!({"spec": spec}),
        };
        let path = resource_path(key);
        let change = Some(draw_change_id());
        Ok(Self { method: Method::PUT, path, body: Some(body), change })
    }

    /// A delete of one resource under a new change id.
    #[must_use]
    pub fn delete(key: &ResourceKey, expected: Option<ResourceVersion>) -> Self {
        let mut path = resource_path(key);
        if let Some(version) = expected {
            path.push_str(&format!("?resourceVersion={}", version.0));
        }
        Self { method: Method::DELETE, path, body: None, change: Some(draw_change_id()) }
    }

    /// A read.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), body: None, change: None }
    }
}

/// Path of one resource.
#[must_use]
pub fn resource_path(key: &ResourceKey) -> String {
    let (kind, name) = key_parts(key);
    format!("/v1/{}/{name}", kind_segment(kind))
}
