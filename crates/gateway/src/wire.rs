//! Codec of the protocol between callers, gateways and members. The process that starts a gateway implements
//! it.

use crate::error::WireError;
use bytes::BytesMut;
use corktack_core::statement::{CallerMessage, MemberRequest, MemberStatus, Reply, Request};

/// Encodes and decodes messages. It keeps no state between calls: a message is decoded once the buffer holds
/// the whole of it.
pub trait Wire: Clone + 'static {
    /// Reports whether the buffer holds a whole message or breaks the protocol, so that decoding it has a
    /// result. The first `searched` bytes were found not to, which saves searching them again.
    fn is_decodable(&self, buffer: &[u8], searched: usize) -> bool;

    /// Reports whether a position may be added to a caller's statement without exceeding the protocol's limit.
    fn has_room_for_position(&self, request: &Request) -> bool;

    /// Removes the next message of a caller from the buffer; returns none if it isn't complete yet.
    ///
    /// # Errors
    /// [`WireError`] for bytes that are no message; the connection can't be used further.
    fn decode_caller(&self, buffer: &mut BytesMut) -> Result<Option<CallerMessage>, WireError>;

    /// Appends a message to a caller.
    fn encode_reply(&self, reply: &Reply, buffer: &mut BytesMut);

    /// Appends a message to a member.
    fn encode_request(&self, request: &MemberRequest<'_>, buffer: &mut BytesMut);

    /// Removes the next message of a member from the buffer; returns none if it isn't complete yet.
    ///
    /// # Errors
    /// [`WireError`] for bytes that are no message; the connection can't be used further.
    fn decode_reply(&self, buffer: &mut BytesMut) -> Result<Option<Reply>, WireError>;

    /// Decodes the row of a member's answer to a status request.
    ///
    /// # Errors
    /// [`WireError::Field`] if a field of the row is missing or invalid.
    fn decode_status(&self, row: &str) -> Result<MemberStatus, WireError>;
}
