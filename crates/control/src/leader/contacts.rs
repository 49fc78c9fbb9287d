//! Tracks when each gateway last reported to the leader, and counts the gateways that are silent.
//!
//! Owns the times of the newest reports in this leadership. The caller decides which gateways count as
//! live.

use corktack_core::identity::ProxyName;
use corktack_core::registry::GatewayContact;
use corktack_core::time::Timestamp;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Age of the newest report after which a gateway counts as silent. It covers several heartbeats and
/// summaries, which a deployment sends every 250 ms. A shorter timeout takes delayed summaries for silence;
/// a longer one counts gateways that are cut off as reporting.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for which a silent gateway is counted after its newest report. It outlasts the 7 s for which
/// silent gateways delay a promotion. A shorter time ends that wait early; a longer one counts machines
/// that are gone for good for longer.
const SILENT_RETENTION: Duration = Duration::from_secs(10);

/// The time of each gateway's newest report in this leadership.
#[derive(Debug)]
pub(super) struct GatewayContacts {
    leadership_began: Timestamp,
    last_reports: HashMap<ProxyName, Timestamp>,
}

impl GatewayContacts {
    pub(super) fn new(now: Timestamp) -> Self {
        Self { leadership_began: now, last_reports: HashMap::new() }
    }

    /// Records a report of a gateway, which may be connected to any replica.
    pub(super) fn record_report(&mut self, now: Timestamp, gateway: &ProxyName) {
        self.last_reports.insert(gateway.clone(), now);
    }

    /// Counts the gateways that report and those that are silent. A live gateway without a report counts
    /// as if it had reported when the leadership began.
    pub(super) fn count(&mut self, now: Timestamp, live: &BTreeSet<ProxyName>) -> GatewayContact {
        for gateway in live {
            self.last_reports.entry(gateway.clone()).or_insert(self.leadership_began);
        }
        self.last_reports
            .retain(|_, reported_at| now.saturating_since(*reported_at) < SILENT_RETENTION);
        let is_silent =
            |reported_at: &&Timestamp| now.saturating_since(**reported_at) >= SILENCE_TIMEOUT;
        let silent = self.last_reports.values().filter(is_silent).count();
        GatewayContact { reporting: self.last_reports.len() - silent, silent }
    }
}
