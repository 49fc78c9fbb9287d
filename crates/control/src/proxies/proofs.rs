//! Proofs that this replica is current, shared by all heartbeats of an interval.
//!
//! Owns those who wait. Relies on a read through the consensus thread for the proof itself.

use crate::consensus::ConsensusHandle;
use crate::stop::StopSignal;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};

type Waiter = oneshot::Sender<bool>;

/// Collects those who wait for a proof and gives them one together.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proofs {
    waiters: Arc<Mutex<Vec<Waiter>>>,
}

impl Proofs {
    /// Resolves with whether a proof that began after this call succeeded.
    pub(crate) fn request(&self) -> oneshot::Receiver<bool> {
        let (waiter, proof) = oneshot::channel();
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner).push(waiter);
        proof
    }

    fn take(&self) -> Vec<Waiter> {
        std::mem::take(&mut *self.waiters.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Makes at most one proof an interval until the stop, each within `limit`. The
    /// waiters are taken before the read begins, so each proof is younger than its
    /// heartbeats.
    pub(crate) async fn run(
        self,
        spacing: Duration,
        limit: Duration,
        consensus: ConsensusHandle,
        stop: StopSignal,
    ) {
        let mut ticks = interval(spacing);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.prove(&consensus, limit).await,
                () = stop.stopped() => return,
            }
        }
    }

    async fn prove(&self, consensus: &ConsensusHandle, limit: Duration) {
        let waiters = self.take();
        if waiters.is_empty() {
            return;
        }
        let current = consensus.read_within(limit, |_| ()).await.is_ok();
        for waiter in waiters {
            // A connection that is gone needs no proof.
            let _ = waiter.send(current);
        }
    }
}
