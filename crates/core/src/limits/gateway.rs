//! Enforces the limits of tenants at one gateway.
//!
//! Admits the operations of all limited tenants, and exchanges reports and grants with the leader.
//! [`GatewayLimits`] owns the tenants' accounts, the leader's term and the numbers of reports and
//! grants. The caller supplies the clock and the rates in force, and carries the messages.

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

/// Fraction of the life of an allowance after which a full report renews everything held: 30 s of
/// 300 s. A lower fraction costs the leader more reports; a higher one leaves a gateway that is cut off
/// just before it renews less time to serve on.
const RENEWAL_FRACTION: f64 = 0.1;
/// Reports whose time is remembered; a grant that answers an older report is not used. With fewer, late
/// answers are lost when many reports are sent in a short time. Each costs 16 bytes.
const MAX_REMEMBERED_REPORTS: u64 = 64;

/// Operations of one tenant that are requested together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationRequest {
    /// Number of operations.
    pub operations: u64,
    /// Priority class of the operations; class 0 is served first.
    pub priority: u32,
    /// Deadline until which the operations may wait.
    pub until: Timestamp,
}

/// Decision on operations that were requested together and had to wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledRequest {
    /// Number of the request.
    pub number: OperationRequestNumber,
    /// Operations that begin now, possibly fewer than requested; or the refusal.
    pub outcome: Result<AdmittedOperations, OverLimit>,
}

/// Totals over the operations of all limited tenants at a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitTotals {
    /// Operations that may begin in a window.
    pub allowed: u64,
    /// Operations counted in the last window.
    pub counted: u64,
}

/// Allowances, counts and waiting requests of all tenants at one gateway, and the state of its reports
/// to the leader.
#[derive(Debug)]
pub struct GatewayLimits {
    gateway: ProxyName,
    incarnation: Incarnation,
    /// Time at which this incarnation of the gateway started.
    started: Timestamp,
    bounds: LimitBounds,
    /// Term of the leader whose allowances are accepted.
    term: Option<Term>,
    /// Number of the newest applied grant of that term.
    last_applied_grant: u64,
    last_report_sequence: u64,
    /// Times at which the newest reports were made, by sequence number.
    report_times: HashMap<u64, Timestamp>,
    full_report_due: Timestamp,
    accounts: HashMap<TenantName, Account>,
    limits: HashMap<TenantName, u64>,
    /// Number of the newest request.
    last_request_number: u64,
    /// Tenants that have waiting operations.
    waiting_tenants: BTreeSet<TenantName>,
}

