//! Authentication of operators by a bearer token.

use super::answer::ErrorAnswer;
use super::operators::OperatorContext;
use crate::api::ErrorCode;
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::AUTHORIZATION;
use actix_web::middleware::Next;
use actix_web::{Error, web};

const SCHEME: &str = "Bearer ";

/// Rejects a request without the configured token. If no token is configured, every request passes.
pub(super) async fn require_token(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let operators = request.app_data::<web::Data<OperatorContext>>();
    let expected = operators.and_then(|operators| operators.token.clone());
    let authorized = expected.is_none_or(|expected| presents_token(&request, &expected));
    if !authorized {
        let message = "the bearer token is missing or wrong";
        return Err(ErrorAnswer::new(ErrorCode::Unauthorized, message).into());
    }
    next.call(request).await
}

fn presents_token(request: &ServiceRequest, expected: &str) -> bool {
    let header = request.headers().get(AUTHORIZATION);
    let token = header.and_then(|value| value.to_str().ok()?.strip_prefix(SCHEME));
    token.is_some_and(|token| equal_in_constant_time(token.as_bytes(), expected.as_bytes()))
}

/// Compares in constant time whichever byte differs, so that a token cannot be guessed byte by byte.
fn equal_in_constant_time(left: &[u8], right: &[u8]) -> bool {
    let differences = left.iter().zip(right).fold(0, |bits, (a, b)| bits | (a ^ b));
    left.len() == right.len() && std::hint::black_box(differences) == 0
}
