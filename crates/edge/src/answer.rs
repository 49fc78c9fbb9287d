//! Back-end messages that the edge itself writes: errors, parameters, and the answers to its own statements.
//!
//! The module owns their content; it relies on the `pgwire` library for their encoding. What a back end
//! answers passes through as it came, and is not written here.

use crate::error::{Rejection, Severity};
use bytes::{BufMut, BytesMut};
use corktack_protocol::peer::TransactionStatus;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery,
    TransactionStatus as WireStatus,
};
use pgwire::messages::startup::ParameterStatus;

/// Type id of `text` in PostgreSQL's catalogue.
const TEXT_TYPE: u32 = 25;

/// Appends a message. All messages written here are far below the codec's limits.
pub fn put(output: &mut BytesMut, message: &PgWireBackendMessage) {
    let length = output.len();
    if let Err(error) = message.encode(output) {
        output.truncate(length);
        log::error!(error = error.to_string().as_str(); "message of the edge was not encoded");
    }
}

/// Appends `ErrorResponse`.
pub fn put_rejection(output: &mut BytesMut, rejection: &Rejection, severity: Severity) {
    let severity = match severity {
        Severity::Error => "ERROR",
        Severity::Fatal => "FATAL",
    };
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', rejection.sqlstate().to_owned()),
        (b'M', rejection.to_string().replace('\0', " ")),
    ];
    fields.extend(rejection.hint().map(|hint| (b'H', hint)));
    put(output, &PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
}

/// Appends `ParameterStatus`.
pub fn put_parameter(output: &mut BytesMut, name: &str, value: &str) {
    let status = ParameterStatus::new(name.to_owned(), value.to_owned());
    put(output, &PgWireBackendMessage::ParameterStatus(status));
}

/// Appends `ReadyForQuery`.
pub fn put_ready(output: &mut BytesMut, status: TransactionStatus) {
    let status = match status {
        TransactionStatus::Idle => WireStatus::Idle,
        TransactionStatus::Open => WireStatus::Transaction,
        TransactionStatus::Failed => WireStatus::Error,
    };
    put(output, &PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status)));
}

/// Appends `CommandComplete`.
pub fn put_complete(output: &mut BytesMut, tag: &str) {
    let complete = CommandComplete::new(tag.to_owned());
    put(output, &PgWireBackendMessage::CommandComplete(complete));
}

/// Appends `EmptyQueryResponse`.
pub fn put_empty(output: &mut BytesMut) {
    put(output, &PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()));
}

/// Appends `ParameterDescription` without parameters.
pub fn put_no_parameters(output: &mut BytesMut) {
    let description = ParameterDescription::new(Vec::new());
    put(output, &PgWireBackendMessage::ParameterDescription(description));
}

/// Appends `NoData`.
pub fn put_no_data(output: &mut BytesMut) {
    put(output, &PgWireBackendMessage::NoData(NoData::new()));
}

/// Appends the description of one text column.
pub fn put_text_column(output: &mut BytesMut, name: &str) {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_TYPE, -1, -1, 0);
    put(output, &PgWireBackendMessage::RowDescription(RowDescription::new(vec![field])));
}

/// Appends a row of one text value.
pub fn put_text_row(output: &mut BytesMut, value: &str) {
    let mut data = BytesMut::with_capacity(value.len() + 4);
    data.put_i32(i32::try_from(value.len()).unwrap_or(i32::MAX));
    data.put_slice(value.as_bytes());
    put(output, &PgWireBackendMessage::DataRow(DataRow::new(data, 1)));
}
