//! A stream: one transaction on a connection to an owner, with its flow control towards the owner.

use super::connection::OwnerLink;
use super::event::StreamEvent;
use corktack_protocol::peer::{Batch, EdgeMessage, INITIAL_WINDOW_BYTES, OpenRequest, StreamId};
use std::rc::Rc;
use tokio::sync::mpsc;

/// Bytes accepted by the caller after which the window is granted back at once, and not only when the
/// answer pauses. A lower threshold sends more grants; a higher one may stall the owner.
const GRANT_THRESHOLD_BYTES: u32 = INITIAL_WINDOW_BYTES / 4;

/// One transaction at an owner. Dropping the stream before its end makes the owner roll the transaction
/// back.
#[derive(Debug)]
pub struct OwnerStream {
    link: Rc<OwnerLink>,
    id: StreamId,
    events: mpsc::UnboundedReceiver<StreamEvent>,
    ended: bool,
    ungranted_bytes: u32,
}

impl OwnerStream {
    /// Opens a stream on a connection.
    pub(super) fn open(link: &Rc<OwnerLink>, request: OpenRequest) -> Self {
        let (id, events) = link.open(request);
        Self { link: link.clone(), id, events, ended: false, ungranted_bytes: 0 }
    }

    /// Sends a further batch of the transaction.
    pub fn send(&self, batch: Batch) {
        self.link.continue_stream(self.id, batch);
    }

    /// Reports whether the last batch may have reached the owner.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        self.link.was_sent(self.id)
    }

    /// Asks the owner to cancel the running request.
    pub fn cancel(&self) {
        self.link.send(EdgeMessage::Cancel { stream: self.id });
    }

    /// Waits for the next event; safe to cancel. A closed connection yields [`StreamEvent::LinkLost`].
    pub async fn event(&mut self) -> StreamEvent {
        let event = self.events.recv().await;
        self.record_event(event.unwrap_or(StreamEvent::LinkLost { sent: true }))
    }

    /// Returns the next event if one is queued.
    pub fn try_event(&mut self) -> Option<StreamEvent> {
        let event = self.events.try_recv().ok()?;
        Some(self.record_event(event))
    }

    /// Grants the owner all bytes delivered so far. To be called once the caller has accepted them.
    pub fn grant(&mut self) {
        if self.ungranted_bytes > 0 && !self.ended {
            self.link.grant(self.id, self.ungranted_bytes);
            self.ungranted_bytes = 0;
        }
    }

    /// Reports whether enough bytes were delivered to grant them to the owner at once.
    #[must_use]
    pub fn must_grant(&self) -> bool {
        self.ungranted_bytes >= GRANT_THRESHOLD_BYTES
    }

    fn record_event(&mut self, event: StreamEvent) -> StreamEvent {
        if let StreamEvent::Data(messages) = &event {
            let bytes = u32::try_from(messages.len()).unwrap_or(u32::MAX);
            self.ungranted_bytes = self.ungranted_bytes.saturating_add(bytes);
        }
        self.ended |= event.ends_stream();
        event
    }
}

impl Drop for OwnerStream {
    fn drop(&mut self) {
        self.link.abandon(self.id);
    }
}
