//! Changes of the cell, one replica at a time.

use super::answer::ErrorAnswer;
use super::body::{describe, read_body};
use super::operators::Operators;
use crate::api::CellChangeBody;
use actix_web::{HttpResponse, web};

/// Adds, promotes or removes a replica.
pub(super) async fn change(
    operators: web::Data<Operators>,
    payload: web::Payload,
) -> Result<HttpResponse, ErrorAnswer> {
    let body = read_body(payload).await?;
    let change: CellChangeBody =
        serde_json::from_slice(&body).map_err(|error| describe("", &error))?;
    operators.consensus.change_cell(change.into()).await?;
    Ok(HttpResponse::NoContent().finish())
}
