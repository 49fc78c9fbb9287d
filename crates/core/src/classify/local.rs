//! Statements that the edge answers without a server connection.
//!
//! Owns which settings a session may make and what they mean. Relies on [`super::statements`] for the words of a text.

use super::refused::Unsupported;
use super::statements::{Words, is_one_of, word};
use sqlparser::tokenizer::Token;

/// A statement that the edge answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalStatement {
    /// No statement at all.
    Empty,
    /// `SHOW corktack.token`.
    ShowToken,
    /// `SET corktack.token = '...'`: merges a session token.
    SetToken(String),
    /// `SET corktack.idempotency_key = '...'`: keys the next write transaction.
    SetIdempotencyKey(String),
    /// `SET application_name = '...'`.
    SetApplicationName(String),
    /// A setting that is already as asked, or that has no effect here.
    SetIgnored,
    /// `DISCARD ALL`: forgets the session's prepared statements.
    DiscardAll,
    /// `DISCARD` of what no session has here; the command's tag.
    DiscardNothing(&'static str),
    /// `DEALLOCATE ALL`: the same.
    DeallocateAll,
}

/// Setting that carries the session's token.
pub const TOKEN_SETTING: &str = "corktack.token";
/// Setting that carries the key of the next write transaction.
pub const IDEMPOTENCY_KEY_SETTING: &str = "corktack.idempotency_key";

/// Settings that take any value without effect.
const HARMLESS_SETTINGS: &[&str] = &["extra_float_digits", "client_min_messages"];

/// Settings that may only be set to what they are, by the first part of the value.
const FIXED_SETTINGS: &[(&str, &[&str])] = &[
    ("client_encoding", &["utf8", "utf-8", "unicode"]),
    ("datestyle", &["iso"]),
    ("intervalstyle", &["postgres"]),
    ("timezone", &["utc", "gmt", "etc/utc"]),
    ("standard_conforming_strings", &["on", "true", "1"]),
    ("bytea_output", &["hex"]),
    ("statement_timeout", &["0"]),
];

/// The local statement, or why it is refused, or nothing when a back end serves it.
pub(super) fn local_statement(statement: &Words) -> Option<Result<LocalStatement, Unsupported>> {
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

/// Sessions have no temporary tables, and neither plans nor sequences of their own.
fn discard_statement(statement: &Words) -> Option<LocalStatement> {
    let nothing = |place: &str, tag| {
        statement.is_word(1, place).then_some(LocalStatement::DiscardNothing(tag))
    };
    if statement.is_word(1, "all") {
        return Some(LocalStatement::DiscardAll);
    }
    nothing("plans", "DISCARD PLANS")
        .or_else(|| nothing("sequences", "DISCARD SEQUENCES"))
        .or_else(|| nothing("temp", "DISCARD TEMP"))
        .or_else(|| nothing("temporary", "DISCARD TEMP"))
}

fn set_statement(statement: &Words) -> Option<Result<LocalStatement, Unsupported>> {
    let passes = ["local", "transaction", "constraints"];
    if passes.iter().any(|word| statement.is_word(1, word)) {
        return None;
    }
    let start = if statement.is_word(1, "session") { 2 } else { 1 };
    Some(assignment(statement, start).ok_or(Unsupported::SessionSetting))
}

fn assignment(statement: &Words, start: usize) -> Option<LocalStatement> {
    if statement.is_word(start, "names") {
        return fixed_setting("client_encoding", &value_text(statement, start + 1)?);
    }
    if statement.is_word(start, "time") && statement.is_word(start + 1, "zone") {
        return fixed_setting("timezone", &value_text(statement, start + 2)?);
    }
    let (name, next) = setting_name(statement, start)?;
    let assigns = statement.tokens().get(next) == Some(&Token::Eq) || statement.is_word(next, "to");
    if !assigns {
        return None;
    }
    let value = value_text(statement, next + 1)?;
    match name.as_str() {
        TOKEN_SETTING => Some(LocalStatement::SetToken(value)),
        IDEMPOTENCY_KEY_SETTING => Some(LocalStatement::SetIdempotencyKey(value)),
        "application_name" => Some(LocalStatement::SetApplicationName(value)),
        other => fixed_setting(other, &value),
    }
}

fn fixed_setting(name: &str, value: &str) -> Option<LocalStatement> {
    if is_one_of(name, HARMLESS_SETTINGS) {
        return Some(LocalStatement::SetIgnored);
    }
    let (_, allowed) = FIXED_SETTINGS.iter().find(|(setting, _)| *setting == name)?;
    let first = value.split(',').next().unwrap_or_default();
    is_one_of(first.trim(), allowed).then_some(LocalStatement::SetIgnored)
}

/// A name of words joined by periods, in lower case, and the place after it.
fn setting_name(statement: &Words, start: usize) -> Option<(String, usize)> {
    let tokens = statement.tokens();
    let mut name = word(tokens.get(start)?)?.value.to_ascii_lowercase();
    let mut place = start + 1;
    while tokens.get(place) == Some(&Token::Period) {
        let part = word(tokens.get(place + 1)?)?;
        name.push('.');
        name.push_str(&part.value.to_ascii_lowercase());
        place += 2;
    }
    Some((name, place))
}

/// The first value of an assignment as text.
fn value_text(statement: &Words, place: usize) -> Option<String> {
    match statement.tokens().get(place)? {
        Token::SingleQuotedString(text) => Some(text.clone()),
        Token::Word(word) => Some(word.value.clone()),
        Token::Number(digits, _) => Some(digits.clone()),
        Token::Minus => value_text(statement, place + 1).map(|value| format!("-{value}")),
        _ => None,
    }
}
