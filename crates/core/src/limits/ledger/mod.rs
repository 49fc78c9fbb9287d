//! What the leader has given of each tenant's limit.
//!
//! Takes the reports of gateways and answers them with allowances, so that all that may begin in a window
//! stays within each limit. Owns the bookings of one leadership, in memory only; a leader that is replaced
//! drops them, and the next one learns them from reports. Relies on the log for ceilings ([`LimitTerms`]),
//! on the cell's state for rates and incarnations, and on gateways for true reports.
//!
//! - `offers`: what a gateway that reported is given, and who gives something back for it.
//! - `tenant`: one tenant's bookings, and how a limit is shared between gateways.
//! - `ceilings`: the most that is given, as the log knows it.
//! - `incarnations`: processes that are over, and when nothing of earlier leaders counts any more.
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
use incarnations::LONGEST_STEP_DOWN;
use reporters::{ReportStatus, Reporters};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tenant::TenantLedger;

/// What a leader does about a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerAnswer {
    /// To the gateway that reported, and to others whose spare allowances it needs.
    pub grants: Vec<AllowanceGrant>,
    /// Ceilings that would allow more.
    pub ceilings: Vec<CeilingChange>,
}

/// What the state of the cell says of limits.
pub trait LimitTerms {
    /// The rate of a tenant in force; none where it is not limited.
    fn rate(&self, tenant: &TenantName) -> Option<TenantRate>;
    /// The ceiling of a tenant in the log; none for the default.
    fn ceiling(&self, tenant: &TenantName) -> Option<u64>;
}

/// What has been given of the limits, as the leader of one term knows it.
#[derive(Debug)]
pub struct LimitLedger {
    term: Term,
    bounds: LimitBounds,
    /// Incarnations that may hold what earlier leaders gave and have not reported.
    awaited: BTreeSet<GatewayIncarnation>,
    /// By when the incarnations had ended at the latest that earlier leaders may have given something to
    /// and that cannot report any more, by gateway.
    earlier_ends: BTreeMap<ProxyName, Timestamp>,
    /// Until when what earlier leaders gave may have let operations begin.
    settled_at: Timestamp,
    /// Incarnations that are over.
    ended: BTreeSet<GatewayIncarnation>,
    reporters: Reporters,
    tenants: HashMap<TenantName, TenantLedger>,
    /// Tenants that some gateway lacks operations of.
    lacking: BTreeSet<TenantName>,
    /// Ceilings as they were when the leadership began.
    inherited: BTreeMap<TenantName, u64>,
    /// Ceilings that are being lowered: they hold already.
    lowering: BTreeMap<TenantName, u64>,
    lowering_due: Timestamp,
}

impl LimitLedger {
    /// The ledger of a leadership that begins now, with everything in its state that was committed
    /// before: the gateways there are, and the ceilings in the log.
    #[must_use]
    pub fn new(
        now: Timestamp,
        term: Term,
        bounds: LimitBounds,
        gateways: BTreeSet<GatewayIncarnation>,
        ceilings: BTreeMap<TenantName, u64>,
    ) -> Self {
        let bounds = bounds.checked();
        let mut ledger = Self {
            term,
            bounds,
            earlier_ends: gateways.iter().map(|it| (it.gateway.clone(), now)).collect(),
            awaited: gateways,
            settled_at: now + bounds.longest_life() + LONGEST_STEP_DOWN + bounds.counted(),
            ended: BTreeSet::new(),
            reporters: Reporters::default(),
            tenants: HashMap::new(),
            lacking: BTreeSet::new(),
            inherited: ceilings,
            lowering: BTreeMap::new(),
            lowering_due: now + LOWERING_INTERVAL,
        };
        ledger.settle(now);
        ledger
    }

    /// The operations that all gateways may begin in a window at a rate.
    #[must_use]
    pub fn window_limit(&self, rate: TenantRate) -> u64 {
        self.bounds.window_limit(rate)
    }

    /// Takes a report of a gateway whose incarnation is the one in the state. A report for another leader,
    /// or one that was overtaken, is not answered.
    pub fn take_report(
        &mut self,
        now: Timestamp,
        report: &AllowanceReport,
        terms: &impl LimitTerms,
    ) -> LedgerAnswer {
        let reporter =
            GatewayIncarnation { gateway: report.gateway.clone(), incarnation: report.incarnation };
        let mut answer = AnswerBuilder::default();
        if report.term != self.term || self.ended.contains(&reporter) {
            return answer.finish();
        }
        self.end_predecessor(now, &reporter);
        if report.whole {
            self.note_running(now, &reporter, report.running);
        }
        match self.reporters.note_report(now, report) {
            ReportStatus::Overtaken => return answer.finish(),
            ReportStatus::InPart => {
                if let Some(grant) = self.reporters.grant(&mut answer, self.term, &report.gateway) {
                    grant.wants_whole = true;
                }
                return answer.finish();
            }
            ReportStatus::Whole => (),
        }
        self.book(now, report, &reporter);
        self.answer_report(now, report, terms, &mut answer);
        answer.finish()
    }

    /// Takes what a gateway holds into the books.
    fn book(&mut self, now: Timestamp, report: &AllowanceReport, reporter: &GatewayIncarnation) {
        let was_awaited = self.awaited.remove(reporter);
        for demand in &report.demands {
            let inherited = self.inherited.get(&demand.tenant).copied();
            let tenant = self
                .tenants
                .entry(demand.tenant.clone())
                .or_insert_with(|| TenantLedger::new(inherited));
            tenant.book(&report.gateway, demand, report.taken, was_awaited);
        }
        if report.whole {
            let named: BTreeSet<_> = report.demands.iter().map(|demand| &demand.tenant).collect();
            let others = self.tenants.iter_mut().filter(|(tenant, _)| !named.contains(tenant));
            others.for_each(|(_, tenant)| tenant.book_nothing(&report.gateway, report.taken));
            self.settle(now);
        }
    }

    /// Drops what has ended by itself.
    pub fn expire(&mut self, now: Timestamp) {
        for silent in self.reporters.silent_since(now, self.bounds.longest_life()) {
            for tenant in self.tenants.values_mut() {
                tenant.end(&silent, now + self.bounds.counted());
            }
        }
        self.tenants.values_mut().for_each(|tenant| tenant.expire(now));
    }

    /// Operations of a tenant in a window that are given, or may have begun.
    pub fn given(&mut self, now: Timestamp, tenant: &TenantName) -> u64 {
        let settled = self.is_settled(now);
        self.tenants.get_mut(tenant).map_or(0, |it| it.given(now, settled))
    }
}
