//! The bounds that a deployment must keep, and the silence timeout of its watches, which follows from them.

use corktack_core::limits::LimitBounds;
use std::time::Duration;

/// Silence timeout of a gateway's watch as a fraction of the bound on applying a configuration, and its
/// smallest and largest value. A timeout of 1.5 s at one replica of a minority keeps a bound of 3 s only
/// just; the fraction 0.4 lets a gateway time out at two such replicas. Lower values leave replicas that
/// are merely slow.
const WATCH_SILENCE_FRACTION: f64 = 0.4;
const MIN_WATCH_SILENCE: Duration = Duration::from_millis(800);
pub(super) const MAX_WATCH_SILENCE: Duration = Duration::from_millis(1_500);

/// Bounds of a deployment, which come from the settings of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeploymentBounds {
    /// Time from the start of a planned stop until the process is killed.
    pub stop_grace: Duration,
    /// Time for which a back end still serves after control acknowledged that it is draining.
    pub drain: Duration,
    /// Number of control replicas that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Time within which a restarted replica must have caught up; a replica that is absent for longer is
    /// replaced.
    pub catch_up: Duration,
    /// Time within which an acknowledged configuration is in force on all gateways; `None` without a bound.
    pub config_apply: Option<Duration>,
    /// Bounds within which tenants' limits are enforced.
    pub limits: LimitBounds,
    /// Largest age of the last confirmation that the configuration is current at which operations may
    /// begin; `None` when operations may begin under the last configuration regardless of its age.
    pub max_confirmation_age: Option<Duration>,
}

impl DeploymentBounds {
    /// Returns the time without a confirmation after which a gateway leaves its control replica. A gateway
    /// may time out at two replicas and still receive the newest configuration within the bound.
    pub(super) fn watch_silence_timeout(&self) -> Duration {
        let Some(bound) = self.config_apply else { return MAX_WATCH_SILENCE };
        let silence = bound.mul_f64(WATCH_SILENCE_FRACTION);
        silence.clamp(MIN_WATCH_SILENCE, MAX_WATCH_SILENCE)
    }
}
