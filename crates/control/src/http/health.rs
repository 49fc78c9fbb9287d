//! Liveness, readiness and metrics.
//!
//! Owns nothing: liveness is the consensus thread's, readiness a proof that the replica is current.

use super::answer::ErrorAnswer;
use super::operators::Operators;
use crate::api::ErrorCode;
use actix_web::{HttpResponse, web};
use std::time::Duration;
use tokio::time::timeout;

const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Longest wait for the proof. Chosen, not measured; a lower value takes a replica during an election for one
/// that is not ready, a higher one adds to the time until the platform learns it.
const READY_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether the process works: its consensus thread runs and its disk did not fail.
pub(super) async fn live(operators: web::Data<Operators>) -> Result<HttpResponse, ErrorAnswer> {
    if operators.status.borrow().running {
        return Ok(HttpResponse::Ok().finish());
    }
    Err(ErrorAnswer::new(ErrorCode::Unavailable, "the consensus thread has ended"))
}

/// Whether the replica can prove that it is current.
pub(super) async fn ready(operators: web::Data<Operators>) -> Result<HttpResponse, ErrorAnswer> {
    let proof = timeout(READY_TIMEOUT, operators.proofs.request()).await;
    if matches!(proof, Ok(Ok(true))) {
        return Ok(HttpResponse::Ok().finish());
    }
    Err(ErrorAnswer::new(ErrorCode::Unavailable, "the replica cannot prove that it is current"))
}

/// The metrics in text form.
pub(super) async fn metrics(operators: web::Data<Operators>) -> Result<HttpResponse, ErrorAnswer> {
    let mut text = String::new();
    match prometheus_client::encoding::text::encode(&mut text, &operators.registry) {
        Ok(()) => Ok(HttpResponse::Ok().content_type(METRICS_CONTENT_TYPE).body(text)),
        Err(error) => Err(ErrorAnswer::new(ErrorCode::Unavailable, error.to_string())),
    }
}
