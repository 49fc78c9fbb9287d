//! The leader's ledger of what is allocated of each tenant's limit.
//!
//! Processes the reports of gateways and answers them with allowances, so that all operations that may
//! begin in a window stay within each limit. The bookings belong to one leadership and are kept in
//! memory only; a replaced leader drops them, and the next one learns them from reports. Ceilings come
//! from the log and rates from the document ([`LimitTerms`]); the caller supplies the incarnations of
//! gateways that are in the control cell's state. The ledger trusts the reports of gateways.
//!
//! - `offers`: what a gateway that reported is offered, and which others must give something back for
//!   it.
//! - `tenant`: one tenant's bookings, and how a limit is shared between gateways.
//! - `ceilings`: the most that may be allocated, according to the log.
//! - `incarnations`: ended processes, and the time from which allocations of earlier leaders no longer
//!   count.
//! - `reporters`: the gateways that reported in this leadership, and the numbers of their grants.

mod answer;
mod ceilings;
mod incarnations;
mod nearness;
mod offers;
mod reporters;
mod tenant;

pub use ceilings::{CeilingChange, default_ceiling};
pub use incarnations::GatewayIncarnation;
pub use nearness::TenantUse;

use super::bounds::LimitBounds;
use super::messages::{AllowanceGrant, AllowanceReport};
use crate::identity::ProxyName;
use crate::position::Term;
use crate::tenancy::{TenantName, TenantRate};
use crate::time::Timestamp;
use answer::AnswerBuilder;
use ceilings::LOWERING_INTERVAL;
use incarnations::MAX_STEP_DOWN_TIME;
use reporters::{ReportStatus, Reporters};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tenant::TenantLedger;

/// The leader's answer to a report, or to another event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerAnswer {
    /// Grants to the gateway that reported, and to others whose spare allowances it needs.
    pub grants: Vec<AllowanceGrant>,
    /// Raises of ceilings that would allow more.
    pub ceilings: Vec<CeilingChange>,
}

/// Rates and ceilings in the control cell's state.
pub trait LimitTerms {
    /// Returns the rate of a tenant in force; none where the tenant is not limited.
    fn rate(&self, tenant: &TenantName) -> Option<TenantRate>;
    /// Returns the ceiling of a tenant in the log; none where the default applies.
    fn ceiling(&self, tenant: &TenantName) -> Option<u64>;
}

/// Allocations of all tenants' limits, as the leader of one term knows them.
#[derive(Debug)]
pub struct LimitLedger {
    term: Term,
    bounds: LimitBounds,
    /// Incarnations that may hold allowances of earlier leaders and have not reported yet.
    awaited_incarnations: BTreeSet<GatewayIncarnation>,
    /// By gateway, the latest time at which those of its incarnations ended that can no longer report
    /// and that earlier leaders may have granted something to.
    replaced_ended_by: BTreeMap<ProxyName, Timestamp>,
    /// Time until which operations begun under allowances of earlier leaders may count.
    inherited_until: Timestamp,
    /// Incarnations that have ended.
    ended_incarnations: BTreeSet<GatewayIncarnation>,
    reporters: Reporters,
    tenants: HashMap<TenantName, TenantLedger>,
    /// Tenants of which some gateway has less than its share.
    tenants_with_shortfall: BTreeSet<TenantName>,
    /// Ceilings at the start of the leadership.
    inherited_ceilings: BTreeMap<TenantName, u64>,
    /// Lowered ceilings that are not in the log yet; the ledger already keeps to them.
    pending_lowerings: BTreeMap<TenantName, u64>,
    lowering_due: Timestamp,
}

