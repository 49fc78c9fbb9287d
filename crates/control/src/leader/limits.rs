//! The limits of tenants in one leadership: opens the ledger, feeds it and proposes its ceilings.
//!
//! The ledger begins once an entry of the leader's own term is applied: the state then holds everything
//! that earlier leaders have committed, the ceilings of what they gave among it.
//!
//! Owns the ledger, the rates of the document followed last, and the reports that can't be answered yet.
//! What is given is decided by the core's ledger; the ceilings in force are the state's.

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

/// Time between two evaluations whether more can be given, where the state does not change.
/// Chosen, not measured by itself; a lower value evaluates all who lack operations more often, a higher
/// one leaves idle for longer what a gateway gave back.
const OFFER_INTERVAL: Duration = Duration::from_millis(100);
/// Tenants near their limits that are logged at each expiry. Chosen, not measured; more lines cost room
/// in the log, fewer hide tenants that are short as well.
const LOGGED_TENANTS: usize = 8;
/// Time between two expiries of what has ended by itself. Chosen, not measured; a lower value makes more
/// log lines, a higher one keeps what ended counted for longer.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// How far the ledger is.
#[derive(Debug)]
enum LedgerState {
    /// No tenant of the document is limited, or nothing is proposed yet.
    Closed,
    /// An entry of the own term is proposed.
    Proposed,
    /// That entry is applied: the ledger begins with the next evaluation of the state.
    Applied,
    /// The ledger serves reports.
    Open(Box<LimitLedger>),
}

/// The limits of tenants in one leadership.
#[derive(Debug)]
pub(super) struct LeaderLimits {
    term: Term,
    bounds: LimitBounds,
    ledger: LedgerState,
    /// The rates of the document followed last.
    rates: HashMap<TenantName, TenantRate>,
    document: Option<Arc<Document>>,
    followed: Option<Revision>,
    /// Ceilings that should be raised, in operations.
    raises: BTreeMap<TenantName, u64>,
    /// Whether a proposal's outcome is not known yet.
    proposed: bool,
    expiry_due: Timestamp,
    /// Newest reports of gateways that cannot be answered yet.
    waiting: BTreeMap<ProxyName, AllowanceReport>,
    offers_due: Timestamp,
    /// Whether the state has changed since more was offered.
    changed: bool,
}

impl LeaderLimits {
    pub(super) fn new(term: Term, bounds: LimitBounds) -> Self {
        Self {
            term,
            bounds,
            ledger: LedgerState::Closed,
            rates: HashMap::new(),
            document: None,
            followed: None,
            raises: BTreeMap::new(),
            proposed: false,
            expiry_due: Timestamp::ZERO,
            waiting: BTreeMap::new(),
            offers_due: Timestamp::ZERO,
            changed: false,
        }
    }

    /// Follows the state; gives what should be proposed.
    pub(super) fn advance(&mut self, now: Timestamp, state: &ControlState) -> Option<Command> {
        self.follow(now, state);
        self.expire(now, state);
        if self.proposed {
            return None;
        }
        let changes = self.changes_due(now, state)?;
        self.proposed = true;
        Some(Command::Registry(Box::new(RegistryCommand::ChangeCeilings(changes))))
    }

    /// Takes back what has ended by itself, and logs the tenants that are nearest their limits.
    fn expire(&mut self, now: Timestamp, state: &ControlState) {
        if let LedgerState::Open(ledger) = &mut self.ledger
            && now >= self.expiry_due
        {
            self.expiry_due = now + EXPIRY_INTERVAL;
            ledger.expire(now);
            let ceilings = state.registry().ceilings();
            log_nearest(ledger, &Terms { rates: &self.rates, ceilings });
        }
    }

    /// The changes of ceilings to propose. None of them opens the ledger: the entry itself counts.
    fn changes_due(&mut self, now: Timestamp, state: &ControlState) -> Option<Vec<CeilingChange>> {
        match &mut self.ledger {
            LedgerState::Closed if !self.rates.is_empty() => {
                self.ledger = LedgerState::Proposed;
                Some(Vec::new())
            }
            LedgerState::Closed | LedgerState::Applied => None,
            // The one before was lost.
            LedgerState::Proposed => Some(Vec::new()),
            LedgerState::Open(ledger) => {
                let raises = std::mem::take(&mut self.raises);
                let raises = raises.into_iter().map(|(name, to)| CeilingChange::Raise(name, to));
                let ceilings = state.registry().ceilings();
                let terms = Terms { rates: &self.rates, ceilings };
                let lowered = ledger.lower_ceilings(now, ceilings, &terms);
                let changes: Vec<_> = raises.chain(lowered).collect();
                (!changes.is_empty()).then_some(changes)
            }
        }
    }

