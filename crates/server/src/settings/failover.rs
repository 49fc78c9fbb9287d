//! When and how a control replica replaces a primary.
//!
//! Owns the form of the section; the defaults are the core's.

use super::checks::Check;
use super::error::{SettingsError, ValueProblem};
use super::file::millis;
use corktack_core::failover::FailoverSettings;
use serde::Deserialize;
use std::time::Duration;

/// Times of the failover procedure, as in the file's section `failover`. The defaults are
/// those of [`FailoverSettings`].
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FailoverTimes {
    /// How long several observers must miss a primary before a failover begins, in
    /// milliseconds. Default 500.
    pub suspicion_ms: u32,
    /// Time between two probes of a member while there is doubt about its group, in
    /// milliseconds. Default 200.
    pub probe_interval_ms: u32,
    /// Longest wait for one probe, its connection included, in milliseconds. Default 400.
    pub probe_ms: u32,
    /// Time between two probes of a primary that no owner reports on, in milliseconds.
    /// Default 1000.
    pub unobserved_interval_ms: u32,
    /// Time between two probes of a primary that its owner reports as well, in
    /// milliseconds. Default 10000.
    pub sweep_interval_ms: u32,
    /// How long a new leader leaves a failover of an earlier one to show its primary, in
    /// milliseconds. Default 300.
    pub resume_wait_ms: u32,
    /// How long a group that moved to a higher term by itself has to show its primary, in
    /// milliseconds. Default 1000.
    pub adoption_wait_ms: u32,
    /// How long a new group has to show its primary before one is chosen, in milliseconds.
    /// Default 3000.
    pub bootstrap_wait_ms: u32,
    /// How long a fenced majority waits for further members when it would otherwise promote
    /// one that is draining, in milliseconds. Default 200.
    pub fence_settle_ms: u32,
    /// Wait before a call to a back end that failed is made again the first time, in
    /// milliseconds; doubles with each failure. Default 200.
    pub retry_minimum_ms: u32,
    /// Longest such wait, in milliseconds. Default 3000.
    pub retry_maximum_ms: u32,
    /// Time after which a step without an answer is given up, in milliseconds; above
    /// `failover.probe_ms` and `timeouts.back_end_ms`. Default 3000.
    pub answer_ms: u32,
    /// Time from a failover of a group to its next one, in milliseconds; doubles with each
    /// one that follows within `quiet_ms`. Default 2000.
    pub cooldown_minimum_ms: u32,
    /// Longest such time, in milliseconds. Default 60000.
    pub cooldown_maximum_ms: u32,
    /// Time without a failover of a group after which its cooldown starts from the shortest
    /// again, in milliseconds. Default 600000.
    pub quiet_ms: u32,
}

/// Longest wait for one probe, in milliseconds. Chosen, not measured; a lower value misses members that are only
/// slow, a higher one adds to the time until a failover.
const PROBE_MS: u32 = 400;

impl Default for FailoverTimes {
    fn default() -> Self {
        let times = FailoverSettings::default();
        Self {
            suspicion_ms: whole_millis(times.suspicion),
            probe_interval_ms: whole_millis(times.probe_interval),
            probe_ms: PROBE_MS,
            unobserved_interval_ms: whole_millis(times.unobserved_interval),
            sweep_interval_ms: whole_millis(times.sweep_interval),
            resume_wait_ms: whole_millis(times.resume_wait),
            adoption_wait_ms: whole_millis(times.adoption_wait),
            bootstrap_wait_ms: whole_millis(times.bootstrap_wait),
            fence_settle_ms: whole_millis(times.fence_settle),
            retry_minimum_ms: whole_millis(times.retry_minimum),
            retry_maximum_ms: whole_millis(times.retry_maximum),
            answer_ms: whole_millis(times.answer_timeout),
            cooldown_minimum_ms: whole_millis(times.cooldown_minimum),
            cooldown_maximum_ms: whole_millis(times.cooldown_maximum),
            quiet_ms: whole_millis(times.quiet_time),
        }
    }
}

fn whole_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl FailoverTimes {
    /// The times as the control replica takes them.
    #[must_use]
    pub fn settings(&self) -> FailoverSettings {
        FailoverSettings {
            suspicion: millis(self.suspicion_ms),
            probe_interval: millis(self.probe_interval_ms),
            unobserved_interval: millis(self.unobserved_interval_ms),
            sweep_interval: millis(self.sweep_interval_ms),
            resume_wait: millis(self.resume_wait_ms),
            adoption_wait: millis(self.adoption_wait_ms),
            bootstrap_wait: millis(self.bootstrap_wait_ms),
            fence_settle: millis(self.fence_settle_ms),
            retry_minimum: millis(self.retry_minimum_ms),
            retry_maximum: millis(self.retry_maximum_ms),
            answer_timeout: millis(self.answer_ms),
            cooldown_minimum: millis(self.cooldown_minimum_ms),
            cooldown_maximum: millis(self.cooldown_maximum_ms),
            quiet_time: millis(self.quiet_ms),
        }
    }

    /// Checks every value; `back_end_ms` is the longest wait for one statement.
    pub(super) fn check(&self, check: &Check<'_>, back_end_ms: u32) -> Result<(), SettingsError> {
        check.timeouts(self.values())?;
        check.rising(
            ("failover.retry_minimum_ms", self.retry_minimum_ms),
            ("failover.retry_maximum_ms", self.retry_maximum_ms),
        )?;
        check.rising(
            ("failover.cooldown_minimum_ms", self.cooldown_minimum_ms),
            ("failover.cooldown_maximum_ms", self.cooldown_maximum_ms),
        )?;
        let waits = [("failover.probe_ms", self.probe_ms), ("timeouts.back_end_ms", back_end_ms)];
        for (key, wait) in waits {
            if self.answer_ms <= wait {
                let problem = ValueProblem::NotAbove(key);
                return Err(check.refuse("failover.answer_ms", self.answer_ms, problem));
            }
        }
        Ok(())
    }

    const fn values(&self) -> [(&'static str, u32); 15] {
        [
            ("failover.suspicion_ms", self.suspicion_ms),
            ("failover.probe_interval_ms", self.probe_interval_ms),
            ("failover.probe_ms", self.probe_ms),
            ("failover.unobserved_interval_ms", self.unobserved_interval_ms),
            ("failover.sweep_interval_ms", self.sweep_interval_ms),
            ("failover.resume_wait_ms", self.resume_wait_ms),
            ("failover.adoption_wait_ms", self.adoption_wait_ms),
            ("failover.bootstrap_wait_ms", self.bootstrap_wait_ms),
            ("failover.fence_settle_ms", self.fence_settle_ms),
            ("failover.retry_minimum_ms", self.retry_minimum_ms),
            ("failover.retry_maximum_ms", self.retry_maximum_ms),
            ("failover.answer_ms", self.answer_ms),
            ("failover.cooldown_minimum_ms", self.cooldown_minimum_ms),
            ("failover.cooldown_maximum_ms", self.cooldown_maximum_ms),
            ("failover.quiet_ms", self.quiet_ms),
        ]
    }
}
