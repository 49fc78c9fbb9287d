//! Control's end of a gateway's channels for limits of tenants.

use corktack_core::limits::{AllowanceDemand, AllowanceGrant, AllowanceReport, TenantAllowance};
use corktack_core::position::Term;
use corktack_core::tenancy::TenantRate;
use corktack_gateway::{LimitUpdate, LimitsLink};
use tokio::sync::mpsc;
/// Stand-in for the leader of control, which grants allowances to one gateway.
pub struct LimitsControl {
    reports: mpsc::UnboundedReceiver<AllowanceReport>,
    updates: mpsc::UnboundedSender<LimitUpdate>,
    /// Number of grants sent so far.
    grants: u64,
}

impl LimitsControl {
    /// Announces the leader to the gateway.
    fn announce_leader(&self) {
        self.updates.send(LimitUpdate::LeaderElected(TERM)).expect("the gateway listens");
    }

    /// Announces the leader, waits until the gateway demands an allowance for a tenant, and grants
    /// `operations` in a window.
    pub async fn allow(&mut self, tenant: &str, operations: u64) {
        self.announce_leader();
        loop {
            let report = self.reports.recv().await.expect("the gateway runs");
            if let Some(demand) =
                report.demands.iter().find(|demand| demand.tenant.as_str() == tenant)
            {
                return self.grant(&report, demand, operations);
            }
        }
    }

    fn grant(&mut self, report: &AllowanceReport, demand: &AllowanceDemand, operations: u64) {
        self.grants += 1;
        let allowance = TenantAllowance {
            tenant: demand.tenant.clone(),
            operations,
            window_limit: TENANT_RATE.per_second as u64 * 5,
            more_follows: false,
            more_available_after: None,
        };
        let grant = AllowanceGrant {
            gateway: report.gateway.clone(),
            incarnation: report.incarnation,
            term: report.term,
            number: self.grants,
            report_sequence: report.sequence,
            wants_full_report: false,
            allowances: vec![allowance],
            recalls: Vec::new(),
        };
        self.updates.send(LimitUpdate::Granted(grant)).expect("the gateway listens");
    }
}

/// Term of the leader.
const TERM: Term = Term(1);
/// Rate of limited tenants, far above what the tests demand.
pub(super) const TENANT_RATE: TenantRate = TenantRate { per_second: 1_000.0, burst: 0.0 };

/// Returns both ends of a gateway's channels for limits.
pub(super) fn limits_link() -> (LimitsLink, LimitsControl) {
    let (reports, received_reports) = mpsc::unbounded_channel();
    let (update_sender, updates) = mpsc::unbounded_channel();
    (
        LimitsLink { reports, updates },
        LimitsControl { reports: received_reports, updates: update_sender, grants: 0 },
    )
}
