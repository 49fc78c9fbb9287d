//! Signals of the operating system.

use crate::telemetry::{EventLog, WriteReason};
use std::sync::Arc;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that ask for a planned stop.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Starts to listen; from now on the signals no longer end the process.
    ///
    /// # Errors
    /// What the operating system reports.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The signal that says that the settings have changed.
pub struct ReloadSignal(Signal);

impl ReloadSignal {
    /// Starts to listen; from now on SIGHUP no longer ends the process.
    ///
    /// # Errors
    /// What the operating system reports.
    pub fn listen() -> std::io::Result<Self> {
        signal(SignalKind::hangup()).map(Self)
    }

    /// Waits for SIGHUP.
    pub async fn received(&mut self) {
        // None comes only at the end of the process.
        let _ = self.0.recv().await;
    }
}

/// Writes the ring of events out at each SIGUSR1.
///
/// # Errors
/// What the operating system reports.
pub fn write_events_on_signal(events: Arc<EventLog>) -> std::io::Result<()> {
    let mut requests = signal(SignalKind::user_defined1())?;
    actix_rt::spawn(async move {
        while requests.recv().await.is_some() {
            events.write_limited(WriteReason::Signal);
        }
    });
    Ok(())
}
