//! Which other gateways answer, and how long to wait for them.
//!
//! An observation about another gateway counts for all members that the gateway serves, so that
//! each of many gateways lost together costs only one statement its waiting time.
//!
//! [`PeerTable`] owns which gateways answered or didn't, and the round trips by distance. It relies
//! on the caller to record each connection and answer. `holders` decides which gateways are asked.

use super::round_trip::RoundTrip;
use crate::distance::Distance;
use crate::time::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Pause before a gateway that did not answer is asked again, doubled each time. A restarted
/// process is back within a second, and a gateway that stays away soon leaves the view. With a
/// shorter pause, more statements lose their time to a gateway that is gone.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause before a gateway that did not answer is asked again.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Fraction of the longest wait for a connection after which another gateway is tried concurrently.
/// By then a working gateway has nearly always accepted. With a smaller fraction, two gateways are
/// asked for most statements; with a larger one, each lost gateway costs a statement more time.
const STAGGER_FRACTION: f64 = 0.5;
/// How long a gateway counts as answering after an answer. Statements of this gateway reach each
/// holder every few seconds, and a gateway that has stalled since is detected by a statement that
/// times out.
const ANSWER_VALIDITY: Duration = Duration::from_secs(10);
/// Number of gateways above which expired entries are discarded. Deployments are designed for up to
/// 1,100 gateways.
const PEER_PRUNE_THRESHOLD: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Unanswered {
    failures: u32,
    until: Timestamp,
}

/// What a gateway knows of the other gateways.
#[derive(Debug, Default)]
pub struct PeerTable {
    unanswered: HashMap<SocketAddr, Unanswered>,
    answered: HashMap<SocketAddr, Timestamp>,
    round_trips: HashMap<Distance, RoundTrip>,
}

impl PeerTable {
    /// Reports whether the pause of a gateway that did not answer is still running.
    #[must_use]
    pub fn is_avoided(&self, address: SocketAddr, now: Timestamp) -> bool {
        self.unanswered.get(&address).is_some_and(|peer| now < peer.until)
    }

    /// Records that a gateway did not answer in time or cannot be connected to.
    pub fn record_unanswered(&mut self, address: SocketAddr, now: Timestamp) {
        self.answered.remove(&address);
        if self.unanswered.len() >= PEER_PRUNE_THRESHOLD {
            self.unanswered.retain(|_, peer| now < peer.until);
        }
        let peer = self.unanswered.entry(address).or_insert(Unanswered { failures: 0, until: now });
        if now < peer.until {
            // Another statement already reported this silence.
            return;
        }
        let pause = FIRST_PAUSE.saturating_mul(1 << peer.failures.min(8)).min(LONGEST_PAUSE);
        *peer = Unanswered { failures: peer.failures + 1, until: now + pause };
    }

    /// Records that a gateway answered.
    pub fn record_answered(&mut self, address: SocketAddr, now: Timestamp) {
        self.unanswered.remove(&address);
        if self.answered.len() >= PEER_PRUNE_THRESHOLD {
            self.answered
                .retain(|_, answered_at| now.saturating_since(*answered_at) < ANSWER_VALIDITY);
        }
        self.answered.insert(address, now);
    }

    /// Reports whether a gateway has answered within the last `ANSWER_VALIDITY` and has not failed to
    /// answer since.
    #[must_use]
    pub fn answers(&self, address: SocketAddr, now: Timestamp) -> bool {
        let is_recent =
            |answered_at: &Timestamp| now.saturating_since(*answered_at) < ANSWER_VALIDITY;
        self.answered.get(&address).is_some_and(is_recent)
    }

    /// Records that a gateway at this distance accepted a connection after `taken`.
    pub fn record_connected(&mut self, distance: Distance, taken: Duration) {
        self.round_trips.entry(distance).or_default().record(taken);
    }

    /// Returns the time after which another gateway is tried concurrently with one at this distance
    /// that has not accepted a connection yet.
    #[must_use]
    pub fn stagger(&self, distance: Distance) -> Duration {
        self.round_trip_limit(distance).mul_f64(STAGGER_FRACTION)
    }

    /// Returns the longest wait for a gateway at this distance, not counting the gateway's own
    /// work.
    #[must_use]
    pub fn round_trip_limit(&self, distance: Distance) -> Duration {
        self.round_trips.get(&distance).copied().unwrap_or_default().limit()
    }
}
