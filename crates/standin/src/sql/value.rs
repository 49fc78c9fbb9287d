//! Values in the text and binary formats of the protocol.

use super::column_type::ColumnType;
use super::error::SqlError;
use crate::entry::Value;
use bytes::{BufMut, BytesMut};

/// Format code of text values.
pub const TEXT_FORMAT: i16 = 0;
/// Format code of binary values.
pub const BINARY_FORMAT: i16 = 1;

const HEX_PREFIX: &str = "\\x";

/// Decodes a bound parameter.
///
/// # Errors
/// The bytes do not fit the type.
pub fn decode(bytes: &[u8], kind: ColumnType, format: i16) -> Result<Value, SqlError> {
    let decoded = match format {
        BINARY_FORMAT => decode_binary(bytes, kind),
        _ => std::str::from_utf8(bytes).ok().and_then(|text| decode_text(text, kind)),
    };
    decoded.ok_or(SqlError::Parameter(kind.name()))
}

fn decode_binary(bytes: &[u8], kind: ColumnType) -> Option<Value> {
    Some(match kind {
        ColumnType::Bool => Value::Integer(i64::from(*bytes.first()? != 0)),
        ColumnType::Int2 => Value::Integer(i16::from_be_bytes(bytes.try_into().ok()?).into()),
        ColumnType::Int4 => Value::Integer(i32::from_be_bytes(bytes.try_into().ok()?).into()),
        ColumnType::Int8 => Value::Integer(i64::from_be_bytes(bytes.try_into().ok()?)),
        ColumnType::Float4 => Value::Real(f32::from_be_bytes(bytes.try_into().ok()?).into()),
        ColumnType::Float8 => Value::Real(f64::from_be_bytes(bytes.try_into().ok()?)),
        ColumnType::Bytea => Value::Blob(bytes.to_vec()),
        ColumnType::Text | ColumnType::Varchar => {
            Value::Text(std::str::from_utf8(bytes).ok()?.to_owned())
        }
    })
}

fn decode_text(text: &str, kind: ColumnType) -> Option<Value> {
    Some(match kind {
        ColumnType::Bool => Value::Integer(i64::from(parse_bool(text)?)),
        ColumnType::Int2 | ColumnType::Int4 | ColumnType::Int8 => {
            Value::Integer(text.trim().parse().ok()?)
        }
        ColumnType::Float4 | ColumnType::Float8 => Value::Real(text.trim().parse().ok()?),
        ColumnType::Bytea => Value::Blob(parse_bytes(text)?),
        ColumnType::Text | ColumnType::Varchar => Value::Text(text.to_owned()),
    })
}

fn parse_bool(text: &str) -> Option<bool> {
    match text.trim().to_ascii_lowercase().as_str() {
        "t" | "true" | "1" | "on" | "yes" => Some(true),
        "f" | "false" | "0" | "off" | "no" => Some(false),
        _ => None,
    }
}

fn parse_bytes(text: &str) -> Option<Vec<u8>> {
    let Some(digits) = text.strip_prefix(HEX_PREFIX) else {
        return Some(text.as_bytes().to_vec());
    };
    let pairs = digits.as_bytes().chunks(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    pairs.map(byte).collect()
}

/// Appends a column's value with its length, as a data row holds it.
///
/// # Errors
/// The value does not fit the column's type.
pub fn encode(
    value: &Value,
    kind: ColumnType,
    format: i16,
    row: &mut BytesMut,
) -> Result<(), SqlError> {
    if matches!(value, Value::Null) {
        row.put_i32(-1);
        return Ok(());
    }
    if format != BINARY_FORMAT {
        return put(row, text_of(value, kind).as_bytes());
    }
    let misfit = || SqlError::ValueRange(kind.name());
    match kind {
        ColumnType::Bool => put(row, &[u8::from(integer_of(value).ok_or_else(misfit)? != 0)]),
        ColumnType::Int2 => put(row, &narrow::<i16>(value, kind)?.to_be_bytes()),
        ColumnType::Int4 => put(row, &narrow::<i32>(value, kind)?.to_be_bytes()),
        ColumnType::Int8 => put(row, &narrow::<i64>(value, kind)?.to_be_bytes()),
        ColumnType::Float4 => put(row, &(real_of(value).ok_or_else(misfit)? as f32).to_be_bytes()),
        ColumnType::Float8 => put(row, &real_of(value).ok_or_else(misfit)?.to_be_bytes()),
        ColumnType::Bytea => match value {
            Value::Blob(bytes) => put(row, bytes),
            other => put(row, text_of(other, ColumnType::Text).as_bytes()),
        },
        ColumnType::Text | ColumnType::Varchar => put(row, text_of(value, kind).as_bytes()),
    }
}

fn put(row: &mut BytesMut, bytes: &[u8]) -> Result<(), SqlError> {
    let length = i32::try_from(bytes.len()).map_err(|_| SqlError::ValueRange("any"))?;
    row.put_i32(length);
    row.put_slice(bytes);
    Ok(())
}

fn narrow<T: TryFrom<i64>>(value: &Value, kind: ColumnType) -> Result<T, SqlError> {
    let number = integer_of(value).and_then(|number| T::try_from(number).ok());
    number.ok_or(SqlError::ValueRange(kind.name()))
}

fn integer_of(value: &Value) -> Option<i64> {
    match value {
        Value::Integer(number) => Some(*number),
        Value::Real(number) => Some(*number as i64),
        Value::Text(text) => text.parse().ok().or_else(|| parse_bool(text).map(i64::from)),
        Value::Null | Value::Blob(_) => None,
    }
}

fn real_of(value: &Value) -> Option<f64> {
    match value {
        Value::Integer(number) => Some(*number as f64),
        Value::Real(number) => Some(*number),
        Value::Text(text) => text.parse().ok(),
        Value::Null | Value::Blob(_) => None,
    }
}

fn text_of(value: &Value, kind: ColumnType) -> String {
    match value {
        Value::Null => String::new(),
        Value::Integer(number) if kind == ColumnType::Bool => {
            if *number == 0 {
                "f".to_owned()
            } else {
                "t".to_owned()
            }
        }
        Value::Integer(number) => number.to_string(),
        Value::Real(number) => number.to_string(),
        Value::Text(text) => text.clone(),
        Value::Blob(bytes) => {
            let digits = bytes.iter().map(|byte| format!("{byte:02x}"));
            std::iter::once(HEX_PREFIX.to_owned()).chain(digits).collect()
        }
    }
}
