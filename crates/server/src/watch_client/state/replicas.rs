//! Which control replicas are tried next, and how long after a failure.
//!
//! Owns the replicas that are known, whose turn it is, the failures in a row and the random draws: the order
//! of the replicas and the jitter of the pauses. Relies on the state machine for when a replica is given up:
//! once nothing has proved for the silence timeout that it is current.

use super::messages::WatchSettings;
use corktack_core::consensus::CellConfig;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// How often the time for a connection is doubled after failures. Chosen, not measured; a lower value misses
/// replicas behind slow links for longer, a higher one waits for longer for those that are dark.
const CONNECT_LIMIT_DOUBLINGS: u32 = 2;
/// How often the pause between tries is doubled at most, so that the doubled pause stays in range.
const RETRY_DOUBLINGS: u32 = 16;
/// Replicas that are tried at the same time for one connection. As many as the users' deployments may
/// lose at once, and one more.
const REPLICAS_TRIED: usize = 3;
/// Replicas that are remembered. Chosen, not measured; a lower value forgets former replicas sooner, a higher
/// one tries more that are gone.
const REPLICA_LIMIT: usize = 16;

/// The control replicas as a watch tries them.
#[derive(Debug)]
pub(super) struct Replicas {
    known: Vec<SocketAddr>,
    next: usize,
    failures: u32,
    follows_cell: bool,
    retry_minimum: Duration,
    retry_maximum: Duration,
    rng: ChaCha8Rng,
}

impl Replicas {
    /// The replicas of the settings, in an order shuffled by the seed.
    pub(super) fn new(settings: &WatchSettings) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let mut known = settings.replicas.clone();
        known.shuffle(&mut rng);
        Self {
            known,
            next: 0,
            failures: 0,
            follows_cell: settings.follows_cell,
            retry_minimum: settings.retry_minimum,
            retry_maximum: settings.retry_maximum,
            rng,
        }
    }

    /// The replicas to try for one connection, the first of them first; none where none is known, which the
    /// shell answers with a failed attempt.
    pub(super) fn take_next(&mut self) -> Vec<SocketAddr> {
        let mut replicas = self.known.clone();
        let Some(first) = self.next.checked_rem(replicas.len()) else { return replicas };
        replicas.rotate_left(first);
        replicas.truncate(REPLICAS_TRIED);
        self.next += 1;
        replicas
    }

    /// Longest wait for a connection: `first` at the first attempt, and twice and four times that
    /// after failures. Where a replica is dark another is there sooner, and far ones get their time.
    pub(super) fn connect_limit(&self, first: Duration) -> Duration {
        first * (1 << self.failures.min(CONNECT_LIMIT_DOUBLINGS))
    }

    /// A replica has proved that it is current.
    pub(super) fn note_proof(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure; the pause before the next try is random, between half and all of the doubled
    /// minimum.
    pub(super) fn pause_after_failure(&mut self) -> Duration {
        let doublings = self.failures.min(RETRY_DOUBLINGS);
        let doubled = self.retry_minimum.saturating_mul(1 << doublings);
        let longest = doubled.min(self.retry_maximum);
        let pause = longest.mul_f64(self.rng.random_range(0.5..=1.0));
        self.failures += 1;
        pause
    }

    /// Later connections go to the replicas that there are now, at the port of those configured.
    pub(super) fn follow_cell(&mut self, cell: &CellConfig) {
        let Some(port) = self.known.first().map(SocketAddr::port) else { return };
        let addresses = cell.voters.iter().map(|voter| SocketAddr::new(voter.address.ip(), port));
        let mut replicas: Vec<SocketAddr> = addresses.collect();
        if !self.follows_cell || replicas.is_empty() {
            return;
        }
        // While the cell stays the same so does the order: what was tried in vain is not tried
        // again before the others.
        let known = &self.known[..replicas.len().min(self.known.len())];
        if known.len() == replicas.len() && replicas.iter().all(|it| known.contains(it)) {
            return;
        }
        replicas.shuffle(&mut self.rng);
        // Those known before stay behind them, for the day when all the others are gone.
        let former = std::mem::take(&mut self.known);
        replicas.extend(former.into_iter().filter(|it| !cell_has(cell, *it)));
        replicas.truncate(REPLICA_LIMIT);
        self.known = replicas;
    }
}

fn cell_has(cell: &CellConfig, replica: SocketAddr) -> bool {
    cell.voters.iter().any(|voter| voter.address.ip() == replica.ip())
}
