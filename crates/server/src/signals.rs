//! Signals of the operating system.
//!
//! Owns the streams of signals. From the moment that one is listened for it no longer ends the process.

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

/// The signals of a process of a deployment: those of [`StopSignals`], and SIGHUP, which says that
/// the settings have changed.
///
/// A process listens before it does anything else: a signal that comes while it starts is taken once
/// it has started, and ends it no more.
pub struct ProcessSignals {
    stop: StopSignals,
    reload: Signal,
}

impl ProcessSignals {
    /// Starts to listen; from now on none of the signals ends the process.
    ///
    /// # Errors
    /// What the operating system reports.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Self { stop: StopSignals::listen()?, reload: signal(SignalKind::hangup())? })
    }

    /// Waits for the signal that asks for a planned stop; calls `reload` whenever the settings have
    /// changed meanwhile.
    pub async fn until_stop(&mut self, mut reload: impl FnMut()) {
        loop {
            tokio::select! {
                () = self.stop.received() => return,
                // None comes only at the end of the process.
                _ = self.reload.recv() => reload(),
            }
        }
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
