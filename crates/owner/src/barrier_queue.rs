//! Queue of the requests that wait for a barrier.

use crate::lock::lock;
use corktack_core::position::Position;
use std::sync::Mutex;
use tokio::sync::{Notify, oneshot};

/// Requests that wait for the next barrier.
#[derive(Debug, Default)]
pub(crate) struct BarrierQueue {
    waiting: Mutex<Vec<oneshot::Sender<Option<Position>>>>,
    request_added: Notify,
}

impl BarrierQueue {
    /// Waits for a position that is confirmed after this call; returns `None` when the primary gave none.
    pub async fn confirmed_position(&self) -> Option<Position> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).push(sender);
        self.request_added.notify_one();
        receiver.await.ok().flatten()
    }

    /// Waits until a request was added.
    pub async fn wait_for_request(&self) {
        self.request_added.notified().await;
    }

    /// Removes and returns all waiting requests.
    pub fn take_waiting(&self) -> Vec<oneshot::Sender<Option<Position>>> {
        std::mem::take(&mut *lock(&self.waiting))
    }
}
