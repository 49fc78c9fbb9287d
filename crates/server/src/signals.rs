//! Handles signals of the operating system.
//!
//! Holds the streams of signals. A signal no longer ends the process once its stream is open.

use crate::telemetry::{EventLog, WriteReason};
use std::sync::Arc;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Streams of SIGTERM and SIGINT, which ask for a planned stop.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Opens the streams; SIGTERM and SIGINT no longer end the process afterwards.
    ///
    /// # Errors
    /// Returns the operating system's error if a signal handler cannot be installed.
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

/// Signal streams of a process of a deployment: those of [`StopSignals`] and SIGHUP, which reports that
/// the settings have changed.
///
/// A process opens the streams before it does anything else. A signal that arrives during the start is then
/// handled once the process has started, instead of ending the process.
pub struct ProcessSignals {
    stop: StopSignals,
    reload: Signal,
}

impl ProcessSignals {
    /// Opens the streams; none of the signals ends the process afterwards.
    ///
    /// # Errors
    /// Returns the operating system's error if a signal handler cannot be installed.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Self { stop: StopSignals::listen()?, reload: signal(SignalKind::hangup())? })
    }

    /// Waits for a signal that asks for a planned stop; calls `reload` at each SIGHUP until then.
    pub async fn until_stop(&mut self, mut reload: impl FnMut()) {
        loop {
            tokio::select! {
                () = self.stop.received() => return,
                // `recv` returns `None` only at the end of the process.
                _ = self.reload.recv() => reload(),
            }
        }
    }
}

/// Starts a task that writes the event log's records to a file at each SIGUSR1, unless an earlier SIGUSR1 did
/// so a short while ago.
///
/// # Errors
/// Returns the operating system's error if the signal handler cannot be installed.
pub fn write_events_on_signal(events: Arc<EventLog>) -> std::io::Result<()> {
    let mut requests = signal(SignalKind::user_defined1())?;
    actix_rt::spawn(async move {
        while requests.recv().await.is_some() {
            events.write_limited(WriteReason::Signal);
        }
    });
    Ok(())
}
