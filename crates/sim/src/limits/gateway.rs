//! A gateway: the core's books and a clock of its own.
//!
//! Owns one incarnation's clock and the core's `GatewayLimits`; broken variants change what goes in and comes
//! out of the core, never the core.

use super::variant::LimitsVariant;
use corktack_core::identity::{Incarnation, ProxyName};
use corktack_core::limits::{
    AllowanceGrant, AllowanceReport, GatewayLimits, LimitBounds, OperationOutcome, OperationRequest,
};
use corktack_core::position::Term;
use corktack_core::tenancy::{ApiKey, TenantDirectory, TenantName, TenantRate, TenantRule};
use corktack_core::time::Timestamp;
use std::time::Duration;

/// The one tenant.
pub(super) fn tenant() -> TenantName {
    TenantName::new("alfa").expect("a valid name")
}

/// By how much an incarnation of the variant overstates how long it has been running.
const OVERSTATED_BY: Duration = Duration::from_secs(3);

/// A clock with an origin and a rate of its own.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    pub(super) began_at: u64,
    /// Own microseconds for a million of true time.
    pub(super) rate: u64,
}

impl Clock {
    pub(super) fn at(&self, now: u64) -> Timestamp {
        let own = u128::from(now - self.began_at) * u128::from(self.rate) / 1_000_000;
        Timestamp::from_micros(u64::try_from(own).unwrap_or(u64::MAX))
    }
}

/// One incarnation of a gateway.
pub(super) struct Gateway {
    pub(super) name: ProxyName,
    pub(super) incarnation: Incarnation,
    pub(super) clock: Clock,
    pub(super) rate: TenantRate,
    pub(super) limits: GatewayLimits,
    newest_report: u64,
    newest_term: Option<Term>,
    /// Term and number of the grant taken last, for the variant that takes any.
    taken: (Term, u64),
    grants_taken: u64,
    /// Reports of the incarnations before, for the variant that goes on as they did.
    sequence_before: u64,
}

impl Gateway {
    pub(super) fn start(
        now: u64,
        number: usize,
        incarnation: Incarnation,
        clock: Clock,
        bounds: LimitBounds,
        rate: TenantRate,
    ) -> Self {
        let name = ProxyName::new(format!("g{number}")).expect("a valid name");
        let limits = GatewayLimits::new(clock.at(now), name.clone(), incarnation, bounds);
        let mut gateway = Self {
            name,
            incarnation,
            clock,
            rate,
            limits,
            newest_report: 0,
            newest_term: None,
            taken: (Term(0), 0),
            grants_taken: 0,
            sequence_before: 0,
        };
        gateway.follow(rate);
        gateway
    }

    pub(super) fn follow(&mut self, rate: TenantRate) {
        self.rate = rate;
        let rule = TenantRule { name: tenant(), keys: vec![ApiKey::new("key")], rate: Some(rate) };
        let mut directory = TenantDirectory::default();
        directory.update(&[rule]);
        self.limits.apply_rates(Some(&directory));
    }

    /// Tries an operation; says whether it begins.
    pub(super) fn try_begin(&mut self, now: u64) -> bool {
        let now = self.clock.at(now);
        let ask = OperationRequest { operations: 1, priority: 1, until: now };
        matches!(self.limits.request(now, &tenant(), ask), OperationOutcome::Admitted(_))
    }

    pub(super) fn learn_leader(&mut self, now: u64, term: Term) {
        self.newest_term = self.newest_term.max(Some(term));
        self.limits.follow_leader(self.clock.at(now), term);
    }

    pub(super) fn report(&mut self, now: u64, variant: LimitsVariant) -> Option<AllowanceReport> {
        let mut report = self.limits.report(self.clock.at(now))?;
        self.newest_report = report.sequence;
        report.sequence += self.sequence_before;
        match variant {
            LimitsVariant::TakenNotTold => report.last_applied_grant = u64::MAX,
            LimitsVariant::RunningOverstated => report.uptime += OVERSTATED_BY,
            LimitsVariant::AnyTermTaken => {
                report.last_applied_grant =
                    if self.taken.0 == report.term { self.taken.1 } else { 0 };
            }
            _ => (),
        }
        Some(report)
    }

    /// The process goes on as the one before.
    pub(super) fn go_on(&mut self, before: &Self) {
        self.sequence_before = before.sequence_before + before.newest_report;
    }

    pub(super) fn take(&mut self, now: u64, mut grant: AllowanceGrant, variant: LimitsVariant) {
        grant.report_sequence = grant.report_sequence.saturating_sub(self.sequence_before);
        match variant {
            LimitsVariant::LifeFromArrival => grant.report_sequence = self.newest_report,
            LimitsVariant::AnyTermTaken => {
                self.taken = (grant.term, grant.number);
                self.grants_taken += 1;
                grant.number = self.grants_taken;
                grant.term = self.newest_term.unwrap_or(grant.term);
                grant.report_sequence = self.newest_report;
            }
            _ => (),
        }
        self.limits.apply_grant(self.clock.at(now), &grant);
    }
}
