//! Estimates of one member from the statements sent to it: latency, network time, queue and share
//! served.
//!
//! [`MemberEstimate`] owns the moving averages of one member at one gateway. It relies on the
//! gateway to record each answer, and on holders to report how busy the member is.
//! [`super::choose_reader`] reads the estimates.

use super::member_choice::MemberLoad;
use crate::distance::Distance;
use crate::time::Timestamp;
use std::time::Duration;

/// Weight of the newest statement in the mean latency. With a higher weight, single long statements
/// turn reads away; with a lower one, a member that became slow is detected later.
const LATENCY_WEIGHT: f64 = 0.1;
/// Weight of the newest statement in the mean network time through other gateways, which many
/// members share and which varies little.
const NETWORK_TIME_WEIGHT: f64 = 0.3;
/// Weight of the newest statement in the share of unserved statements. Counting these lowers the
/// failed offers of the load test from 475 to 383, where one member fails 41 % of its statements.
const UNSERVED_WEIGHT: f64 = 0.1;
/// How long another gateway's report of statements waiting there stays valid. With a longer time, a
/// queue that has emptied keeps reads away; with a shorter one, queues are not seen between two
/// answers.
const QUEUE_REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Half-life of the share of unserved statements, so that a member that served nothing for some
/// seconds is tried again. With a shorter half-life, a failing member is offered more reads; with a
/// longer one, a recovered member gets its share later.
const UNSERVED_HALF_LIFE: Duration = Duration::from_secs(1);
/// Lower bound of the share served, which keeps the cost of a failing member finite: the member
/// counts as at most 20 times as slow.
const MIN_SERVED_SHARE: f64 = 0.05;

/// Load of a member as reported by a gateway that holds connections to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Time that the holder spent on the statement that it just ran.
    pub spent: Duration,
    /// Mean latency of a statement at the holder.
    pub latency: Duration,
    /// Statements waiting at the holder for each slot of the member.
    pub waiting: f64,
}

/// Estimates of a member from the statements that were sent to it.
#[derive(Clone, Debug)]
pub struct MemberEstimate {
    /// Mean latency of a statement, network time included.
    latency: Duration,
    /// Mean network time, which is part of the latency.
    network_time: Duration,
    /// When the mean latency was last updated.
    updated_at: Option<Timestamp>,
    /// Statements waiting at a holder for each slot of the member, and when the holder reported
    /// them.
    waiting: Option<(f64, Timestamp)>,
    /// Share of the statements that were not served, and when it was last updated.
    unserved: Option<(f64, Timestamp)>,
}

impl MemberEstimate {
    /// Creates the estimate of a member at this distance before any statement was sent to it.
    #[must_use]
    pub const fn new(distance: Distance) -> Self {
        let latency = distance.expected_latency();
        let network_time = latency.saturating_sub(Distance::SameZone.expected_latency());
        Self { latency, network_time, updated_at: None, waiting: None, unserved: None }
    }

    /// Returns the mean latency of a statement, network time included.
    #[must_use]
    pub const fn latency(&self) -> Duration {
        self.latency
    }

    /// Records that the member ran a statement of this gateway in `taken`.
    pub fn record_served(&mut self, taken: Duration, now: Timestamp) {
        self.latency = weighted_mean(self.latency, taken, LATENCY_WEIGHT);
        self.updated_at = Some(now);
        self.record_outcome(0.0, now);
    }

    /// Records that another gateway ran a statement at the member in `taken`, network time
    /// included.
    pub fn record_reported(&mut self, reported: &ReportedLoad, taken: Duration, now: Timestamp) {
        self.network_time = weighted_mean(
            self.network_time,
            taken.saturating_sub(reported.spent),
            NETWORK_TIME_WEIGHT,
        );
        self.latency = reported.latency + self.network_time;
        self.updated_at = Some(now);
        self.waiting = Some((reported.waiting, now));
    }

    /// Records that the member served a statement of this gateway through another gateway.
    pub fn record_served_remotely(&mut self, now: Timestamp) {
        self.record_outcome(0.0, now);
    }

    /// Records that the member refused a statement, failed it or gave no answer.
    pub fn record_unserved(&mut self, now: Timestamp) {
        self.record_outcome(1.0, now);
    }

    fn record_outcome(&mut self, unserved: f64, now: Timestamp) {
        let before = self.unserved_share(now);
        self.unserved = Some((before * (1.0 - UNSERVED_WEIGHT) + unserved * UNSERVED_WEIGHT, now));
    }

    fn unserved_share(&self, now: Timestamp) -> f64 {
        let remaining = |since: Timestamp| {
            let half_lives = now.saturating_since(since).div_duration_f64(UNSERVED_HALF_LIFE);
            0.5_f64.powf(half_lives)
        };
        self.unserved.map_or(0.0, |(share, since)| share * remaining(since))
    }

    /// Returns the load that one more statement meets at the member. `running` statements of this
    /// gateway are in flight there, and `capacity_share` is this gateway's share of the member's
    /// slots. The preference is 0.
    #[must_use]
    pub fn load(&self, running: usize, capacity_share: f64, now: Timestamp) -> MemberLoad {
        let waiting = self
            .waiting
            .filter(|(_, reported_at)| now.saturating_since(*reported_at) < QUEUE_REPORT_LIFETIME);
        MemberLoad {
            latency: self.latency,
            network_time: self.network_time,
            age: self.updated_at.map_or(Duration::ZERO, |updated| now.saturating_since(updated)),
            running,
            capacity_share,
            waiting: waiting.map_or(0.0, |(waiting, _)| waiting),
            served: (1.0 - self.unserved_share(now)).max(MIN_SERVED_SHARE),
            preference: 0,
        }
    }
}

fn weighted_mean(old: Duration, new: Duration, weight: f64) -> Duration {
    old.mul_f64(1.0 - weight) + new.mul_f64(weight)
}
