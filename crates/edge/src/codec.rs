//! Reads callers' messages: whole frames within limits, then the `pgwire` codec.
//!
//! The codec trusts the lengths inside a message, so [`body`] checks them first,
//! and each frame is cut out of the buffer before it is decoded.

mod body;

use crate::error::Rejection;
use bytes::{Buf, BytesMut};
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{GssEncRequest, SslRequest, Startup};
use pgwire::messages::{DecodeContext, Message, PgWireFrontendMessage, ProtocolVersion};

/// A whole `Sync` message.
pub const SYNC: &[u8] = b"S\0\0\0\x04";
/// Bytes of the length field.
const LENGTH_BYTES: usize = 4;
/// Bytes of a message's type and length.
const HEADER_BYTES: usize = 5;
/// Most bytes set aside for a message that has not come. Chosen, not measured: fewer mean more steps of
/// growth for a long message, more let a header alone take memory.
const RESERVED_BYTES: usize = 64 * 1024;
/// Shortest first message: length and code.
const FIRST_MESSAGE_BYTES: usize = 8;

/// First message of a connection.
#[derive(Debug)]
pub enum FirstMessage {
    /// Asks for TLS or GSS encryption.
    Encryption,
    /// Asks to cancel what a session runs.
    Cancel(CancelRequest),
    /// Starts a session.
    Startup(Startup),
}

/// Takes the first message of a connection from the buffer once it is whole.
///
/// # Errors
/// A [`Rejection`] when it is malformed or too long.
pub fn first_message(
    buffer: &mut BytesMut,
    limit: usize,
) -> Result<Option<FirstMessage>, Rejection> {
    if buffer.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let length = (&buffer[..LENGTH_BYTES]).get_u32() as usize;
    if length < FIRST_MESSAGE_BYTES {
        return Err(Rejection::MalformedStartup);
    }
    if length > limit {
        return Err(Rejection::MessageTooLarge { length, limit });
    }
    if buffer.len() < length {
        return Ok(None);
    }
    decode_first(buffer.split_to(length)).map(Some)
}

fn decode_first(mut frame: BytesMut) -> Result<FirstMessage, Rejection> {
    if SslRequest::is_ssl_request_packet(&frame) || GssEncRequest::is_gss_enc_request_packet(&frame)
    {
        return Ok(FirstMessage::Encryption);
    }
    let context = context();
    if CancelRequest::is_cancel_request_packet(&frame) {
        let whole = frame.len() == body::CANCEL_REQUEST_BYTES;
        let request = if whole { CancelRequest::decode(&mut frame, &context) } else { Ok(None) };
        let request = request.ok().flatten().ok_or(Rejection::MalformedStartup)?;
        return Ok(FirstMessage::Cancel(request));
    }
    let (major, minor) = ((&frame[4..6]).get_u16(), (&frame[6..8]).get_u16());
    if major != ProtocolVersion::PROTOCOL3_0.version_number().0 {
        return Err(Rejection::ProtocolVersion(major, minor));
    }
    if !body::is_startup(&frame[FIRST_MESSAGE_BYTES..]) {
        return Err(Rejection::MalformedStartup);
    }
    let startup = Startup::decode(&mut frame, &context).ok().flatten();
    startup.map(FirstMessage::Startup).ok_or(Rejection::MalformedStartup)
}

/// Takes the next message from the buffer once it is whole, with its length.
///
/// # Errors
/// A [`Rejection`] when it is malformed or too long.
pub fn next_message(
    buffer: &mut BytesMut,
    limit: usize,
) -> Result<Option<(PgWireFrontendMessage, usize)>, Rejection> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let kind = buffer[0];
    let malformed = Rejection::MalformedMessage(char::from(kind));
    let length = (&buffer[1..HEADER_BYTES]).get_u32() as usize;
    if length < LENGTH_BYTES {
        return Err(malformed);
    }
    if length > limit {
        return Err(Rejection::MessageTooLarge { length, limit });
    }
    if buffer.len() < 1 + length {
        // More is taken as it comes: a header alone costs no memory.
        buffer.reserve((1 + length - buffer.len()).min(RESERVED_BYTES));
        return Ok(None);
    }
    let mut frame = buffer.split_to(1 + length);
    body::check(kind, &frame[HEADER_BYTES..])?;
    let message = PgWireFrontendMessage::decode(&mut frame, &context()).ok().flatten();
    message.map(|message| Some((message, 1 + length))).ok_or(malformed)
}

fn context() -> DecodeContext {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}
