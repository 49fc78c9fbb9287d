//! Queue of messages to send on a link, with backpressure.
//!
//! The window of each stream bounds the answers of back ends. This queue bounds the owner's own messages,
//! such as refusals: a link is not read while too many messages wait on it, so an edge that sends requests
//! without receiving answers is slowed down.

use corktack_protocol::peer::OwnerMessage;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{Notify, mpsc};

/// Number of waiting messages at which a link is no longer read. The limit is far above the backlog of an
/// edge that receives its answers. A lower limit slows down edges with many streams; a higher one costs
/// memory for an edge that does not receive.
const MAX_BACKLOG: usize = 16 * 1024;

#[derive(Debug, Default)]
struct Backlog {
    count: AtomicUsize,
    message_removed: Notify,
}

/// The sending half of a link's queue.
#[derive(Clone, Debug)]
pub(crate) struct LinkSender {
    queue: mpsc::UnboundedSender<OwnerMessage>,
    backlog: Arc<Backlog>,
}

/// The receiving half of a link's queue, from which the link writes to its socket.
#[derive(Debug)]
pub(crate) struct LinkQueue {
    queue: mpsc::UnboundedReceiver<OwnerMessage>,
    backlog: Arc<Backlog>,
}

/// Creates the queue of one link.
pub(crate) fn queue() -> (LinkSender, LinkQueue) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let backlog = Arc::<Backlog>::default();
    let sender = LinkSender { queue: sender, backlog: Arc::clone(&backlog) };
    (sender, LinkQueue { queue: receiver, backlog })
}

impl LinkSender {
    /// Queues a message.
    pub fn send(&self, message: OwnerMessage) {
        self.backlog.count.fetch_add(1, Ordering::Relaxed);
        // The send fails only when the link is closed, and its edge is gone then.
        let _ = self.queue.send(message);
    }

    /// Reports whether the queue has reached its limit.
    pub fn is_full(&self) -> bool {
        self.backlog.count.load(Ordering::Relaxed) >= MAX_BACKLOG
    }

    /// Waits until the queue is below its limit.
    pub async fn wait_for_space(&self) {
        while self.is_full() {
            self.backlog.message_removed.notified().await;
        }
    }
}

impl LinkQueue {
    /// Waits for the next message; returns `None` when no sender is left. Safe to cancel.
    pub async fn recv(&mut self) -> Option<OwnerMessage> {
        let message = self.queue.recv().await;
        self.count_removed(message)
    }

    /// Returns the next message if one is queued.
    pub fn try_recv(&mut self) -> Option<OwnerMessage> {
        let message = self.queue.try_recv().ok();
        self.count_removed(message)
    }

    fn count_removed(&self, message: Option<OwnerMessage>) -> Option<OwnerMessage> {
        if message.is_some() {
            self.backlog.count.fetch_sub(1, Ordering::Relaxed);
            self.backlog.message_removed.notify_one();
        }
        message
    }
}
