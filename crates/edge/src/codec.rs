//! Decodes callers' messages: extracts complete frames within the size limits and passes them to the
//! `pgwire` codec.
//!
//! The `pgwire` codec trusts the lengths inside a message, so [`body`] checks them first, and each
//! frame is split off the buffer before it is decoded.

mod body;

use crate::error::Rejection;
use bytes::{Buf, BytesMut};
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{GssEncRequest, SslRequest, Startup};
use pgwire::messages::{DecodeContext, Message, PgWireFrontendMessage, ProtocolVersion};

/// A complete `Sync` message as sent on the wire.
pub const SYNC_MESSAGE: &[u8] = b"S\0\0\0\x04";
/// Size of a message's length field.
const LENGTH_BYTES: usize = 4;
/// Size of a message's type and length fields.
const HEADER_BYTES: usize = 5;
/// Most buffer space reserved at once for the missing part of a message. A smaller value grows the
/// buffer in more steps for a long message; a larger one lets a caller allocate memory with a header
/// alone.
const MAX_RESERVED_BYTES: usize = 64 * 1024;
/// Size of the shortest first message: length and request code.
const MIN_FIRST_MESSAGE_BYTES: usize = 8;

/// The first message of a connection.
#[derive(Debug)]
pub enum FirstMessage {
    /// A request for TLS or GSS encryption.
    Encryption,
    /// A request to cancel the running request of another session.
    Cancel(CancelRequest),
    /// A startup message, which opens a session.
    Startup(Startup),
}

/// Removes the first message of a connection from the buffer and decodes it once it is complete.
///
/// # Errors
/// Returns a [`Rejection`] if the message is malformed or too long.
pub fn decode_first_message(
    buffer: &mut BytesMut,
    limit: usize,
) -> Result<Option<FirstMessage>, Rejection> {
    if buffer.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let length = (&buffer[..LENGTH_BYTES]).get_u32() as usize;
    if length < MIN_FIRST_MESSAGE_BYTES {
        return Err(Rejection::MalformedStartup);
    }
    if length > limit {
        return Err(Rejection::MessageTooLarge { length, limit });
    }
    if buffer.len() < length {
        return Ok(None);
    }
    decode_first_frame(buffer.split_to(length)).map(Some)
}

fn decode_first_frame(mut frame: BytesMut) -> Result<FirstMessage, Rejection> {
    if SslRequest::is_ssl_request_packet(&frame) || GssEncRequest::is_gss_enc_request_packet(&frame)
    {
        return Ok(FirstMessage::Encryption);
    }
    let context = decode_context();
    if CancelRequest::is_cancel_request_packet(&frame) {
        let is_complete = frame.len() == body::CANCEL_REQUEST_BYTES;
        let request =
            if is_complete { CancelRequest::decode(&mut frame, &context) } else { Ok(None) };
        let request = request.ok().flatten().ok_or(Rejection::MalformedStartup)?;
        return Ok(FirstMessage::Cancel(request));
    }
    let (major, minor) = ((&frame[4..6]).get_u16(), (&frame[6..8]).get_u16());
    if major != ProtocolVersion::PROTOCOL3_0.version_number().0 {
        return Err(Rejection::ProtocolVersion(major, minor));
    }
    if !body::is_startup(&frame[MIN_FIRST_MESSAGE_BYTES..]) {
        return Err(Rejection::MalformedStartup);
    }
    let startup = Startup::decode(&mut frame, &context).ok().flatten();
    startup.map(FirstMessage::Startup).ok_or(Rejection::MalformedStartup)
}

/// Removes the next message from the buffer and decodes it once it is complete. Also returns its size
/// in bytes.
///
/// # Errors
/// Returns a [`Rejection`] if the message is malformed or too long.
pub fn decode_next_message(
    buffer: &mut BytesMut,
    limit: usize,
) -> Result<Option<(PgWireFrontendMessage, usize)>, Rejection> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let message_type = buffer[0];
    let malformed = Rejection::MalformedMessage(char::from(message_type));
    let length = (&buffer[1..HEADER_BYTES]).get_u32() as usize;
    if length < LENGTH_BYTES {
        return Err(malformed);
    }
    if length > limit {
        return Err(Rejection::MessageTooLarge { length, limit });
    }
    if buffer.len() < 1 + length {
        // The buffer grows as bytes arrive, so that a header alone doesn't allocate memory for the
        // whole message.
        buffer.reserve((1 + length - buffer.len()).min(MAX_RESERVED_BYTES));
        return Ok(None);
    }
    let mut frame = buffer.split_to(1 + length);
    body::check_body(message_type, &frame[HEADER_BYTES..])?;
    let message = PgWireFrontendMessage::decode(&mut frame, &decode_context()).ok().flatten();
    message.map(|message| Some((message, 1 + length))).ok_or(malformed)
}

fn decode_context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}
