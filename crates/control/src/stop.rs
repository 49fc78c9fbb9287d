//! The signal that ends the tasks of a replica. The replica's handle owns the trigger, and each task
//! holds a signal.

use tokio::sync::watch;

/// Ends the tasks that hold a [`StopSignal`]. Dropping the trigger ends them as well.
#[derive(Debug)]
pub(crate) struct StopTrigger {
    sender: watch::Sender<bool>,
}

/// Tells a task that the replica stops.
#[derive(Clone, Debug)]
pub(crate) struct StopSignal {
    receiver: watch::Receiver<bool>,
}

/// Creates a trigger and its signal.
pub(crate) fn stop_channel() -> (StopTrigger, StopSignal) {
    let (sender, receiver) = watch::channel(false);
    (StopTrigger { sender }, StopSignal { receiver })
}

impl StopTrigger {
    /// Triggers the signal.
    pub(crate) fn stop(&self) {
        self.sender.send_replace(true);
    }
}

impl StopSignal {
    /// Waits for the stop.
    pub(crate) async fn stopped(&self) {
        let mut receiver = self.receiver.clone();
        // An error means that the trigger was dropped, which counts as a stop.
        drop(receiver.wait_for(|stopped| *stopped).await);
    }
}
