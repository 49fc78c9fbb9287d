//! Messages that wait to be sent on a link.
//!
//! Answers of back ends are bounded by the window of each stream. What the owner
//! itself says, such as refusals, is bounded here: a link is not read while too
//! many messages wait on it, so an edge that asks and does not listen waits too.

use corktack_protocol::peer::OwnerMessage;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{Notify, mpsc};

/// Messages that may wait before a link is no longer read. Chosen, not measured: far above what an edge that
/// listens has waiting; a lower limit holds up edges with many streams, a higher one costs memory for an edge
/// that does not listen.
const BACKLOG_LIMIT: usize = 16 * 1024;

#[derive(Debug, Default)]
struct Waiting {
    count: AtomicUsize,
    sent: Notify,
}

/// The end of a link's queue that messages are put in.
#[derive(Clone, Debug)]
pub(crate) struct LinkSender {
    queue: mpsc::UnboundedSender<OwnerMessage>,
    waiting: Arc<Waiting>,
}

/// The end that the link sends from.
#[derive(Debug)]
pub(crate) struct LinkQueue {
    queue: mpsc::UnboundedReceiver<OwnerMessage>,
    waiting: Arc<Waiting>,
}

/// A queue for one link.
pub(crate) fn queue() -> (LinkSender, LinkQueue) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let waiting = Arc::<Waiting>::default();
    let sender = LinkSender { queue: sender, waiting: Arc::clone(&waiting) };
    (sender, LinkQueue { queue: receiver, waiting })
}

impl LinkSender {
    /// Puts a message in the queue.
    pub fn send(&self, message: OwnerMessage) {
        self.waiting.count.fetch_add(1, Ordering::Relaxed);
        // A link that is gone has no one to answer.
        let _ = self.queue.send(message);
    }

    /// Whether as many messages wait as may.
    pub fn is_full(&self) -> bool {
        self.waiting.count.load(Ordering::Relaxed) >= BACKLOG_LIMIT
    }

    /// Waits until fewer messages wait than may.
    pub async fn has_room(&self) {
        while self.is_full() {
            self.waiting.sent.notified().await;
        }
    }
}

impl LinkQueue {
    /// The next message; none when no sender is left. Safe to cancel.
    pub async fn recv(&mut self) -> Option<OwnerMessage> {
        let message = self.queue.recv().await;
        self.note_taken(message)
    }

    /// The next message, if one waits.
    pub fn try_recv(&mut self) -> Option<OwnerMessage> {
        let message = self.queue.try_recv().ok();
        self.note_taken(message)
    }

    fn note_taken(&self, message: Option<OwnerMessage>) -> Option<OwnerMessage> {
        if message.is_some() {
            self.waiting.count.fetch_sub(1, Ordering::Relaxed);
            self.waiting.sent.notify_one();
        }
        message
    }
}
