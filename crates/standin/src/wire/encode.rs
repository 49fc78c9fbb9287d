//! Backend messages made from replies and errors.

use super::stream::{MessageStream, StreamError};
use crate::session::Reply;
use crate::sql::run::{Column, RowSet};
use crate::sql::{SqlError, value};
use bytes::BytesMut;
use corktack_core::backend::POSITION_PARAMETER;
use corktack_core::position::Position;
use pgwire::messages::PgWireBackendMessage as Message;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::ParameterStatus;

const NO_MODIFIER: i32 = -1;

/// The format of a column among the bound format codes.
#[must_use]
pub fn format_of(formats: &[i16], place: usize) -> i16 {
    match formats {
        [] => value::TEXT_FORMAT,
        [one] => *one,
        many => many.get(place).copied().unwrap_or(value::TEXT_FORMAT),
    }
}

/// Describes columns.
#[must_use]
pub fn row_description(columns: &[Column], formats: &[i16]) -> Message {
    let field = |(place, column): (usize, &Column)| {
        let format = format_of(formats, place);
        let kind = column.kind;
        FieldDescription::new(
            column.name.clone(),
            0,
            0,
            kind.oid(),
            kind.size(),
            NO_MODIFIER,
            format,
        )
    };
    Message::RowDescription(RowDescription::new(columns.iter().enumerate().map(field).collect()))
}

/// Encodes rows.
///
/// # Errors
/// A value does not fit its column.
pub fn data_rows(
    rows: &RowSet,
    columns: &[Column],
    formats: &[i16],
) -> Result<Vec<Message>, SqlError> {
    let width = i16::try_from(columns.len()).map_err(|_| SqlError::ValueRange("row"))?;
    let encode_row = |values: &Vec<crate::entry::Value>| {
        let mut data = BytesMut::new();
        for (place, (value, column)) in values.iter().zip(columns).enumerate() {
            value::encode(value, column.kind, format_of(formats, place), &mut data)?;
        }
        Ok(Message::DataRow(DataRow::new(data, width)))
    };
    rows.rows.iter().map(encode_row).collect()
}

impl MessageStream {
    /// Adds the position, if there is one to report, and the command tag.
    ///
    /// # Errors
    /// The message is too large.
    pub fn put_completion(&mut self, reply: &Reply) -> Result<(), StreamError> {
        if let Some(position) = reply.position {
            self.put_position(position)?;
        }
        self.put(Message::CommandComplete(CommandComplete::new(reply.tag.clone())))
    }

    fn put_position(&mut self, position: Position) -> Result<(), StreamError> {
        self.put_parameter(POSITION_PARAMETER, &position.to_string())
    }

    /// Adds a parameter status.
    ///
    /// # Errors
    /// The message is too large.
    pub fn put_parameter(&mut self, name: &str, value: &str) -> Result<(), StreamError> {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        self.put(Message::ParameterStatus(status))
    }

    /// Adds an error.
    ///
    /// # Errors
    /// The message is too large.
    pub fn put_error(&mut self, error: &SqlError) -> Result<(), StreamError> {
        let severity = if error.is_fatal() { "FATAL" } else { "ERROR" };
        let fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', error.sqlstate().to_owned()),
            (b'M', error.to_string()),
        ];
        self.put(Message::ErrorResponse(ErrorResponse::new(fields)))
    }

    /// Adds the end of a request; `block` tells whether an open block failed.
    ///
    /// # Errors
    /// The message is too large.
    pub fn put_ready(&mut self, block: Option<bool>) -> Result<(), StreamError> {
        let status = match block {
            None => TransactionStatus::Idle,
            Some(false) => TransactionStatus::Transaction,
            Some(true) => TransactionStatus::Error,
        };
        self.put(Message::ReadyForQuery(ReadyForQuery::new(status)))
    }
}
