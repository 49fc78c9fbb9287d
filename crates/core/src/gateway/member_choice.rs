//! Choice of the member that a read is sent to, by expected time.
//!
//! The member with the least expected time gets the read, with two corrections. The estimate of a
//! member that got no statements for some time decays towards that of the best member, so that a
//! member that was slow once is tried again. Among members with nearly equal expected times, each
//! read has a preference of its own, so that gateways with the same estimates don't all choose the
//! same member.
//!
//! The inputs for each member are its mean latency and network time, the age of these, the
//! statements running and waiting, the share served and a preference; [`super::MemberEstimate`]
//! supplies them. Choosing the better of two random members instead spreads reads best in the load
//! test, but costs each read 10 ms more and sends a quarter of all reads between regions.

use std::time::Duration;

/// Half-life of the difference between a member's latency and that of the best member while no
/// statement updates it. Without the decay, a member that was 6.5 times slower for 8 s gets no
/// statements back within 20 s; with it, the member gets 0.95 of its share (load test
/// `balancing_load`).
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(1);
/// Members whose expected time is within this factor of the least count as equal. The factor is
/// smaller than the difference between two zones, so that reads stay in their zone while it has
/// room. It lowers the load of the busiest member from 1.32 to 1.16 times the mean while another
/// member fails (load test `balancing_load`). With 1.25 plus 2 ms the busiest member gets 1.17
/// times the mean, but 0.59 instead of 0.52 of the reads go to another zone.
const EQUAL_COST_FACTOR: f64 = 1.05;

/// Load of a member that could take a read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLoad {
    /// Mean latency of a statement, network time included.
    pub latency: Duration,
    /// Mean network time of a statement.
    pub network_time: Duration,
    /// Time since a statement last updated the mean latency.
    pub age: Duration,
    /// Statements of this gateway in flight at the member.
    pub running: usize,
    /// This gateway's share of the statements that the member runs concurrently.
    pub capacity_share: f64,
    /// Statements waiting at another gateway for each slot of the member.
    pub waiting: f64,
    /// Share of the recent statements that the member served, above 0.
    pub served: f64,
    /// Weight of the member among members with nearly equal expected times; the highest is
    /// preferred.
    pub preference: u64,
}

impl MemberLoad {
    /// Returns the mean latency of a statement without the network time.
    fn service_time(&self) -> Duration {
        self.latency.saturating_sub(self.network_time)
    }

    /// Returns the time in seconds that one more statement is expected to take, where
    /// `least_service_time` is the least [`MemberLoad::service_time`] of all members. A statement
    /// that is not served is sent again, so the time is divided by the share served.
    fn expected_seconds(&self, least_service_time: Duration) -> f64 {
        let observed = self.latency.as_secs_f64();
        let best_case = (least_service_time + self.network_time).as_secs_f64();
        let confidence = 0.5_f64.powf(self.age.div_duration_f64(LATENCY_HALF_LIFE));
        let latency = best_case + (observed - best_case).max(0.0) * confidence;
        let queued = self.running as f64 / self.capacity_share.max(1.0);
        latency * (1.0 + queued + self.waiting) / self.served
    }
}

/// Returns the index of the member that a read is sent to: the most preferred of those with nearly
/// the least expected time.
#[must_use]
pub fn choose_reader(loads: &[MemberLoad]) -> Option<usize> {
    let least_service_time = loads.iter().map(MemberLoad::service_time).min()?;
    let expected: Vec<f64> =
        loads.iter().map(|load| load.expected_seconds(least_service_time)).collect();
    let least = expected.iter().copied().min_by(f64::total_cmp)?;
    let is_nearly_least = |place: &usize| expected[*place] <= least * EQUAL_COST_FACTOR;
    (0..loads.len()).filter(is_nearly_least).max_by_key(|place| loads[*place].preference)
}
