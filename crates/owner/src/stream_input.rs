//! Input of an open stream: the channel from the link to the stream, the batches that wait, and the window of
//! bytes that may be sent to the edge. The link passes messages in the order of their arrival.

use corktack_protocol::peer::{Batch, INITIAL_WINDOW_BYTES};
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::mpsc;

/// Bytes of batches that may wait on a stream in addition to the running batch: as many as fit one frame. A
/// lower limit closes links of edges that send batches ahead of an answer; a higher one lets a stream fill
/// memory.
const MAX_PENDING_BYTES: usize = 8 * 1024 * 1024;

/// Messages of the edge on an open stream. The end of the channel means that the caller is gone.
#[derive(Debug)]
pub(crate) enum StreamInput {
    Batch(Batch),
    Cancel,
    Window(u32),
}

/// The sending half of a stream's input, held by the link. Dropping it signals that the caller is gone.
#[derive(Debug)]
pub(crate) struct StreamSender {
    inputs: mpsc::UnboundedSender<StreamInput>,
    pending: Arc<AtomicUsize>,
}

/// The receiving half of a stream's input.
#[derive(Debug)]
pub(crate) struct StreamReceiver {
    inputs: mpsc::UnboundedReceiver<StreamInput>,
    /// Bytes of batches that the link has passed and the stream has not taken.
    pending: Arc<AtomicUsize>,
}

/// Creates the input channel of one stream.
pub(crate) fn channel() -> (StreamSender, StreamReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let pending = Arc::<AtomicUsize>::default();
    let sender = StreamSender { inputs: sender, pending: Arc::clone(&pending) };
    (sender, StreamReceiver { inputs: receiver, pending })
}

impl StreamSender {
    /// Reports whether a batch would exceed the limit of waiting bytes.
    pub fn is_over_limit(&self, batch: &Batch) -> bool {
        let waiting = self.pending.load(Ordering::Relaxed);
        waiting > 0 && waiting + batch.messages.len() > MAX_PENDING_BYTES
    }

    /// Passes input to the stream.
    pub fn send(&self, input: StreamInput) {
        if let StreamInput::Batch(batch) = &input {
            self.pending.fetch_add(batch.messages.len(), Ordering::Relaxed);
        }
        // The send fails only when the stream has ended, and the input has no effect then.
        let _ = self.inputs.send(input);
    }
}

/// Events on the input of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InputEvent {
    /// A batch arrived; [`Input::take_batch`] returns it.
    Batch,
    /// The caller asked to cancel.
    Cancel,
    /// The window grew.
    Window,
    /// The caller is gone.
    CallerGone,
}

/// The input side of a stream.
#[derive(Debug)]
pub(crate) struct Input {
    receiver: StreamReceiver,
    /// Batches that arrived and are not taken yet.
    batches: VecDeque<Batch>,
    /// Bytes of answers that may be sent; negative after a message larger than the remaining window.
    pub window: i64,
}

impl Input {
    /// Creates the input of a new stream, with the initial window.
    pub fn new(receiver: StreamReceiver) -> Self {
        let window = i64::from(INITIAL_WINDOW_BYTES);
        Self { receiver, batches: VecDeque::new(), window }
    }

    /// Removes and returns the oldest waiting batch.
    pub fn take_batch(&mut self) -> Option<Batch> {
        let batch = self.batches.pop_front()?;
        self.receiver.pending.fetch_sub(batch.messages.len(), Ordering::Relaxed);
        Some(batch)
    }

    /// Waits for the next event. Safe to cancel.
    pub async fn next_event(&mut self) -> InputEvent {
        match self.receiver.inputs.recv().await {
            Some(StreamInput::Batch(batch)) => {
                self.batches.push_back(batch);
                InputEvent::Batch
            }
            Some(StreamInput::Cancel) => InputEvent::Cancel,
            Some(StreamInput::Window(bytes)) => {
                // The cap keeps an edge from letting more answers accumulate here than the initial window.
                let window = self.window + i64::from(bytes);
                self.window = window.min(i64::from(INITIAL_WINDOW_BYTES));
                InputEvent::Window
            }
            None => InputEvent::CallerGone,
        }
    }
}
