//! Errors of the client.
//!
//! Decides which failures allow another server to be tried: a lost connection or body, and the answer that
//! a server is unavailable.

use awc::http::StatusCode;
use corktack_control::api::{ErrorBody, ErrorCode};

/// Failure of one attempt on one server, after which another server may be tried.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LostAnswer {
    /// The server could not be reached, or the connection was lost.
    #[error("{0}")]
    Connection(String),
    /// The body of the answer ended early or could not be read.
    #[error("the answer was cut: {0}")]
    Body(String),
    /// The server answered that it is unavailable for now; holds its message.
    #[error("{0}")]
    Unavailable(String),
}

/// Final error of a request.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// A server in the settings is not of the form `http://IP:PORT`.
    #[error("server {0:?} is not of the form http://IP:PORT")]
    InvalidServer(String),
    /// No server answered before the request timeout.
    #[error(
        "no server answered in time; the last one tried, {server}: {lost}{}",
        unknown_outcome_text(.change.as_deref())
    )]
    Unanswered {
        /// Server that was tried last.
        server: String,
        /// Failure of the last attempt.
        lost: LostAnswer,
        /// Id of the change whose outcome is unknown, if the request is a change.
        change: Option<String>,
    },
    /// The server refused the request.
    #[error("{}", refusal_text(.0))]
    Refused(Box<ErrorBody>),
    /// The body of the answer is not of the form that the interface defines.
    #[error("server {server} answered {status} with a body that is not understood")]
    InvalidBody {
        /// Server that answered.
        server: String,
        /// HTTP status of the answer.
        status: u16,
        /// Error of the parser.
        source: serde_json::Error,
    },
}

fn unknown_outcome_text(change: Option<&str>) -> String {
    change.map_or_else(String::new, |id| {
        format!("; whether change {id} took effect is not known: look before you repeat it")
    })
}

fn refusal_text(body: &ErrorBody) -> String {
    match (&body.field, &body.reason) {
        (Some(field), Some(reason)) => format!("{field}: {reason}"),
        _ => body.message.clone(),
    }
}

impl ClientError {
    /// Returns the error code of a refused request.
    #[must_use]
    pub fn code(&self) -> Option<ErrorCode> {
        match self {
            Self::Refused(body) => Some(body.code),
            _ => None,
        }
    }

    /// Reports whether the request was refused because it conflicts with the stored state.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        let conflict_codes = [ErrorCode::Conflict, ErrorCode::InUse, ErrorCode::CellChange];
        self.code().is_some_and(|code| conflict_codes.contains(&code))
    }
}

/// Classifies an answer without a success status: `Ok` means that another server may be tried, `Err` is
/// final.
pub(super) fn classify_failure(
    server: &str,
    status: StatusCode,
    bytes: &[u8],
) -> Result<LostAnswer, ClientError> {
    let retryable_statuses = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::BAD_GATEWAY,
        StatusCode::GATEWAY_TIMEOUT,
    ];
    let body = serde_json::from_slice::<ErrorBody>(bytes);
    if retryable_statuses.contains(&status) {
        let message = body.map_or_else(|_| status.to_string(), |body| body.message);
        return Ok(LostAnswer::Unavailable(message));
    }
    match body {
        Ok(body) => Err(ClientError::Refused(Box::new(body))),
        Err(source) => Err(ClientError::InvalidBody {
            server: server.to_owned(),
            status: status.as_u16(),
            source,
        }),
    }
}
