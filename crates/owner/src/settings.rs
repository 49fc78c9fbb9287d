//! Settings of the owner and their defaults. The process that starts the owner reads a deployment's own
//! values.

use corktack_core::identity::{Incarnation, ProxyName, ZoneName};
use std::time::Duration;

/// Default time between two probes of a member. At 200 ms the probes of the owner and of the second observer
/// take 6.4 KB/s per group; at 50 ms they take 21.6 KB/s, which exceeds the 15 KB/s that a proxy has for
/// control traffic (docs/CAPACITY.md).
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Default time after which a probe counts as unanswered. A shorter timeout suspects members behind slow
/// links; a longer one detects an unresponsive primary later.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Default time after which work in flight at an unresponsive member is abandoned. The timeout is longer than
/// a change of primary takes (8 s at most), so that a failover decides the outcome of the work first where
/// there is one. A shorter timeout cuts off statements that a failover would have answered; a longer one
/// occupies their slots.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Default retention of the outcomes of idempotency keys. A repeat that arrives later runs again; a longer
/// retention keeps more rows in the group's database.
const OUTCOME_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Default number of threads. With one thread, all links wait behind each long step; more threads cost a
/// small machine idle wake-ups.
const ARBITERS: usize = 2;

/// Settings of the owner.
#[derive(Clone, Debug)]
pub struct OwnerSettings {
    /// Name of this proxy.
    pub proxy: ProxyName,
    /// Incarnation of this process, announced to edges in the hello message.
    pub incarnation: Incarnation,
    /// Zone that this proxy runs in; reads prefer replicas of the same zone.
    pub zone: ZoneName,
    /// Threads that serve links, streams and probes; at least one is started.
    pub arbiters: usize,
    /// Time between two probes of a member of an owned group.
    pub probe_interval: Duration,
    /// Time after which a probe counts as unanswered.
    pub probe_timeout: Duration,
    /// How long a member may leave probes unanswered before work in flight at that member gets its final
    /// answer and connections to the member are closed.
    pub silence_timeout: Duration,
    /// User name on server connections.
    pub back_end_user: String,
    /// How long the outcome of an idempotency key is kept; a later repeat of the request runs again.
    pub outcome_retention: Duration,
}

impl OwnerSettings {
    /// Returns settings with defaults for everything except the proxy's identity.
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
