//! Recognizes statements that certainly only read, by their tokens.
//!
//! No syntax tree is built, because a caller may send any text: for some texts, the library's parser takes
//! exponential time, and its stack grows with the length of a chain of operators. Tests of words give a
//! stricter answer than a tree would: a word that writes, a call of a function that is not on the list or an
//! operator that may belong to an extension makes a statement a write, wherever it stands.

use super::functions::{READ_FUNCTIONS, WORDS_BEFORE_PARENTHESIS};
use super::starts_transaction;
use super::statements::{StatementTokens, as_word, is_one_of};
use sqlparser::tokenizer::Token;

/// Words that make a statement a write wherever they stand, unless they are quoted.
pub(super) const WRITE_WORDS: &[&str] = &[
    "insert", "update", "delete", "merge", "into", "truncate", "create", "alter", "drop", "copy",
    "call", "vacuum", "reindex", "grant", "revoke", "lock", "refresh", "cluster", "analyze",
    "import",
];

/// Words that form a locking clause when they follow `FOR`.
const LOCKING_WORDS: &[&str] = &["update", "share", "no", "key"];

/// Reports whether the statement certainly only reads.
pub(super) fn is_read_only(statement: &StatementTokens) -> bool {
    if statement.has_any_word(WRITE_WORDS) || has_locking_clause(statement) {
        return false;
    }
    if !is_read_statement(statement) {
        return false;
    }
    if starts_transaction(statement) {
        return statement.contains(&["read", "only"]) && !statement.contains(&["read", "write"]);
    }
    // With UESCAPE, the escape sequences of an identifier can spell any other name.
    if statement.has_any_word(&["uescape"]) {
        return false;
    }
    calls_only_read_functions(statement) && has_only_built_in_operators(statement)
}

/// Reports whether the first words of the statement allow it to be a read.
fn is_read_statement(statement: &StatementTokens) -> bool {
    let open_parentheses =
        statement.tokens().iter().take_while(|token| **token == Token::LParen).count();
    if ["select", "with", "values", "table"]
        .iter()
        .any(|word| statement.is_word(open_parentheses, word))
    {
        return true;
    }
    if ["commit", "end", "rollback", "abort"].iter().any(|word| statement.is_word(0, word)) {
        return !statement.has_any_word(&["to", "prepared", "chain"]);
    }
    statement.is_word(0, "show") || starts_transaction(statement)
}

fn has_locking_clause(statement: &StatementTokens) -> bool {
    LOCKING_WORDS.iter().any(|word| statement.contains(&["for", word]))
}

/// Reports whether every token sequence that looks like a call calls a function on the allow-list.
fn calls_only_read_functions(statement: &StatementTokens) -> bool {
    let tokens = statement.tokens();
    tokens.windows(2).enumerate().all(|(index, pair)| match (&pair[0], &pair[1]) {
        (Token::Word(callee), Token::LParen) => {
            let qualified = index > 0 && tokens[index - 1] == Token::Period;
            is_allowed_call(&callee.value, callee.quote_style.is_some(), qualified)
                && (!qualified || is_system_schema(tokens, index))
        }
        _ => true,
    })
}

fn is_allowed_call(name: &str, quoted: bool, qualified: bool) -> bool {
    let is_grammar_word = !quoted && !qualified && is_one_of(name, WORDS_BEFORE_PARENTHESIS);
    is_grammar_word || is_one_of(name, READ_FUNCTIONS)
}

fn is_system_schema(tokens: &[Token], index: usize) -> bool {
    let schema = index.checked_sub(2).and_then(|index| tokens.get(index)).and_then(as_word);
    schema.is_some_and(|schema| schema.value.eq_ignore_ascii_case("pg_catalog"))
}

/// Reports whether all operators are built in; an operator of an extension may call any function.
fn has_only_built_in_operators(statement: &StatementTokens) -> bool {
    let is_custom = |token: &Token| matches!(token, Token::CustomBinaryOperator(_));
    let has_operator_syntax = statement.contains(&["operator"]);
    !has_operator_syntax
        && !statement.tokens().iter().any(is_custom)
        && has_no_adjacent_operators(statement)
}

/// Reports whether no two operator tokens are adjacent: together they may be an operator of an extension.
/// A sign after an arithmetic or comparison operator is always a separate operator.
fn has_no_adjacent_operators(statement: &StatementTokens) -> bool {
    statement.tokens().windows(2).all(|pair| {
        let is_sign = matches!(pair[1], Token::Plus | Token::Minus);
        !is_operator(&pair[0])
            || !is_operator(&pair[1])
            || (is_sign && is_arithmetic_or_comparison(&pair[0]))
    })
}

fn is_arithmetic_or_comparison(operator: &Token) -> bool {
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

/// Reports whether the token is an operator: not a name, a value or punctuation.
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
