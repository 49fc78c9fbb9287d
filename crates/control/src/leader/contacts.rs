//! When each gateway last reported to the leader, and which have fallen silent.
//!
//! Owns the times of the newest reports in this leadership. Relies on the caller for the gateways that
//! count as live.

use corktack_core::identity::ProxyName;
use corktack_core::registry::GatewayContact;
use corktack_core::time::Timestamp;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Age of the newest report after which a gateway counts as silent: some heartbeats and summaries, which
/// a deployment sends every 250 ms. Chosen, not measured; a lower value takes delayed summaries for
/// silence, a higher one counts gateways that are cut off among those that report.
const SILENT_AFTER: Duration = Duration::from_millis(900);
/// How long a silent gateway is remembered. Chosen, not measured; it outlasts the 7 s for which silent
/// gateways put a promotion off. A lower value ends that wait early, a higher one counts machines that
/// are gone for good for longer.
const REMEMBERED_FOR: Duration = Duration::from_secs(10);

/// When each gateway last reported in this leadership.
#[derive(Debug)]
pub(super) struct GatewayContacts {
    began: Timestamp,
    last_reports: HashMap<ProxyName, Timestamp>,
}

impl GatewayContacts {
    pub(super) fn new(now: Timestamp) -> Self {
        Self { began: now, last_reports: HashMap::new() }
    }

    /// Notes a report of a gateway that is connected here or to another replica.
    pub(super) fn note_report(&mut self, now: Timestamp, gateway: &ProxyName) {
        self.last_reports.insert(gateway.clone(), now);
    }

    /// How many gateways report and how many are silent. Those that were live when the leadership
    /// began count as if they had reported at that time.
    pub(super) fn contact(&mut self, now: Timestamp, live: &BTreeSet<ProxyName>) -> GatewayContact {
        for gateway in live {
            self.last_reports.entry(gateway.clone()).or_insert(self.began);
        }
        self.last_reports.retain(|_, at| now.saturating_since(*at) < REMEMBERED_FOR);
        let silent = |at: &&Timestamp| now.saturating_since(**at) >= SILENT_AFTER;
        let silent = self.last_reports.values().filter(silent).count();
        GatewayContact { reporting: self.last_reports.len() - silent, silent }
    }
}
