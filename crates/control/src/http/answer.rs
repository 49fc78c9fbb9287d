//! Error responses, and the status codes of errors.

use crate::api::{ErrorBody, ErrorCode};
use crate::error::RequestError;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use actix_web::{HttpResponse, ResponseError};
use corktack_core::consensus::Rejection;
use corktack_core::state::command::Refusal;

const RETRY_AFTER_SECONDS: &str = "1";

/// An error response of a handler.
#[derive(Debug, thiserror::Error)]
#[error("{}", body.message)]
pub(super) struct ErrorAnswer {
    body: Box<ErrorBody>,
}

impl ErrorAnswer {
    pub(super) fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self { body: Box::new(ErrorBody::new(code, message)) }
    }

    /// Creates the response to a request with an invalid field.
    pub(super) fn invalid(field: impl Into<String>, reason: impl Into<String>) -> Self {
        let (field, reason) = (field.into(), reason.into());
        let mut answer = Self::new(ErrorCode::Invalid, format!("invalid: {field}: {reason}"));
        answer.body.field = Some(field);
        answer.body.reason = Some(reason);
        answer
    }

    /// Adds the id of the requested change, so that the client can resend the change with this id.
    pub(super) fn with_change_id(mut self, change_id: &str) -> Self {
        self.body.change_id = Some(change_id.to_owned());
        self
    }
}

impl From<RequestError> for ErrorAnswer {
    fn from(error: RequestError) -> Self {
        let code = match error {
            RequestError::Rejected(Rejection::CellChange) => ErrorCode::CellChange,
            RequestError::Overloaded => ErrorCode::Overloaded,
            RequestError::Encoding => ErrorCode::TooLarge,
            RequestError::Rejected(Rejection::NotLeader { .. } | Rejection::LeadershipLost)
            | RequestError::TimedOut
            | RequestError::OutcomeForgotten
            | RequestError::StorageUnwritable
            | RequestError::Stopping => ErrorCode::Unavailable,
        };
        Self::new(code, error.to_string())
    }
}

impl From<Refusal> for ErrorAnswer {
    fn from(refusal: Refusal) -> Self {
        let message = refusal.to_string();
        match refusal {
            Refusal::Conflict { stored } => {
                let mut answer = Self::new(ErrorCode::Conflict, message);
                answer.body.stored_version = Some(stored);
                answer
            }
            Refusal::NotFound => Self::new(ErrorCode::NotFound, message),
            Refusal::Invalid { field, reason } => Self::invalid(field, reason),
            Refusal::InUse { .. } => Self::new(ErrorCode::InUse, message),
            Refusal::StaleTerm { .. } => Self::new(ErrorCode::Conflict, message),
        }
    }
}

fn status_code(code: ErrorCode) -> StatusCode {
    match code {
        ErrorCode::BadRequest => StatusCode::BAD_REQUEST,
        ErrorCode::Unauthorized => StatusCode::UNAUTHORIZED,
        ErrorCode::NotFound => StatusCode::NOT_FOUND,
        ErrorCode::Conflict | ErrorCode::InUse | ErrorCode::CellChange => StatusCode::CONFLICT,
        ErrorCode::TooOld => StatusCode::GONE,
        ErrorCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ErrorCode::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
        ErrorCode::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        ErrorCode::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

impl ResponseError for ErrorAnswer {
    fn status_code(&self) -> StatusCode {
        status_code(self.body.code)
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        if matches!(self.body.code, ErrorCode::Unavailable | ErrorCode::Overloaded) {
            response.insert_header((RETRY_AFTER, RETRY_AFTER_SECONDS));
        }
        if let Some(change_id) = &self.body.change_id {
            response.insert_header((crate::api::CHANGE_ID_HEADER, change_id.as_str()));
        }
        response.json(&self.body)
    }
}