impl GatewayLimits {
    /// Creates the limits of a gateway that starts now.
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
            bounds: bounds.clamped(),
            term: None,
            last_applied_grant: 0,
            last_report_sequence: 0,
            report_times: HashMap::new(),
            full_report_due: Timestamp::ZERO,
            accounts: HashMap::new(),
            limits: HashMap::new(),
            last_request_number: 0,
            waiting_tenants: BTreeSet::new(),
        }
    }

    /// Applies the rates of a new document; none where there are no tenants.
    pub fn apply_rates(&mut self, tenants: Option<&TenantDirectory>) {
        let rates = tenants.into_iter().flat_map(TenantDirectory::rates);
        let limit = |(name, rate): (&TenantName, TenantRate)| {
            (name.clone(), self.bounds.window_limit(rate))
        };
        self.limits = rates.map(limit).collect();
        for (tenant, account) in &mut self.accounts {
            account.set_limit(self.limits.get(tenant).copied().unwrap_or(0));
        }
    }

    /// Returns what all tenants together may begin here in a window, and have begun in the last one.
    pub fn totals(&mut self, now: Timestamp) -> LimitTotals {
        let bounds = self.bounds;
        let accounts = self.accounts.values_mut();
        accounts.fold(LimitTotals::default(), |sum, account| {
            let (allowed, counted) = account.window_usage(now, &bounds);
            LimitTotals { allowed: sum.allowed + allowed, counted: sum.counted + counted }
        })
    }

    /// Reports whether a tenant's operations are counted.
    #[must_use]
    pub fn is_limited(&self, tenant: &TenantName) -> bool {
        self.limits.contains_key(tenant)
    }

    /// Prepares for operations that are likely to be requested: an allowance is asked for in advance.
    pub fn expect_operations(&mut self, now: Timestamp, tenant: &TenantName) {
        if let Some(account) = self.account(tenant) {
            account.expect_operations(now);
        }
    }

    /// Admits, queues or refuses operations that are requested together. [`GatewayLimits::settle`]
    /// decides on queued ones.
    pub fn request(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        OperationRequest { operations, priority, until }: OperationRequest,
    ) -> OperationOutcome {
        let bounds = self.bounds;
        self.last_request_number += 1;
        let number = OperationRequestNumber(self.last_request_number);
        let request = WaitingRequest { number, priority, operations, until };
        let Some(account) = self.account(tenant) else { return OperationOutcome::Unlimited };
        let outcome = account.request(now, &bounds, request);
        if let OperationOutcome::Waiting(_) = outcome {
            self.waiting_tenants.insert(tenant.clone());
        }
        outcome
    }

    /// Admits or refuses waiting operations where that can be decided now. To be called after a grant
    /// of the leader, after counted operations were returned, and at the time that
    /// [`GatewayLimits::settle_due`] returns.
    pub fn settle(&mut self, now: Timestamp) -> Vec<SettledRequest> {
        let mut settled = Vec::new();
        for tenant in std::mem::take(&mut self.waiting_tenants) {
            let bounds = self.bounds;
            let Some(account) = self.accounts.get_mut(&tenant) else { continue };
            let outcomes = account.settle(now, &bounds).into_iter();
            settled.extend(outcomes.map(|(number, outcome)| SettledRequest { number, outcome }));
            if account.has_waiting() {
                self.waiting_tenants.insert(tenant);
            }
        }
        settled
    }

    /// Returns the time at which waiting operations can next be decided on if nothing else happens.
    #[must_use]
    pub fn settle_due(&self, now: Timestamp) -> Option<Timestamp> {
        let accounts = self.waiting_tenants.iter().filter_map(|tenant| self.accounts.get(tenant));
        accounts.filter_map(|account| account.settle_due(now, &self.bounds)).min()
    }

    /// Removes a waiting request whose caller has gone.
    pub fn withdraw(&mut self, tenant: &TenantName, number: OperationRequestNumber) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.withdraw(number);
        }
    }

    /// Subtracts counted operations that did not run.
    pub fn return_operations(&mut self, tenant: &TenantName, admitted: AdmittedOperations) {
        let bounds = self.bounds;
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.return_operations(admitted, &bounds);
        }
    }

    /// Returns the mean time between two admissions of a tenant whose allowance is used up.
    #[must_use]
    pub fn admission_interval(&self, refusal: &OverLimit) -> Duration {
        self.bounds.window.div_f64(refusal.allowance.max(1) as f64)
    }

    /// Returns the account of a limited tenant, and creates it if needed.
    fn account(&mut self, tenant: &TenantName) -> Option<&mut Account> {
        let limit = *self.limits.get(tenant)?;
        if !self.accounts.contains_key(tenant) {
            self.accounts.insert(tenant.clone(), Account::default());
        }
        let account = self.accounts.get_mut(tenant)?;
        account.set_limit(limit);
        Some(account)
    }

    /// Reports whether the leader should be sent a report at once.
    #[must_use]
    pub fn is_urgent(&self, now: Timestamp) -> bool {
        self.accounts.values().any(|account| account.is_urgent(now))
    }

    /// Records that a control replica announced the leader of a term. If the term is the current one,
    /// the gateway has just connected to another replica: messages sent through the previous one may be
    /// lost, so a full report is due.
    pub fn follow_leader(&mut self, now: Timestamp, term: Term) {
        if self.term.is_some_and(|current| current > term) {
            return;
        }
        if self.term == Some(term) {
            self.full_report_due = now;
            return;
        }
        self.term = Some(term);
        self.last_applied_grant = 0;
        self.report_times.clear();
        self.full_report_due = now;
        self.accounts.values_mut().for_each(Account::follow_leader);
    }

    /// Returns the report that is due to the leader; none where there is no leader or nothing to
    /// report.
    pub fn report(&mut self, now: Timestamp) -> Option<AllowanceReport> {
        let term = self.term?;
        let is_full = now >= self.full_report_due;
        if is_full {
            self.full_report_due = now + self.bounds.allowance_life.mul_f64(RENEWAL_FRACTION);
            let bounds = self.bounds;
            self.accounts.retain(|_, account| !account.is_unused(now, &bounds));
        }
        let demand = |(tenant, account): (&TenantName, &mut Account)| {
            let ReportedDemand { held, needed, wanted } =
                account.report(now, &self.bounds, is_full)?;
            Some(AllowanceDemand { tenant: tenant.clone(), held, needed, wanted })
        };
        let demands: Vec<_> = self.accounts.iter_mut().filter_map(demand).collect();
        if demands.is_empty() && !is_full {
            return None;
        }
        self.last_report_sequence += 1;
        self.report_times
            .retain(|sequence, _| sequence + MAX_REMEMBERED_REPORTS > self.last_report_sequence);
        self.report_times.insert(self.last_report_sequence, now);
        Some(AllowanceReport {
            gateway: self.gateway.clone(),
            incarnation: self.incarnation,
            term,
            sequence: self.last_report_sequence,
            uptime: now.saturating_since(self.started),
            last_applied_grant: self.last_applied_grant,
            is_full,
            demands,
        })
    }

    /// Applies a grant of the leader. Grants of other leaders and grants older than the newest applied
    /// one are ignored.
    pub fn apply_grant(&mut self, now: Timestamp, grant: &AllowanceGrant) {
        let is_addressed_here =
            grant.gateway == self.gateway && grant.incarnation == self.incarnation;
        if !is_addressed_here
            || self.term != Some(grant.term)
            || grant.number <= self.last_applied_grant
        {
            return;
        }
        let Some(reported_at) = self.report_times.get(&grant.report_sequence).copied() else {
            return;
        };
        self.last_applied_grant = grant.number;
        if grant.wants_full_report {
            self.full_report_due = now;
        }
        let expires_at = reported_at + self.bounds.allowance_life;
        for allowance in &grant.allowances {
            if let Some(account) = self.account(&allowance.tenant) {
                account.apply_grant(now, allowance, expires_at);
            }
        }
        for recall in &grant.recalls {
            if let Some(account) = self.account(&recall.tenant) {
                account.apply_recall(now, recall.kept);
            }
        }
    }
}
