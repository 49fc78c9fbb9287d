//! What a statement's text may do to the session or the transaction.
//!
//! These checks look at words only and err on the safe side: a word inside a
//! string or a name counts too, and costs a reset or a less precise outcome.
//!
//! Owns the lists of words. Relies on nothing else.

/// Words whose presence may leave session state behind.
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

/// Prefix of functions that take locks of the session.
const SESSION_LOCK_PREFIX: &str = "pg_advisory";

/// Words that may end a transaction by a commit.
const COMMIT_WORDS: [&str; 4] = ["commit", "end", "prepare", "release"];

/// Words of a statement that opens a transaction and does nothing else.
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

/// First words of statements that open, end or leave a transaction.
const TRANSACTION_WORDS: [&str; 6] = ["begin", "start", "commit", "end", "rollback", "abort"];

fn words(text: &str) -> impl Iterator<Item = String> + '_ {
    let is_word = |c: char| c.is_alphanumeric() || c == '_';
    let pieces = text.split(move |c| !is_word(c)).filter(|piece| !piece.is_empty());
    pieces.map(str::to_ascii_lowercase)
}

/// Whether the text may change state that outlives its transaction. `UPDATE ...
/// SET` is told apart from `SET` by the word that starts the statement.
#[must_use]
pub fn may_change_session(text: &str) -> bool {
    text.split(';').any(statement_may_change_session)
}

fn statement_may_change_session(statement: &str) -> bool {
    let mut rest = words(statement);
    let first = rest.next().unwrap_or_default();
    let changes_rows = matches!(first.as_str(), "update" | "insert" | "with" | "merge");
    let suspicious = |word: &String| {
        let harmless = changes_rows && word == "set";
        !harmless
            && (SESSION_WORDS.contains(&word.as_str()) || word.starts_with(SESSION_LOCK_PREFIX))
    };
    suspicious(&first) || rest.any(|word| suspicious(&word))
}

/// Whether the text may commit the open transaction.
#[must_use]
pub fn may_commit(text: &str) -> bool {
    words(text).any(|word| COMMIT_WORDS.contains(&word.as_str()))
}

/// Whether the text opens a transaction and surely does nothing else.
#[must_use]
pub fn only_begins(text: &str) -> bool {
    let mut all = words(text);
    let first = all.next().unwrap_or_default();
    let opens = first == "begin" || first == "start";
    opens && all.all(|word| BEGIN_WORDS.contains(&word.as_str()))
}

/// How a text ends a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionEnd {
    /// It commits and does nothing else.
    Commit,
    /// It rolls back and does nothing else.
    Rollback,
}

/// How the text ends a transaction, if that is all it does.
#[must_use]
pub fn only_ends(text: &str) -> Option<TransactionEnd> {
    let mut all = words(text);
    let end = match all.next()?.as_str() {
        "commit" | "end" => TransactionEnd::Commit,
        "rollback" | "abort" => TransactionEnd::Rollback,
        _ => return None,
    };
    let filler = |word: String| matches!(word.as_str(), "work" | "transaction");
    all.all(filler).then_some(end)
}

/// Whether a statement of the text may open or end a transaction. A return to a
/// savepoint does not.
#[must_use]
pub fn may_control_transaction(text: &str) -> bool {
    text.split(';').any(|statement| {
        let all: Vec<String> = words(statement).take(3).collect();
        let all: Vec<&str> = all.iter().map(String::as_str).collect();
        match all.as_slice() {
            ["prepare", "transaction", ..] => true,
            ["rollback", "to", ..] | ["rollback", "work" | "transaction", "to"] => false,
            [first, ..] => TRANSACTION_WORDS.contains(first),
            [] => false,
        }
    })
}
