//! Messages from a stream to its edge. The link writes them in the order in which they were queued.

use crate::backlog::LinkSender;
use corktack_core::position::Position;
use corktack_protocol::peer::{Failure, OwnerMessage, ServedBy, StreamId, TransactionStatus};
use tokio::sync::mpsc;

/// The output side of a stream. Dropping it notifies the link that the stream has ended.
#[derive(Debug)]
pub(crate) struct Outbound {
    stream: StreamId,
    link: LinkSender,
    ended_sender: mpsc::UnboundedSender<StreamId>,
}

impl Outbound {
    /// Connects a stream to its link; `ended_sender` receives the stream's id when the stream ends.
    pub fn new(
        stream: StreamId,
        link: LinkSender,
        ended_sender: mpsc::UnboundedSender<StreamId>,
    ) -> Self {
        Self { stream, link, ended_sender }
    }

    /// Sends encoded PostgreSQL messages for the caller.
    pub fn send_data(&self, messages: Vec<u8>) {
        self.send(OwnerMessage::Data { stream: self.stream, messages });
    }

    /// Sends the session's new position.
    pub fn send_position(&self, position: Position) {
        self.send(OwnerMessage::Position { stream: self.stream, position });
    }

    /// Reports that a batch is answered.
    pub fn send_ready(&self, status: TransactionStatus, served_by: ServedBy) {
        self.send(OwnerMessage::Ready { stream: self.stream, status, served_by });
    }

    /// Sends a failure as the final answer of the stream.
    pub fn send_failure(&self, failure: Failure) {
        self.send(OwnerMessage::Failed { stream: self.stream, failure });
    }

    fn send(&self, message: OwnerMessage) {
        self.link.send(message);
    }
}

impl Drop for Outbound {
    fn drop(&mut self) {
        let _ = self.ended_sender.send(self.stream);
    }
}
