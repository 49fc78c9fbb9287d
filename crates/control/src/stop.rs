//! The signal that ends the tasks of a replica. The replica's handle owns the trigger; every task holds a
//! signal.

use tokio::sync::watch;

/// Ends the tasks that hold a [`StopSignal`]; so does its drop.
#[derive(Debug)]
pub(crate) struct StopTrigger {
    sender: watch::Sender<bool>,
}

/// Resolves once the replica stops.
#[derive(Clone, Debug)]
pub(crate) struct StopSignal {
    receiver: watch::Receiver<bool>,
}

/// A trigger and its signal.
pub(crate) fn stop_channel() -> (StopTrigger, StopSignal) {
    let (sender, receiver) = watch::channel(false);
    (StopTrigger { sender }, StopSignal { receiver })
}

impl StopTrigger {
    /// Ends the tasks.
    pub(crate) fn stop(&self) {
        self.sender.send_replace(true);
    }
}

impl StopSignal {
    /// Waits for the stop.
    pub(crate) async fn stopped(&self) {
        let mut receiver = self.receiver.clone();
        // An error says that the trigger is gone, which is a stop as well.
        drop(receiver.wait_for(|stopped| *stopped).await);
    }
}
