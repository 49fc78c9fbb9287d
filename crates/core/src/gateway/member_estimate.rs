//! What statements have shown of one member: how long it takes, whether it serves.
//!
//! Owns the moving means of one member at one gateway. Relies on the gateway to note each answer, and on
//! holders for how busy the member is. Read by [`super::choose_reader`].

use super::member_choice::MemberLoad;
use crate::distance::Distance;
use crate::time::Timestamp;
use std::time::Duration;

/// Weight of the newest statement in the mean time of a statement. Chosen, not measured: with a higher weight
/// single long statements turn reads away, with a lower one a member that became slow is found out later.
const LATENCY_WEIGHT: f64 = 0.1;
/// Weight of the newest statement in the mean time of the way through other gateways, which many
/// members share and which varies little. Chosen, not measured.
const WAY_WEIGHT: f64 = 0.3;
/// Weight of the newest statement in the part that is served. Chosen, not measured by itself: counting what is
/// not served took the failed offers of the load test from 475 to 383, where one member failed 41 %.
const SERVED_WEIGHT: f64 = 0.1;
/// How long what another gateway reported of the statements that wait there is gone by. Chosen, not measured:
/// with more, a queue that is over keeps reads away; with less, queues between two answers aren't seen.
const WAITING_LIFE: Duration = Duration::from_secs(1);
/// Time in which half of what unserved statements said of a member is forgotten, so that it is tried
/// again after it has served nobody for some seconds. Chosen, not measured: with less, a member that fails is
/// offered more reads; with more, one that is well again gets its share later.
const FORGOTTEN_BY_HALF: Duration = Duration::from_secs(1);
/// A member is taken to serve at least this part, so that the cost of one that fails stays finite: it
/// counts as at most 20 times as slow. Chosen, not measured.
const LEAST_SERVED: f64 = 0.05;

/// How busy a member is, as a gateway that holds connections to it has reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Time that the holder spent on the statement just run.
    pub spent: Duration,
    /// Mean time of a statement there.
    pub latency: Duration,
    /// Statements that wait at the holder, for each that the member runs at once.
    pub waiting: f64,
}

/// What is known of a member from the statements that were sent there.
#[derive(Clone, Debug)]
pub struct MemberEstimate {
    /// Mean time of a statement there, the way included.
    latency: Duration,
    /// Mean time of the way, which is part of it.
    way: Duration,
    /// When the mean time was renewed last.
    renewed: Option<Timestamp>,
    /// Statements that wait at a gateway that holds connections, and when that was reported.
    waiting: Option<(f64, Timestamp)>,
    /// Part of the statements that were not served, as it was then.
    unserved: Option<(f64, Timestamp)>,
}

impl MemberEstimate {
    /// Of a member at this distance that nothing is known of.
    #[must_use]
    pub const fn new(distance: Distance) -> Self {
        let latency = distance.expected_latency();
        let way = latency.saturating_sub(Distance::SameZone.expected_latency());
        Self { latency, way, renewed: None, waiting: None, unserved: None }
    }

    /// Mean time of a statement there, the way included.
    #[must_use]
    pub const fn latency(&self) -> Duration {
        self.latency
    }

    /// It ran a statement of this gateway in `taken`.
    pub fn note_served(&mut self, taken: Duration, now: Timestamp) {
        self.latency = mixed(self.latency, taken, LATENCY_WEIGHT);
        self.renewed = Some(now);
        self.note_outcome(0.0, now);
    }

    /// Another gateway ran a statement there in `taken`, the way to it included.
    pub fn note_reported(&mut self, reported: &ReportedLoad, taken: Duration, now: Timestamp) {
        self.way = mixed(self.way, taken.saturating_sub(reported.spent), WAY_WEIGHT);
        self.latency = reported.latency + self.way;
        self.renewed = Some(now);
        self.waiting = Some((reported.waiting, now));
    }

    /// A statement of this gateway was served there through another one.
    pub fn note_served_remotely(&mut self, now: Timestamp) {
        self.note_outcome(0.0, now);
    }

    /// It refused a statement, failed it or gave no answer.
    pub fn note_unserved(&mut self, now: Timestamp) {
        self.note_outcome(1.0, now);
    }

    fn note_outcome(&mut self, unserved: f64, now: Timestamp) {
        let before = self.unserved_at(now);
        self.unserved = Some((before * (1.0 - SERVED_WEIGHT) + unserved * SERVED_WEIGHT, now));
    }

    fn unserved_at(&self, now: Timestamp) -> f64 {
        let forgotten = |since: Timestamp| {
            let halves = now.saturating_since(since).div_duration_f64(FORGOTTEN_BY_HALF);
            0.5_f64.powf(halves)
        };
        self.unserved.map_or(0.0, |(part, since)| part * forgotten(since))
    }

    /// What one more statement meets there: `running` of this gateway's are under way, and
    /// `capacity_share` is its part of what the member runs at once. Nothing is preferred.
    #[must_use]
    pub fn load(&self, running: usize, capacity_share: f64, now: Timestamp) -> MemberLoad {
        let waiting = self.waiting.filter(|(_, at)| now.saturating_since(*at) < WAITING_LIFE);
        MemberLoad {
            latency: self.latency,
            way: self.way,
            age: self.renewed.map_or(Duration::ZERO, |at| now.saturating_since(at)),
            running,
            capacity_share,
            waiting: waiting.map_or(0.0, |(waiting, _)| waiting),
            served: (1.0 - self.unserved_at(now)).max(LEAST_SERVED),
            preference: 0,
        }
    }
}

fn mixed(old: Duration, new: Duration, weight: f64) -> Duration {
    old.mul_f64(1.0 - weight) + new.mul_f64(weight)
}
