//! Kinds and names in paths.

use super::answer::ErrorAnswer;
use crate::api::{BINDINGS, CLASSES, ErrorCode, GROUPS};
use actix_web::HttpResponse;
use corktack_core::identity::{BindingName, ClassName, GroupName, NameError};
use corktack_core::resources::{Kind, ResourceKey};

/// Answers a path that nothing is served at.
pub(super) async fn not_served() -> Result<HttpResponse, ErrorAnswer> {
    Err(ErrorAnswer::new(ErrorCode::NotFound, "there is nothing at this path"))
}

/// The kind that a path segment stands for.
pub(super) fn parse_kind(segment: &str) -> Result<Kind, ErrorAnswer> {
    match segment {
        GROUPS => Ok(Kind::DatabaseGroup),
        CLASSES => Ok(Kind::PriorityClass),
        BINDINGS => Ok(Kind::Binding),
        _ => Err(ErrorAnswer::new(ErrorCode::NotFound, "there is no such kind of resource")),
    }
}

/// The resource that a path stands for.
pub(super) fn parse_key(kind: Kind, name: &str) -> Result<ResourceKey, ErrorAnswer> {
    let key = match kind {
        Kind::DatabaseGroup => GroupName::new(name).map(ResourceKey::DatabaseGroup),
        Kind::PriorityClass => ClassName::new(name).map(ResourceKey::PriorityClass),
        Kind::Binding => BindingName::new(name).map(ResourceKey::Binding),
    };
    key.map_err(|error: NameError| ErrorAnswer::invalid("metadata.name", error.to_string()))
}
