//! A leader of one term: the core's ledger over the state that was committed.
//!
//! Owns the core's `LimitLedger` of one term and what the leader has applied; several leaders may be up at
//! once.

use super::gateway::{Clock, tenant};
use super::variant::LimitsVariant;
use corktack_core::limits::{
    AllowanceReport, CeilingChange, GatewayIncarnation, LedgerAnswer, LimitBounds, LimitLedger,
    LimitTerms,
};
use corktack_core::position::Term;
use corktack_core::tenancy::{TenantName, TenantRate};
use std::collections::{BTreeMap, BTreeSet};

/// What the cell has committed.
#[derive(Clone, Debug)]
pub(super) struct Committed {
    pub(super) gateways: BTreeSet<GatewayIncarnation>,
    pub(super) ceilings: BTreeMap<TenantName, u64>,
    pub(super) rate: TenantRate,
}

impl Committed {
    pub(super) fn change(&mut self, change: CeilingChange) {
        change.apply(&mut self.ceilings);
    }

    /// An incarnation takes the place of the one before it on its machine.
    pub(super) fn register(&mut self, started: &GatewayIncarnation) {
        self.gateways.retain(|it| it.gateway != started.gateway);
        self.gateways.insert(started.clone());
    }
}

/// What the committed state says of limits.
struct Terms<'s> {
    state: &'s Committed,
    variant: LimitsVariant,
}

impl LimitTerms for Terms<'_> {
    fn rate(&self, _: &TenantName) -> Option<TenantRate> {
        Some(self.state.rate)
    }

    fn ceiling(&self, tenant: &TenantName) -> Option<u64> {
        match self.variant {
            LimitsVariant::CeilingBeforeCommit => Some(u64::MAX),
            _ => self.state.ceilings.get(tenant).copied(),
        }
    }
}

/// A leader, which may have been replaced without knowing.
pub(super) struct Leader {
    pub(super) term: Term,
    pub(super) clock: Clock,
    /// The committed state as this leader has applied it.
    pub(super) state: Committed,
    ledger: LimitLedger,
    /// Changes that are proposed and not applied.
    pub(super) changing: bool,
}

impl Leader {
    pub(super) fn start(
        now: u64,
        term: Term,
        clock: Clock,
        bounds: LimitBounds,
        state: Committed,
        variant: LimitsVariant,
    ) -> Self {
        let known = match variant {
            LimitsVariant::LeaderForgets => (BTreeSet::new(), BTreeMap::from([(tenant(), 0)])),
            _ => (state.gateways.clone(), state.ceilings.clone()),
        };
        let ledger = LimitLedger::new(clock.at(now), term, bounds, known.0, known.1);
        Self { term, clock, state, ledger, changing: false }
    }

    /// Takes what was committed since.
    pub(super) fn apply(&mut self, now: u64, state: &Committed) {
        self.state = state.clone();
        self.ledger.follow_gateways(self.clock.at(now), &state.gateways);
    }

    pub(super) fn changes_applied(&mut self) {
        self.changing = false;
        self.ledger.confirm_lowered_ceilings();
    }

    /// Answers a report.
    pub(super) fn take(
        &mut self,
        now: u64,
        report: &AllowanceReport,
        variant: LimitsVariant,
    ) -> LedgerAnswer {
        let reporting =
            GatewayIncarnation { gateway: report.gateway.clone(), incarnation: report.incarnation };
        if !self.state.gateways.contains(&reporting) {
            return LedgerAnswer::default();
        }
        let now = self.clock.at(now);
        self.ledger.expire(now);
        let terms = Terms { state: &self.state, variant };
        self.ledger.process_report(now, report, &terms)
    }

    /// Offers more after a change of the state.
    pub(super) fn offer_again(&mut self, now: u64, variant: LimitsVariant) -> LedgerAnswer {
        let now = self.clock.at(now);
        self.ledger.expire(now);
        self.ledger.offer_again(now, &Terms { state: &self.state, variant })
    }

    pub(super) fn lower(&mut self, now: u64) -> Vec<CeilingChange> {
        let now = self.clock.at(now);
        let terms = Terms { state: &self.state, variant: LimitsVariant::Correct };
        self.ledger.lower_ceilings(now, &self.state.ceilings, &terms)
    }
}
