//! Control's end of what a gateway says of limits.

use corktack_core::limits::{AllowanceDemand, AllowanceGrant, AllowanceReport, TenantAllowance};
use corktack_core::position::Term;
use corktack_core::tenancy::TenantRate;
use corktack_gateway::{LimitNews, LimitsLink};
use tokio::sync::mpsc;
/// Control's end of what a gateway says of limits.
pub struct LimitsControl {
    reports: mpsc::UnboundedReceiver<AllowanceReport>,
    news: mpsc::UnboundedSender<LimitNews>,
    grants: u64,
}

impl LimitsControl {
    /// A leader has been elected.
    fn lead(&self) {
        self.news.send(LimitNews::Led(TERM)).expect("the gateway listens");
    }

    /// Leads, waits until something of a tenant's limit is asked for, and gives so many operations in a
    /// window.
    pub async fn allow(&mut self, tenant: &str, operations: u64) {
        self.lead();
        loop {
            let report = self.reports.recv().await.expect("the gateway runs");
            if let Some(wish) = report.demands.iter().find(|wish| wish.tenant.as_str() == tenant) {
                return self.grant(&report, wish, operations);
            }
        }
    }

    fn grant(&mut self, report: &AllowanceReport, wish: &AllowanceDemand, operations: u64) {
        self.grants += 1;
        let allowance = TenantAllowance {
            tenant: wish.tenant.clone(),
            operations,
            window_limit: TENANT_RATE.per_second as u64 * 5,
            more_follows: false,
            more_after: None,
        };
        let grant = AllowanceGrant {
            gateway: report.gateway.clone(),
            incarnation: report.incarnation,
            term: report.term,
            number: self.grants,
            answers: report.sequence,
            wants_whole: false,
            allowances: vec![allowance],
            recalls: Vec::new(),
        };
        self.news.send(LimitNews::Granted(grant)).expect("the gateway listens");
    }
}

/// Term of the leader of the tests.
const TERM: Term = Term(1);
/// Rate of tenants that are limited: far more than the tests ask for.
pub(super) const TENANT_RATE: TenantRate = TenantRate { per_second: 1_000.0, burst: 0.0 };

pub(super) fn limits_link() -> (LimitsLink, LimitsControl) {
    let (reports, reported) = mpsc::unbounded_channel();
    let (said, news) = mpsc::unbounded_channel();
    (LimitsLink { reports, news }, LimitsControl { reports: reported, news: said, grants: 0 })
}
