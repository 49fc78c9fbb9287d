//! Timeouts and intervals of the failover procedure.
//!
//! With the default values and urgent observations, 0.8 to 1.1 s pass from the last write before a
//! fault to the first write after it, where a primary is killed, frozen or cut off. If the second
//! observer probes every 0.8 s instead of every 0.4 s (a setting of the owner), a frozen or cut off
//! primary takes 1.4 to 1.5 s. Lower values make a failover sooner and replace more primaries that
//! still serve; higher values do the opposite.

use std::time::Duration;

/// Highest number of doublings of a delay, so that the shift cannot overflow.
const DOUBLING_LIMIT: u32 = 16;

/// Timeouts, intervals and back-off limits of the failover procedure.
#[derive(Clone, Debug)]
pub struct FailoverSettings {
    /// How long several observers must find a primary unreachable before a failover begins.
    pub suspicion: Duration,
    /// Interval between two probes of a member while the state of its group is in doubt.
    pub probe_interval: Duration,
    /// Interval between two probes of a primary that no proxy reports on.
    pub unobserved_interval: Duration,
    /// Interval between two probes of a primary that a proxy also reports on.
    pub sweep_interval: Duration,
    /// How long a new leader waits for the primary of a failover that an earlier leader began.
    pub resume_wait: Duration,
    /// How long the leader waits for the primary of a group that moved to a higher term by itself.
    pub adoption_wait: Duration,
    /// How long the leader waits for the primary of a new group before it promotes a member.
    pub bootstrap_wait: Duration,
    /// How long the leader waits for further members to be fenced when the fenced
    /// majority would otherwise promote a draining member.
    pub fence_settle: Duration,
    /// Delay before the first retry of a call that failed or had no answer.
    pub retry_minimum: Duration,
    /// Longest retry delay; the delay doubles from [`FailoverSettings::retry_minimum`].
    pub retry_maximum: Duration,
    /// Timeout for the answer to a probe, a promotion or a proposal. Exceeds the timeouts of
    /// the calling process, which answers each of them.
    pub answer_timeout: Duration,
    /// Shortest time between a failover of a group and its next failover.
    pub cooldown_minimum: Duration,
    /// Longest cooldown; the cooldown doubles with every failover that follows within
    /// [`FailoverSettings::quiet_time`].
    pub cooldown_maximum: Duration,
    /// Time without a failover after which the cooldown starts from
    /// [`FailoverSettings::cooldown_minimum`] again.
    pub quiet_time: Duration,
}

impl Default for FailoverSettings {
    fn default() -> Self {
        Self {
            suspicion: Duration::from_millis(500),
            probe_interval: Duration::from_millis(200),
            unobserved_interval: Duration::from_secs(1),
            sweep_interval: Duration::from_secs(10),
            resume_wait: Duration::from_millis(300),
            adoption_wait: Duration::from_secs(1),
            bootstrap_wait: Duration::from_secs(3),
            fence_settle: Duration::from_millis(200),
            retry_minimum: Duration::from_millis(200),
            retry_maximum: Duration::from_secs(3),
            answer_timeout: Duration::from_secs(3),
            cooldown_minimum: Duration::from_secs(2),
            cooldown_maximum: Duration::from_secs(60),
            quiet_time: Duration::from_secs(600),
        }
    }
}

impl FailoverSettings {
    /// Returns the delay before the attempt that follows `attempts` failed attempts.
    pub(super) fn retry_delay(&self, attempts: u32) -> Duration {
        exponential_delay(self.retry_minimum, attempts.saturating_sub(1)).min(self.retry_maximum)
    }

    /// Returns the least time to the next failover after `failovers` recent failovers.
    pub(super) fn cooldown(&self, failovers: u32) -> Duration {
        exponential_delay(self.cooldown_minimum, failovers.saturating_sub(1))
            .min(self.cooldown_maximum)
    }
}

fn exponential_delay(first: Duration, doublings: u32) -> Duration {
    first.saturating_mul(1 << doublings.min(DOUBLING_LIMIT))
}
