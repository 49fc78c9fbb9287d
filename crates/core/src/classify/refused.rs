//! Recognizes, by their words, statements whose effect outlives their transaction.

use super::statements::{StatementTokens, is_one_of};

/// Reason why a statement is refused before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unsupported {
    /// `LISTEN`, `UNLISTEN` or `NOTIFY`.
    #[error("LISTEN, UNLISTEN and NOTIFY are not supported")]
    Notification,
    /// A temporary table, view or sequence.
    #[error("temporary tables are not supported")]
    TemporaryTable,
    /// `COPY`.
    #[error("COPY is not supported")]
    Copy,
    /// `PREPARE`, `EXECUTE` or `DEALLOCATE` as SQL statements.
    #[error("PREPARE, EXECUTE and DEALLOCATE are not supported, use the extended query protocol")]
    PreparedByStatement,
    /// `DECLARE ... WITH HOLD`.
    #[error("cursors WITH HOLD are not supported")]
    HoldCursor,
    /// An advisory lock that is held until the end of the session.
    #[error("advisory locks of a session are not supported, use those of a transaction")]
    AdvisoryLock,
    /// An assignment to a setting of the session.
    #[error("settings of a session are not supported, use SET LOCAL")]
    SessionSetting,
    /// A statement that the edge answers, in one text with other statements.
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
/// Words that follow `TEMPORARY` when it is a keyword and not a name.
const TEMPORARY_OBJECTS: &[&str] = &["table", "view", "sequence", "recursive"];
const SESSION_LOCK_FUNCTIONS: &[&str] = &[
    "pg_advisory_lock",
    "pg_advisory_lock_shared",
    "pg_try_advisory_lock",
    "pg_try_advisory_lock_shared",
    "pg_advisory_unlock",
    "pg_advisory_unlock_shared",
    "pg_advisory_unlock_all",
];
const SESSION_SETTING_FUNCTIONS: &[&str] = &["set_config"];
const SESSION_STATEMENT_WORDS: &[&str] = &["reset", "load"];

/// Returns the reason for refusing the statement, or `None` if it is not refused.
pub(super) fn unsupported_reason(statement: &StatementTokens) -> Option<Unsupported> {
    let starts_with_any = |words: &[&str]| words.iter().any(|word| statement.is_word(0, word));
    if starts_with_any(NOTIFICATION_WORDS) {
        return Some(Unsupported::Notification);
    }
    if starts_with_any(&["copy"]) {
        return Some(Unsupported::Copy);
    }
    if starts_with_any(PREPARE_WORDS) || is_deallocate_of_name(statement) {
        return Some(Unsupported::PreparedByStatement);
    }
    if starts_with_any(&["declare"]) && statement.contains(&["with", "hold"]) {
        return Some(Unsupported::HoldCursor);
    }
    if creates_temporary_object(statement) {
        return Some(Unsupported::TemporaryTable);
    }
    if statement.has_identifier(SESSION_LOCK_FUNCTIONS) {
        return Some(Unsupported::AdvisoryLock);
    }
    if starts_with_any(&["do"]) {
        return statement.string_literals().find_map(unsupported_reason_in_block);
    }
    if starts_with_any(SESSION_STATEMENT_WORDS)
        || statement.has_identifier(SESSION_SETTING_FUNCTIONS)
    {
        return Some(Unsupported::SessionSetting);
    }
    None
}

/// Returns the reason for refusing a `DO` block with this body. The body is in another language and may
/// build statements from texts, so a single word that may have an effect beyond the transaction is enough.
fn unsupported_reason_in_block(body: &str) -> Option<Unsupported> {
    let is_word_character = |character: char| character.is_alphanumeric() || character == '_';
    let mut words = body.split(|character| !is_word_character(character));
    words.find_map(|word| {
        if is_one_of(word, SESSION_LOCK_FUNCTIONS) {
            Some(Unsupported::AdvisoryLock)
        } else if is_one_of(word, SESSION_SETTING_FUNCTIONS) {
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

fn is_deallocate_of_name(statement: &StatementTokens) -> bool {
    statement.is_word(0, "deallocate")
        && !statement.is_word(1, "all")
        && !statement.starts_with(&["deallocate", "prepare", "all"])
}

fn creates_temporary_object(statement: &StatementTokens) -> bool {
    is_create_temporary(statement)
        || is_select_into_temporary(statement)
        || uses_temporary_schema(statement)
}

fn is_create_temporary(statement: &StatementTokens) -> bool {
    if !statement.is_word(0, "create") {
        return false;
    }
    let index = skip_words(statement, 1, WORDS_BEFORE_TEMPORARY);
    is_any_word(statement, index, TEMPORARY_WORDS)
        && is_any_word(statement, index + 1, TEMPORARY_OBJECTS)
}

/// Recognizes `SELECT ... INTO TEMPORARY`. After `INSERT INTO` and `MERGE INTO` the word is
/// the name of a table.
fn is_select_into_temporary(statement: &StatementTokens) -> bool {
    (1..statement.tokens().len()).any(|index| {
        statement.is_word(index, "into")
            && !is_any_word(statement, index - 1, &["insert", "merge"])
            && is_any_word(
                statement,
                skip_words(statement, index + 1, SCOPE_WORDS),
                TEMPORARY_WORDS,
            )
    })
}

fn uses_temporary_schema(statement: &StatementTokens) -> bool {
    statement.has_identifier(&["pg_temp"])
}

fn skip_words(statement: &StatementTokens, start: usize, words: &[&str]) -> usize {
    (start..).find(|index| !is_any_word(statement, *index, words)).unwrap_or(start)
}

fn is_any_word(statement: &StatementTokens, index: usize, words: &[&str]) -> bool {
    words.iter().any(|word| statement.is_word(index, word))
}
