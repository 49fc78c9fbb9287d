//! Parses the kinds and names of resources in paths.

use super::answer::ErrorAnswer;
use crate::api::{ErrorCode, kind_of_segment, resource_key};
use actix_web::HttpResponse;
use corktack_core::resources::{Kind, ResourceKey};

/// Responds to a request for an unknown path.
pub(super) async fn unknown_path() -> Result<HttpResponse, ErrorAnswer> {
    Err(ErrorAnswer::new(ErrorCode::NotFound, "there is nothing at this path"))
}

/// Parses the path segment of a kind.
pub(super) fn parse_kind(segment: &str) -> Result<Kind, ErrorAnswer> {
    kind_of_segment(segment)
        .ok_or_else(|| ErrorAnswer::new(ErrorCode::NotFound, "there is no such kind of resource"))
}

/// Builds the resource key from the kind and the name in a path.
pub(super) fn parse_key(kind: Kind, name: &str) -> Result<ResourceKey, ErrorAnswer> {
    resource_key(kind, name)
        .map_err(|error| ErrorAnswer::invalid("metadata.name", error.to_string()))
}
