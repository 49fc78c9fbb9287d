//! Handler of changes of the cell's membership; each request changes one replica.

use super::answer::ErrorAnswer;
use super::body::{parse_error_answer, read_body};
use super::operators::OperatorContext;
use crate::api::CellChangeBody;
use actix_web::{HttpResponse, web};

/// Adds a learner, promotes a learner to a voter, or removes a replica.
pub(super) async fn change(
    operators: web::Data<OperatorContext>,
    payload: web::Payload,
) -> Result<HttpResponse, ErrorAnswer> {
    let body = read_body(payload).await?;
    let change: CellChangeBody =
        serde_json::from_slice(&body).map_err(|error| parse_error_answer("", &error))?;
    operators.consensus.change_cell(change.into()).await?;
    Ok(HttpResponse::NoContent().finish())
}
