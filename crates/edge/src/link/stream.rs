//! One transaction on a connection to an owner.
//!
//! The module owns the grants of bytes that the caller has taken; it relies on the connection for everything else.

use super::connection::OwnerLink;
use super::event::StreamEvent;
use corktack_protocol::peer::{Batch, EdgeMessage, INITIAL_WINDOW_BYTES, OpenRequest, StreamId};
use std::rc::Rc;
use tokio::sync::mpsc;

/// Bytes taken by the caller after which they are granted at once, and not only when the answer pauses.
/// Chosen, not measured: a smaller part sends more grants, a larger one lets the owner wait for them.
const GRANT_BYTES: u32 = INITIAL_WINDOW_BYTES / 4;

/// One transaction. Dropping it before its end tells the owner to roll back.
#[derive(Debug)]
pub struct OwnerStream {
    link: Rc<OwnerLink>,
    id: StreamId,
    events: mpsc::UnboundedReceiver<StreamEvent>,
    ended: bool,
    ungranted: u32,
}

impl OwnerStream {
    /// Opens a stream on a connection.
    pub(super) fn open(link: &Rc<OwnerLink>, request: OpenRequest) -> Self {
        let (id, events) = link.open(request);
        Self { link: link.clone(), id, events, ended: false, ungranted: 0 }
    }

    /// Sends a further batch of the transaction.
    pub fn send(&self, batch: Batch) {
        self.link.continue_stream(self.id, batch);
    }

    /// Whether the last batch may have reached the owner.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        self.link.was_sent(self.id)
    }

    /// Asks to cancel what runs.
    pub fn cancel(&self) {
        self.link.send(EdgeMessage::Cancel { stream: self.id });
    }

    /// The next event; safe to cancel.
    pub async fn event(&mut self) -> StreamEvent {
        let event = self.events.recv().await;
        self.note(event.unwrap_or(StreamEvent::LinkLost { sent: true }))
    }

    /// The next event if it is already here.
    pub fn ready_event(&mut self) -> Option<StreamEvent> {
        let event = self.events.try_recv().ok()?;
        Some(self.note(event))
    }

    /// Notes that the caller has taken everything so far.
    pub fn grant(&mut self) {
        if self.ungranted > 0 && !self.ended {
            self.link.grant(self.id, self.ungranted);
            self.ungranted = 0;
        }
    }

    /// Whether the owner should learn of the caller's progress at once.
    #[must_use]
    pub fn must_grant(&self) -> bool {
        self.ungranted >= GRANT_BYTES
    }

    fn note(&mut self, event: StreamEvent) -> StreamEvent {
        if let StreamEvent::Data(messages) = &event {
            let bytes = u32::try_from(messages.len()).unwrap_or(u32::MAX);
            self.ungranted = self.ungranted.saturating_add(bytes);
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
