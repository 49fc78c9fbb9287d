//! Tells statements that surely read only.
//!
//! Two tests must agree: one on the tokens, which knows the words and calls
//! that may write or lock, and one on the parsed statement, which knows what
//! kind of statement it is.

use super::functions::{READ_FUNCTIONS, WORDS_BEFORE_PARENTHESIS};
use super::statements::{Words, is_one_of, word};
use sqlparser::ast::{SetExpr, Statement};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::Token;

/// Words that make a statement a write wherever they stand unquoted.
pub(super) const WRITE_WORDS: &[&str] = &[
    "insert", "update", "delete", "merge", "into", "truncate", "create", "alter", "drop", "copy",
    "call", "vacuum", "reindex", "grant", "revoke", "lock", "refresh", "cluster", "analyze",
    "import",
];

/// Words that make a locking clause when they follow `FOR`.
const LOCKING_WORDS: &[&str] = &["update", "share", "no", "key"];

/// Whether the words allow the statement to be a read.
pub(super) fn reads_by_words(statement: &Words) -> bool {
    if statement.has_any(WRITE_WORDS) || has_locking_clause(statement) {
        return false;
    }
    if statement.is_word(0, "begin") || statement.starts_with(&["start", "transaction"]) {
        return statement.contains(&["read", "only"]) && !statement.contains(&["read", "write"]);
    }
    if statement.contains(&["and", "chain"]) {
        return false;
    }
    calls_read_only(statement) && operators_are_known(statement)
}

/// Whether every statement of the text parses as one that only reads.
pub(super) fn reads_by_syntax(text: &str) -> bool {
    let parsed = Parser::parse_sql(&PostgreSqlDialect {}, text);
    parsed.is_ok_and(|statements| statements.iter().all(is_read_statement))
}

fn is_read_statement(statement: &Statement) -> bool {
    match statement {
        Statement::Query(query) => query.locks.is_empty() && is_read_body(&query.body),
        Statement::ShowVariable { .. } => true,
        Statement::StartTransaction { statements, exception, .. } => {
            statements.is_empty() && exception.is_none()
        }
        Statement::Commit { chain, .. } => !chain,
        Statement::Rollback { chain, savepoint } => !chain && savepoint.is_none(),
        _ => false,
    }
}

fn is_read_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::Query(query) => query.locks.is_empty() && is_read_body(&query.body),
        SetExpr::SetOperation { left, right, .. } => is_read_body(left) && is_read_body(right),
        SetExpr::Values(_) | SetExpr::Table(_) => true,
        SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_) => false,
    }
}

fn has_locking_clause(statement: &Words) -> bool {
    LOCKING_WORDS.iter().any(|word| statement.contains(&["for", word]))
}

/// Whether everything that looks like a call is of a function on the allow-list.
fn calls_read_only(statement: &Words) -> bool {
    let tokens = statement.tokens();
    tokens.windows(2).enumerate().all(|(place, pair)| match (&pair[0], &pair[1]) {
        (Token::Word(called), Token::LParen) => {
            let qualified = place > 0 && tokens[place - 1] == Token::Period;
            is_known_call(&called.value, called.quote_style.is_some(), qualified)
                && (!qualified || is_system_schema(tokens, place))
        }
        _ => true,
    })
}

fn is_known_call(name: &str, quoted: bool, qualified: bool) -> bool {
    let grammar_word = !quoted && !qualified && is_one_of(name, WORDS_BEFORE_PARENTHESIS);
    grammar_word || is_one_of(name, READ_FUNCTIONS)
}

fn is_system_schema(tokens: &[Token], place: usize) -> bool {
    let schema = place.checked_sub(2).and_then(|place| tokens.get(place)).and_then(word);
    schema.is_some_and(|schema| schema.value.eq_ignore_ascii_case("pg_catalog"))
}

/// Operators that an extension defines may call any function.
fn operators_are_known(statement: &Words) -> bool {
    let custom = |token: &Token| matches!(token, Token::CustomBinaryOperator(_));
    let qualified = statement.contains(&["operator"]);
    !qualified && !statement.tokens().iter().any(custom)
}
