//! Runs and describes statements on a connection of the engine.

use super::column_type::ColumnType;
use super::command::Statement;
use super::error::SqlError;
use super::infer;
use super::tokens::keyword;
use crate::engine::Engine;
use crate::entry::Value;
use rusqlite::types::Null;
use rusqlite::{Column as EngineColumn, params_from_iter};

/// Name and type of a column of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Column {
    /// The column's name.
    pub name: String,
    /// The column's type.
    pub kind: ColumnType,
}

/// Rows of a statement.
#[derive(Clone, Debug, Default)]
pub struct RowSet {
    /// Columns; none for a statement that returns no rows.
    pub columns: Vec<Column>,
    /// Rows in order.
    pub rows: Vec<Vec<Value>>,
    /// Rows that a write changed.
    pub changes: u64,
}

/// What a statement takes and returns.
#[derive(Clone, Debug, Default)]
pub struct Description {
    /// Types of its parameters.
    pub parameters: Vec<ColumnType>,
    /// Columns of its rows.
    pub columns: Vec<Column>,
}

/// Whether the engine calls the statement read-only.
///
/// # Errors
/// The engine cannot prepare the statement.
pub fn is_read_only(engine: &Engine, statement: &Statement) -> Result<bool, SqlError> {
    let prepared = engine.connection().prepare_cached(&statement.sql)?;
    Ok(prepared.readonly() && !statement.locking)
}

/// Tells the parameters and columns of a statement before it runs.
///
/// # Errors
/// The engine cannot prepare the statement.
pub fn describe(
    engine: &Engine,
    statement: &Statement,
    given: &[u32],
) -> Result<Description, SqlError> {
    let connection = engine.connection();
    let parameters = infer::parameter_types(connection, &statement.tokens, given)?;
    let prepared = connection.prepare_cached(&statement.sql)?;
    let kinds: Vec<_> = prepared.columns().iter().map(declared_kind).collect();
    let names: Vec<String> = prepared.column_names().into_iter().map(str::to_owned).collect();
    let trial = kinds.contains(&None) && prepared.readonly() && !sleeps(statement);
    drop(prepared);
    let sample = if trial { first_row(engine, statement)? } else { Vec::new() };
    let columns = names.into_iter().zip(kinds).enumerate();
    let columns = columns.map(|(place, (name, kind))| {
        let kind = kind.or_else(|| sample.get(place).and_then(value_kind));
        Column { name: public_name(name), kind: kind.unwrap_or(ColumnType::Text) }
    });
    Ok(Description { parameters, columns: columns.collect() })
}

/// Runs a statement to its end.
///
/// # Errors
/// The engine refused it, or the number of parameters is wrong.
pub fn run(
    engine: &Engine,
    statement: &Statement,
    parameters: &[Value],
) -> Result<RowSet, SqlError> {
    let connection = engine.connection();
    let mut prepared = connection.prepare_cached(&statement.sql)?;
    let kinds: Vec<_> = prepared.columns().iter().map(declared_kind).collect();
    let names: Vec<String> = prepared.column_names().into_iter().map(str::to_owned).collect();
    let values = parameters.iter().cloned().map(rusqlite::types::Value::from);
    let mut found = prepared.query(params_from_iter(values))?;
    let mut rows: Vec<Vec<Value>> = Vec::new();
    while let Some(row) = found.next()? {
        let values = (0..names.len()).map(|place| row.get(place).map(engine_value));
        rows.push(values.collect::<rusqlite::Result<_>>()?);
    }
    let columns = names.into_iter().zip(kinds).enumerate();
    let columns = columns.map(|(place, (name, kind))| {
        let seen = || rows.iter().find_map(|row| value_kind(&row[place]));
        Column { name: public_name(name), kind: kind.or_else(seen).unwrap_or(ColumnType::Text) }
    });
    Ok(RowSet { columns: columns.collect(), rows, changes: connection.changes() })
}

fn engine_value(value: rusqlite::types::Value) -> Value {
    value.into()
}

/// The first row with all parameters null, as a sample of the types of expressions.
fn first_row(engine: &Engine, statement: &Statement) -> Result<Vec<Value>, SqlError> {
    let mut prepared = engine.connection().prepare_cached(&statement.sql)?;
    let width = prepared.column_count();
    let nulls = vec![Null; prepared.parameter_count()];
    let mut rows = prepared.query(params_from_iter(nulls))?;
    let Ok(Some(row)) = rows.next() else {
        return Ok(Vec::new());
    };
    let values = (0..width).map(|place| row.get(place).map(engine_value));
    Ok(values.collect::<rusqlite::Result<_>>()?)
}

fn sleeps(statement: &Statement) -> bool {
    statement.tokens.iter().any(|token| keyword(token).as_deref() == Some("PG_SLEEP"))
}

fn declared_kind(column: &EngineColumn<'_>) -> Option<ColumnType> {
    match column.decl_type() {
        Some(declared) => Some(ColumnType::from_declared(declared)),
        None => expression_kind(column.name()),
    }
}

/// The type of an unnamed expression, which the engine names by its text.
fn expression_kind(expression: &str) -> Option<ColumnType> {
    let text = expression.to_ascii_lowercase();
    if text.chars().all(|character| character.is_ascii_digit()) {
        return Some(ColumnType::Int4);
    }
    if let Some((_, target)) = text.strip_prefix("cast(").and_then(|rest| rest.rsplit_once(" as "))
    {
        return Some(ColumnType::from_declared(target));
    }
    match text.split('(').next() {
        Some("count" | "sum") if text.contains('(') => Some(ColumnType::Int8),
        Some("exists" | "not exists") => Some(ColumnType::Bool),
        Some("version") => Some(ColumnType::Text),
        _ if text == "true" || text == "false" => Some(ColumnType::Bool),
        _ => None,
    }
}

fn value_kind(value: &Value) -> Option<ColumnType> {
    match value {
        Value::Null => None,
        Value::Integer(_) => Some(ColumnType::Int8),
        Value::Real(_) => Some(ColumnType::Float8),
        Value::Text(_) => Some(ColumnType::Text),
        Value::Blob(_) => Some(ColumnType::Bytea),
    }
}

/// The name PostgreSQL would give: a call's function, or `?column?`.
fn public_name(name: String) -> String {
    let is_name = |text: &str| {
        let fits = |character: char| character.is_alphanumeric() || character == '_';
        !text.is_empty()
            && !text.starts_with(|c: char| c.is_ascii_digit())
            && text.chars().all(fits)
    };
    if is_name(&name) {
        return name;
    }
    match name.split_once('(') {
        Some((function, _)) if is_name(function) => function.to_ascii_lowercase(),
        _ if name.starts_with(|c: char| c.is_alphabetic()) && !name.contains(' ') => name,
        _ => "?column?".to_owned(),
    }
}
