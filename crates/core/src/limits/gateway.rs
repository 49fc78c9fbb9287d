//! The limits of tenants at one gateway.
//!
//! Admits the operations of all tenants that are limited, and exchanges reports and grants with the
//! leader. Owns the tenants' accounts, the leader's term and the numbers of reports and grants. Relies on
//! its caller for the clock, for the rates in force and for carrying messages.

use super::account::{
    Account, AdmittedOperations, OperationOutcome, OperationRequestNumber, OverLimit,
    ReportedDemand, WaitingRequest,
};
use super::bounds::LimitBounds;
use super::messages::{AllowanceDemand, AllowanceGrant, AllowanceReport};
use crate::identity::{Incarnation, ProxyName};
use crate::position::Term;
use crate::tenancy::{TenantDirectory, TenantName, TenantRate};
use crate::time::Timestamp;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Part of the life of an allowance after which everything held is reported again, which renews it: 30 s of
/// 300 s. Chosen, not measured: a lower part costs the leader more reports; a higher one leaves less time
/// to serve on where a gateway is cut off just before it renews.
const RENEWAL_PART: f64 = 0.1;
/// Reports whose time is remembered: an answer to an older one is not used. Chosen, not measured: with fewer,
/// answers that were late in a herd of reports are lost; each costs sixteen bytes.
const REPORTS_REMEMBERED: u64 = 64;

/// Operations of one tenant that are asked for together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationRequest {
    /// How many.
    pub operations: u64,
    /// Their priority class; 0 is served first.
    pub priority: u32,
    /// How long they may wait.
    pub until: Timestamp,
}

/// Operations that were asked for together, and what became of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledRequest {
    /// The number that it was given.
    pub number: OperationRequestNumber,
    /// As many as begin now, perhaps fewer than were asked for; or none.
    pub outcome: Result<AdmittedOperations, OverLimit>,
}

/// Operations of all tenants that are limited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitTotals {
    /// That may begin in a window.
    pub allowed: u64,
    /// That were counted in the last one.
    pub counted: u64,
}

/// What one gateway may begin, tenant by tenant, and what it tells the leader of that.
#[derive(Debug)]
pub struct GatewayLimits {
    gateway: ProxyName,
    incarnation: Incarnation,
    /// When this incarnation of the gateway began.
    started: Timestamp,
    bounds: LimitBounds,
    /// Term of the leader that allowances are taken from.
    term: Option<Term>,
    /// Number of the newest grant of that term.
    taken: u64,
    sequence: u64,
    /// When the newest reports were made.
    reports: HashMap<u64, Timestamp>,
    whole_due: Timestamp,
    accounts: HashMap<TenantName, Account>,
    limits: HashMap<TenantName, u64>,
    /// Number of the newest request.
    requests: u64,
    /// Tenants that operations wait for.
    waiting: BTreeSet<TenantName>,
}

impl GatewayLimits {
    /// The limits of a gateway that starts now.
    #[must_use]
    pub fn new(
        started: Timestamp,
        gateway: ProxyName,
        incarnation: Incarnation,
        bounds: LimitBounds,
    ) -> Self {
        Self {
            gateway,
            incarnation,
            started,
            bounds: bounds.checked(),
            term: None,
            taken: 0,
            sequence: 0,
            reports: HashMap::new(),
            whole_due: Timestamp::ZERO,
            accounts: HashMap::new(),
            limits: HashMap::new(),
            requests: 0,
            waiting: BTreeSet::new(),
        }
    }

    /// Takes the rates of another document; none where there are no tenants.
    pub fn follow(&mut self, tenants: Option<&TenantDirectory>) {
        let rates = tenants.into_iter().flat_map(TenantDirectory::rates);
        let limit = |(name, rate): (&TenantName, TenantRate)| {
            (name.clone(), self.bounds.window_limit(rate))
        };
        self.limits = rates.map(limit).collect();
        for (tenant, account) in &mut self.accounts {
            account.set_limit(self.limits.get(tenant).copied().unwrap_or(0));
        }
    }

    /// What all tenants together may begin here, and have begun.
    pub fn totals(&mut self, now: Timestamp) -> LimitTotals {
        let bounds = self.bounds;
        let accounts = self.accounts.values_mut();
        accounts.fold(LimitTotals::default(), |sum, account| {
            let (allowed, counted) = account.in_window(now, &bounds);
            LimitTotals { allowed: sum.allowed + allowed, counted: sum.counted + counted }
        })
    }

    /// Whether a tenant's operations are counted.
    #[must_use]
    pub fn is_limited(&self, tenant: &TenantName) -> bool {
        self.limits.contains_key(tenant)
    }

    /// Notes that operations are likely to be asked for.
    pub fn expect(&mut self, now: Timestamp, tenant: &TenantName) {
        if let Some(account) = self.account(tenant) {
            account.expect(now);
        }
    }

    /// Takes operations that are asked for together. Those that wait are settled by
    /// [`GatewayLimits::settle`].
    pub fn request(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        OperationRequest { operations, priority, until }: OperationRequest,
    ) -> OperationOutcome {
        let bounds = self.bounds;
        self.requests += 1;
        let number = OperationRequestNumber(self.requests);
        let request = WaitingRequest { number, priority, operations, until };
        let Some(account) = self.account(tenant) else { return OperationOutcome::Unlimited };
        let outcome = account.request(now, &bounds, request);
        if let OperationOutcome::Waiting(_) = outcome {
            self.waiting.insert(tenant.clone());
        }
        outcome
    }