    fn follow(&mut self, now: Timestamp, state: &ControlState) {
        let revision = Some(state.view_revision());
        if self.followed != revision {
            self.followed = revision;
            self.changed = true;
            self.follow_document(state);
            if let LedgerState::Open(ledger) = &mut self.ledger {
                ledger.follow_gateways(now, &incarnations(state));
            }
        }
        if matches!(self.ledger, LedgerState::Applied) {
            let ceilings = state.registry().ceilings().clone();
            log::info!(
                term = self.term.0, gateways = state.proxies().count(), ceilings = ceilings.len();
                "the books of tenants' limits are open"
            );
            let ledger =
                LimitLedger::new(now, self.term, self.bounds, incarnations(state), ceilings);
            self.ledger = LedgerState::Open(Box::new(ledger));
            self.changed = true;
        }
    }

    fn follow_document(&mut self, state: &ControlState) {
        let document = state.registry().document().map(|stored| &stored.document);
        let is_same = match (document, &self.document) {
            (Some(document), Some(known)) => Arc::ptr_eq(document, known),
            (None, None) => true,
            _ => false,
        };
        if is_same {
            return;
        }
        self.document = document.cloned();
        let tenants = document.and_then(|document| document.tenants.as_deref());
        let rates = tenants.unwrap_or_default().iter();
        self.rates = rates.filter_map(|it| Some((it.name.clone(), it.rate?))).collect();
    }

    /// Takes whether the last proposal was applied; where that is not known it is made again.
    pub(super) fn take_outcome(&mut self, applied: bool) {
        self.proposed = false;
        match &mut self.ledger {
            LedgerState::Proposed if applied => self.ledger = LedgerState::Applied,
            LedgerState::Open(ledger) if applied => {
                ledger.lowered();
                self.changed = true;
            }
            _ => (),
        }
    }

    /// Answers a gateway, and requests of others what it needs of theirs. Where the ledger is not open yet,
    /// or the gateway is not in the state, it is answered once that is so.
    pub(super) fn take_report(
        &mut self,
        now: Timestamp,
        report: AllowanceReport,
        state: &ControlState,
    ) -> Vec<AllowanceGrant> {
        self.follow(now, state);
        // Only incarnations in the state are given anything: a new leader awaits the reports of those.
        let stored = state.proxy(&report.gateway);
        let is_stored = stored.is_some_and(|stored| stored.incarnation == report.incarnation);
        let LedgerState::Open(ledger) = &mut self.ledger else {
            self.waiting.insert(report.gateway.clone(), report);
            return Vec::new();
        };
        if !is_stored {
            self.waiting.insert(report.gateway.clone(), report);
            return Vec::new();
        }
        let ceilings = state.registry().ceilings();
        let answer = ledger.take_report(now, &report, &Terms { rates: &self.rates, ceilings });
        self.note_raises(answer)
    }

    /// The grants after a change of the state, or after some time: reports that waited are answered, and
    /// what has become free is given.
    pub(super) fn grants_due(
        &mut self,
        now: Timestamp,
        state: &ControlState,
    ) -> Vec<AllowanceGrant> {
        self.follow(now, state);
        if !matches!(self.ledger, LedgerState::Open(_)) || now < self.offers_due && !self.changed {
            return Vec::new();
        }
        self.changed = false;
        self.offers_due = now + OFFER_INTERVAL;
        let waiting = std::mem::take(&mut self.waiting);
        let mut grants: Vec<_> =
            waiting.into_values().flat_map(|report| self.take_report(now, report, state)).collect();
        if let LedgerState::Open(ledger) = &mut self.ledger {
            let ceilings = state.registry().ceilings();
            let answer = ledger.offer_again(now, &Terms { rates: &self.rates, ceilings });
            grants.extend(self.note_raises(answer));
        }
        grants
    }

    fn note_raises(
        &mut self,
        LedgerAnswer { grants, ceilings }: LedgerAnswer,
    ) -> Vec<AllowanceGrant> {
        for change in ceilings {
            if let CeilingChange::Raise(tenant, operations) = change {
                let raise = self.raises.entry(tenant).or_default();
                *raise = operations.max(*raise);
            }
        }
        grants
    }
}

/// Writes a line for each tenant that is near its limit.
fn log_nearest(ledger: &LimitLedger, terms: &Terms<'_>) {
    for TenantUse { tenant, limit, given, needed } in ledger.nearest(LOGGED_TENANTS, terms) {
        log::info!(tenant:% = tenant, limit, given, needed; "tenant is near its limit");
    }
}

/// What is in force of limits: the document's rates and the state's ceilings.
struct Terms<'s> {
    rates: &'s HashMap<TenantName, TenantRate>,
    ceilings: &'s BTreeMap<TenantName, u64>,
}

impl LimitTerms for Terms<'_> {
    fn rate(&self, tenant: &TenantName) -> Option<TenantRate> {
        self.rates.get(tenant).copied()
    }

    fn ceiling(&self, tenant: &TenantName) -> Option<u64> {
        self.ceilings.get(tenant).copied()
    }
}

/// The gateways' incarnations that the state knows.
fn incarnations(state: &ControlState) -> BTreeSet<GatewayIncarnation> {
    let incarnation = |(gateway, proxy): (&_, &corktack_core::view::ProxyView)| {
        GatewayIncarnation { gateway: Clone::clone(gateway), incarnation: proxy.incarnation }
    };
    state.proxies().map(incarnation).collect()
}
