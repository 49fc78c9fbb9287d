//! State of one connection to an owner: its open streams, and which of their batches may have reached
//! the owner.
//!
//! The connection task in `task` does the I/O. It calls [`OwnerLink::begin_write`] right before it
//! writes a message, because from then on the owner may have received the message.

use super::error::LinkError;
use super::event::StreamEvent;
use corktack_protocol::frame::PAYLOAD_LIMIT;
use corktack_protocol::peer::{Batch, EdgeMessage, INITIAL_WINDOW_BYTES, OpenRequest, StreamId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use tokio::sync::mpsc;

/// Most bytes of answers that a stream buffers for its caller. An owner that follows the protocol
/// exceeds its window by at most one frame.
const MAX_UNGRANTED_BYTES: usize = INITIAL_WINDOW_BYTES as usize + PAYLOAD_LIMIT;

#[derive(Debug)]
struct StreamEntry {
    events: mpsc::UnboundedSender<StreamEvent>,
    /// Whether the message that opens the stream may have reached the owner.
    opened: bool,
    /// Whether the stream's last batch may have reached the owner.
    sent: bool,
    /// Bytes of answers that were delivered to the stream and not granted back to the owner yet.
    ungranted_bytes: usize,
}

/// A connection to one incarnation of an owner proxy, shared by all streams to it.
#[derive(Debug)]
pub struct OwnerLink {
    outgoing: mpsc::UnboundedSender<EdgeMessage>,
    streams: RefCell<HashMap<StreamId, StreamEntry>>,
    last_stream_id: Cell<u64>,
    closed: Cell<bool>,
    stopping: Cell<bool>,
}

impl OwnerLink {
    /// Creates the state of a connection whose task sends the messages queued on `outgoing`.
    pub(super) fn new(outgoing: mpsc::UnboundedSender<EdgeMessage>) -> Self {
        Self {
            outgoing,
            streams: RefCell::default(),
            last_stream_id: Cell::new(0),
            closed: Cell::new(false),
            stopping: Cell::new(false),
        }
    }

    /// Reports whether the connection has failed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Reports whether the owner accepts no new streams.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Records that the owner accepts no new streams.
    pub(super) fn set_stopping(&self) {
        self.stopping.set(true);
    }

    /// Opens a stream and returns its id and the receiver of its events.
    pub(super) fn open(
        &self,
        request: OpenRequest,
    ) -> (StreamId, mpsc::UnboundedReceiver<StreamEvent>) {
        let id = StreamId(self.last_stream_id.get() + 1);
        self.last_stream_id.set(id.0);
        let (events, receiver) = mpsc::unbounded_channel();
        self.streams
            .borrow_mut()
            .insert(id, StreamEntry { events, opened: false, sent: false, ungranted_bytes: 0 });
        self.send(EdgeMessage::Open { stream: id, request: Box::new(request) });
        (id, receiver)
    }

    /// Sends a further batch of an open stream.
    pub(super) fn continue_stream(&self, stream: StreamId, batch: Batch) {
        if let Some(entry) = self.streams.borrow_mut().get_mut(&stream) {
            entry.sent = false;
        }
        self.send(EdgeMessage::Batch { stream, batch });
    }

    /// Queues a message for the owner. If the connection task has ended, all streams fail.
    pub(super) fn send(&self, message: EdgeMessage) {
        // The streams of a closed link have been notified already, or are notified here.
        if self.outgoing.send(message).is_err() {
            self.fail();
        }
    }

    /// Marks a message as possibly sent, right before it is written. Returns false if the message must
    /// not be written because its stream has been abandoned: the caller has already been told that the
    /// request did not run.
    pub(super) fn begin_write(&self, message: &EdgeMessage) -> bool {
        let (EdgeMessage::Open { stream, .. } | EdgeMessage::Batch { stream, .. }) = message else {
            return true;
        };
        let mut streams = self.streams.borrow_mut();
        let Some(entry) = streams.get_mut(stream) else {
            return false;
        };
        entry.opened = true;
        entry.sent = true;
        true
    }

    /// Reports whether the last batch of a stream may have reached the owner.
    pub(super) fn was_sent(&self, stream: StreamId) -> bool {
        self.streams.borrow().get(&stream).is_none_or(|entry| entry.sent)
    }

    /// Removes a stream; the owner is told to close the stream if it may have been opened.
    pub(super) fn abandon(&self, stream: StreamId) {
        let entry = self.streams.borrow_mut().remove(&stream);
        if entry.is_some_and(|entry| entry.opened) {
            self.send(EdgeMessage::Close { stream });
        }
    }

    /// Grants the owner as many bytes of the stream's window as the caller has accepted.
    pub(super) fn grant(&self, stream: StreamId, bytes: u32) {
        if let Some(entry) = self.streams.borrow_mut().get_mut(&stream) {
            entry.ungranted_bytes = entry.ungranted_bytes.saturating_sub(bytes as usize);
        }
        self.send(EdgeMessage::Window { stream, bytes });
    }

    /// Delivers answer messages to their stream. An owner may exceed its window by one frame; if it
    /// sends more, the connection ends with an error.
    pub(super) fn deliver_data(
        &self,
        stream: StreamId,
        messages: Vec<u8>,
    ) -> Result<(), LinkError> {
        if let Some(entry) = self.streams.borrow_mut().get_mut(&stream) {
            entry.ungranted_bytes += messages.len();
            if entry.ungranted_bytes > MAX_UNGRANTED_BYTES {
                return Err(LinkError::WindowOverrun(stream));
            }
        }
        self.deliver(stream, StreamEvent::Data(messages));
        Ok(())
    }

    /// Delivers an event to its stream. An event for a stream that has ended is dropped.
    pub(super) fn deliver(&self, stream: StreamId, event: StreamEvent) {
        let ends = event.ends_stream();
        let mut streams = self.streams.borrow_mut();
        if let Some(entry) = streams.get_mut(&stream) {
            if matches!(event, StreamEvent::Ready { .. }) {
                entry.sent = false;
            }
            // The receiver lives as long as the entry, so sending doesn't fail.
            let _ = entry.events.send(event);
        }
        if ends {
            streams.remove(&stream);
        }
    }

    /// Marks the connection as closed and notifies all its streams.
    pub(super) fn fail(&self) {
        self.closed.set(true);
        for (_, entry) in self.streams.borrow_mut().drain() {
            let _ = entry.events.send(StreamEvent::LinkLost { sent: entry.sent });
        }
    }
}
