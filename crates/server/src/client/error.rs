//! Why a request was not answered, or refused.
//!
//! Decides which answers let another server be tried: those that say "not now".

use awc::http::StatusCode;
use corktack_control::api::{ErrorBody, ErrorCode};

/// Why no answer came from a server.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LostAnswer {
    /// It could not be reached, or the connection was lost.
    #[error("{0}")]
    Connection(String),
    /// The answer's body was cut.
    #[error("the answer was cut: {0}")]
    Body(String),
    /// It says that it can give no answer now.
    #[error("{0}")]
    Unavailable(String),
}

/// Why a request was not answered, or refused.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// A server is not of the form `http://IP:PORT`.
    #[error("server {0:?} is not of the form http://IP:PORT")]
    Server(String),
    /// No server answered in time.
    #[error("no server answered in time; the last one tried, {server}: {lost}{}", resend(.change.as_deref()))]
    Unanswered {
        /// The server tried last.
        server: String,
        /// Why it did not answer.
        lost: LostAnswer,
        /// The change whose outcome is not known.
        change: Option<String>,
    },
    /// The request was refused.
    #[error("{}", refusal_text(.0))]
    Refused(Box<ErrorBody>),
    /// The answer is not one of the interface's.
    #[error("server {server} answered {status} with a body that is not understood")]
    Answer {
        /// The server.
        server: String,
        /// Status of the answer.
        status: u16,
        /// Why.
        source: serde_json::Error,
    },
}

fn resend(change: Option<&str>) -> String {
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
    /// The code of a refusal.
    #[must_use]
    pub fn code(&self) -> Option<ErrorCode> {
        match self {
            Self::Refused(body) => Some(body.code),
            _ => None,
        }
    }

    /// Whether what is stored stands against the request.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        let conflicts = [ErrorCode::Conflict, ErrorCode::InUse, ErrorCode::CellChange];
        self.code().is_some_and(|code| conflicts.contains(&code))
    }
}

/// Sorts an answer that is no success: another server may be tried, or it is final.
pub(super) fn refusal(
    server: &str,
    status: StatusCode,
    bytes: &[u8],
) -> Result<LostAnswer, ClientError> {
    let unavailable = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::BAD_GATEWAY,
        StatusCode::GATEWAY_TIMEOUT,
    ];
    let body = serde_json::from_slice::<ErrorBody>(bytes);
    if unavailable.contains(&status) {
        let message = body.map_or_else(|_| status.to_string(), |body| body.message);
        return Ok(LostAnswer::Unavailable(message));
    }
    match body {
        Ok(body) => Err(ClientError::Refused(Box::new(body))),
        Err(source) => {
            Err(ClientError::Answer { server: server.to_owned(), status: status.as_u16(), source })
        }
    }
}
