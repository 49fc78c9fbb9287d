//! The limits of tenants in one leadership: opens the ledger, passes reports to it and proposes its ceilings.
//!
//! The ledger opens as soon as a tenant has a limit. It relies on the state, which holds everything that
//! earlier leaders committed once the duties have begun, including the ceilings of the allowances that they
//! granted. Before, the caller only stores reports here.
//!
//! Owns the ledger, the rates of the newest applied document, and the reports that can't be answered yet.
//! The core's ledger decides the grants, and the state holds the ceilings in force.

use corktack_core::identity::ProxyName;
use corktack_core::limits::{
    AllowanceGrant, AllowanceReport, CeilingChange, GatewayIncarnation, LedgerAnswer, LimitBounds,
    LimitLedger, LimitTerms, TenantUse,
};
use corktack_core::position::Term;
use corktack_core::registry::{Document, RegistryCommand};
use corktack_core::state::ControlState;
use corktack_core::state::command::Command;
use corktack_core::tenancy::{TenantName, TenantRate};
use corktack_core::time::Timestamp;
use corktack_core::view::Revision;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Time between two evaluations of further grants while the state doesn't change. A shorter interval
/// evaluates all gateways that lack operations more often; a longer one leaves returned allowances unused
/// for longer.
const OFFER_INTERVAL: Duration = Duration::from_millis(100);
/// Most tenants near their limits that are logged at each expiry. More lines take space in the log; fewer
/// hide tenants that lack operations as well.
const MAX_LOGGED_TENANTS: usize = 8;
/// Time between two removals of expired allowances. A shorter interval writes more log lines; a longer one
/// counts expired allowances for longer.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// The limits of tenants in one leadership.
#[derive(Debug)]
pub(super) struct LeaderLimits {
    term: Term,
    bounds: LimitBounds,
    /// `None` while no tenant has a limit.
    ledger: Option<Box<LimitLedger>>,
    /// The tenants' rates in `document`.
    rates: HashMap<TenantName, TenantRate>,
    /// The newest applied document.
    document: Option<Arc<Document>>,
    applied_revision: Option<Revision>,
    /// Raised ceilings to propose, in operations.
    pending_raises: BTreeMap<TenantName, u64>,
    /// Whether a proposal's outcome is unknown yet.
    proposal_in_flight: bool,
    next_expiry: Timestamp,
    /// The newest report of each gateway that cannot be answered yet.
    unanswered: BTreeMap<ProxyName, AllowanceReport>,
    next_offer: Timestamp,
    /// Whether the state or the ledger has changed since the last evaluation of further grants.
    has_changed: bool,
}

impl LeaderLimits {
    pub(super) fn new(term: Term, bounds: LimitBounds) -> Self {
        Self {
            term,
            bounds,
            ledger: None,
            rates: HashMap::new(),
            document: None,
            applied_revision: None,
            pending_raises: BTreeMap::new(),
            proposal_in_flight: false,
            next_expiry: Timestamp::ZERO,
            unanswered: BTreeMap::new(),
            next_offer: Timestamp::ZERO,
            has_changed: false,
        }
    }

    /// Applies the state, expires allowances, and returns the changes of ceilings to propose.
    pub(super) fn advance(&mut self, now: Timestamp, state: &ControlState) -> Option<Command> {
        self.apply_state(now, state);
        self.expire(now, state);
        if self.proposal_in_flight {
            return None;
        }
        let changes = self.changes_due(now, state)?;
        self.proposal_in_flight = true;
        Some(Command::Registry(Box::new(RegistryCommand::ChangeCeilings(changes))))
    }

    /// Removes expired allowances, and logs the tenants that are nearest their limits.
    fn expire(&mut self, now: Timestamp, state: &ControlState) {
        if let Some(ledger) = &mut self.ledger
            && now >= self.next_expiry
        {
            self.next_expiry = now + EXPIRY_INTERVAL;
            ledger.expire(now);
            let ceilings = state.registry().ceilings();
            log_nearest(ledger, &LimitsInForce { rates: &self.rates, ceilings });
        }
    }

    /// Returns the changes of ceilings to propose.
    fn changes_due(&mut self, now: Timestamp, state: &ControlState) -> Option<Vec<CeilingChange>> {
        let ledger = self.ledger.as_mut()?;
        let raises = std::mem::take(&mut self.pending_raises);
        let raises = raises.into_iter().map(|(name, to)| CeilingChange::Raise(name, to));
        let ceilings = state.registry().ceilings();
        let limits = LimitsInForce { rates: &self.rates, ceilings };
        let lowered = ledger.lower_ceilings(now, ceilings, &limits);
        let changes: Vec<_> = raises.chain(lowered).collect();
        (!changes.is_empty()).then_some(changes)
    }

    fn apply_state(&mut self, now: Timestamp, state: &ControlState) {
        let revision = Some(state.view_revision());
        if self.applied_revision != revision {
            self.applied_revision = revision;
            self.has_changed = true;
            self.apply_document(state);
            if let Some(ledger) = &mut self.ledger {
                ledger.follow_gateways(now, &incarnations(state));
            }
        }
        if self.ledger.is_none() && !self.rates.is_empty() {
            self.open_ledger(now, state);
        }
    }

