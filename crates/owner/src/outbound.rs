//! What a stream sends to its edge.
//!
//! The module owns nothing but the way to the link; it relies on the link to write messages in their order.

use crate::backlog::LinkSender;
use corktack_core::position::Position;
use corktack_protocol::peer::{Failure, OwnerMessage, ServedBy, StreamId, TransactionStatus};
use tokio::sync::mpsc;

/// The output side of a stream; tells the link when the stream has ended.
#[derive(Debug)]
pub(crate) struct Outbound {
    stream: StreamId,
    link: LinkSender,
    ended: mpsc::UnboundedSender<StreamId>,
}

impl Outbound {
    /// The way from a stream to its link; `ended` hears of its end.
    pub fn new(stream: StreamId, link: LinkSender, ended: mpsc::UnboundedSender<StreamId>) -> Self {
        Self { stream, link, ended }
    }

    /// Sends messages for the caller.
    pub fn data(&self, messages: Vec<u8>) {
        self.send(OwnerMessage::Data { stream: self.stream, messages });
    }

    /// Sends the session's new position.
    pub fn position(&self, position: Position) {
        self.send(OwnerMessage::Position { stream: self.stream, position });
    }

    /// Tells that a batch is answered.
    pub fn ready(&self, status: TransactionStatus, served_by: ServedBy) {
        self.send(OwnerMessage::Ready { stream: self.stream, status, served_by });
    }

    /// Sends the final answer of a stream that a back end did not answer.
    pub fn failed(&self, failure: Failure) {
        self.send(OwnerMessage::Failed { stream: self.stream, failure });
    }

    fn send(&self, message: OwnerMessage) {
        self.link.send(message);
    }
}

impl Drop for Outbound {
    fn drop(&mut self) {
        let _ = self.ended.send(self.stream);
    }
}
