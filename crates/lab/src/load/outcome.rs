//! Classification of client errors by what a caller may conclude from them.

use tokio_postgres::error::SqlState;

/// Text in the message of a refusal when the request did not run.
const NOT_RUN_TEXT: &str = "not run";
/// Prefix of the hint that gives the time until a retry.
const RETRY_AFTER_PREFIX: &str = "retry_after_ms=";

/// Class of an error, by what the caller may conclude about its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ErrorClass {
    /// The request did not run.
    NotRun {
        /// Time until a retry, in milliseconds; a refusal with `None` breaks the protocol.
        retry_after_ms: Option<u32>,
    },
    /// The request may or may not have run.
    Unknown,
    /// The database answered with an error of this SQLSTATE; the transaction did not commit.
    Database(String),
    /// The connection ended and the caller has to connect again; the last request may or may
    /// not have run.
    Closed,
}

/// Classifies an error of the client library.
#[must_use]
pub fn classify_error(error: &tokio_postgres::Error) -> ErrorClass {
    let Some(database) = error.as_db_error() else { return ErrorClass::Closed };
    if database.message().contains(NOT_RUN_TEXT) {
        let retry_after_ms = database.hint().and_then(parse_retry_after);
        return ErrorClass::NotRun { retry_after_ms };
    }
    match database.code() {
        &SqlState::TRANSACTION_RESOLUTION_UNKNOWN => ErrorClass::Unknown,
        &SqlState::ADMIN_SHUTDOWN => ErrorClass::Closed,
        code => ErrorClass::Database(code.code().to_owned()),
    }
}

fn parse_retry_after(hint: &str) -> Option<u32> {
    hint.strip_prefix(RETRY_AFTER_PREFIX)?.parse().ok()
}
