//! Which member a read is offered to.
//!
//! The least expected time decides, with two corrections. What is known of a member that got no
//! statements for some time is taken to be like what is known of the others, step by step: a member
//! that was slow once is tried again. And among members that are as good as equal each read has a
//! preference of its own: gateways that know the same do not all turn to the same member.
//!
//! Inputs, of each member: mean times (of a statement, of the way), the age of that, statements under way and
//! waiting, the part served, a preference. Relies on [`super::MemberEstimate`] for them; owns nothing. Among the
//! ways that were weighed in the load test, two random choices spread reads best and cost each 10 ms more and
//! a quarter of all reads a way between regions: left out.

use std::time::Duration;

/// Time in which what is known of a member comes half as near to what is known of the best one, while
/// no statement renews it. A member that was 6.5 times slower for 8 s got none of its statements back in
/// the 20 s after it without this, and 0.95 of its share with it (core load test).
const AGED_BY_HALF: Duration = Duration::from_secs(1);
/// Members count as equal whose expected times are within this factor of the least: less than a zone
/// makes, so that reads stay in their zone while it has room. It takes the busiest member from 1.32 to
/// 1.16 times the mean while another one fails (core load test). With 1.25 and 2 ms the busiest got 1.17 and
/// 0.59 in place of 0.52 of the reads went to another zone.
const AS_GOOD_AS_LEAST: f64 = 1.05;

/// What is known of a member that could take a read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLoad {
    /// Mean time of a statement there, the way included.
    pub latency: Duration,
    /// Mean time of the way.
    pub way: Duration,
    /// Time since a statement last renewed the mean time.
    pub age: Duration,
    /// Statements of this gateway under way there.
    pub running: usize,
    /// Statements that it runs at once, this gateway's part of them.
    pub capacity_share: f64,
    /// Statements that wait at another gateway, for each that the member runs at once.
    pub waiting: f64,
    /// Part of the statements that it served lately, above 0.
    pub served: f64,
    /// How much it is preferred among members that are as good as equal.
    pub preference: u64,
}

impl MemberLoad {
    /// Mean time of a statement there without the way.
    fn work(&self) -> Duration {
        self.latency.saturating_sub(self.way)
    }

    /// Seconds that one more statement is expected to last, where the best member works for so long. A
    /// statement that is not served is offered again, as often as the part that is served says.
    fn expected(&self, least_work: Duration) -> f64 {
        let known = self.latency.as_secs_f64();
        let like_best = (least_work + self.way).as_secs_f64();
        let believed = 0.5_f64.powf(self.age.div_duration_f64(AGED_BY_HALF));
        let latency = like_best + (known - like_best).max(0.0) * believed;
        let queued = self.running as f64 / self.capacity_share.max(1.0);
        latency * (1.0 + queued + self.waiting) / self.served
    }
}

/// The place of the member that a read is offered to: the most preferred of those with the least expected
/// time.
#[must_use]
pub fn choose_reader(loads: &[MemberLoad]) -> Option<usize> {
    let least_work = loads.iter().map(MemberLoad::work).min()?;
    let expected: Vec<f64> = loads.iter().map(|load| load.expected(least_work)).collect();
    let least = expected.iter().copied().min_by(f64::total_cmp)?;
    let good = |place: &usize| expected[*place] <= least * AS_GOOD_AS_LEAST;
    (0..loads.len()).filter(good).max_by_key(|place| loads[*place].preference)
}
