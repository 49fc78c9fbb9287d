//! What the leader has given of each tenant's limit.

mod answer;
mod holders;
mod tenant;

use super::bounds::LimitBounds;
use super::messages::{AllowanceGrant, AllowanceRecall, AllowanceReport, TenantAllowance};
use crate::identity::{Incarnation, ProxyName};
use crate::position::Term;
use crate::tenancy::{TenantName, TenantRate};
use crate::time::Timestamp;
use answer::AnswerBuilder;
use holders::{Heard, Holders};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use tenant::{OfferTerms, Recall, TenantLedger};

/// Part of a limit that may be given without a ceiling in the log. What is left is enough for most of a
/// usual window where a new leader does not know yet what the one before gave.
const DEFAULT_CEILING_PART: f64 = 0.5;
/// How much above what is given a ceiling is raised, so that it is not raised with every report: 0.05 % of
/// the operations of tenants below their limits are refused in the load test of the limits, for want of an
/// entry in the log. More is held back from all after a loss of everything.
const CEILING_ROOM: f64 = 1.03;
/// A ceiling is lowered once no more than this part of it is given; see the part of allowances that is kept.
const CEILING_KEPT_PART: f64 = 0.95;
/// How long a leader that was replaced may go on: it steps down once it has not heard from a majority for
/// an election timeout, which no deployment sets as long as this.
const STEPPING_DOWN: Duration = Duration::from_secs(10);
/// Part of its limit from which a tenant counts as near it.
const NEAR_PART: f64 = 0.9;
/// Time between two looks for ceilings that can be lowered.
const LOWERING_INTERVAL: Duration = Duration::from_secs(2);

/// The ceiling of a limit that the log says nothing of.
#[must_use]
pub fn default_ceiling(limit: u64) -> u64 {
    (limit as f64 * DEFAULT_CEILING_PART) as u64
}

/// A change of a ceiling in the log: of the most that is given of a tenant's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CeilingChange {
    /// It is at least so many operations in a window.
    Raise(TenantName, u64),
    /// It is so many, or the default.
    Lower(TenantName, Option<u64>),
}

/// What a leader does about a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerAnswer {
    /// To the gateway that reported, and to others whose spare allowances it needs.
    pub grants: Vec<AllowanceGrant>,
    /// Ceilings that would allow more.
    pub ceilings: Vec<CeilingChange>,
}

/// How a tenant stands to its limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantUse {
    /// The tenant.
    pub tenant: TenantName,
    /// Operations that may begin in a window.
    pub limit: u64,
    /// Operations of those that gateways may let begin.
    pub given: u64,
    /// Operations begun in the last window, and those that waited or were refused, as told last.
    pub needed: u64,
}

