//! What the leader has given of each tenant's limit.

mod tenant;

use super::bounds::LimitBounds;
use super::messages::{
    AllowanceGrant, AllowanceRecall, AllowanceReport, AllowanceWish, TenantAllowance,
};
use crate::identity::{Incarnation, ProxyName};
use crate::position::Term;
use crate::tenancy::{TenantName, TenantRate};
use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use tenant::{Offer, Recall, TenantLedger};

/// Part of a limit that may be given without a ceiling in the log. What is left is enough for most of a
/// usual window where a new leader does not know yet what the one before gave.
const DEFAULT_CEILING_PART: f64 = 0.5;
/// How much above what is given a ceiling is raised, so that it is not raised with every report.
const CEILING_ROOM: f64 = 1.1;
/// A ceiling is lowered once no more than this part of it is given.
const CEILING_KEPT_PART: f64 = 0.8;
/// How long a leader that was replaced may go on: it steps down once it has not heard from a majority for
/// an election timeout, which no deployment sets as long as this.
const STEPPING_DOWN: Duration = Duration::from_secs(10);
/// Shortest time between two recalls from one gateway: it answers the first one within that.
const RECALL_SPACING: Duration = Duration::from_millis(100);
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

/// One life of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatewayLife {
    /// The gateway.
    pub gateway: ProxyName,
    /// The life.
    pub incarnation: Incarnation,
}

/// A gateway that reported in this leadership.
#[derive(Debug)]
struct Holder {
    incarnation: Incarnation,
    /// Sequence of its newest report.
    sequence: u64,
    heard_at: Timestamp,
    /// Number of the newest grant to it.
    number: u64,
    /// When it was told to give something back last.
    recalled_at: Option<Timestamp>,
    /// Whether it has told everything that it holds.
    told_whole: bool,
}

