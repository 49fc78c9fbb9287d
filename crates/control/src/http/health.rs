//! Handlers of liveness, readiness and metrics.
//!
//! A replica is live while its consensus thread runs, also while its log cannot be written: it waits for the
//! disk by itself, and a restart would not help. It is ready if it can confirm that it is current.

use super::answer::ErrorAnswer;
use super::operators::OperatorContext;
use crate::api::ErrorCode;
use crate::error::RequestError;
use actix_web::{HttpResponse, web};
use std::time::Duration;
use tokio::time::timeout;

const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Timeout of the confirmation that the replica is current. A shorter timeout reports a replica as not ready
/// during an election; a longer one delays the report of a replica that is not ready.
const READY_TIMEOUT: Duration = Duration::from_secs(3);

/// Reports whether the process works: its consensus thread runs.
pub(super) async fn live(
    operators: web::Data<OperatorContext>,
) -> Result<HttpResponse, ErrorAnswer> {
    if operators.status.borrow().running {
        return Ok(HttpResponse::Ok().finish());
    }
    Err(ErrorAnswer::new(ErrorCode::Unavailable, "the consensus thread has ended"))
}

/// Reports whether the replica can confirm that it is current.
pub(super) async fn ready(
    operators: web::Data<OperatorContext>,
) -> Result<HttpResponse, ErrorAnswer> {
    if operators.status.borrow().storage_unwritable_since.is_some() {
        let error = RequestError::StorageUnwritable;
        return Err(ErrorAnswer::new(ErrorCode::Unavailable, error.to_string()));
    }
    let confirmed = timeout(READY_TIMEOUT, operators.currency_checks.request()).await;
    if matches!(confirmed, Ok(Ok(true))) {
        return Ok(HttpResponse::Ok().finish());
    }
    Err(ErrorAnswer::new(ErrorCode::Unavailable, "the replica cannot prove that it is current"))
}

/// Returns the metrics in the OpenMetrics text format.
pub(super) async fn metrics(
    operators: web::Data<OperatorContext>,
) -> Result<HttpResponse, ErrorAnswer> {
    let mut text = String::new();
    match prometheus_client::encoding::text::encode(&mut text, &operators.registry) {
        Ok(()) => Ok(HttpResponse::Ok().content_type(METRICS_CONTENT_TYPE).body(text)),
        Err(error) => Err(ErrorAnswer::new(ErrorCode::Unavailable, error.to_string())),
    }
}
