//! The bounds that a deployment must keep, and what follows from them for its watches.

use corktack_core::limits::LimitBounds;
use std::time::Duration;

/// Part of the time for a configuration that a gateway waits for a proof before it changes replica,
/// and the shortest and longest such wait. 1.5 s at one replica of a minority fitted a bound of 3 s only just:
/// 0.4 of it lets a gateway come upon two such replicas. Lower values change replicas that are only slow.
const WATCH_SILENCE_PART: f64 = 0.4;
const WATCH_SILENCE_SHORTEST: Duration = Duration::from_millis(800);
pub(super) const WATCH_SILENCE_LONGEST: Duration = Duration::from_millis(1_500);

/// Bounds that the deployment must keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeploymentBounds {
    /// Time at a planned stop until the process is killed.
    pub stop_grace: Duration,
    /// Time that a back end serves on after it was acknowledged as leaving.
    pub drain: Duration,
    /// Replicas that may be lost at once.
    pub tolerated_losses: usize,
    /// Time after which a replica that came back counts as there.
    pub catch_up: Duration,
    /// Time in which an acknowledged configuration is in force everywhere, where there is a bound.
    pub config_apply: Option<Duration>,
    /// By what the limits of tenants are kept.
    pub limits: LimitBounds,
    /// How old the last proof that the configuration is current may be for operations to begin; none
    /// where they begin by the last configuration, however old.
    pub max_confirmation_age: Option<Duration>,
}

impl DeploymentBounds {
    /// Time without a proof before a gateway changes its control replica: it may come upon two
    /// replicas in vain, and have the newest configuration in time all the same.
    pub(super) fn watch_silence(&self) -> Duration {
        let Some(bound) = self.config_apply else { return WATCH_SILENCE_LONGEST };
        let part = bound.mul_f64(WATCH_SILENCE_PART);
        part.clamp(WATCH_SILENCE_SHORTEST, WATCH_SILENCE_LONGEST)
    }
}