/// One life of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatewayIncarnation {
    /// The gateway.
    pub gateway: ProxyName,
    /// The life.
    pub incarnation: Incarnation,
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
    /// Lives that may hold what earlier leaders gave and have not reported.
    awaited: BTreeSet<GatewayIncarnation>,
    /// By when the lives had ended at the latest that earlier leaders may have given something to and that
    /// cannot report any more, by gateway.
    earlier_ends: BTreeMap<ProxyName, Timestamp>,
    /// Until when what earlier leaders gave may have let operations begin.
    settled_at: Timestamp,
    /// Lives that are over.
    ended: BTreeSet<GatewayIncarnation>,
    holders: Holders,
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
            earlier_ends: gateways.iter().map(|life| (life.gateway.clone(), now)).collect(),
            awaited: gateways,
            settled_at: now + bounds.longest_life() + STEPPING_DOWN + bounds.counted(),
            ended: BTreeSet::new(),
            holders: Holders::default(),
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

    /// Takes a report of a gateway whose life is the one in the state. A report for another leader, or
    /// one that was overtaken, is not answered.
    pub fn take_report(
        &mut self,
        now: Timestamp,
        report: &AllowanceReport,
        terms: &impl LimitTerms,
    ) -> LedgerAnswer {
        let life =
            GatewayIncarnation { gateway: report.gateway.clone(), incarnation: report.incarnation };
        let mut answer = AnswerBuilder::default();
        if report.term != self.term || self.ended.contains(&life) {
            return answer.finish();
        }
        self.meet(now, &life);
        if report.whole {
            self.note_running(now, &life, report.running);
        }
        match self.holders.note_heard(now, report) {
            Heard::Overtaken => return answer.finish(),
            Heard::InPart => {
                if let Some(grant) = self.holders.grant(&mut answer, self.term, &report.gateway) {
                    grant.wants_whole = true;
                }
                return answer.finish();
            }
            Heard::Whole => (),
        }
        self.book(now, report, &life);
        for demand in &report.demands {
            self.offer(now, &demand.tenant, &report.gateway, terms, &mut answer);
        }
        for tenant in self.freed_by(report) {
            self.offer_to_lacking(now, &tenant, terms, &mut answer);
        }
        answer.finish()
    }

    /// Offers more to gateways that lack some of what they need, after a change of the state or the end
    /// of what others held.
    pub fn offer_again(&mut self, now: Timestamp, terms: &impl LimitTerms) -> LedgerAnswer {
        let mut answer = AnswerBuilder::default();
        for tenant in self.lacking.clone() {
            self.offer_to_lacking(now, &tenant, terms, &mut answer);
        }
        answer.finish()
    }

    /// Tenants that some gateway lacks operations of, and of which a report may have freed some.
    fn freed_by(&self, report: &AllowanceReport) -> Vec<TenantName> {
        if report.whole {
            return self.lacking.iter().cloned().collect();
        }
        let told = report.demands.iter().map(|demand| &demand.tenant);
        told.filter(|tenant| self.lacking.contains(*tenant)).cloned().collect()
    }

    fn offer_to_lacking(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        terms: &impl LimitTerms,
        answer: &mut AnswerBuilder,
    ) {
        let Some(ledger) = self.tenants.get(tenant) else { return };
        let gateways: Vec<_> = ledger.lacking().iter().cloned().collect();
        for gateway in gateways {
            if !answer.gives(&gateway, tenant) {
                self.offer(now, tenant, &gateway, terms, answer);
            }
        }
    }

    /// Gives a gateway what it may have of a tenant's limit, if that was asked for just now or is more
    /// than before; and tells others to give back what it needs of theirs.
    fn offer(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        gateway: &ProxyName,
        terms: &impl LimitTerms,
        answer: &mut AnswerBuilder,
    ) {
        let Some(rate) = terms.rate(tenant) else { return };
        let limit = self.bounds.window_limit(rate);
        let lowering = self.lowering.get(tenant).copied().unwrap_or(u64::MAX);
        let logged = terms.ceiling(tenant);
        let ceiling = logged.unwrap_or_else(|| default_ceiling(limit)).min(lowering);
        let settled = self.is_settled(now);
        let settled_at = self.awaited.is_empty().then_some(self.settled_at);
        let Some(ledger) = self.tenants.get_mut(tenant) else { return };
        let offer = ledger.offer(now, gateway, OfferTerms { limit, ceiling, settled, settled_at });
        if offer.is_news
            && let Some(grant) = self.holders.grant(answer, self.term, gateway)
        {
            ledger.note_granted(gateway, grant.number, offer.operations);
            grant.allowances.push(TenantAllowance {
                tenant: tenant.clone(),
                operations: offer.operations,
                window_limit: limit,
                more_follows: offer.lacking > 0,
                more_after: offer.more_at.map(|at| at.saturating_since(now)),
            });
        }
        if ledger.lacking().is_empty() {
            self.lacking.remove(tenant);
        } else {
            self.lacking.insert(tenant.clone());
        }
        if let Some(needed) = offer.needed_ceiling {
            answer.ceilings.push(raise(tenant, needed, limit));
        }
        for Recall { gateway, kept } in ledger.recalls(gateway, &offer) {
            if let Some(grant) = self.holders.recall(answer, self.term, now, &gateway) {
                ledger.note_recalled(&gateway, grant.number);
                grant.recalls.push(AllowanceRecall { tenant: tenant.clone(), kept });
            }
        }
    }

    /// Another process of a gateway that was known: the one before is over.
    fn meet(&mut self, now: Timestamp, life: &GatewayIncarnation) {
        let known = self.holders.incarnation(&life.gateway);
        if let Some(incarnation) = known.filter(|known| *known != life.incarnation) {
            self.end(now, &GatewayIncarnation { gateway: life.gateway.clone(), incarnation });
        }
    }

    /// A life has been running for some time: those of its gateway before it ended earlier.
    fn note_running(&mut self, now: Timestamp, life: &GatewayIncarnation, running: Duration) {
        // Before the leader's clock began at the latest, which is late enough.
        let ended_by = now.before(self.bounds.at_least(running)).unwrap_or(Timestamp::ZERO);
        for tenant in self.tenants.values_mut() {
            tenant.ended_earlier(life, ended_by + self.bounds.counted());
        }
        if let Some(end) = self.earlier_ends.get_mut(&life.gateway) {
            *end = (*end).min(ended_by);
        }
    }

    /// A life is over: another process runs on its machine. What it may have begun counts for one
    /// window more.
    fn end(&mut self, now: Timestamp, life: &GatewayIncarnation) {
        self.ended.insert(life.clone());
        self.holders.remove(&life.gateway);
        for tenant in self.tenants.values_mut() {
            tenant.end(life, now + self.bounds.counted());
        }
    }

    /// Takes what a gateway holds into the books.
    fn book(&mut self, now: Timestamp, report: &AllowanceReport, life: &GatewayIncarnation) {
        let was_awaited = self.awaited.remove(life);
        for demand in &report.demands {
            let inherited = self.inherited.get(&demand.tenant).copied();
            let tenant = self
                .tenants
                .entry(demand.tenant.clone())
                .or_insert_with(|| TenantLedger::new(inherited));
            tenant.book(&report.gateway, demand, report.taken, was_awaited);
        }
        if report.whole {
            let told: BTreeSet<_> = report.demands.iter().map(|demand| &demand.tenant).collect();
            let others = self.tenants.iter_mut().filter(|(tenant, _)| !told.contains(tenant));
            others.for_each(|(_, tenant)| tenant.book_nothing(&report.gateway, report.taken));
        }
        if report.whole {
            self.settle(now);
        }
    }

    /// Follows which lives of gateways there are: one that another has taken the place of is over.
    pub fn follow_gateways(&mut self, now: Timestamp, gateways: &BTreeSet<GatewayIncarnation>) {
        let successors: HashMap<_, _> =
            gateways.iter().map(|life| (&life.gateway, life.incarnation)).collect();
        let is_replaced = |gateway: &ProxyName, incarnation: Incarnation| {
            successors.get(gateway).is_some_and(|successor| *successor != incarnation)
        };
        let replaced: Vec<GatewayIncarnation> = self
            .awaited
            .iter()
            .filter(|life| is_replaced(&life.gateway, life.incarnation))
            .cloned()
            .collect();
        let known = self.holders.lives();
        let ended: Vec<GatewayIncarnation> =
            known.filter(|life| is_replaced(&life.gateway, life.incarnation)).collect();
        for life in ended {
            self.end(now, &life);
        }
        if replaced.is_empty() {
            return;
        }
        for life in replaced {
            self.awaited.remove(&life);
            self.earlier_ends.insert(life.gateway.clone(), now);
            self.ended.insert(life);
        }
        self.settle(now);
    }

    /// Once every life that earlier leaders may have given something to has reported or is over,
    /// nothing else of theirs can be used; what those let begin that are over counts for one window more.
    fn settle(&mut self, now: Timestamp) {
        if self.awaited.is_empty() {
            let last_end = self.earlier_ends.values().copied().max().unwrap_or(now);
            self.settled_at = self.settled_at.min(last_end + self.bounds.counted());
        }
    }

    fn is_settled(&self, now: Timestamp) -> bool {
        now >= self.settled_at
    }

    /// Drops what has ended by itself.
    pub fn expire(&mut self, now: Timestamp) {
        for life in self.holders.silent_since(now, self.bounds.longest_life()) {
            for tenant in self.tenants.values_mut() {
                tenant.end(&life, now + self.bounds.counted());
            }
        }
        self.tenants.values_mut().for_each(|tenant| tenant.expire(now));
    }

    /// Ceilings that are much higher than what is given, with what they may be lowered to. They hold
    /// from now on; [`LimitLedger::lowered`] says that they are in the log.
    pub fn lower_ceilings(
        &mut self,
        now: Timestamp,
        ceilings: &BTreeMap<TenantName, u64>,
        terms: &impl LimitTerms,
    ) -> Vec<CeilingChange> {
        if now < self.lowering_due || !self.is_settled(now) || !self.lowering.is_empty() {
            return Vec::new();
        }
        self.lowering_due = now + LOWERING_INTERVAL;
        let lower = |(tenant, ceiling): (&TenantName, &u64)| {
            let given = self.tenants.get_mut(tenant).map_or(0, |it| it.given(now, true));
            if given as f64 > *ceiling as f64 * CEILING_KEPT_PART {
                return None;
            }
            let default =
                terms.rate(tenant).map(|rate| default_ceiling(self.bounds.window_limit(rate)));
            let lowered = (given as f64 * CEILING_ROOM) as u64;
            let operations = (default.unwrap_or(0) < lowered).then_some(lowered);
            self.lowering.insert(tenant.clone(), operations.or(default).unwrap_or(0));
            Some(CeilingChange::Lower(tenant.clone(), operations))
        };
        ceilings.iter().filter_map(lower).collect()
    }

    /// The ceilings that were lowered last are in the log.
    pub fn lowered(&mut self) {
        self.lowering.clear();
    }

    /// The tenants that come nearest to their limits, at most so many.
    pub fn nearest(&self, most: usize, terms: &impl LimitTerms) -> Vec<TenantUse> {
        let near = self.tenants.iter().filter_map(|(tenant, ledger)| {
            let limit = self.bounds.window_limit(terms.rate(tenant)?);
            let needed = ledger.needed();
            let is_near = needed as f64 >= limit as f64 * NEAR_PART;
            is_near.then(|| TenantUse {
                tenant: tenant.clone(),
                limit,
                given: ledger.booked(),
                needed,
            })
        });
        let mut near: Vec<_> = near.collect();
        near.sort_by_key(|it| std::cmp::Reverse(it.needed * 1_000 / it.limit.max(1)));
        near.truncate(most);
        near
    }

    /// Operations of a tenant in a window that are given, or may have begun.
    pub fn given(&mut self, now: Timestamp, tenant: &TenantName) -> u64 {
        let settled = self.is_settled(now);
        self.tenants.get_mut(tenant).map_or(0, |it| it.given(now, settled))
    }
}

/// The ceiling that allows what is needed, with some room.
fn raise(tenant: &TenantName, needed: u64, limit: u64) -> CeilingChange {
    let roomy = (needed as f64 * CEILING_ROOM) as u64;
    CeilingChange::Raise(tenant.clone(), roomy.min(limit).max(needed))
}
