//! The limits of tenants at one gateway.

use super::account::{Account, OverLimit, Told};
use super::bounds::LimitBounds;
use super::messages::{AllowanceGrant, AllowanceReport, AllowanceWish};
use crate::identity::{Incarnation, ProxyName};
use crate::position::Term;
use crate::tenancy::{TenantDirectory, TenantName, TenantRate};
use crate::time::Timestamp;
use std::collections::HashMap;

/// What one gateway may begin, tenant by tenant, and what it tells the leader of that.
#[derive(Debug)]
pub struct GatewayLimits {
    gateway: ProxyName,
    incarnation: Incarnation,
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
}

/// Part of the life of an allowance after which everything held is reported again, which renews it.
const RENEWAL_PART: f64 = 0.1;
/// Reports whose time is remembered: an answer to an older one is not used.
const REPORTS_REMEMBERED: u64 = 64;

impl GatewayLimits {
    /// The limits of a gateway that has just started.
    #[must_use]
    pub fn new(gateway: ProxyName, incarnation: Incarnation, bounds: LimitBounds) -> Self {
        Self {
            gateway,
            incarnation,
            bounds: bounds.checked(),
            term: None,
            taken: 0,
            sequence: 0,
            reports: HashMap::new(),
            whole_due: Timestamp::ZERO,
            accounts: HashMap::new(),
            limits: HashMap::new(),
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

    /// Notes that an operation is asked for, before it is first tried to begin it.
    pub fn note_asked(&mut self, now: Timestamp, tenant: &TenantName) {
        let bounds = self.bounds;
        if let Some(account) = self.account(tenant) {
            account.note_asked(now, &bounds);
        }
    }

    /// Notes that operations are likely to be asked for.
    pub fn expect(&mut self, now: Timestamp, tenant: &TenantName) {
        let bounds = self.bounds;
        if let Some(account) = self.account(tenant) {
            account.expect(now, &bounds);
        }
    }

    /// Counts an operation that may begin; gives the mark to take it back by, none where nothing is
    /// limited.
    ///
    /// # Errors
    /// [`OverLimit`]; nothing is counted then.
    pub fn begin(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
    ) -> Result<Option<Timestamp>, OverLimit> {
        let bounds = self.bounds;
        let Some(account) = self.account(tenant) else { return Ok(None) };
        account.begin(now, &bounds).map(Some)
    }

    /// An operation that was counted at this time did not run.
    pub fn take_back(&mut self, tenant: &TenantName, marked: Timestamp) {
        let bounds = self.bounds;
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.take_back(marked, &bounds);
        }
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

    /// Whether an operation waits for what the leader may allow at once.
    #[must_use]
    pub fn is_urgent(&self, now: Timestamp) -> bool {
        self.accounts.values().any(|account| account.is_urgent(now))
    }

    /// A control replica tells that a leader has been elected. One that tells the same again has just
    /// been connected to: what was said to it through another may be lost.
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
        let wish = |(tenant, account): (&TenantName, &mut Account)| {
            let Told { held, needed, wanted } = account.report(now, &self.bounds, whole)?;
            Some(AllowanceWish { tenant: tenant.clone(), held, needed, wanted })
        };
        let wishes: Vec<_> = self.accounts.iter_mut().filter_map(wish).collect();
        if wishes.is_empty() && !whole {
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
            taken: self.taken,
            whole,
            wishes,
        })
    }

    /// Takes what the leader gives. What another leader gives, or what was overtaken, is not used.
    pub fn take(&mut self, now: Timestamp, grant: &AllowanceGrant) {
        let is_ours = grant.gateway == self.gateway && grant.incarnation == self.incarnation;
        if !is_ours || self.term != Some(grant.term) || grant.number <= self.taken {
            return;
        }
        let Some(asked_at) = self.reports.get(&grant.answers).copied() else { return };
        self.taken = grant.number;
        if grant.wants_whole {
            self.whole_due = now;
        }
        let ends = asked_at + self.bounds.allowance_life;
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
