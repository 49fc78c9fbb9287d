//! Confirms that this replica is current, once for all requests of an interval.
//!
//! A confirmation is a read through the consensus thread, which succeeds only on a current state.

use crate::consensus::ConsensusHandle;
use crate::stop::StopSignal;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};

type Waiter = oneshot::Sender<bool>;

/// Collects requests for a confirmation and answers them together.
#[derive(Clone, Debug, Default)]
pub(crate) struct CurrencyChecks {
    waiters: Arc<Mutex<Vec<Waiter>>>,
}

impl CurrencyChecks {
    /// Requests a confirmation; the receiver gets whether a read that began after this call succeeded.
    pub(crate) fn request(&self) -> oneshot::Receiver<bool> {
        let (waiter, confirmed) = oneshot::channel();
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner).push(waiter);
        confirmed
    }

    fn take_waiters(&self) -> Vec<Waiter> {
        std::mem::take(&mut *self.waiters.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Makes at most one confirmation in each `interval_length` until the replica stops, each with timeout
    /// `read_timeout`. The waiters are removed before the read begins, so that each confirmation is newer
    /// than the heartbeats that it answers.
    pub(crate) async fn run(
        self,
        interval_length: Duration,
        read_timeout: Duration,
        consensus: ConsensusHandle,
        stop: StopSignal,
    ) {
        let mut ticks = interval(interval_length);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.confirm(&consensus, read_timeout).await,
                () = stop.stopped() => return,
            }
        }
    }

    async fn confirm(&self, consensus: &ConsensusHandle, read_timeout: Duration) {
        let waiters = self.take_waiters();
        if waiters.is_empty() {
            return;
        }
        let current = consensus.read_within(read_timeout, |_| ()).await.is_ok();
        for waiter in waiters {
            // A closed connection no longer waits for the confirmation.
            let _ = waiter.send(current);
        }
    }
}
