//! Tells statements that surely read only, by their tokens.
//!
//! A parser that makes a tree is not used: the library's takes time by the power of two
//! for some texts, and a stack as deep as a chain of operators is long, and a caller may
//! send any text. What a tree would tell is told more strictly by words: any word that
//! writes, any call that is not known and any operator that may be an extension's make a
//! statement a write, wherever they stand.

use super::functions::{READ_FUNCTIONS, WORDS_BEFORE_PARENTHESIS};
use super::starts_transaction;
use super::statements::{Words, is_one_of, word};
use sqlparser::tokenizer::Token;

/// Words that make a statement a write wherever they stand unquoted.
pub(super) const WRITE_WORDS: &[&str] = &[
    "insert", "update", "delete", "merge", "into", "truncate", "create", "alter", "drop", "copy",
    "call", "vacuum", "reindex", "grant", "revoke", "lock", "refresh", "cluster", "analyze",
    "import",
];

/// Words that make a locking clause when they follow `FOR`.
const LOCKING_WORDS: &[&str] = &["update", "share", "no", "key"];

/// Whether the statement surely reads only.
pub(super) fn only_reads(statement: &Words) -> bool {
    if statement.has_any(WRITE_WORDS) || has_locking_clause(statement) {
        return false;
    }
    if !is_read_statement(statement) {
        return false;
    }
    if starts_transaction(statement) {
        return statement.contains(&["read", "only"]) && !statement.contains(&["read", "write"]);
    }
    // The words after it stand for any others.
    if statement.has_any(&["uescape"]) {
        return false;
    }
    calls_read_only(statement) && operators_are_known(statement)
}

/// Whether the statement is of a kind that may read only.
fn is_read_statement(statement: &Words) -> bool {
    let opening = statement.tokens().iter().take_while(|token| **token == Token::LParen).count();
    if ["select", "with", "values", "table"].iter().any(|word| statement.is_word(opening, word)) {
        return true;
    }
    if ["commit", "end", "rollback", "abort"].iter().any(|word| statement.is_word(0, word)) {
        return !statement.has_any(&["to", "prepared", "chain"]);
    }
    statement.is_word(0, "show") || starts_transaction(statement)
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
    !qualified && !statement.tokens().iter().any(custom) && operators_stand_alone(statement)
}

/// Whether no two operators stand together: they may be one that an extension defines.
/// A sign after an operator of arithmetic or comparison is always one of its own.
fn operators_stand_alone(statement: &Words) -> bool {
    statement.tokens().windows(2).all(|pair| {
        let is_sign = matches!(pair[1], Token::Plus | Token::Minus);
        !is_operator(&pair[0]) || !is_operator(&pair[1]) || (is_sign && is_plain(&pair[0]))
    })
}

fn is_plain(operator: &Token) -> bool {
    matches!(
        operator,
        Token::Plus
            | Token::Minus
            | Token::Mul
            | Token::Div
            | Token::Eq
            | Token::Neq
            | Token::Lt
            | Token::Gt
            | Token::LtEq
            | Token::GtEq
    )
}

/// Whatever is no name, value or mark between them.
fn is_operator(token: &Token) -> bool {
    !matches!(
        token,
        Token::Word(_)
            | Token::Number(..)
            | Token::SingleQuotedString(_)
            | Token::EscapedStringLiteral(_)
            | Token::UnicodeStringLiteral(_)
            | Token::DollarQuotedString(_)
            | Token::NationalStringLiteral(_)
            | Token::HexStringLiteral(_)
            | Token::Placeholder(_)
            | Token::Comma
            | Token::Period
            | Token::Colon
            | Token::DoubleColon
            | Token::LParen
            | Token::RParen
            | Token::LBracket
            | Token::RBracket
    )
}
