//! Recognizes statements that the edge answers without a server connection.
//!
//! This module defines which settings a session may assign, and what an assignment means.

use super::refused::Unsupported;
use super::statements::{StatementTokens, as_word, is_one_of};
use sqlparser::tokenizer::Token;

/// A statement that the edge answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalStatement {
    /// A text without a statement.
    Empty,
    /// `SHOW corktack.token`.
    ShowToken,
    /// `SET corktack.token = '...'`: merges a token into the session's token.
    SetToken(String),
    /// `SET corktack.idempotency_key = '...'`: sets the idempotency key of the next write transaction.
    SetIdempotencyKey(String),
    /// `SET application_name = '...'`.
    SetApplicationName(String),
    /// An assignment that has no effect: the setting has this value already or is ignored.
    SetIgnored,
    /// `DISCARD ALL`: removes the session's prepared statements.
    DiscardAll,
    /// `DISCARD` of objects that sessions never have; carries the command tag of the answer.
    DiscardNothing(&'static str),
    /// `DEALLOCATE ALL`: removes the session's prepared statements.
    DeallocateAll,
}

/// Name of the setting that holds the session's token.
pub const TOKEN_SETTING: &str = "corktack.token";
/// Name of the setting that holds the idempotency key of the next write transaction.
pub const IDEMPOTENCY_KEY_SETTING: &str = "corktack.idempotency_key";

/// Settings whose assignment is accepted and ignored, whatever the value.
const IGNORED_SETTINGS: &[&str] = &["extra_float_digits", "client_min_messages"];

/// Settings that accept only their fixed value, with the spellings of the first
/// comma-separated part of that value.
const FIXED_SETTINGS: &[(&str, &[&str])] = &[
    ("client_encoding", &["utf8", "utf-8", "unicode"]),
    ("datestyle", &["iso"]),
    ("intervalstyle", &["postgres"]),
    ("timezone", &["utc", "gmt", "etc/utc"]),
    ("standard_conforming_strings", &["on", "true", "1"]),
    ("bytea_output", &["hex"]),
    ("statement_timeout", &["0"]),
];

/// Returns the statement that the edge answers, the reason for refusing it, or `None` if a back end runs it.
pub(super) fn local_statement(
    statement: &StatementTokens,
) -> Option<Result<LocalStatement, Unsupported>> {
    if statement.is_word(0, "set") {
        return set_statement(statement);
    }
    if statement.is_word(0, "show") {
        let (name, _) = setting_name(statement, 1)?;
        return (name == TOKEN_SETTING).then_some(Ok(LocalStatement::ShowToken));
    }
    if statement.is_word(0, "discard") {
        return discard_statement(statement).map(Ok);
    }
    if statement.is_word(0, "deallocate") {
        return Some(Ok(LocalStatement::DeallocateAll));
    }
    None
}

/// Recognizes `DISCARD`. Sessions have no temporary tables, plans or sequences, so only
/// `DISCARD ALL` has an effect.
fn discard_statement(statement: &StatementTokens) -> Option<LocalStatement> {
    let discard_nothing = |object: &str, tag| {
        statement.is_word(1, object).then_some(LocalStatement::DiscardNothing(tag))
    };
    if statement.is_word(1, "all") {
        return Some(LocalStatement::DiscardAll);
    }
    discard_nothing("plans", "DISCARD PLANS")
        .or_else(|| discard_nothing("sequences", "DISCARD SEQUENCES"))
        .or_else(|| discard_nothing("temp", "DISCARD TEMP"))
        .or_else(|| discard_nothing("temporary", "DISCARD TEMP"))
}

fn set_statement(statement: &StatementTokens) -> Option<Result<LocalStatement, Unsupported>> {
    let transaction_scopes = ["local", "transaction", "constraints"];
    if transaction_scopes.iter().any(|word| statement.is_word(1, word)) {
        return None;
    }
    let start = if statement.is_word(1, "session") { 2 } else { 1 };
    Some(assignment(statement, start).ok_or(Unsupported::SessionSetting))
}

fn assignment(statement: &StatementTokens, start: usize) -> Option<LocalStatement> {
    if statement.is_word(start, "names") {
        return fixed_setting("client_encoding", &value_text(statement, start + 1)?);
    }
    if statement.is_word(start, "time") && statement.is_word(start + 1, "zone") {
        return fixed_setting("timezone", &value_text(statement, start + 2)?);
    }
    let (name, after_name) = setting_name(statement, start)?;
    let is_assignment = statement.tokens().get(after_name) == Some(&Token::Eq)
        || statement.is_word(after_name, "to");
    if !is_assignment {
        return None;
    }
    let value = value_text(statement, after_name + 1)?;
    match name.as_str() {
        TOKEN_SETTING => Some(LocalStatement::SetToken(value)),
        IDEMPOTENCY_KEY_SETTING => Some(LocalStatement::SetIdempotencyKey(value)),
        "application_name" => Some(LocalStatement::SetApplicationName(value)),
        other => fixed_setting(other, &value),
    }
}

fn fixed_setting(name: &str, value: &str) -> Option<LocalStatement> {
    if is_one_of(name, IGNORED_SETTINGS) {
        return Some(LocalStatement::SetIgnored);
    }
    let (_, allowed) = FIXED_SETTINGS.iter().find(|(setting, _)| *setting == name)?;
    let first_part = value.split(',').next().unwrap_or_default();
    is_one_of(first_part.trim(), allowed).then_some(LocalStatement::SetIgnored)
}

/// Returns the setting name that starts at token `start`, in lower case, and the index of the token after the
/// name. A name consists of words joined by periods.
fn setting_name(statement: &StatementTokens, start: usize) -> Option<(String, usize)> {
    let tokens = statement.tokens();
    let mut name = as_word(tokens.get(start)?)?.value.to_ascii_lowercase();
    let mut index = start + 1;
    while tokens.get(index) == Some(&Token::Period) {
        let part = as_word(tokens.get(index + 1)?)?;
        name.push('.');
        name.push_str(&part.value.to_ascii_lowercase());
        index += 2;
    }
    Some((name, index))
}

/// Returns the first value of an assignment as text; `index` is that of the value's first token.
fn value_text(statement: &StatementTokens, index: usize) -> Option<String> {
    match statement.tokens().get(index)? {
        Token::SingleQuotedString(text) => Some(text.clone()),
        Token::Word(word) => Some(word.value.clone()),
        Token::Number(digits, _) => Some(digits.clone()),
        Token::Minus => value_text(statement, index + 1).map(|value| format!("-{value}")),
        _ => None,
    }
}
