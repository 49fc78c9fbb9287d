//! Reports of proxies that arrive between an election and the begin of the leader's duties.
//!
//! What an observation means depends on the state, which may not be complete yet. Reports are therefore
//! stored: what they observe is not repeated before the next full summary. Owns at most one report of each
//! proxy, with the newest observation of each member.

use corktack_core::identity::ProxyName;
use corktack_protocol::cell::ProxyReport;
use std::collections::BTreeMap;

/// The reports that wait for the begin of the duties.
#[derive(Debug, Default)]
pub(super) struct EarlyReports {
    by_proxy: BTreeMap<ProxyName, ProxyReport>,
}

impl EarlyReports {
    /// Stores a report, together with what an earlier one observed.
    pub(super) fn store(&mut self, report: ProxyReport) {
        match self.by_proxy.get_mut(&report.proxy) {
            Some(stored) => stored.replace_with(report),
            None => drop(self.by_proxy.insert(report.proxy.clone(), report)),
        }
    }

    pub(super) fn into_reports(self) -> impl Iterator<Item = ProxyReport> {
        self.by_proxy.into_values()
    }
}
