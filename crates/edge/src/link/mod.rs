//! Connections to owners, each shared by the sessions of one arbiter.

mod pool;
mod stream;
mod task;

pub use pool::LinkPool;
pub use stream::{OwnerStream, StreamEvent};

use corktack_core::identity::{Incarnation, ProxyName};
use corktack_protocol::frame::PAYLOAD_LIMIT;
use corktack_protocol::peer::{Batch, EdgeMessage, INITIAL_WINDOW_BYTES, OpenRequest, StreamId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use task::LinkError;
use tokio::sync::mpsc;

/// Most bytes of answers that a stream holds for its caller.
const UNTAKEN_LIMIT: usize = INITIAL_WINDOW_BYTES as usize + PAYLOAD_LIMIT;

/// One life of an owner proxy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerLife {
    /// The proxy.
    pub proxy: ProxyName,
    /// Its life.
    pub incarnation: Incarnation,
}

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

/// A connection to one life of an owner proxy.
#[derive(Debug)]
pub struct OwnerLink {
    outgoing: mpsc::UnboundedSender<EdgeMessage>,
    streams: RefCell<HashMap<StreamId, StreamEntry>>,
    last_stream: Cell<u64>,
    closed: Cell<bool>,
    stopping: Cell<bool>,
}

impl OwnerLink {
    fn new(outgoing: mpsc::UnboundedSender<EdgeMessage>) -> Self {
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

    /// Opens a stream.
    #[must_use]
    pub fn open(self: &Rc<Self>, request: OpenRequest) -> OwnerStream {
        let id = StreamId(self.last_stream.get() + 1);
        self.last_stream.set(id.0);
        let (events, received) = mpsc::unbounded_channel();
        self.streams
            .borrow_mut()
            .insert(id, StreamEntry { events, opened: false, sent: false, untaken: 0 });
        self.send(EdgeMessage::Open { stream: id, request: Box::new(request) });
        OwnerStream::new(self.clone(), id, received)
    }

    fn continue_stream(&self, stream: StreamId, batch: Batch) {
        if let Some(entry) = self.streams.borrow_mut().get_mut(&stream) {
            entry.sent = false;
        }
        self.send(EdgeMessage::Batch { stream, batch });
    }

    fn send(&self, message: EdgeMessage) {
        // A closed link has told its streams already, or tells them now.
        if self.outgoing.send(message).is_err() {
            self.fail();
        }
    }

    /// Notes that a message is being written. A request whose stream was given up
    /// on must not be: its caller has been told that it did not run.
    fn begin_write(&self, message: &EdgeMessage) -> bool {
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
    fn was_sent(&self, stream: StreamId) -> bool {
        self.streams.borrow().get(&stream).is_none_or(|entry| entry.sent)
    }

    /// Gives a stream up; the owner is told if it may know it.
    fn abandon(&self, stream: StreamId) {
        let entry = self.streams.borrow_mut().remove(&stream);
        if entry.is_some_and(|entry| entry.opened) {
            self.send(EdgeMessage::Close { stream });
        }
    }

    /// Grants the owner bytes that the caller has taken.
    fn grant(&self, stream: StreamId, bytes: u32) {
        if let Some(entry) = self.streams.borrow_mut().get_mut(&stream) {
            entry.untaken = entry.untaken.saturating_sub(bytes as usize);
        }
        self.send(EdgeMessage::Window { stream, bytes });
    }

    /// Hands messages to their stream. An owner ends one frame past its window at most;
    /// more than that is not kept.
    fn deliver_data(&self, stream: StreamId, messages: Vec<u8>) -> Result<(), LinkError> {
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
    fn deliver(&self, stream: StreamId, event: StreamEvent) {
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

    /// Tells all streams that the connection is gone.
    fn fail(&self) {
        self.closed.set(true);
        for (_, entry) in self.streams.borrow_mut().drain() {
            let _ = entry.events.send(StreamEvent::LinkLost { sent: entry.sent });
        }
    }
}
