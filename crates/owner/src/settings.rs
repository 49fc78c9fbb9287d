//! Settings of the owner.
//!
//! The module owns the defaults; the process that starts the owner reads a deployment's own values.

use corktack_core::identity::{Incarnation, ProxyName, ZoneName};
use std::time::Duration;

/// Default time between two probes of a member. Measured: every 200 ms, with the second observer's, they take
/// 6.4 KB/s a group; every 50 ms they take 21.6 KB/s, over the 15 KB/s that a proxy has for control
/// (docs/CAPACITY.md).
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Default time after which a probe counts as unanswered. Chosen, not measured: a shorter one suspects
/// members behind slow links, a longer one finds a silent primary later.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Default time after which a silent member's work is given up: longer than a
/// change of primary takes (8 s at most), so that the decision comes first where there is one. A shorter one cuts
/// statements that a change of primary would have answered for, a longer one holds their slots.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Default time that outcomes of idempotency keys are kept. Chosen, not measured: a repeat that comes later
/// runs again, and a longer time keeps more rows in the group's database.
const OUTCOME_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Default number of threads. Chosen, not measured: with one, all links wait behind each long step, more cost
/// a small machine idle wake-ups.
const ARBITERS: usize = 2;

/// Settings of the owner.
#[derive(Clone, Debug)]
pub struct OwnerSettings {
    /// Name of this proxy.
    pub proxy: ProxyName,
    /// Number of this incarnation of the process.
    pub incarnation: Incarnation,
    /// Zone this proxy runs in.
    pub zone: ZoneName,
    /// Threads that serve links, streams and probes; at least one is started.
    pub arbiters: usize,
    /// Time between two probes of a member of an owned group.
    pub probe_interval: Duration,
    /// Time after which a probe counts as unanswered.
    pub probe_timeout: Duration,
    /// How long a member may leave probes unanswered before work in flight there gets
    /// its final answer and connections to it are closed.
    pub silence_timeout: Duration,
    /// User name on server connections.
    pub back_end_user: String,
    /// How long the outcome of an idempotency key is kept; a repeat after it runs again.
    pub outcome_retention: Duration,
}

impl OwnerSettings {
    /// Settings with defaults for all but the proxy's identity.
    #[must_use]
    pub fn new(proxy: ProxyName, incarnation: Incarnation, zone: ZoneName) -> Self {
        Self {
            proxy,
            incarnation,
            zone,
            arbiters: ARBITERS,
            probe_interval: PROBE_INTERVAL,
            probe_timeout: PROBE_TIMEOUT,
            silence_timeout: SILENCE_TIMEOUT,
            back_end_user: "corktack".to_owned(),
            outcome_retention: OUTCOME_RETENTION,
        }
    }
}
