//! Statements whose effect outlives their transaction.
//!
//! Owns the words that give them away. Relies on [`super::statements`] for the words of a text.

use super::statements::{Words, is_one_of};

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
/// Words that may stand between `CREATE` and `TEMPORARY`.
const WORDS_BEFORE_TEMPORARY: &[&str] = &["or", "replace", "global", "local"];
/// Words that may stand between `INTO` and `TEMPORARY`.
const SCOPE_WORDS: &[&str] = &["global", "local"];
/// What may follow `TEMPORARY` when it is no name itself.
const TEMPORARY_OBJECTS: &[&str] = &["table", "view", "sequence", "recursive"];
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
    if first_is(&["do"]) {
        return statement.texts().find_map(unsupported_in_block);
    }
    if first_is(SESSION_STATEMENTS) || statement.names_any(SESSION_SETTERS) {
        return Some(Unsupported::SessionSetting);
    }
    None
}

/// The body of a `DO` block is another language, and may put statements together
/// from texts, so any word that could outlive the transaction is one too many.
fn unsupported_in_block(body: &str) -> Option<Unsupported> {
    let is_part = |character: char| character.is_alphanumeric() || character == '_';
    let mut words = body.split(|character| !is_part(character));
    words.find_map(|word| {
        if is_one_of(word, SESSION_LOCKS) {
            Some(Unsupported::AdvisoryLock)
        } else if is_one_of(word, SESSION_SETTERS) {
            Some(Unsupported::SessionSetting)
        } else if is_one_of(word, NOTIFICATION_WORDS) {
            Some(Unsupported::Notification)
        } else if is_one_of(word, TEMPORARY_WORDS) {
            Some(Unsupported::TemporaryTable)
        } else {
            None
        }
    })
}

fn is_deallocate_of_name(statement: &Words) -> bool {
    statement.is_word(0, "deallocate")
        && !statement.is_word(1, "all")
        && !statement.starts_with(&["deallocate", "prepare", "all"])
}

fn makes_temporary_table(statement: &Words) -> bool {
    creates_temporary(statement)
        || selects_into_temporary(statement)
        || in_temporary_schema(statement)
}

fn creates_temporary(statement: &Words) -> bool {
    if !statement.is_word(0, "create") {
        return false;
    }
    let place = skip_words(statement, 1, WORDS_BEFORE_TEMPORARY);
    is_any(statement, place, TEMPORARY_WORDS) && is_any(statement, place + 1, TEMPORARY_OBJECTS)
}

/// `SELECT ... INTO TEMPORARY`; after `INSERT` and `MERGE` the word is a table's name.
fn selects_into_temporary(statement: &Words) -> bool {
    (1..statement.tokens().len()).any(|place| {
        statement.is_word(place, "into")
            && !is_any(statement, place - 1, &["insert", "merge"])
            && is_any(statement, skip_words(statement, place + 1, SCOPE_WORDS), TEMPORARY_WORDS)
    })
}

fn in_temporary_schema(statement: &Words) -> bool {
    statement.names_any(&["pg_temp"])
}

fn skip_words(statement: &Words, start: usize, words: &[&str]) -> usize {
    (start..).find(|place| !is_any(statement, *place, words)).unwrap_or(start)
}

fn is_any(statement: &Words, place: usize, words: &[&str]) -> bool {
    words.iter().any(|word| statement.is_word(place, word))
}
