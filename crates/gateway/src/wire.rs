//! The wire between callers, gateways and members, as its codec.
//!
//! It is for whoever starts a gateway, who hands one in. It owns only the trait.

use crate::error::WireError;
use bytes::BytesMut;
use corktack_core::statement::{CallerMessage, MemberRequest, MemberStatus, Reply};

/// Turns messages into bytes and back. Holds no state: messages are whole in the buffer.
pub trait Wire: Clone + 'static {
    /// Takes the next message of a caller off the buffer, if it is whole.
    ///
    /// # Errors
    /// [`WireError`]; the connection cannot go on.
    fn decode_caller(&self, buffer: &mut BytesMut) -> Result<Option<CallerMessage>, WireError>;

    /// Appends a message to a caller.
    fn encode_reply(&self, reply: &Reply, buffer: &mut BytesMut);

    /// Appends a message to a member.
    fn encode_request(&self, request: &MemberRequest<'_>, buffer: &mut BytesMut);

    /// Takes the next message of a member off the buffer, if it is whole.
    ///
    /// # Errors
    /// [`WireError`]; the connection cannot go on.
    fn decode_reply(&self, buffer: &mut BytesMut) -> Result<Option<Reply>, WireError>;

    /// Reads the row with which a member answers a question for its status.
    ///
    /// # Errors
    /// [`WireError::Field`].
    fn decode_status(&self, row: &str) -> Result<MemberStatus, WireError>;
}
