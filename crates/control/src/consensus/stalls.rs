//! Measures how long the consensus thread receives nothing: while it performs actions, above all syncs, and
//! while it wakes up late.
//!
//! The other replicas may have sent messages meanwhile, so their silence during a stall says nothing about
//! them.

use corktack_core::time::Timestamp;
use prometheus_client::metrics::histogram::Histogram;
use std::time::Duration;

/// One wait of the thread for inputs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    /// When the thread began to wait.
    pub(super) since: Timestamp,
    /// When the thread should have woken up at the latest.
    pub(super) deadline: Timestamp,
    /// When the thread had handled the inputs that were queued.
    pub(super) until: Timestamp,
}

/// Detects stalls, logs them and counts them.
#[derive(Debug)]
pub(super) struct StallMonitor {
    /// Shortest stall that counts.
    threshold: Duration,
    seconds: Histogram,
    /// End of the last wait.
    last_wait_ended: Option<Timestamp>,
    /// Time that syncs took since the last wait.
    synced: Duration,
}

impl StallMonitor {
    pub(super) fn new(threshold: Duration, seconds: Histogram) -> Self {
        Self { threshold, seconds, last_wait_ended: None, synced: Duration::ZERO }
    }

    /// Forgets the current stall, for a replica that starts anew.
    pub(super) fn restart(&mut self) {
        self.last_wait_ended = None;
        self.synced = Duration::ZERO;
    }

    /// Adds the time of a sync to the current stall.
    pub(super) fn add_sync(&mut self, elapsed: Duration) {
        self.synced += elapsed;
    }

    /// Ends a wait. Returns the length of the stall between this wait and the one before, if it counts.
    pub(super) fn end_wait(&mut self, wait: Wait) -> Option<Duration> {
        let synced = std::mem::take(&mut self.synced);
        let last_wait_ended = self.last_wait_ended.replace(wait.until);
        let busy = last_wait_ended.map_or(Duration::ZERO, |ended| wait.since - ended);
        let late = wait.until - wait.deadline.max(wait.since);
        let stall = busy + late;
        if stall < self.threshold {
            return None;
        }
        self.seconds.observe(stall.as_secs_f64());
        log::info!(
            busy_ms = busy.as_millis(), sync_ms = synced.as_millis(), late_ms = late.as_millis();
            "consensus thread received nothing for a time"
        );
        Some(stall)
    }
}
