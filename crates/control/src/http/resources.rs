//! Handlers that list, read, write and delete resources.

use super::answer::ErrorAnswer;
use super::body::{parse_put, read_body};
use super::operators::OperatorContext;
use super::path::{parse_key, parse_kind};
use crate::api::{CHANGE_ID_HEADER, ErrorCode, ResourceList, WriteBody};
use crate::error::RequestError;
use crate::render::stored_manifest;
use actix_web::{HttpRequest, HttpResponse, web};
use corktack_core::resources::ResourceVersion;
use corktack_core::state::command::{ChangeId, Command, Outcome, ResourceOperation};
use serde::Deserialize;

type Data = web::Data<OperatorContext>;
type KeyPath = web::Path<(String, String)>;

/// Lists all resources of one kind.
pub(super) async fn list(
    operators: Data,
    kind: web::Path<String>,
) -> Result<HttpResponse, ErrorAnswer> {
    let kind = parse_kind(&kind)?;
    let read = move |reader: crate::consensus::StateReader<'_>| {
        let resources = reader.state.list(kind).into_iter();
        let items = resources.map(|resource| stored_manifest(reader.state, resource)).collect();
        ResourceList { revision: reader.state.view_revision(), items }
    };
    let list = operators.consensus.read(read).await?;
    Ok(HttpResponse::Ok().json(list))
}

/// Returns one resource.
pub(super) async fn get(operators: Data, path: KeyPath) -> Result<HttpResponse, ErrorAnswer> {
    let (kind, name) = path.into_inner();
    let key = parse_key(parse_kind(&kind)?, &name)?;
    let read = move |reader: crate::consensus::StateReader<'_>| {
        reader.state.get(&key).map(|resource| stored_manifest(reader.state, resource))
    };
    match operators.consensus.read(read).await? {
        Some(manifest) => Ok(HttpResponse::Ok().json(manifest)),
        None => Err(ErrorAnswer::new(ErrorCode::NotFound, "not found")),
    }
}

/// Creates or replaces a resource.
pub(super) async fn put(
    operators: Data,
    request: HttpRequest,
    path: KeyPath,
    payload: web::Payload,
) -> Result<HttpResponse, ErrorAnswer> {
    let (kind, name) = path.into_inner();
    let kind = parse_kind(&kind)?;
    let key = parse_key(kind, &name)?;
    let put = parse_put(kind, &name, &read_body(payload).await?)?;
    let operation =
        ResourceOperation::Put { key, spec: Box::new(put.spec), expected: put.expected };
    propose_change(&operators, change_id_of(&request)?, operation).await
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
struct DeleteQuery {
    resource_version: Option<u64>,
}

/// Deletes a resource.
pub(super) async fn delete(
    operators: Data,
    request: HttpRequest,
    path: KeyPath,
) -> Result<HttpResponse, ErrorAnswer> {
    let (kind, name) = path.into_inner();
    let key = parse_key(parse_kind(&kind)?, &name)?;
    let query = web::Query::<DeleteQuery>::from_query(request.query_string())
        .map_err(|error| ErrorAnswer::new(ErrorCode::BadRequest, error.to_string()))?;
    let expected = query.resource_version.map(ResourceVersion);
    let operation = ResourceOperation::Delete { key, expected };
    propose_change(&operators, change_id_of(&request)?, operation).await
}

async fn propose_change(
    operators: &OperatorContext,
    change: ChangeId,
    operation: ResourceOperation,
) -> Result<HttpResponse, ErrorAnswer> {
    let change_id = change.0.clone();
    let outcome = operators.consensus.propose(Command::Resource { change, operation }).await;
    write_answer(outcome, &change_id).map_err(|error| error.with_change_id(&change_id))
}

fn write_answer(
    outcome: Result<Outcome, RequestError>,
    change_id: &str,
) -> Result<HttpResponse, ErrorAnswer> {
    match outcome? {
        Outcome::Accepted { version, revision } => {
            let change_id = change_id.to_owned();
            let header = (CHANGE_ID_HEADER, change_id.clone());
            let body = WriteBody { change_id, resource_version: version, revision };
            Ok(HttpResponse::Ok().insert_header(header).json(body))
        }
        Outcome::Refused(refusal) => Err(refusal.into()),
        // Only batches of the leader and changes of the registry have these outcomes.
        Outcome::Batch { .. } | Outcome::Registry(_) => Err(RequestError::OutcomeForgotten.into()),
    }
}

/// Returns the change id of the request, or a new random id if the request has none.
fn change_id_of(request: &HttpRequest) -> Result<ChangeId, ErrorAnswer> {
    let Some(value) = request.headers().get(CHANGE_ID_HEADER) else {
        return Ok(ChangeId(format!("{:032x}", rand::random::<u128>())));
    };
    match value.to_str() {
        Ok(text) => Ok(ChangeId(text.to_owned())),
        Err(_) => Err(ErrorAnswer::invalid(CHANGE_ID_HEADER, "must be visible ASCII")),
    }
}
