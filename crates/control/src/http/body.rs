//! Reads request bodies and parses the body of a PUT.

use super::answer::ErrorAnswer;
use crate::api::{ErrorCode, MAX_BODY_BYTES, PutBody};
use actix_web::web;
use bytes::Bytes;
use corktack_core::resources::{API_VERSION, Kind, ResourceSpec, ResourceVersion};
use serde::de::DeserializeOwned;
use serde_json::error::Category;

/// The parsed body of a PUT.
#[derive(Debug)]
pub(super) struct PutRequest {
    pub(super) spec: ResourceSpec,
    pub(super) expected: Option<ResourceVersion>,
}

/// Reads a request body of at most [`MAX_BODY_BYTES`] bytes.
pub(super) async fn read_body(payload: web::Payload) -> Result<Bytes, ErrorAnswer> {
    let Ok(read) = payload.to_bytes_limited(MAX_BODY_BYTES).await else {
        let message = format!("the body has more than {MAX_BODY_BYTES} bytes");
        return Err(ErrorAnswer::new(ErrorCode::TooLarge, message));
    };
    read.map_err(|error| ErrorAnswer::new(ErrorCode::BadRequest, error.to_string()))
}

/// Parses the body of a PUT for the resource of this kind and name.
pub(super) fn parse_put(kind: Kind, name: &str, body: &[u8]) -> Result<PutRequest, ErrorAnswer> {
    let body: PutBody<serde_json::Value> =
        serde_json::from_slice(body).map_err(|error| parse_error_answer("", &error))?;
    check_matches_path(kind, name, &body)?;
    let spec = match kind {
        Kind::DatabaseGroup => ResourceSpec::DatabaseGroup(parse_spec(body.spec)?),
        Kind::PriorityClass => ResourceSpec::PriorityClass(parse_spec(body.spec)?),
        Kind::Binding => ResourceSpec::Binding(parse_spec(body.spec)?),
    };
    Ok(PutRequest { spec, expected: body.metadata.resource_version })
}

/// Checks that the API version, kind and name in the body, if present, agree with the path.
fn check_matches_path(
    kind: Kind,
    name: &str,
    body: &PutBody<serde_json::Value>,
) -> Result<(), ErrorAnswer> {
    if body.api_version.as_deref().is_some_and(|version| version != API_VERSION) {
        return Err(ErrorAnswer::invalid("apiVersion", format!("must be {API_VERSION}")));
    }
    if body.kind.is_some_and(|stated| stated != kind) {
        return Err(ErrorAnswer::invalid("kind", "is not the one of the path"));
    }
    if body.metadata.name.as_deref().is_some_and(|stated| stated != name) {
        return Err(ErrorAnswer::invalid("metadata.name", "is not the one of the path"));
    }
    Ok(())
}

fn parse_spec<Spec: DeserializeOwned>(spec: serde_json::Value) -> Result<Spec, ErrorAnswer> {
    serde_json::from_value(spec).map_err(|error| parse_error_answer("spec", &error))
}

/// Converts a parse error: text that is not JSON is a bad request, JSON of another form an invalid field.
pub(super) fn parse_error_answer(parent: &str, error: &serde_json::Error) -> ErrorAnswer {
    let reason = error.to_string();
    if error.classify() != Category::Data {
        return ErrorAnswer::new(ErrorCode::BadRequest, reason);
    }
    let path = [Some(parent).filter(|parent| !parent.is_empty()), quoted_field(&reason)];
    let path: Vec<&str> = path.into_iter().flatten().collect();
    ErrorAnswer::invalid(path.join("."), reason.clone())
}

/// Returns the field that an error message of serde names in backquotes.
fn quoted_field(reason: &str) -> Option<&str> {
    let names_field = reason.starts_with("unknown field") || reason.starts_with("missing field");
    reason.split('`').nth(1).filter(|_| names_field)
}
