//! Checks whether a statement's text may change the session or control the transaction.
//!
//! The checks compare words only and err on the safe side: a word inside a string or a name counts too. Such
//! a false match costs a reset of the session or a less precise outcome.

/// Words of statements that may change session state.
const SESSION_WORDS: [&str; 13] = [
    "set",
    "reset",
    "listen",
    "unlisten",
    "load",
    "prepare",
    "deallocate",
    "discard",
    "declare",
    "temp",
    "temporary",
    "set_config",
    "pragma",
];

/// Prefix of the functions that take session locks.
const SESSION_LOCK_PREFIX: &str = "pg_advisory";

/// Words that may commit a transaction.
const COMMIT_WORDS: [&str; 4] = ["commit", "end", "prepare", "release"];

/// Words that may occur in a statement that only starts a transaction.
const BEGIN_WORDS: [&str; 17] = [
    "begin",
    "start",
    "transaction",
    "work",
    "isolation",
    "level",
    "serializable",
    "repeatable",
    "read",
    "committed",
    "uncommitted",
    "write",
    "only",
    "not",
    "deferrable",
    "deferred",
    "immediate",
];

/// First words of statements that start or end a transaction.
const TRANSACTION_WORDS: [&str; 6] = ["begin", "start", "commit", "end", "rollback", "abort"];

fn words(text: &str) -> impl Iterator<Item = String> + '_ {
    let is_word_character = |character: char| character.is_alphanumeric() || character == '_';
    let words =
        text.split(move |character| !is_word_character(character)).filter(|word| !word.is_empty());
    words.map(str::to_ascii_lowercase)
}

/// Reports whether the text may change state that outlives its transaction. The first word of a
/// statement distinguishes `UPDATE ... SET` from `SET`.
#[must_use]
pub fn may_change_session(text: &str) -> bool {
    text.split(';').any(statement_may_change_session)
}

fn statement_may_change_session(statement: &str) -> bool {
    let mut remaining = words(statement);
    let first = remaining.next().unwrap_or_default();
    let changes_rows = matches!(first.as_str(), "update" | "insert" | "with" | "merge");
    let may_change_session_state = |word: &String| {
        let is_row_assignment = changes_rows && word == "set";
        !is_row_assignment
            && (SESSION_WORDS.contains(&word.as_str()) || word.starts_with(SESSION_LOCK_PREFIX))
    };
    may_change_session_state(&first) || remaining.any(|word| may_change_session_state(&word))
}

/// Reports whether the text may commit the open transaction.
#[must_use]
pub fn may_commit(text: &str) -> bool {
    words(text).any(|word| COMMIT_WORDS.contains(&word.as_str()))
}

/// Reports whether the text certainly only starts a transaction.
#[must_use]
pub fn only_begins(text: &str) -> bool {
    let mut remaining = words(text);
    let first = remaining.next().unwrap_or_default();
    let is_begin = first == "begin" || first == "start";
    is_begin && remaining.all(|word| BEGIN_WORDS.contains(&word.as_str()))
}

/// Way in which a text ends a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionEnd {
    /// The text only commits.
    Commit,
    /// The text only rolls back.
    Rollback,
}

/// Returns how the text ends a transaction, or `None` if the text may do anything else.
#[must_use]
pub fn only_ends(text: &str) -> Option<TransactionEnd> {
    let mut remaining = words(text);
    let end = match remaining.next()?.as_str() {
        "commit" | "end" => TransactionEnd::Commit,
        "rollback" | "abort" => TransactionEnd::Rollback,
        _ => return None,
    };
    let is_optional_word = |word: String| matches!(word.as_str(), "work" | "transaction");
    remaining.all(is_optional_word).then_some(end)
}

/// Reports whether a statement of the text may start or end a transaction. A rollback to a savepoint does
/// neither.
#[must_use]
pub fn may_control_transaction(text: &str) -> bool {
    text.split(';').any(|statement| {
        let first_words: Vec<String> = words(statement).take(3).collect();
        let first_words: Vec<&str> = first_words.iter().map(String::as_str).collect();
        match first_words.as_slice() {
            ["prepare", "transaction", ..] => true,
            ["rollback", "to", ..] | ["rollback", "work" | "transaction", "to"] => false,
            [first, ..] => TRANSACTION_WORDS.contains(first),
            [] => false,
        }
    })
}