    /// Decides what can be decided of operations that wait: after an answer of the leader, once some
    /// did not run, and when [`GatewayLimits::settle_due`] says so.
    pub fn settle(&mut self, now: Timestamp) -> Vec<SettledRequest> {
        let mut settled = Vec::new();
        for tenant in std::mem::take(&mut self.waiting) {
            let bounds = self.bounds;
            let Some(account) = self.accounts.get_mut(&tenant) else { continue };
            let outcomes = account.settle(now, &bounds).into_iter();
            settled.extend(outcomes.map(|(number, outcome)| SettledRequest { number, outcome }));
            if account.has_waiting() {
                self.waiting.insert(tenant);
            }
        }
        settled
    }

    /// When something can be decided of the operations that wait, if nothing else happens.
    #[must_use]
    pub fn settle_due(&self, now: Timestamp) -> Option<Timestamp> {
        let accounts = self.waiting.iter().filter_map(|tenant| self.accounts.get(tenant));
        accounts.filter_map(|account| account.settle_due(now, &self.bounds)).min()
    }

    /// Drops a request that waits: who made it has gone.
    pub fn withdraw(&mut self, tenant: &TenantName, number: OperationRequestNumber) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.withdraw(number);
        }
    }

    /// Operations that were counted did not run.
    pub fn return_operations(&mut self, tenant: &TenantName, admitted: AdmittedOperations) {
        let bounds = self.bounds;
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.uncount(admitted, &bounds);
        }
    }

    /// Mean time between two places of a tenant that become free, where all are in use.
    #[must_use]
    pub fn place_interval(&self, over: &OverLimit) -> Duration {
        self.bounds.window.div_f64(over.allowance.max(1) as f64)
    }

    /// The account of a tenant that is limited.
    fn account(&mut self, tenant: &TenantName) -> Option<&mut Account> {
        let limit = *self.limits.get(tenant)?;
        if !self.accounts.contains_key(tenant) {
            self.accounts.insert(tenant.clone(), Account::default());
        }
        let account = self.accounts.get_mut(tenant)?;
        account.set_limit(limit);
        Some(account)
    }

    /// Whether the leader should be sent a report at once.
    #[must_use]
    pub fn is_urgent(&self, now: Timestamp) -> bool {
        self.accounts.values().any(|account| account.is_urgent(now))
    }

    /// A control replica says that a leader has been elected. One that says the same again has just
    /// been connected to: what was sent through another may be lost.
    pub fn follow_leader(&mut self, now: Timestamp, term: Term) {
        if self.term.is_some_and(|known| known > term) {
            return;
        }
        if self.term == Some(term) {
            self.whole_due = now;
            return;
        }
        self.term = Some(term);
        self.taken = 0;
        self.reports.clear();
        self.whole_due = now;
        self.accounts.values_mut().for_each(Account::follow_leader);
    }

    /// What the leader should hear now; none where there is no leader or nothing to say.
    pub fn report(&mut self, now: Timestamp) -> Option<AllowanceReport> {
        let term = self.term?;
        let whole = now >= self.whole_due;
        if whole {
            self.whole_due = now + self.bounds.allowance_life.mul_f64(RENEWAL_PART);
            let bounds = self.bounds;
            self.accounts.retain(|_, account| !account.is_unused(now, &bounds));
        }
        let demand = |(tenant, account): (&TenantName, &mut Account)| {
            let ReportedDemand { held, needed, wanted } =
                account.report(now, &self.bounds, whole)?;
            Some(AllowanceDemand { tenant: tenant.clone(), held, needed, wanted })
        };
        let demands: Vec<_> = self.accounts.iter_mut().filter_map(demand).collect();
        if demands.is_empty() && !whole {
            return None;
        }
        self.sequence += 1;
        self.reports.retain(|sequence, _| sequence + REPORTS_REMEMBERED > self.sequence);
        self.reports.insert(self.sequence, now);
        Some(AllowanceReport {
            gateway: self.gateway.clone(),
            incarnation: self.incarnation,
            term,
            sequence: self.sequence,
            running: now.saturating_since(self.started),
            taken: self.taken,
            whole,
            demands,
        })
    }

    /// Takes what the leader gives. What another leader gives, or what was overtaken, is not used.
    pub fn take(&mut self, now: Timestamp, grant: &AllowanceGrant) {
        let is_ours = grant.gateway == self.gateway && grant.incarnation == self.incarnation;
        if !is_ours || self.term != Some(grant.term) || grant.number <= self.taken {
            return;
        }
        let Some(reported_at) = self.reports.get(&grant.answers).copied() else { return };
        self.taken = grant.number;
        if grant.wants_whole {
            self.whole_due = now;
        }
        let ends = reported_at + self.bounds.allowance_life;
        for allowance in &grant.allowances {
            if let Some(account) = self.account(&allowance.tenant) {
                account.take(now, allowance, ends);
            }
        }
        for recall in &grant.recalls {
            if let Some(account) = self.account(&recall.tenant) {
                account.keep(now, recall.kept);
            }
        }
    }
}
