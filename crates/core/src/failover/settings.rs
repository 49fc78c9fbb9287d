//! Times of the failover procedure.
//!
//! Measured together on real processes with these values and urgent observations: from the last write before a
//! fault to the first one after, 0.8 to 1.1 s where a primary is killed, frozen or cut off (3 runs each); with
//! a second observer's probes at 0.8 s instead of 0.4 s (a setting of the owner) 1.4 to 1.5 s where it is frozen
//! or cut off. No single value below was measured against others: lower ones make a failover sooner and replace
//! more primaries that serve, higher ones the other way round.

use std::time::Duration;

/// Most doublings of a delay, so that the shift cannot overflow.
const DOUBLING_LIMIT: u32 = 16;

/// Times of the failover procedure.
#[derive(Clone, Debug)]
pub struct FailoverSettings {
    /// How long several observers must miss a primary before a failover begins.
    pub suspicion: Duration,
    /// Between two probes of a member while there is doubt about its group.
    pub probe_interval: Duration,
    /// Between two probes of a primary that no owner reports on.
    pub unobserved_interval: Duration,
    /// Between two probes of a primary that its owner reports as well.
    pub sweep_interval: Duration,
    /// How long a new leader leaves a failover of an earlier one to show its primary.
    pub resume_wait: Duration,
    /// How long a group that moved to a higher term by itself has to show its primary.
    pub adoption_wait: Duration,
    /// How long a new group has to show its primary before one is chosen.
    pub bootstrap_wait: Duration,
    /// How long a fenced majority waits for further members when it would
    /// otherwise promote one that is draining.
    pub fence_settle: Duration,
    /// Before a call without an answer, or a failed one, is made again the first time.
    pub retry_first: Duration,
    /// Longest such delay; it doubles from the first.
    pub retry_last: Duration,
    /// Before a probe, promotion or proposal without an answer is given up; over the
    /// timeouts of the shell, which answers every one of them.
    pub answer_timeout: Duration,
    /// Between a failover of a group and its next one, the first time.
    pub cooldown_first: Duration,
    /// Longest such time; it doubles with every failover that follows within
    /// [`FailoverSettings::quiet_time`].
    pub cooldown_last: Duration,
    /// After this time without a failover the cooldown starts from the first again.
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
            retry_first: Duration::from_millis(200),
            retry_last: Duration::from_secs(3),
            answer_timeout: Duration::from_secs(3),
            cooldown_first: Duration::from_secs(2),
            cooldown_last: Duration::from_secs(60),
            quiet_time: Duration::from_secs(600),
        }
    }
}

impl FailoverSettings {
    /// Delay before the attempt that follows `attempts` failed ones.
    pub(super) fn retry(&self, attempts: u32) -> Duration {
        doubled(self.retry_first, attempts.saturating_sub(1)).min(self.retry_last)
    }

    /// Time to the next failover after this many recent ones.
    pub(super) fn cooldown(&self, failovers: u32) -> Duration {
        doubled(self.cooldown_first, failovers.saturating_sub(1)).min(self.cooldown_last)
    }
}

fn doubled(first: Duration, times: u32) -> Duration {
    first.saturating_mul(1 << times.min(DOUBLING_LIMIT))
}
