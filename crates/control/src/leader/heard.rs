//! Which gateways the leader hears, and which it heard not long ago.

use corktack_core::identity::ProxyName;
use corktack_core::registry::GatewayContact;
use corktack_core::time::Timestamp;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Age of the newest report after which a gateway counts as silent: some heartbeats and summaries.
const SILENT_AFTER: Duration = Duration::from_millis(900);
/// How long a silent gateway is remembered.
const REMEMBERED_FOR: Duration = Duration::from_secs(10);

/// When each gateway was last heard in this leadership.
#[derive(Debug)]
pub(super) struct HeardGateways {
    began: Timestamp,
    heard: HashMap<ProxyName, Timestamp>,
}

impl HeardGateways {
    pub(super) fn new(now: Timestamp) -> Self {
        Self { began: now, heard: HashMap::new() }
    }

    /// A gateway reported, here or to another replica.
    pub(super) fn hear(&mut self, now: Timestamp, gateway: &ProxyName) {
        self.heard.insert(gateway.clone(), now);
    }

    /// How many are heard and how many are silent. Those that were live when the leadership began
    /// count as heard at that time.
    pub(super) fn contact(&mut self, now: Timestamp, live: &BTreeSet<ProxyName>) -> GatewayContact {
        for gateway in live {
            self.heard.entry(gateway.clone()).or_insert(self.began);
        }
        self.heard.retain(|_, at| now.saturating_since(*at) < REMEMBERED_FOR);
        let silent = |at: &&Timestamp| now.saturating_since(**at) >= SILENT_AFTER;
        let silent = self.heard.values().filter(silent).count();
        GatewayContact { heard: self.heard.len() - silent, silent }
    }
}