/// What has been given of the limits, as the leader of one term knows it.
#[derive(Debug)]
pub struct LimitLedger {
    term: Term,
    bounds: LimitBounds,
    /// Lives that may hold what earlier leaders gave and have not reported.
    awaited: BTreeSet<GatewayLife>,
    /// Until when what earlier leaders gave may have let operations begin.
    settled_at: Timestamp,
    /// Lives that are over.
    ended: BTreeSet<GatewayLife>,
    holders: HashMap<ProxyName, Holder>,
    tenants: HashMap<TenantName, TenantLedger>,
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
        gateways: BTreeSet<GatewayLife>,
        ceilings: BTreeMap<TenantName, u64>,
    ) -> Self {
        let bounds = bounds.checked();
        let mut ledger = Self {
            term,
            bounds,
            awaited: gateways,
            settled_at: now + bounds.longest_life() + STEPPING_DOWN + bounds.counted(),
            ended: BTreeSet::new(),
            holders: HashMap::new(),
            tenants: HashMap::new(),
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

    /// Takes a report of a gateway whose life is the one in the state; `rate_of` gives the rates in
    /// force, `ceiling_of` the ceilings in the log. A report for another leader, or one that was
    /// overtaken, is not answered.
    pub fn take_report(
        &mut self,
        now: Timestamp,
        report: &AllowanceReport,
        rate_of: impl Fn(&TenantName) -> Option<TenantRate>,
        ceiling_of: impl Fn(&TenantName) -> Option<u64>,
    ) -> LedgerAnswer {
        let life = GatewayLife { gateway: report.gateway.clone(), incarnation: report.incarnation };
        if report.term != self.term || self.ended.contains(&life) {
            return LedgerAnswer::default();
        }
        let Some(mut grant) = self.note_heard(now, &life, report) else {
            return LedgerAnswer::default();
        };
        if grant.wants_whole {
            return LedgerAnswer { grants: vec![grant], ceilings: Vec::new() };
        }
        self.book(now, report, &life);
        let (mut ceilings, mut recalled) = (Vec::new(), Vec::new());
        for wish in &report.wishes {
            let Some(rate) = rate_of(&wish.tenant) else { continue };
            let offer = self.offer(now, (report, wish), rate, ceiling_of(&wish.tenant));
            let Some((allowance, offer)) = offer else { continue };
            if let Some(tenant) = self.tenants.get_mut(&wish.tenant) {
                tenant.note_granted(&report.gateway, grant.number, allowance.operations);
                let recalls = tenant.recalls(&report.gateway, offer.lacking);
                recalled.extend(recalls.into_iter().map(|recall| (wish.tenant.clone(), recall)));
            }
            grant.allowances.push(allowance);
            ceilings
                .extend(offer.needed_ceiling.map(|needed| raise(wish, needed, rate, self.bounds)));
        }
        let mut grants = vec![grant];
        grants.extend(self.recall(now, recalled));
        LedgerAnswer { grants, ceilings }
    }

    /// Tells gateways to give back what others need; none that was told a moment ago.
    fn recall(
        &mut self,
        now: Timestamp,
        recalled: Vec<(TenantName, Recall)>,
    ) -> Vec<AllowanceGrant> {
        let mut grants: BTreeMap<ProxyName, AllowanceGrant> = BTreeMap::new();
        for (tenant, Recall { gateway, kept }) in recalled {
            let Some(holder) = self.holders.get_mut(&gateway) else { continue };
            let is_new = !grants.contains_key(&gateway);
            let recently = |at: Timestamp| now.saturating_since(at) < RECALL_SPACING;
            if is_new && holder.recalled_at.is_some_and(recently) {
                continue;
            }
            if is_new {
                holder.number += 1;
                holder.recalled_at = Some(now);
            }
            let (incarnation, number, answers) =
                (holder.incarnation, holder.number, holder.sequence);
            let grant = grants.entry(gateway.clone()).or_insert_with(|| AllowanceGrant {
                gateway: gateway.clone(),
                incarnation,
                term: self.term,
                number,
                answers,
                wants_whole: false,
                allowances: Vec::new(),
                recalls: Vec::new(),
            });
            if let Some(ledger) = self.tenants.get_mut(&tenant) {
                ledger.note_recalled(&gateway, number);
            }
            grant.recalls.push(AllowanceRecall { tenant, kept });
        }
        grants.into_values().collect()
    }

    /// Notes that a gateway reports, and begins the answer; none to a report that was overtaken. The
    /// first that is booked tells everything.
    fn note_heard(
        &mut self,
        now: Timestamp,
        life: &GatewayLife,
        report: &AllowanceReport,
    ) -> Option<AllowanceGrant> {
        let known = self.holders.get(&life.gateway).map(|holder| holder.incarnation);
        if let Some(incarnation) = known.filter(|known| *known != life.incarnation) {
            self.end(now, &GatewayLife { gateway: life.gateway.clone(), incarnation });
        }
        let new = || Holder {
            incarnation: life.incarnation,
            sequence: 0,
            heard_at: now,
            number: 0,
            recalled_at: None,
            told_whole: false,
        };
        let holder = self.holders.entry(life.gateway.clone()).or_insert_with(new);
        if report.sequence <= holder.sequence {
            return None;
        }
        holder.sequence = report.sequence;
        holder.heard_at = now;
        holder.told_whole |= report.whole;
        holder.number += 1;
        Some(AllowanceGrant {
            gateway: report.gateway.clone(),
            incarnation: report.incarnation,
            term: self.term,
            number: holder.number,
            answers: report.sequence,
            wants_whole: !holder.told_whole,
            allowances: Vec::new(),
            recalls: Vec::new(),
        })
    }

    /// What a gateway is given of one tenant's limit.
    fn offer(
        &mut self,
        now: Timestamp,
        (report, wish): (&AllowanceReport, &AllowanceWish),
        rate: TenantRate,
        logged: Option<u64>,
    ) -> Option<(TenantAllowance, Offer)> {
        let limit = self.bounds.window_limit(rate);
        let lowering = self.lowering.get(&wish.tenant).copied().unwrap_or(u64::MAX);
        let ceiling = logged.unwrap_or_else(|| default_ceiling(limit)).min(lowering);
        let settled = self.is_settled(now);
        let tenant = self.tenants.get_mut(&wish.tenant)?;
        let offer = tenant.offer(now, &report.gateway, (limit, ceiling), settled);
        let allowance = TenantAllowance {
            tenant: wish.tenant.clone(),
            operations: offer.operations,
            window_limit: limit,
        };
        Some((allowance, offer))
    }

    /// A life is over: another process runs on its machine. What it may have begun counts for one
    /// window more.
    fn end(&mut self, now: Timestamp, life: &GatewayLife) {
        self.ended.insert(life.clone());
        self.holders.remove(&life.gateway);
        for tenant in self.tenants.values_mut() {
            tenant.end(&life.gateway, now + self.bounds.counted());
        }
    }

    /// Takes what a gateway holds into the books.
    fn book(&mut self, now: Timestamp, report: &AllowanceReport, life: &GatewayLife) {
        let was_awaited = self.awaited.remove(life);
        for wish in &report.wishes {
            let inherited = self.inherited.get(&wish.tenant).copied();
            let tenant = self
                .tenants
                .entry(wish.tenant.clone())
                .or_insert_with(|| TenantLedger::new(inherited));
            tenant.book(&report.gateway, wish, report.taken, was_awaited);
        }
        if report.whole {
            let told: BTreeSet<_> = report.wishes.iter().map(|wish| &wish.tenant).collect();
            let others = self.tenants.iter_mut().filter(|(tenant, _)| !told.contains(tenant));
            others.for_each(|(_, tenant)| tenant.book_nothing(&report.gateway, report.taken));
        }
        if was_awaited {
            self.settle(now);
        }
    }

    /// Follows which lives of gateways there are: one that another has taken the place of is over.
    pub fn follow_gateways(&mut self, now: Timestamp, gateways: &BTreeSet<GatewayLife>) {
        let successors: HashMap<_, _> =
            gateways.iter().map(|life| (&life.gateway, life.incarnation)).collect();
        let is_replaced = |gateway: &ProxyName, incarnation: Incarnation| {
            successors.get(gateway).is_some_and(|successor| *successor != incarnation)
        };
        let replaced: Vec<GatewayLife> = self
            .awaited
            .iter()
            .filter(|life| is_replaced(&life.gateway, life.incarnation))
            .cloned()
            .collect();
        let ended: Vec<GatewayLife> = self
            .holders
            .iter()
            .filter(|(gateway, holder)| is_replaced(gateway, holder.incarnation))
            .map(|(gateway, holder)| GatewayLife {
                gateway: gateway.clone(),
                incarnation: holder.incarnation,
            })
            .collect();
        for life in ended {
            self.end(now, &life);
        }
        if replaced.is_empty() {
            return;
        }
        for life in replaced {
            self.awaited.remove(&life);
            self.ended.insert(life);
        }
        self.settle(now);
    }

    /// Once every life that earlier leaders may have given something to has reported or is over,
    /// nothing else of theirs can be used; what it let begin counts for one window more.
    fn settle(&mut self, now: Timestamp) {
        if self.awaited.is_empty() {
            self.settled_at = self.settled_at.min(now + self.bounds.counted());
        }
    }

    fn is_settled(&self, now: Timestamp) -> bool {
        now >= self.settled_at
    }

    /// Drops what has ended by itself.
    pub fn expire(&mut self, now: Timestamp) {
        let life = self.bounds.longest_life();
        let is_silent = |holder: &Holder| now.saturating_since(holder.heard_at) >= life;
        let silent = self.holders.iter_mut().filter(|(_, it)| it.told_whole && is_silent(it));
        // The numbers of its grants go on if it comes back.
        let silent = silent.map(|(gateway, holder)| {
            holder.told_whole = false;
            gateway.clone()
        });
        for gateway in silent.collect::<Vec<ProxyName>>() {
            for tenant in self.tenants.values_mut() {
                tenant.end(&gateway, now + self.bounds.counted());
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
        rate_of: impl Fn(&TenantName) -> Option<TenantRate>,
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
                rate_of(tenant).map(|rate| default_ceiling(self.bounds.window_limit(rate)));
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

    /// Operations of a tenant in a window that are given, or may have begun.
    pub fn given(&mut self, now: Timestamp, tenant: &TenantName) -> u64 {
        let settled = self.is_settled(now);
        self.tenants.get_mut(tenant).map_or(0, |it| it.given(now, settled))
    }
}

/// The ceiling that allows what a gateway needs, with some room.
fn raise(
    wish: &AllowanceWish,
    needed: u64,
    rate: TenantRate,
    bounds: LimitBounds,
) -> CeilingChange {
    let roomy = (needed as f64 * CEILING_ROOM) as u64;
    let limit = bounds.window_limit(rate);
    CeilingChange::Raise(wish.tenant.clone(), roomy.min(limit).max(needed))
}