    fn open_ledger(&mut self, now: Timestamp, state: &ControlState) {
        let ceilings = state.registry().ceilings().clone();
        log::info!(
            term = self.term.0, gateways = state.proxies().count(), ceilings = ceilings.len();
            "the ledger of tenants' limits is open"
        );
        let ledger = LimitLedger::new(now, self.term, self.bounds, incarnations(state), ceilings);
        self.ledger = Some(Box::new(ledger));
        self.has_changed = true;
    }

    fn apply_document(&mut self, state: &ControlState) {
        let document = state.registry().document().map(|stored| &stored.document);
        let is_same = match (document, &self.document) {
            (Some(document), Some(applied)) => Arc::ptr_eq(document, applied),
            (None, None) => true,
            _ => false,
        };
        if is_same {
            return;
        }
        self.document = document.cloned();
        let tenants = document.and_then(|document| document.tenants.as_deref());
        let rates = tenants.unwrap_or_default().iter();
        self.rates = rates.filter_map(|tenant| Some((tenant.name.clone(), tenant.rate?))).collect();
    }

    /// Records whether the last proposal was applied. If that is unknown, the proposal is made again.
    pub(super) fn record_outcome(&mut self, applied: bool) {
        self.proposal_in_flight = false;
        if let Some(ledger) = self.ledger.as_mut().filter(|_| applied) {
            ledger.confirm_lowered_ceilings();
            self.has_changed = true;
        }
    }

    /// Stores a gateway's report until it can be answered.
    pub(super) fn store_report(&mut self, report: AllowanceReport) {
        self.unanswered.insert(report.gateway.clone(), report);
    }

    /// Answers a gateway's report, and requests allowances back from other gateways if this one lacks them.
    /// The report is stored for later if the ledger isn't open yet or the state doesn't contain the
    /// gateway's incarnation yet.
    pub(super) fn answer_report(
        &mut self,
        now: Timestamp,
        report: AllowanceReport,
        state: &ControlState,
    ) -> Vec<AllowanceGrant> {
        self.apply_state(now, state);
        // Only incarnations in the state get grants, as a new leader waits for the reports of just these.
        let stored = state.proxy(&report.gateway);
        let is_stored = stored.is_some_and(|stored| stored.incarnation == report.incarnation);
        let Some(ledger) = self.ledger.as_mut().filter(|_| is_stored) else {
            self.store_report(report);
            return Vec::new();
        };
        let ceilings = state.registry().ceilings();
        let answer =
            ledger.process_report(now, &report, &LimitsInForce { rates: &self.rates, ceilings });
        self.record_raises(answer)
    }

    /// Answers the stored reports and grants freed allowances, after a change of the state or at the latest
    /// after [`OFFER_INTERVAL`].
    pub(super) fn grants_due(
        &mut self,
        now: Timestamp,
        state: &ControlState,
    ) -> Vec<AllowanceGrant> {
        self.apply_state(now, state);
        if self.ledger.is_none() || now < self.next_offer && !self.has_changed {
            return Vec::new();
        }
        self.has_changed = false;
        self.next_offer = now + OFFER_INTERVAL;
        let unanswered = std::mem::take(&mut self.unanswered);
        let mut grants: Vec<_> = unanswered
            .into_values()
            .flat_map(|report| self.answer_report(now, report, state))
            .collect();
        if let Some(ledger) = &mut self.ledger {
            let ceilings = state.registry().ceilings();
            let answer = ledger.offer_again(now, &LimitsInForce { rates: &self.rates, ceilings });
            grants.extend(self.record_raises(answer));
        }
        grants
    }

    fn record_raises(
        &mut self,
        LedgerAnswer { grants, ceilings }: LedgerAnswer,
    ) -> Vec<AllowanceGrant> {
        for change in ceilings {
            if let CeilingChange::Raise(tenant, operations) = change {
                let raise = self.pending_raises.entry(tenant).or_default();
                *raise = operations.max(*raise);
            }
        }
        grants
    }
}

/// Logs the tenants that are nearest their limits, at most [`MAX_LOGGED_TENANTS`].
fn log_nearest(ledger: &LimitLedger, limits: &LimitsInForce<'_>) {
    for TenantUse { tenant, limit, given, needed } in ledger.nearest(MAX_LOGGED_TENANTS, limits) {
        log::info!(tenant:% = tenant, limit, given, needed; "tenant is near its limit");
    }
}

/// The limits in force: the document's rates and the state's ceilings.
struct LimitsInForce<'s> {
    rates: &'s HashMap<TenantName, TenantRate>,
    ceilings: &'s BTreeMap<TenantName, u64>,
}

impl LimitTerms for LimitsInForce<'_> {
    fn rate(&self, tenant: &TenantName) -> Option<TenantRate> {
        self.rates.get(tenant).copied()
    }

    fn ceiling(&self, tenant: &TenantName) -> Option<u64> {
        self.ceilings.get(tenant).copied()
    }
}

/// Returns the gateways' incarnations in the state.
fn incarnations(state: &ControlState) -> BTreeSet<GatewayIncarnation> {
    let incarnation = |(gateway, proxy): (&_, &corktack_core::view::ProxyView)| {
        GatewayIncarnation { gateway: Clone::clone(gateway), incarnation: proxy.incarnation }
    };
    state.proxies().map(incarnation).collect()
}
