//! What an edge sends on an open stream, on its way from the link to the stream.
//!
//! The module owns the batches that wait and the window of bytes that may be sent to the edge; it relies on
//! the link to pass messages in the order of their arrival.

use corktack_protocol::peer::{Batch, INITIAL_WINDOW_BYTES};
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::mpsc;

/// Bytes of batches that may wait on a stream beside the one that runs: those of one frame. Chosen, not
/// measured: fewer close links of edges that send ahead of an answer, more let a stream fill memory.
const PENDING_BYTES: usize = 8 * 1024 * 1024;

/// What the edge sends on an open stream. The end of the channel means that the
/// caller is gone.
#[derive(Debug)]
pub(crate) enum StreamInput {
    Batch(Batch),
    Cancel,
    Window(u32),
}

/// The link's end of a stream's input. Dropping it tells that the caller is gone.
#[derive(Debug)]
pub(crate) struct StreamSender {
    inputs: mpsc::UnboundedSender<StreamInput>,
    pending: Arc<AtomicUsize>,
}

/// The stream's end of its input.
#[derive(Debug)]
pub(crate) struct StreamReceiver {
    inputs: mpsc::UnboundedReceiver<StreamInput>,
    /// Bytes of batches that the link passed and that were not taken yet.
    pending: Arc<AtomicUsize>,
}

/// The input of one stream.
pub(crate) fn channel() -> (StreamSender, StreamReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let pending = Arc::<AtomicUsize>::default();
    let sender = StreamSender { inputs: sender, pending: Arc::clone(&pending) };
    (sender, StreamReceiver { inputs: receiver, pending })
}

impl StreamSender {
    /// Whether a batch would be more than a stream may have waiting.
    pub fn is_over_limit(&self, batch: &Batch) -> bool {
        let waiting = self.pending.load(Ordering::Relaxed);
        waiting > 0 && waiting + batch.messages.len() > PENDING_BYTES
    }

    /// Passes input on to the stream.
    pub fn send(&self, input: StreamInput) {
        if let StreamInput::Batch(batch) = &input {
            self.pending.fetch_add(batch.messages.len(), Ordering::Relaxed);
        }
        // A stream that has ended takes nothing more.
        let _ = self.inputs.send(input);
    }
}

/// What a stream reacts to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InputEvent {
    /// A batch came, for [`Input::take_batch`].
    Batch,
    /// The caller asked to cancel.
    Cancel,
    /// The window grew.
    Window,
    /// The caller is gone.
    Gone,
}

/// The input side of a stream.
#[derive(Debug)]
pub(crate) struct Input {
    receiver: StreamReceiver,
    /// Batches that came and are not sent yet.
    batches: VecDeque<Batch>,
    /// Bytes of answers that may be sent; negative after a message larger than the rest.
    pub window: i64,
}

impl Input {
    /// The input of a stream that has just been opened, with the first window.
    pub fn new(receiver: StreamReceiver) -> Self {
        let window = i64::from(INITIAL_WINDOW_BYTES);
        Self { receiver, batches: VecDeque::new(), window }
    }

    /// The first batch that came and was not taken yet.
    pub fn take_batch(&mut self) -> Option<Batch> {
        let batch = self.batches.pop_front()?;
        self.receiver.pending.fetch_sub(batch.messages.len(), Ordering::Relaxed);
        Some(batch)
    }

    /// The next event. Safe to cancel.
    pub async fn next(&mut self) -> InputEvent {
        match self.receiver.inputs.recv().await {
            Some(StreamInput::Batch(batch)) => {
                self.batches.push_back(batch);
                InputEvent::Batch
            }
            Some(StreamInput::Cancel) => InputEvent::Cancel,
            Some(StreamInput::Window(bytes)) => {
                // No edge may let answers pile up here beyond the first window.
                let window = self.window + i64::from(bytes);
                self.window = window.min(i64::from(INITIAL_WINDOW_BYTES));
                InputEvent::Window
            }
            None => InputEvent::Gone,
        }
    }
}
