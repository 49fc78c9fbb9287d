//! The books of one connection to an owner: its streams and what of them the owner may know.
//!
//! The module owns the table of open streams; it decides which of a stream's batches may have reached the
//! owner, and relies on the task to say when a message is about to be written. It does no I/O.

use super::error::LinkError;
use super::event::StreamEvent;
use corktack_protocol::frame::PAYLOAD_LIMIT;
use corktack_protocol::peer::{Batch, EdgeMessage, INITIAL_WINDOW_BYTES, OpenRequest, StreamId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use tokio::sync::mpsc;

/// Most bytes of answers that a stream holds for its caller: an owner that keeps the rules ends at most
/// one frame past its window.
const UNTAKEN_LIMIT: usize = INITIAL_WINDOW_BYTES as usize + PAYLOAD_LIMIT;

#[derive(Debug)]
struct StreamEntry {
    events: mpsc::UnboundedSender<StreamEvent>,
    /// Whether the owner may know the stream.
    opened: bool,
    /// Whether the last batch may have reached the owner.
    sent: bool,
    /// Bytes of answers that the caller has not taken.
    untaken: usize,
}

/// A connection to one incarnation of an owner proxy.
#[derive(Debug)]
pub struct OwnerLink {
    outgoing: mpsc::UnboundedSender<EdgeMessage>,
    streams: RefCell<HashMap<StreamId, StreamEntry>>,
    last_stream: Cell<u64>,
    closed: Cell<bool>,
    stopping: Cell<bool>,
}

impl OwnerLink {
    /// The books of a connection that sends what it is given here.
    pub(super) fn new(outgoing: mpsc::UnboundedSender<EdgeMessage>) -> Self {
        Self {
            outgoing,
            streams: RefCell::default(),
            last_stream: Cell::new(0),
            closed: Cell::new(false),
            stopping: Cell::new(false),
        }
    }

    /// Whether the connection has failed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Whether the owner takes no new streams.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Notes that the owner takes no new streams.
    pub(super) fn note_stopping(&self) {
        self.stopping.set(true);
    }

    /// Opens a stream; its events come on the receiver.
    pub(super) fn open(
        &self,
        request: OpenRequest,
    ) -> (StreamId, mpsc::UnboundedReceiver<StreamEvent>) {
        let id = StreamId(self.last_stream.get() + 1);
        self.last_stream.set(id.0);
        let (events, received) = mpsc::unbounded_channel();
        self.streams
            .borrow_mut()
            .insert(id, StreamEntry { events, opened: false, sent: false, untaken: 0 });
        self.send(EdgeMessage::Open { stream: id, request: Box::new(request) });
        (id, received)
    }

    /// Sends a further batch of a stream.
    pub(super) fn continue_stream(&self, stream: StreamId, batch: Batch) {
        if let Some(entry) = self.streams.borrow_mut().get_mut(&stream) {
            entry.sent = false;
        }
        self.send(EdgeMessage::Batch { stream, batch });
    }

    /// Queues a message for the owner.
    pub(super) fn send(&self, message: EdgeMessage) {
        // A closed link has let its streams know already, or does so now.
        if self.outgoing.send(message).is_err() {
            self.fail();
        }
    }

    /// Notes that a message is being written. A request whose stream was given up
    /// on must not be: its caller was answered that it did not run.
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

    /// Whether the last batch of a stream may have reached the owner.
    pub(super) fn was_sent(&self, stream: StreamId) -> bool {
        self.streams.borrow().get(&stream).is_none_or(|entry| entry.sent)
    }

    /// Gives a stream up; the owner hears of it if it may know the stream.
    pub(super) fn abandon(&self, stream: StreamId) {
        let entry = self.streams.borrow_mut().remove(&stream);
        if entry.is_some_and(|entry| entry.opened) {
            self.send(EdgeMessage::Close { stream });
        }
    }

    /// Grants the owner bytes that the caller has taken.
    pub(super) fn grant(&self, stream: StreamId, bytes: u32) {
        if let Some(entry) = self.streams.borrow_mut().get_mut(&stream) {
            entry.untaken = entry.untaken.saturating_sub(bytes as usize);
        }
        self.send(EdgeMessage::Window { stream, bytes });
    }

    /// Hands messages to their stream. An owner ends one frame past its window at most;
    /// more than that is not kept.
    pub(super) fn deliver_data(
        &self,
        stream: StreamId,
        messages: Vec<u8>,
    ) -> Result<(), LinkError> {
        if let Some(entry) = self.streams.borrow_mut().get_mut(&stream) {
            entry.untaken += messages.len();
            if entry.untaken > UNTAKEN_LIMIT {
                return Err(LinkError::WindowOverrun(stream));
            }
        }
        self.deliver(stream, StreamEvent::Data(messages));
        Ok(())
    }

    /// Hands an event to its stream; a late one finds none and is dropped.
    pub(super) fn deliver(&self, stream: StreamId, event: StreamEvent) {
        let ends = event.ends_stream();
        let mut streams = self.streams.borrow_mut();
        if let Some(entry) = streams.get_mut(&stream) {
            if matches!(event, StreamEvent::Ready { .. }) {
                entry.sent = false;
            }
            // The receiver is dropped together with the entry.
            let _ = entry.events.send(event);
        }
        if ends {
            streams.remove(&stream);
        }
    }

    /// Lets all streams know that the connection is gone.
    pub(super) fn fail(&self) {
        self.closed.set(true);
        for (_, entry) in self.streams.borrow_mut().drain() {
            let _ = entry.events.send(StreamEvent::LinkLost { sent: entry.sent });
        }
    }
}
