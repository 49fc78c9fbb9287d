//! Statements whose effect outlives their transaction.

use super::statements::Words;

/// Why a statement is refused before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unsupported {
    /// `LISTEN`, `UNLISTEN`, `NOTIFY`.
    #[error("LISTEN, UNLISTEN and NOTIFY are not supported")]
    Notification,
    /// A temporary table, view or sequence.
    #[error("temporary tables are not supported")]
    TemporaryTable,
    /// `COPY`.
    #[error("COPY is not supported")]
    Copy,
    /// `PREPARE`, `EXECUTE`, `DEALLOCATE` as statements.
    #[error("PREPARE, EXECUTE and DEALLOCATE are not supported, use the extended query protocol")]
    PreparedByStatement,
    /// `DECLARE ... WITH HOLD`.
    #[error("cursors WITH HOLD are not supported")]
    HoldCursor,
    /// An advisory lock of the session.
    #[error("advisory locks of a session are not supported, use those of a transaction")]
    AdvisoryLock,
    /// A setting of the session.
    #[error("settings of a session are not supported, use SET LOCAL")]
    SessionSetting,
    /// A statement that the edge answers, together with others.
    #[error("a statement that the proxy answers must be sent alone")]
    EdgeStatementAmongOthers,
}

const NOTIFICATION_WORDS: &[&str] = &["listen", "unlisten", "notify"];
const PREPARE_WORDS: &[&str] = &["prepare", "execute"];
const TEMPORARY_WORDS: &[&str] = &["temp", "temporary"];
/// Words after `CREATE` among which `TEMPORARY` may stand.
const TEMPORARY_REACH: usize = 6;
const SESSION_LOCKS: &[&str] = &[
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_shared",
    "pg_advisory_unlock_all",
];
const SESSION_SETTERS: &[&str] = &["set_config"];
const SESSION_STATEMENTS: &[&str] = &["reset", "load"];

/// Why the statement is refused, if it is.
pub(super) fn unsupported(statement: &Words) -> Option<Unsupported> {
    let first_is = |words: &[&str]| words.iter().any(|word| statement.is_word(0, word));
    if first_is(NOTIFICATION_WORDS) {
        return Some(Unsupported::Notification);
    }
    if first_is(&["copy"]) {
        return Some(Unsupported::Copy);
    }
    if first_is(PREPARE_WORDS) || is_deallocate_of_name(statement) {
        return Some(Unsupported::PreparedByStatement);
    }
    if first_is(&["declare"]) && statement.contains(&["with", "hold"]) {
        return Some(Unsupported::HoldCursor);
    }
    if makes_temporary_table(statement) {
        return Some(Unsupported::TemporaryTable);
    }
    if statement.names_any(SESSION_LOCKS) {
        return Some(Unsupported::AdvisoryLock);
    }
    if first_is(SESSION_STATEMENTS) || statement.names_any(SESSION_SETTERS) {
        return Some(Unsupported::SessionSetting);
    }
    None
}

fn is_deallocate_of_name(statement: &Words) -> bool {
    statement.is_word(0, "deallocate")
        && !statement.is_word(1, "all")
        && !statement.starts_with(&["deallocate", "prepare", "all"])
}

fn makes_temporary_table(statement: &Words) -> bool {
    let is_temporary = |place: usize| TEMPORARY_WORDS.iter().any(|w| statement.is_word(place, w));
    let created = statement.is_word(0, "create") && (1..TEMPORARY_REACH).any(is_temporary);
    let selected = TEMPORARY_WORDS.iter().any(|word| statement.contains(&["into", word]));
    created || selected || statement.names_any(&["pg_temp"])
}
