//! Gateways and a leader that hear each other at once, with one tenant's limit.

use corktack_core::identity::{Incarnation, ProxyName};
use corktack_core::limits::{
    AdmittedOperations, AllowanceGrant, AllowanceReport, CeilingChange, GatewayIncarnation,
    GatewayLimits, LimitBounds, LimitLedger, LimitTerms, OperationOutcome, OperationRequest,
    OverLimit,
};
use corktack_core::position::Term;
use corktack_core::tenancy::{ApiKey, TenantDirectory, TenantName, TenantRate, TenantRule};
use corktack_core::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const WINDOW: Duration = Duration::from_secs(5);
/// 100 operations in a window.
pub const RATE: TenantRate = TenantRate { per_second: 15.0, burst: 25.0 };
pub const LIMIT: u64 = 100;

pub fn bounds() -> LimitBounds {
    LimitBounds { window: WINDOW, ..LimitBounds::default() }
}

pub fn tenant() -> TenantName {
    TenantName::new("alfa").expect("a valid name")
}

pub fn directory(rate: TenantRate) -> TenantDirectory {
    let rule = TenantRule { name: tenant(), keys: vec![ApiKey::new("key")], rate: Some(rate) };
    let mut directory = TenantDirectory::default();
    directory.follow(&[rule]);
    directory
}

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Ceilings in the log.
pub struct Terms(pub BTreeMap<TenantName, u64>);

impl LimitTerms for Terms {
    fn rate(&self, _: &TenantName) -> Option<TenantRate> {
        Some(RATE)
    }

    fn ceiling(&self, tenant: &TenantName) -> Option<u64> {
        self.0.get(tenant).copied()
    }
}

/// A gateway and a leader that hear each other at once.
pub struct Pair {
    pub gateways: Vec<GatewayLimits>,
    pub ledger: LimitLedger,
    pub ceilings: BTreeMap<TenantName, u64>,
    pub term: Term,
}

pub fn incarnation(number: usize, incarnation: u64) -> GatewayIncarnation {
    GatewayIncarnation { gateway: name(number), incarnation: Incarnation(incarnation) }
}

pub fn name(number: usize) -> ProxyName {
    ProxyName::new(format!("g{number}")).expect("a valid name")
}

pub fn gateway(number: usize, incarnation: u64, now: Timestamp, term: Term) -> GatewayLimits {
    let mut gateway = GatewayLimits::new(now, name(number), Incarnation(incarnation), bounds());
    gateway.follow(Some(&directory(RATE)));
    gateway.follow_leader(now, term);
    gateway
}

pub fn request(operations: u64, until: Timestamp) -> OperationRequest {
    OperationRequest { operations, priority: 1, until }
}

/// Asks for an operation that does not wait.
pub fn try_begin(
    gateway: &mut GatewayLimits,
    now: Timestamp,
) -> Result<AdmittedOperations, OverLimit> {
    match gateway.request(now, &tenant(), request(1, now)) {
        OperationOutcome::Admitted(begun) => Ok(begun),
        OperationOutcome::Refused(over) => Err(over),
        OperationOutcome::Unlimited | OperationOutcome::Waiting(_) => {
            panic!("it is limited and does not wait")
        }
    }
}

impl Pair {
    /// Gateways whose leader has been in office for long.
    pub fn new(count: usize) -> Self {
        let term = Term(3);
        let gateways = (0..count).map(|number| gateway(number, 1, at(0), term)).collect();
        let none = BTreeSet::new();
        let ledger = LimitLedger::new(at(0), term, bounds(), none, BTreeMap::new());
        Self { gateways, ledger, ceilings: BTreeMap::new(), term }
    }

    pub fn answer(&mut self, now: Timestamp, report: &AllowanceReport) -> Option<AllowanceGrant> {
        let terms = Terms(self.ceilings.clone());
        let answer = self.ledger.take_report(now, report, &terms);
        for change in answer.ceilings {
            let CeilingChange::Raise(tenant, operations) = change else { continue };
            self.ceilings.insert(tenant, operations);
        }
        let (own, others): (Vec<_>, Vec<_>) =
            answer.grants.into_iter().partition(|grant| grant.gateway == report.gateway);
        for grant in others {
            self.gateways.iter_mut().for_each(|gateway| gateway.take(now, &grant));
        }
        own.into_iter().next()
    }

    /// One round of a report and its answer.
    pub fn exchange(&mut self, number: usize, now: Timestamp) -> bool {
        let Some(report) = self.gateways[number].report(now) else { return false };
        if let Some(grant) = self.answer(now, &report) {
            self.gateways[number].take(now, &grant);
        }
        true
    }

    /// Begins as many of so many operations as may begin.
    pub fn begin(&mut self, number: usize, now: Timestamp, asked: u64) -> u64 {
        let gateway = &mut self.gateways[number];
        let begins = (0..asked).filter(|_| try_begin(gateway, now).is_ok());
        begins.count() as u64
    }
}
