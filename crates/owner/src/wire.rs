//! PostgreSQL messages as the owner relays them: split by their header, and decoded with `pgwire` only where
//! their content matters. The module keeps no state.

use bytes::{Buf, BytesMut};
use corktack_protocol::frame::PAYLOAD_LIMIT;
use pgwire::error::PgWireError;
use pgwire::messages::data::DataRow;
use pgwire::messages::response::{ErrorResponse, ReadyForQuery, TransactionStatus as ReadyStatus};
use pgwire::messages::startup::{BackendKeyData, ParameterStatus};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};

/// Size of a message's tag and length field in bytes.
const HEADER_BYTES: usize = 5;
/// Size of the length field in bytes; the encoded length includes the field itself.
const LENGTH_BYTES: usize = 4;
/// Largest message that the owner relays, in bytes. Such a message fits one frame of a link together with the
/// answers that are buffered before it (64 KiB) and as much again for the frame's own fields.
pub(crate) const MESSAGE_LIMIT: usize = PAYLOAD_LIMIT - 128 * 1024;
/// Field of an `ErrorResponse` that holds the SQLSTATE.
const SQLSTATE_FIELD: u8 = b'C';

/// Errors of bytes that are not a valid PostgreSQL message.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    /// The length of a message is outside the limits.
    #[error("message with tag {tag} and impossible length {length}")]
    Length { tag: u8, length: usize },
    /// The content of a message is malformed.
    #[error("malformed message")]
    Malformed(#[from] PgWireError),
    /// The content of a message ends early.
    #[error("message with tag {tag} ends early")]
    Truncated { tag: u8 },
}

/// One complete message with its header.
#[derive(Clone, Debug)]
pub(crate) struct RawMessage {
    pub tag: u8,
    pub bytes: BytesMut,
}

/// Removes the first complete message from a buffer; returns `None` when the buffer holds only a part of it.
pub(crate) fn split_message(buffer: &mut BytesMut) -> Result<Option<RawMessage>, WireError> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let tag = buffer[0];
    let length = (&buffer[1..HEADER_BYTES]).get_u32() as usize;
    if !(LENGTH_BYTES..=MESSAGE_LIMIT).contains(&length) {
        return Err(WireError::Length { tag, length });
    }
    if buffer.len() < length + 1 {
        buffer.reserve(length + 1 - buffer.len());
        return Ok(None);
    }
    Ok(Some(RawMessage { tag, bytes: buffer.split_to(length + 1) }))
}

/// Decodes a message of a known type.
pub(crate) fn decode<M: Message>(message: &RawMessage) -> Result<M, WireError> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    let mut bytes = message.bytes.clone();
    M::decode(&mut bytes, &context)?.ok_or(WireError::Truncated { tag: message.tag })
}

/// Appends an encoded message to a buffer.
pub(crate) fn encode<M: Message>(message: &M, buffer: &mut BytesMut) -> Result<(), WireError> {
    Ok(message.encode(buffer)?)
}

/// Returns the SQLSTATE of an `ErrorResponse`, or an empty string when the message has none.
pub(crate) fn sqlstate(message: &RawMessage) -> Result<String, WireError> {
    let error: ErrorResponse = decode(message)?;
    let code = error.fields.into_iter().find(|(field, _)| *field == SQLSTATE_FIELD);
    Ok(code.map(|(_, value)| value).unwrap_or_default())
}

/// Returns the name and value of a `ParameterStatus`.
pub(crate) fn parameter(message: &RawMessage) -> Result<(String, String), WireError> {
    let status: ParameterStatus = decode(message)?;
    Ok((status.name, status.value))
}

/// Decodes a `BackendKeyData`: the process id and the secret that cancel requests need.
pub(crate) fn key_data(message: &RawMessage) -> Result<BackendKeyData, WireError> {
    decode(message)
}

/// Returns the transaction status of a `ReadyForQuery`.
pub(crate) fn ready_status(message: &RawMessage) -> Result<ReadyStatus, WireError> {
    let ready: ReadyForQuery = decode(message)?;
    Ok(ready.status)
}

/// Returns the columns of a `DataRow` as text, with `None` for NULL.
pub(crate) fn row_columns(message: &RawMessage) -> Result<Vec<Option<String>>, WireError> {
    let row: DataRow = decode(message)?;
    let truncated = || WireError::Truncated { tag: message.tag };
    let mut data = row.data;
    let mut columns = Vec::new();
    for _ in 0..row.field_count {
        if data.len() < LENGTH_BYTES {
            return Err(truncated());
        }
        let Ok(length) = usize::try_from(data.get_i32()) else {
            columns.push(None);
            continue;
        };
        if data.len() < length {
            return Err(truncated());
        }
        let value = data.split_to(length);
        columns.push(Some(String::from_utf8_lossy(&value).into_owned()));
    }
    Ok(columns)
}

/// Encodes an `ErrorResponse` with severity `ERROR`.
pub(crate) fn error_response(sqlstate: &str, text: &str) -> Result<BytesMut, WireError> {
    let field = |code: u8, value: &str| (code, value.to_owned());
    let fields = vec![
        field(b'S', "ERROR"),
        field(b'V', "ERROR"),
        field(SQLSTATE_FIELD, sqlstate),
        field(b'M', text),
    ];
    let mut buffer = BytesMut::new();
    encode(&ErrorResponse::new(fields), &mut buffer)?;
    Ok(buffer)
}
