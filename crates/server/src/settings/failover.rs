//! Settings section `failover`: the times with which a control replica detects and replaces a lost primary.
//!
//! All defaults but that of `probe_ms` come from the core's [`FailoverSettings`].

use super::checks::Check;
use super::error::{SettingsError, ValueProblem};
use super::file::millis;
use corktack_core::failover::FailoverSettings;
use serde::Deserialize;
use std::time::Duration;

/// Times of the failover procedure, as in the section `failover` of a control replica's settings file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FailoverTimes {
    /// How long several observers must find a primary unreachable before a failover begins, in
    /// milliseconds. Default 500.
    pub suspicion_ms: u32,
    /// Time between two probes of a member while the state of its group is in doubt, in
    /// milliseconds. Default 200.
    pub probe_interval_ms: u32,
    /// Timeout of one probe, including its connection set-up, in milliseconds. Default 400.
    pub probe_ms: u32,
    /// Time between two probes of a primary that no owner reports on, in milliseconds.
    /// Default 1000.
    pub unobserved_interval_ms: u32,
    /// Time between two probes of a primary that its owner reports on, in milliseconds.
    /// Default 10000.
    pub sweep_interval_ms: u32,
    /// How long a new leader waits for the primary of a failover that an earlier leader began, in
    /// milliseconds. Default 300.
    pub resume_wait_ms: u32,
    /// How long the leader waits for the primary of a group that moved to a higher term by
    /// itself, in milliseconds. Default 1000.
    pub adoption_wait_ms: u32,
    /// How long the leader waits for the primary of a new group before it promotes a member, in
    /// milliseconds. Default 3000.
    pub bootstrap_wait_ms: u32,
    /// How long the leader waits for further members to be fenced when the fenced majority would
    /// otherwise promote a draining member, in milliseconds. Default 200.
    pub fence_settle_ms: u32,
    /// Delay before the first retry of a failed call to a back end, in milliseconds; it doubles
    /// with each failure. Default 200.
    pub retry_minimum_ms: u32,
    /// Longest delay before a retry, in milliseconds. Default 3000.
    pub retry_maximum_ms: u32,
    /// Timeout of a step that gets no answer, in milliseconds; must be above
    /// `failover.probe_ms` and `timeouts.back_end_ms`. Default 3000.
    pub answer_ms: u32,
    /// Shortest time between two failovers of a group, in milliseconds; it doubles with each
    /// failover that follows within `quiet_ms`. Default 2000.
    pub cooldown_minimum_ms: u32,
    /// Longest cooldown between two failovers of a group, in milliseconds. Default 60000.
    pub cooldown_maximum_ms: u32,
    /// Time without a failover of a group after which its cooldown is reset to
    /// `cooldown_minimum_ms`, in milliseconds. Default 600000.
    pub quiet_ms: u32,
}

/// Default timeout of one probe, in milliseconds. A lower value counts members that are only slow as lost;
/// a higher value adds to the time until a failover.
const DEFAULT_PROBE_MS: u32 = 400;

impl Default for FailoverTimes {
    fn default() -> Self {
        let times = FailoverSettings::default();
        Self {
            suspicion_ms: as_millis_u32(times.suspicion),
            probe_interval_ms: as_millis_u32(times.probe_interval),
            probe_ms: DEFAULT_PROBE_MS,
            unobserved_interval_ms: as_millis_u32(times.unobserved_interval),
            sweep_interval_ms: as_millis_u32(times.sweep_interval),
            resume_wait_ms: as_millis_u32(times.resume_wait),
            adoption_wait_ms: as_millis_u32(times.adoption_wait),
            bootstrap_wait_ms: as_millis_u32(times.bootstrap_wait),
            fence_settle_ms: as_millis_u32(times.fence_settle),
            retry_minimum_ms: as_millis_u32(times.retry_minimum),
            retry_maximum_ms: as_millis_u32(times.retry_maximum),
            answer_ms: as_millis_u32(times.answer_timeout),
            cooldown_minimum_ms: as_millis_u32(times.cooldown_minimum),
            cooldown_maximum_ms: as_millis_u32(times.cooldown_maximum),
            quiet_ms: as_millis_u32(times.quiet_time),
        }
    }
}

fn as_millis_u32(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl FailoverTimes {
    /// Converts the times to the control replica's settings, without `probe_ms`, which the replica takes
    /// separately.
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

    /// Checks every value; `back_end_ms` is the setting `timeouts.back_end_ms`.
    pub(super) fn check(&self, check: &Check<'_>, back_end_ms: u32) -> Result<(), SettingsError> {
        check.timeouts(self.keyed_times())?;
        check.at_most(
            ("failover.retry_minimum_ms", self.retry_minimum_ms),
            ("failover.retry_maximum_ms", self.retry_maximum_ms),
        )?;
        check.at_most(
            ("failover.cooldown_minimum_ms", self.cooldown_minimum_ms),
            ("failover.cooldown_maximum_ms", self.cooldown_maximum_ms),
        )?;
        let step_timeouts =
            [("failover.probe_ms", self.probe_ms), ("timeouts.back_end_ms", back_end_ms)];
        for (key, timeout_ms) in step_timeouts {
            if self.answer_ms <= timeout_ms {
                let problem = ValueProblem::NotAbove(key);
                return Err(check.value_error("failover.answer_ms", self.answer_ms, problem));
            }
        }
        Ok(())
    }

    const fn keyed_times(&self) -> [(&'static str, u32); 15] {
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