impl LimitLedger {
    /// Creates the ledger of a leadership that begins now. The state from which `gateways` and
    /// `ceilings` are taken must contain everything that was committed before.
    #[must_use]
    pub fn new(
        now: Timestamp,
        term: Term,
        bounds: LimitBounds,
        gateways: BTreeSet<GatewayIncarnation>,
        ceilings: BTreeMap<TenantName, u64>,
    ) -> Self {
        let bounds = bounds.clamped();
        let mut ledger = Self {
            term,
            bounds,
            replaced_ended_by: gateways
                .iter()
                .map(|present| (present.gateway.clone(), now))
                .collect(),
            awaited_incarnations: gateways,
            inherited_until: now
                + bounds.maximum_allowance_life()
                + MAX_STEP_DOWN_TIME
                + bounds.counting_time(),
            ended_incarnations: BTreeSet::new(),
            reporters: Reporters::default(),
            tenants: HashMap::new(),
            tenants_with_shortfall: BTreeSet::new(),
            inherited_ceilings: ceilings,
            pending_lowerings: BTreeMap::new(),
            lowering_due: now + LOWERING_INTERVAL,
        };
        ledger.update_inherited_expiry(now);
        ledger
    }

    /// Returns the operations that all gateways may begin in a window at a rate.
    #[must_use]
    pub fn window_limit(&self, rate: TenantRate) -> u64 {
        self.bounds.window_limit(rate)
    }

    /// Processes a report from the incarnation of a gateway that is in the state. A report to another
    /// leader, or one older than a processed one, is not answered.
    pub fn process_report(
        &mut self,
        now: Timestamp,
        report: &AllowanceReport,
        terms: &impl LimitTerms,
    ) -> LedgerAnswer {
        let reporter =
            GatewayIncarnation { gateway: report.gateway.clone(), incarnation: report.incarnation };
        let mut answer = AnswerBuilder::default();
        if report.term != self.term || self.ended_incarnations.contains(&reporter) {
            return answer.finish();
        }
        self.end_predecessor(now, &reporter);
        if report.is_full {
            self.apply_uptime(now, &reporter, report.uptime);
        }
        match self.reporters.record_report(now, report) {
            ReportStatus::Stale => return answer.finish(),
            ReportStatus::Partial => {
                if let Some(grant) = self.reporters.grant(&mut answer, self.term, &report.gateway) {
                    grant.wants_full_report = true;
                }
                return answer.finish();
            }
            ReportStatus::Complete => (),
        }
        self.book(now, report, &reporter);
        self.answer_report(now, report, terms, &mut answer);
        answer.finish()
    }

    /// Books what a gateway reports to hold.
    fn book(&mut self, now: Timestamp, report: &AllowanceReport, reporter: &GatewayIncarnation) {
        let was_awaited = self.awaited_incarnations.remove(reporter);
        for demand in &report.demands {
            let inherited_ceiling = self.inherited_ceilings.get(&demand.tenant).copied();
            let tenant = self
                .tenants
                .entry(demand.tenant.clone())
                .or_insert_with(|| TenantLedger::new(inherited_ceiling));
            tenant.book(&report.gateway, demand, report.last_applied_grant, was_awaited);
        }
        if report.is_full {
            let reported_tenants: BTreeSet<_> =
                report.demands.iter().map(|demand| &demand.tenant).collect();
            let unreported =
                self.tenants.iter_mut().filter(|(tenant, _)| !reported_tenants.contains(tenant));
            unreported.for_each(|(_, tenant)| {
                tenant.clear_booking(&report.gateway, report.last_applied_grant)
            });
            self.update_inherited_expiry(now);
        }
    }

    /// Releases the allowances whose leases have expired, and what no longer counts.
    pub fn expire(&mut self, now: Timestamp) {
        for silent in self.reporters.expire_silent(now, self.bounds.maximum_allowance_life()) {
            for tenant in self.tenants.values_mut() {
                tenant.end_incarnation(&silent, now + self.bounds.counting_time());
            }
        }
        self.tenants.values_mut().for_each(|tenant| tenant.expire(now));
    }

    /// Returns the operations of a tenant in a window that are allocated, or may have begun.
    pub fn allocated(&mut self, now: Timestamp, tenant: &TenantName) -> u64 {
        let inherited_expired = self.has_inherited_expired(now);
        self.tenants.get_mut(tenant).map_or(0, |ledger| ledger.allocated(now, inherited_expired))
    }
}
