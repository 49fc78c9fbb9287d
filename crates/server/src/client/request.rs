//! Requests of the operators' interface: method, path, body and change id.
//!
//! The change id is drawn when a request is built, so that every retry of the request carries the same id.

use awc::http::Method;
use corktack_control::api::{key_parts, kind_segment};
use corktack_core::resources::{ResourceKey, ResourceSpec, ResourceVersion};
use serde_json::{Value, json};

/// Draws a random change id of 128 bits.
fn draw_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Request that is sent unchanged to every server that is tried.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URL.
    pub path: String,
    /// JSON body, if the request has one.
    pub body: Option<Value>,
    /// Change id, by which the server recognises a retry; absent for a read.
    pub change: Option<String>,
}

impl Request {
    /// Builds a write of one resource with a new change id. If `expected` is given, the server
    /// refuses the write unless that version is stored.
    ///
    /// # Errors
    /// Returns an error if the spec cannot be serialized to JSON.
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

    /// Builds a delete of one resource with a new change id. If `expected` is given, the server
    /// refuses the delete unless that version is stored.
    #[must_use]
    pub fn delete(key: &ResourceKey, expected: Option<ResourceVersion>) -> Self {
        let mut path = resource_path(key);
        if let Some(version) = expected {
            path.push_str(&format!("?resourceVersion={}", version.0));
        }
        Self { method: Method::DELETE, path, body: None, change: Some(draw_change_id()) }
    }

    /// Builds a read of a path.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), body: None, change: None }
    }
}

/// Returns the URL path of one resource.
#[must_use]
pub fn resource_path(key: &ResourceKey) -> String {
    let (kind, name) = key_parts(key);
    format!("/v1/{}/{name}", kind_segment(kind))
}
