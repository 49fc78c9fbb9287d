//! Kinds and names in paths.

use super::answer::ErrorAnswer;
use crate::api::{ErrorCode, kind_of_segment, resource_key};
use actix_web::HttpResponse;
use corktack_core::resources::{Kind, ResourceKey};

/// Answers a path that nothing is served at.
pub(super) async fn not_served() -> Result<HttpResponse, ErrorAnswer> {
    Err(ErrorAnswer::new(ErrorCode::NotFound, "there is nothing at this path"))
}

/// The kind that a path segment stands for.
pub(super) fn parse_kind(segment: &str) -> Result<Kind, ErrorAnswer> {
    kind_of_segment(segment)
        .ok_or_else(|| ErrorAnswer::new(ErrorCode::NotFound, "there is no such kind of resource"))
}

/// The resource that a path stands for.
pub(super) fn parse_key(kind: Kind, name: &str) -> Result<ResourceKey, ErrorAnswer> {
    resource_key(kind, name)
        .map_err(|error| ErrorAnswer::invalid("metadata.name", error.to_string()))
}
