//! Which other gateways answer.
//!
//! What one statement finds out about another gateway holds for all members that it serves: where
//! many gateways are lost together, each of them costs a statement its time once.
//!
//! Owns which gateways answered, or didn't, and the round trips by distance. Relies on the gateway to note each
//! connection and answer. Who is asked is decided in `holders`.

use super::round_trip::RoundTrip;
use crate::distance::Distance;
use crate::time::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// First pause before a gateway that did not answer is asked again. A process that was
/// started again is back within a second; one that stays away is out of the view soon. Doubled each time.
/// Chosen, not measured: with less, more statements lose their time to a gateway that is gone.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Part of the longest wait for a connection after which another gateway is tried beside: with it a
/// gateway at work has nearly always accepted. Chosen, not measured: with less, two gateways are asked for most
/// statements; with more, each lost gateway costs a statement more time.
const STAGGER_PART: f64 = 0.5;
/// How long a gateway that answered counts as one that does. A gateway's own statements reach each holder
/// every few seconds; one that stands still since is found out by a statement that is given up. Chosen, not
/// measured.
const ANSWERS_FOR: Duration = Duration::from_secs(10);
/// Gateways of which something is remembered. The aim is 1,100 gateways in all.
const REMEMBERED: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Unanswered {
    failures: u32,
    until: Timestamp,
}

/// What a gateway knows of the others.
#[derive(Debug, Default)]
pub struct PeerTable {
    unanswered: HashMap<SocketAddr, Unanswered>,
    answered: HashMap<SocketAddr, Timestamp>,
    round_trips: HashMap<Distance, RoundTrip>,
}

impl PeerTable {
    /// Whether a gateway did not answer a moment ago.
    #[must_use]
    pub fn is_avoided(&self, address: SocketAddr, now: Timestamp) -> bool {
        self.unanswered.get(&address).is_some_and(|peer| now < peer.until)
    }

    /// A gateway did not answer in time, or cannot be connected to.
    pub fn note_unanswered(&mut self, address: SocketAddr, now: Timestamp) {
        self.answered.remove(&address);
        if self.unanswered.len() >= REMEMBERED {
            self.unanswered.retain(|_, peer| now < peer.until);
        }
        let peer = self.unanswered.entry(address).or_insert(Unanswered { failures: 0, until: now });
        if now < peer.until {
            // Said of the same silence by another statement.
            return;
        }
        let pause = FIRST_PAUSE.saturating_mul(1 << peer.failures.min(8)).min(LONGEST_PAUSE);
        *peer = Unanswered { failures: peer.failures + 1, until: now + pause };
    }

    /// A gateway answered.
    pub fn note_answered(&mut self, address: SocketAddr, now: Timestamp) {
        self.unanswered.remove(&address);
        if self.answered.len() >= REMEMBERED {
            self.answered.retain(|_, at| now.saturating_since(*at) < ANSWERS_FOR);
        }
        self.answered.insert(address, now);
    }

    /// Whether a gateway has answered lately, and nothing since has shown that it does not any more.
    #[must_use]
    pub fn answers(&self, address: SocketAddr, now: Timestamp) -> bool {
        let lately = |at: &Timestamp| now.saturating_since(*at) < ANSWERS_FOR;
        self.answered.get(&address).is_some_and(lately)
    }

    /// A connection to a gateway at this distance was accepted after so long.
    pub fn note_connected(&mut self, distance: Distance, taken: Duration) {
        self.round_trips.entry(distance).or_default().note(taken);
    }

    /// Time after which another gateway is tried beside one at this distance that has not accepted a
    /// connection yet.
    #[must_use]
    pub fn stagger(&self, distance: Distance) -> Duration {
        self.round_trip_limit(distance).mul_f64(STAGGER_PART)
    }

    /// Longest wait for a gateway at this distance, beside its own work.
    #[must_use]
    pub fn round_trip_limit(&self, distance: Distance) -> Duration {
        self.round_trips.get(&distance).copied().unwrap_or_default().limit()
    }
}
