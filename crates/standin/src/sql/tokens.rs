//! Splits a query string into statements and renders each in the engine's dialect.

use super::column_type::ColumnType;
use super::error::SqlError;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer, Word};

/// Tokens of one statement without white space and comments, and its text for the engine.
pub struct Rendered {
    /// Significant tokens in order.
    pub tokens: Vec<Token>,
    /// The statement in the engine's dialect.
    pub sql: String,
    /// Whether the statement asked for row locks, which the engine does not know.
    pub locking: bool,
}

/// Splits a query string at its semicolons; empty statements are left out.
///
/// # Errors
/// The string cannot be divided into tokens.
pub fn split(query: &str) -> Result<Vec<Rendered>, SqlError> {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, query).with_unescape(false).tokenize();
    let tokens = tokens.map_err(|error| SqlError::Syntax(error.to_string()))?;
    let significant = |token: &&Token| !matches!(token, Token::Whitespace(_));
    let statements = tokens.split(|token| *token == Token::SemiColon);
    let statements = statements.map(|part| part.iter().filter(significant).cloned().collect());
    Ok(statements.filter(|part: &Vec<Token>| !part.is_empty()).map(render).collect())
}

/// The upper case text of an unquoted word.
#[must_use]
pub fn keyword(token: &Token) -> Option<String> {
    match token {
        Token::Word(Word { value, quote_style: None, .. }) => Some(value.to_ascii_uppercase()),
        _ => None,
    }
}

/// The name that a word stands for.
#[must_use]
pub fn identifier(token: &Token) -> Option<&str> {
    match token {
        Token::Word(word) => Some(&word.value),
        _ => None,
    }
}

/// The number of a `$n` placeholder.
#[must_use]
pub fn placeholder(token: &Token) -> Option<usize> {
    match token {
        Token::Placeholder(text) => text.strip_prefix('$')?.parse().ok(),
        _ => None,
    }
}

fn render(mut tokens: Vec<Token>) -> Rendered {
    let locking = cut_locking_clause(&mut tokens);
    let mut pieces: Vec<String> = Vec::with_capacity(tokens.len());
    let mut position = 0;
    while position < tokens.len() {
        if tokens[position] == Token::DoubleColon {
            let (name, next) = cast_type(&tokens, position + 1);
            wrap_in_cast(&mut pieces, &name);
            position = next;
            continue;
        }
        pieces.push(render_token(&tokens, position));
        position += 1;
    }
    Rendered { tokens, sql: join(&pieces), locking }
}

/// Joins pieces with spaces, but leaves names of the form `a.b` and calls whole.
fn join(pieces: &[String]) -> String {
    let mut sql = String::new();
    for piece in pieces {
        let call = piece == "(" && sql.ends_with(|last: char| last.is_alphanumeric());
        let tight = call || matches!(piece.as_str(), "." | "," | ")");
        if !tight && !sql.is_empty() && !sql.ends_with(['.', '(']) {
            sql.push(' ');
        }
        sql.push_str(piece);
    }
    sql
}

/// Removes `FOR UPDATE` and its kin from the end of a query.
fn cut_locking_clause(tokens: &mut Vec<Token>) -> bool {
    let words: Vec<_> = tokens.iter().map(keyword).collect();
    let is_select = matches!(words.first(), Some(Some(word)) if word == "SELECT" || word == "WITH");
    let starts = words.windows(2).rposition(|pair| {
        let second = pair[1].as_deref();
        let lock = matches!(second, Some("UPDATE" | "SHARE" | "NO" | "KEY"));
        pair[0].as_deref() == Some("FOR") && lock
    });
    match starts {
        Some(start) if is_select => {
            tokens.truncate(start);
            true
        }
        _ => false,
    }
}

fn render_token(tokens: &[Token], position: usize) -> String {
    let token = &tokens[position];
    if let Some(number) = placeholder(token) {
        return format!("?{number}");
    }
    let next = |offset: usize| tokens.get(position + offset).and_then(keyword);
    match token {
        Token::DollarQuotedString(string) => quoted(&string.value),
        Token::EscapedStringLiteral(text) => quoted(text),
        _ => match keyword(token).as_deref() {
            Some("ILIKE") => "LIKE".to_owned(),
            Some("SERIAL" | "BIGSERIAL") if next(1).as_deref() == Some("PRIMARY") => {
                "INTEGER".to_owned()
            }
            _ => token.to_string(),
        },
    }
}

fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

/// The type behind `::` and the position after it.
fn cast_type(tokens: &[Token], start: usize) -> (String, usize) {
    let mut name = tokens.get(start).map(ToString::to_string).unwrap_or_default();
    let mut position = start + 1;
    let second = tokens.get(position).and_then(keyword);
    if let Some(second @ ("PRECISION" | "VARYING")) = second.as_deref() {
        name = format!("{name} {second}");
        position += 1;
    }
    if tokens.get(position) == Some(&Token::LParen) {
        let length = tokens[position..].iter().position(|token| *token == Token::RParen);
        position += length.map_or(0, |length| length + 1);
    }
    (name, position)
}

/// Turns the expression that ends the pieces into a cast, where the engine can cast.
fn wrap_in_cast(pieces: &mut Vec<String>, type_name: &str) {
    if matches!(ColumnType::from_declared(type_name), ColumnType::Bool | ColumnType::Bytea) {
        return;
    }
    let start = expression_start(pieces);
    let expression = join(&pieces[start..]);
    pieces.truncate(start);
    pieces.push(format!("CAST({expression} AS {type_name})"));
}

fn expression_start(pieces: &[String]) -> usize {
    let mut depth = 0_usize;
    for (position, piece) in pieces.iter().enumerate().rev() {
        match piece.as_str() {
            ")" => depth += 1,
            "(" => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth == 0 {
            let called = position > 0 && piece == "(" && is_name(&pieces[position - 1]);
            let qualified = position > 1 && pieces[position - 1] == ".";
            return match (called, qualified) {
                (true, _) => position - 1,
                (_, true) => position - 2,
                _ => position,
            };
        }
    }
    0
}

fn is_name(piece: &str) -> bool {
    piece.chars().all(|character| character.is_alphanumeric() || character == '_')
}
