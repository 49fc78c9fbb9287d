//! Chooses the control replicas to try next and the pause before each attempt.
//!
//! This module owns the replicas' addresses, the position in their order, the number of consecutive
//! failures and the random generator for the order and the jitter. The state machine decides when a replica
//! is abandoned: when it has not confirmed for the silence timeout that it is current.

use super::messages::WatchSettings;
use corktack_core::consensus::CellConfig;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest number of times that the connect timeout is doubled after failures. A lower value misses
/// replicas behind slow links for longer, a higher one waits longer for unreachable replicas.
const MAX_CONNECT_DOUBLINGS: u32 = 2;
/// Largest number of times that the retry pause is doubled, so that the factor stays within `u32`.
const MAX_RETRY_DOUBLINGS: u32 = 16;
/// Replicas that are tried in parallel for one connection: one more than the users' deployments may lose at
/// once.
const MAX_REPLICAS_TRIED: usize = 3;
/// Largest number of replicas that are remembered. A lower value forgets former replicas sooner, a higher one
/// tries more that no longer exist.
const MAX_REMEMBERED_REPLICAS: usize = 16;

/// The control replicas in the order in which the watch tries them.
#[derive(Debug)]
pub(super) struct Replicas {
    addresses: Vec<SocketAddr>,
    next_index: usize,
    consecutive_failures: u32,
    follows_cell: bool,
    retry_minimum: Duration,
    retry_maximum: Duration,
    rng: ChaCha8Rng,
}

impl Replicas {
    /// Returns the replicas of the settings, in an order shuffled by their seed.
    pub(super) fn new(settings: &WatchSettings) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let mut addresses = settings.replicas.clone();
        addresses.shuffle(&mut rng);
        Self {
            addresses,
            next_index: 0,
            consecutive_failures: 0,
            follows_cell: settings.follows_cell,
            retry_minimum: settings.retry_minimum,
            retry_maximum: settings.retry_maximum,
            rng,
        }
    }

    /// Returns the replicas to try for the next connection, in order, and moves on to the following
    /// replica. The list is empty when no replica is known; the connection attempt then fails.
    pub(super) fn next_replicas(&mut self) -> Vec<SocketAddr> {
        let mut replicas = self.addresses.clone();
        let Some(first) = self.next_index.checked_rem(replicas.len()) else { return replicas };
        replicas.rotate_left(first);
        replicas.truncate(MAX_REPLICAS_TRIED);
        self.next_index += 1;
        replicas
    }

    /// Returns the connect timeout: `initial` at first, doubled after the first failure and doubled again
    /// after the second. The short first timeout leaves an unreachable replica soon, the longer ones
    /// suffice for distant replicas.
    pub(super) fn connect_timeout(&self, initial: Duration) -> Duration {
        initial * (1 << self.consecutive_failures.min(MAX_CONNECT_DOUBLINGS))
    }

    /// Resets the back-off: a replica has confirmed that it is current.
    pub(super) fn record_confirmation(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failure and returns the pause before the next attempt: a random time between half and all
    /// of the minimum pause, which doubles with each failure up to the maximum pause.
    pub(super) fn record_failure(&mut self) -> Duration {
        let doublings = self.consecutive_failures.min(MAX_RETRY_DOUBLINGS);
        let doubled = self.retry_minimum.saturating_mul(1 << doublings);
        let max_pause = doubled.min(self.retry_maximum);
        let pause = max_pause.mul_f64(self.rng.random_range(0.5..=1.0));
        self.consecutive_failures += 1;
        pause
    }

    /// Makes later connections go to the voters of `cell`, at the port of the configured replicas.
    pub(super) fn apply_cell(&mut self, cell: &CellConfig) {
        let Some(port) = self.addresses.first().map(SocketAddr::port) else { return };
        let addresses = cell.voters.iter().map(|voter| SocketAddr::new(voter.address.ip(), port));
        let mut replicas: Vec<SocketAddr> = addresses.collect();
        if !self.follows_cell || replicas.is_empty() {
            return;
        }
        // An unchanged cell keeps its order, so that a replica that failed is not tried again before the
        // others.
        let tried_first = &self.addresses[..replicas.len().min(self.addresses.len())];
        if tried_first.len() == replicas.len()
            && replicas.iter().all(|replica| tried_first.contains(replica))
        {
            return;
        }
        replicas.shuffle(&mut self.rng);
        // Former replicas stay at the end of the list, as a fallback when all current voters are unreachable.
        let former_addresses = std::mem::take(&mut self.addresses);
        replicas
            .extend(former_addresses.into_iter().filter(|address| !has_voter_at(cell, *address)));
        replicas.truncate(MAX_REMEMBERED_REPLICAS);
        self.addresses = replicas;
    }
}

fn has_voter_at(cell: &CellConfig, replica: SocketAddr) -> bool {
    cell.voters.iter().any(|voter| voter.address.ip() == replica.ip())
}
