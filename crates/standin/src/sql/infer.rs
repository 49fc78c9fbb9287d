//! Infers the types of `$n` parameters from their places in a statement.

use super::column_type::ColumnType;
use super::tokens::{identifier, keyword, placeholder};
use rusqlite::Connection;
use sqlparser::tokenizer::Token;

/// Declared columns of the tables that a statement names, in order.
struct Schema {
    columns: Vec<(String, ColumnType)>,
}

/// Types of the parameters; those the caller gave stand, the rest are inferred.
///
/// # Errors
/// The engine failed to tell its schema.
pub fn parameter_types(
    connection: &Connection,
    tokens: &[Token],
    given: &[u32],
) -> rusqlite::Result<Vec<ColumnType>> {
    let count = tokens.iter().filter_map(placeholder).max().unwrap_or(0);
    let mut types = vec![None; count];
    for (slot, oid) in types.iter_mut().zip(given) {
        *slot = ColumnType::from_oid(*oid);
    }
    if types.iter().any(Option::is_none) {
        let schema = Schema::read(connection, tokens)?;
        for (position, number) in placeholders(tokens) {
            if let Some(slot @ None) = types.get_mut(number - 1) {
                *slot = schema.type_at(tokens, position);
            }
        }
    }
    Ok(types.into_iter().map(|found| found.unwrap_or(ColumnType::Text)).collect())
}

fn placeholders(tokens: &[Token]) -> impl Iterator<Item = (usize, usize)> {
    let numbered = tokens.iter().map(placeholder).enumerate();
    numbered.filter_map(|(position, number)| Some((position, number?))).filter(|(_, n)| *n > 0)
}

impl Schema {
    fn read(connection: &Connection, tokens: &[Token]) -> rusqlite::Result<Self> {
        let sql = "SELECT name, type FROM pragma_table_info(?1)";
        let mut statement = connection.prepare_cached(sql)?;
        let mut columns = Vec::new();
        for table in tokens.iter().filter_map(identifier) {
            let mut rows = statement.query([table])?;
            while let Some(row) = rows.next()? {
                let declared: String = row.get(1)?;
                columns.push((row.get(0)?, ColumnType::from_declared(&declared)));
            }
        }
        Ok(Self { columns })
    }

    fn column(&self, token: Option<&Token>) -> Option<ColumnType> {
        let name = identifier(token?)?;
        let found = self.columns.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, kind)| *kind)
    }

    fn type_at(&self, tokens: &[Token], position: usize) -> Option<ColumnType> {
        cast_behind(tokens, position)
            .or_else(|| limit_or_sleep(tokens, position))
            .or_else(|| self.compared_before(tokens, position))
            .or_else(|| self.compared_behind(tokens, position))
            .or_else(|| self.listed(tokens, position))
            .or_else(|| self.inserted(tokens, position))
    }

    /// `column = $1`
    fn compared_before(&self, tokens: &[Token], position: usize) -> Option<ColumnType> {
        let operator = tokens.get(position.checked_sub(1)?)?;
        if !is_operator(operator) {
            return None;
        }
        self.operand(tokens.get(position.checked_sub(2)?))
    }

    /// `$1 = column`
    fn compared_behind(&self, tokens: &[Token], position: usize) -> Option<ColumnType> {
        if !is_operator(tokens.get(position + 1)?) {
            return None;
        }
        let qualified = tokens.get(position + 3) == Some(&Token::Period);
        self.operand(tokens.get(position + if qualified { 4 } else { 2 }))
    }

    fn operand(&self, token: Option<&Token>) -> Option<ColumnType> {
        match token? {
            Token::Number(text, _) if text.contains('.') => Some(ColumnType::Float8),
            Token::Number(..) => Some(ColumnType::Int4),
            _ => self.column(token),
        }
    }

    /// `column IN ($1, $2)` and `column BETWEEN $1 AND $2`
    fn listed(&self, tokens: &[Token], position: usize) -> Option<ColumnType> {
        let passed = |token: &Token| {
            let separator = matches!(token, Token::Comma | Token::LParen | Token::Number(..));
            separator || placeholder(token).is_some() || is_keyword(token, "AND")
        };
        let before = tokens[..position].iter().rposition(|token| !passed(token))?;
        let list = is_keyword(&tokens[before], "IN") || is_keyword(&tokens[before], "BETWEEN");
        let mut column = before.checked_sub(1)?;
        if is_keyword(&tokens[column], "NOT") {
            column = column.checked_sub(1)?;
        }
        if list { self.column(tokens.get(column)) } else { None }
    }

    /// `INSERT INTO table (a, b) VALUES ($1, $2)`
    fn inserted(&self, tokens: &[Token], position: usize) -> Option<ColumnType> {
        if !is_keyword(tokens.first()?, "INSERT") {
            return None;
        }
        let values = tokens.iter().position(|token| is_keyword(token, "VALUES"))?;
        if values > position {
            return None;
        }
        let place = place_in_tuple(&tokens[values..position]);
        let list = tokens[..values].iter().position(|token| *token == Token::LParen);
        match list {
            Some(start) => {
                let mut names = tokens[start..values].iter().filter(|t| identifier(t).is_some());
                self.column(names.nth(place))
            }
            None => self.columns.get(place).map(|(_, kind)| *kind),
        }
    }
}

/// Number of commas since the tuple that holds the place opened.
fn place_in_tuple(before: &[Token]) -> usize {
    let mut depth = 0_usize;
    let mut commas = 0;
    for token in before {
        match token {
            Token::LParen => {
                depth += 1;
                commas = if depth == 1 { 0 } else { commas };
            }
            Token::RParen => depth = depth.saturating_sub(1),
            Token::Comma if depth == 1 => commas += 1,
            _ => {}
        }
    }
    commas
}

fn cast_behind(tokens: &[Token], position: usize) -> Option<ColumnType> {
    if tokens.get(position + 1) != Some(&Token::DoubleColon) {
        return None;
    }
    let name = tokens.get(position + 2).and_then(identifier)?;
    Some(ColumnType::from_declared(name))
}

fn limit_or_sleep(tokens: &[Token], position: usize) -> Option<ColumnType> {
    let before = |distance: usize| tokens.get(position.checked_sub(distance)?).and_then(keyword);
    match (before(1).as_deref(), before(2).as_deref()) {
        (Some("LIMIT" | "OFFSET"), _) => Some(ColumnType::Int8),
        (None, Some("PG_SLEEP")) => Some(ColumnType::Float8),
        _ => None,
    }
}

fn is_keyword(token: &Token, word: &str) -> bool {
    keyword(token).as_deref() == Some(word)
}

fn is_operator(token: &Token) -> bool {
    let comparison =
        matches!(token, Token::Eq | Token::Neq | Token::Lt | Token::Gt | Token::LtEq | Token::GtEq);
    let arithmetic = matches!(token, Token::Plus | Token::Minus | Token::Mul | Token::Div);
    comparison || arithmetic || is_keyword(token, "LIKE") || is_keyword(token, "ILIKE")
}
