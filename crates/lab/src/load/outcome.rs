//! What became of one request, from the caller's side.

use tokio_postgres::error::SqlState;

/// Words that a refusal carries when the request did not run.
const NOT_RUN_WORDS: &str = "not run";
/// Start of the hint that tells when to come back.
const RETRY_AFTER_PREFIX: &str = "retry_after_ms=";

/// What a caller may conclude from an error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request did not run.
    NotRun {
        /// When to come back, in milliseconds; `None` breaks the contract.
        retry_after_ms: Option<u32>,
    },
    /// The request may or may not have run.
    Unknown,
    /// The database answered with an error; the transaction did not commit.
    Database(String),
    /// The connection ended and the caller has to connect again; whatever was
    /// sent last may or may not have run.
    Closed,
}

/// Classifies an error of the client library.
#[must_use]
pub fn verdict(error: &tokio_postgres::Error) -> Verdict {
    let Some(database) = error.as_db_error() else { return Verdict::Closed };
    if database.message().contains(NOT_RUN_WORDS) {
        let retry_after_ms = database.hint().and_then(parse_retry_after);
        return Verdict::NotRun { retry_after_ms };
    }
    match database.code() {
        &SqlState::TRANSACTION_RESOLUTION_UNKNOWN => Verdict::Unknown,
        &SqlState::ADMIN_SHUTDOWN => Verdict::Closed,
        code => Verdict::Database(code.code().to_owned()),
    }
}

fn parse_retry_after(hint: &str) -> Option<u32> {
    hint.strip_prefix(RETRY_AFTER_PREFIX)?.parse().ok()
}
