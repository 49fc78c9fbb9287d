//! Encodes the back-end messages that the edge itself sends: errors, parameters, and answers to the
//! statements that the edge executes.
//!
//! The `pgwire` library does the encoding. Answers of a back end are passed through unchanged and don't
//! go through this module.

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

/// OID of the type `text` in the PostgreSQL catalogue.
const TEXT_TYPE: u32 = 25;

/// Appends a message to the output. All messages encoded here are far below the codec's size limits;
/// one that can't be encoded is logged and omitted.
pub fn put_message(output: &mut BytesMut, message: &PgWireBackendMessage) {
    let length = output.len();
    if let Err(error) = message.encode(output) {
        output.truncate(length);
        log::error!(
            error = error.to_string().as_str();
            "message to a caller cannot be encoded, it is omitted"
        );
    }
}

/// Appends `ErrorResponse` with the rejection's SQLSTATE, text and hint.
pub fn put_error_response(output: &mut BytesMut, rejection: &Rejection, severity: Severity) {
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
    put_message(output, &PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
}

/// Appends `ParameterStatus`, which reports a setting's current value.
pub fn put_parameter_status(output: &mut BytesMut, name: &str, value: &str) {
    let status = ParameterStatus::new(name.to_owned(), value.to_owned());
    put_message(output, &PgWireBackendMessage::ParameterStatus(status));
}

/// Appends `ReadyForQuery` with the transaction status.
pub fn put_ready_for_query(output: &mut BytesMut, status: TransactionStatus) {
    let status = match status {
        TransactionStatus::Idle => WireStatus::Idle,
        TransactionStatus::Open => WireStatus::Transaction,
        TransactionStatus::Failed => WireStatus::Error,
    };
    put_message(output, &PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status)));
}

/// Appends `CommandComplete` with the command tag, such as `SET`.
pub fn put_command_complete(output: &mut BytesMut, tag: &str) {
    let complete = CommandComplete::new(tag.to_owned());
    put_message(output, &PgWireBackendMessage::CommandComplete(complete));
}

/// Appends `EmptyQueryResponse`, the answer to a query without statements.
pub fn put_empty_query_response(output: &mut BytesMut) {
    put_message(output, &PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()));
}

/// Appends `ParameterDescription` without parameters.
pub fn put_no_parameters(output: &mut BytesMut) {
    let description = ParameterDescription::new(Vec::new());
    put_message(output, &PgWireBackendMessage::ParameterDescription(description));
}

/// Appends `NoData`, the description of a statement that returns no rows.
pub fn put_no_data(output: &mut BytesMut) {
    put_message(output, &PgWireBackendMessage::NoData(NoData::new()));
}

/// Appends a `RowDescription` with one text column.
pub fn put_text_column(output: &mut BytesMut, name: &str) {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_TYPE, -1, -1, 0);
    put_message(output, &PgWireBackendMessage::RowDescription(RowDescription::new(vec![field])));
}

/// Appends a `DataRow` with one text value.
pub fn put_text_row(output: &mut BytesMut, value: &str) {
    let mut data = BytesMut::with_capacity(value.len() + 4);
    data.put_i32(i32::try_from(value.len()).unwrap_or(i32::MAX));
    data.put_slice(value.as_bytes());
    put_message(output, &PgWireBackendMessage::DataRow(DataRow::new(data, 1)));
}
