//! Gateways and a leader that exchange messages without delay, with one tenant.

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
    directory.update(&[rule]);
    directory
}

pub fn at_ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Ceilings in the log; every tenant has the rate [`RATE`].
pub struct Terms(pub BTreeMap<TenantName, u64>);

impl LimitTerms for Terms {
    fn rate(&self, _: &TenantName) -> Option<TenantRate> {
        Some(RATE)
    }

    fn ceiling(&self, tenant: &TenantName) -> Option<u64> {
        self.0.get(tenant).copied()
    }
}

/// Gateways and a leader that exchange messages without delay.
pub struct TestCluster {
    pub gateways: Vec<GatewayLimits>,
    pub ledger: LimitLedger,
    pub ceilings: BTreeMap<TenantName, u64>,
    pub term: Term,
}

pub fn incarnation(index: usize, incarnation: u64) -> GatewayIncarnation {
    GatewayIncarnation { gateway: gateway_name(index), incarnation: Incarnation(incarnation) }
}

pub fn gateway_name(index: usize) -> ProxyName {
    ProxyName::new(format!("g{index}")).expect("a valid name")
}

pub fn gateway(index: usize, incarnation: u64, now: Timestamp, term: Term) -> GatewayLimits {
    let mut gateway =
        GatewayLimits::new(now, gateway_name(index), Incarnation(incarnation), bounds());
    gateway.apply_rates(Some(&directory(RATE)));
    gateway.follow_leader(now, term);
    gateway
}

pub fn request(operations: u64, until: Timestamp) -> OperationRequest {
    OperationRequest { operations, priority: 1, until }
}

/// Requests one operation that may not wait.
pub fn try_begin(
    gateway: &mut GatewayLimits,
    now: Timestamp,
) -> Result<AdmittedOperations, OverLimit> {
    match gateway.request(now, &tenant(), request(1, now)) {
        OperationOutcome::Admitted(begun) => Ok(begun),
        OperationOutcome::Refused(over) => Err(over),
        OperationOutcome::Unlimited | OperationOutcome::Waiting(_) => {
            panic!("the tenant is limited and the operation may not wait")
        }
    }
}

impl TestCluster {
    /// Creates gateways whose leader has long been in office.
    pub fn new(count: usize) -> Self {
        let term = Term(3);
        let gateways = (0..count).map(|index| gateway(index, 1, at_ms(0), term)).collect();
        let no_gateways = BTreeSet::new();
        let ledger = LimitLedger::new(at_ms(0), term, bounds(), no_gateways, BTreeMap::new());
        Self { gateways, ledger, ceilings: BTreeMap::new(), term }
    }

    pub fn answer(&mut self, now: Timestamp, report: &AllowanceReport) -> Option<AllowanceGrant> {
        let terms = Terms(self.ceilings.clone());
        let answer = self.ledger.process_report(now, report, &terms);
        for change in answer.ceilings {
            let CeilingChange::Raise(tenant, operations) = change else { continue };
            self.ceilings.insert(tenant, operations);
        }
        let (own, others): (Vec<_>, Vec<_>) =
            answer.grants.into_iter().partition(|grant| grant.gateway == report.gateway);
        for grant in others {
            self.gateways.iter_mut().for_each(|gateway| gateway.apply_grant(now, &grant));
        }
        own.into_iter().next()
    }

    /// Sends the report of a gateway that is due, and applies the answer; reports whether one was due.
    pub fn exchange(&mut self, index: usize, now: Timestamp) -> bool {
        let Some(report) = self.gateways[index].report(now) else { return false };
        if let Some(grant) = self.answer(now, &report) {
            self.gateways[index].apply_grant(now, &grant);
        }
        true
    }

    /// Requests `asked` operations one by one, and returns how many begin.
    pub fn begin(&mut self, index: usize, now: Timestamp, asked: u64) -> u64 {
        let gateway = &mut self.gateways[index];
        let begins = (0..asked).filter(|_| try_begin(gateway, now).is_ok());
        begins.count() as u64
    }
}
