//! Operations of tenants counted against their limits, which hold over all gateways.
//!
//! Each tenant has a home among the gateways of a zone, which counts what is begun in that zone. What may
//! begin there is decided by [`GatewayLimits`]; the home asks the leader for allowances in the background.
//! The other gateways ask the home, through tunnels. Where one does not answer, the next
//! in the tenant's order counts in its place, at last the gateway that asks: each begins only what the leader has given it.
//!
//! This is for sessions and for other gateways of the zone. It owns the books of this gateway and who waits in
//! them. It relies on [`tunnel`](crate::tunnel) to ask homes ([`question`]) and on control for the way to the
//! leader ([`report`]).

mod permit;
mod question;
mod report;

pub(crate) use permit::OperationPermit;
pub(crate) use report::keep_allowances;
pub use report::{LimitNews, LimitsLink};

use crate::clock::SteadyClock;
use crate::settings::GatewaySettings;
use crate::tunnel::Tunnels;
use corktack_core::gateway::{Holder, HolderChoice};
use corktack_core::limits::{
    AdmittedOperations, GatewayLimits, LimitTotals, OperationOutcome, OperationRequest,
    OperationRequestNumber, OverLimit, SettledRequest,
};
use corktack_core::tenancy::{Principal, TenantDirectory, TenantName};
use question::Questions;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Part of the time in which an operation waits for a member that it may wait for its tenant's limit. Set with
/// other parameters in trials on a site whose tenants reach their limits (mean worth 0.628 to 0.719 with longer
/// waits, more spare operations and expected sessions together), not by itself: lower refuses more, higher
/// leaves too little time for the member.
const LIMIT_WAIT_PART: f64 = 0.8;
/// Gateways of the zone that are asked for a tenant before this one counts itself. Chosen, not measured: fewer
/// split a tenant's count sooner, more make its callers wait for gateways that are gone.
const HOMES_ASKED: usize = 3;

/// Operations that are asked for together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AskedOperations {
    pub(crate) operations: u64,
    /// Their priority class; 0 is served first.
    pub(crate) priority: u32,
    /// How long they may wait.
    pub(crate) until: Instant,
}

/// The limits of tenants at this gateway.
#[derive(Debug)]
pub(crate) struct Limits {
    /// What is counted here.
    books: RefCell<GatewayLimits>,
    /// Who is told the outcome of operations that wait here.
    waiting: RefCell<
        HashMap<OperationRequestNumber, oneshot::Sender<Result<AdmittedOperations, OverLimit>>>,
    >,
    /// Operations that other gateways are asked for.
    questions: RefCell<Questions>,
    /// The other gateways of the zone.
    peers: RefCell<(Vec<Holder>, HolderChoice)>,
    own_address: SocketAddr,
    tunnels: Rc<Tunnels>,
    clock: SteadyClock,
    /// Told when an operation waits here.
    wanted: Notify,
}

impl Limits {
    pub(crate) fn new(
        settings: &GatewaySettings,
        tunnels: Rc<Tunnels>,
        clock: SteadyClock,
    ) -> Self {
        let name = settings.name.clone();
        let books = GatewayLimits::new(clock.now(), name, settings.incarnation, settings.limits);
        Self {
            books: RefCell::new(books),
            waiting: RefCell::default(),
            questions: RefCell::default(),
            peers: RefCell::default(),
            own_address: settings.peers,
            tunnels,
            clock,
            wanted: Notify::new(),
        }
    }

    /// Takes the rates of another document.
    pub(crate) fn follow(&self, tenants: Option<&TenantDirectory>) {
        self.books.borrow_mut().follow(tenants);
        self.settle();
    }

    /// What may begin here in a window, and what did in the last one.
    pub(crate) fn totals(&self) -> LimitTotals {
        self.books.borrow_mut().totals(self.clock.now())
    }

    /// Takes the other gateways of the zone.
    pub(crate) fn follow_peers(&self, peers: &[Holder]) {
        let mut known = self.peers.borrow_mut();
        if known.0 != peers {
            known.0 = peers.to_vec();
            known.1.replace(peers);
        }
    }

    /// A caller of a principal has come, and is likely to ask for something. Where this gateway is the
    /// home it sees to it that there is a place; another one hears of it with the first operation.
    pub(crate) fn expect(&self, principal: &Principal) {
        if let Some(tenant) = principal.tenant()
            && self.homes(tenant).is_empty()
        {
            self.books.borrow_mut().expect(self.clock.now(), tenant);
        }
    }

    /// Counts an operation that begins now on behalf of a principal. It waits where a place becomes free
    /// or the leader may allow more in some of the time in which it may wait at all.
    pub(crate) async fn begin(
        self: &Rc<Self>,
        principal: &Principal,
        priority: u32,
        give_up: Instant,
    ) -> Result<OperationPermit, OverLimit> {
        let limited = principal.tenant().filter(|tenant| self.books.borrow().is_limited(tenant));
        let Some(tenant) = limited else { return Ok(OperationPermit::unlimited()) };
        let now = Instant::now();
        let until = now + give_up.saturating_duration_since(now).mul_f64(LIMIT_WAIT_PART);
        self.begin_by(tenant, priority, until).await
    }

    async fn begin_by(
        self: &Rc<Self>,
        tenant: &TenantName,
        priority: u32,
        until: Instant,
    ) -> Result<OperationPermit, OverLimit> {
        let (home, begun) = if self.homes(tenant).is_empty() {
            let asked = AskedOperations { operations: 1, priority, until };
            (None, self.count_here(tenant, asked).await?)
        } else {
            let counted = self.ask_home(tenant, priority, until).await?;
            (counted.home, Some(counted.begun))
        };
        let Some(begun) = begun else { return Ok(OperationPermit::unlimited()) };
        Ok(OperationPermit::counted(Rc::clone(self), tenant.clone(), priority, home, begun))
    }

    /// The gateways to ask for a tenant's operations now, its home first; none where this one counts.
    fn homes(&self, tenant: &TenantName) -> Vec<Holder> {
        let peers = self.peers.borrow();
        self.tunnels.to_ask_for(&peers.1, tenant, Some(self.own_address), HOMES_ASKED)
    }

    /// Counts operations for another gateway; none where no limit is known here.
    pub(crate) async fn count_for_another(
        &self,
        tenant: &TenantName,
        asked: AskedOperations,
    ) -> Option<Result<AdmittedOperations, OverLimit>> {
        self.count_here(tenant, asked).await.transpose()
    }

    /// Counts operations here, as many as may begin; none where nothing limits them.
    async fn count_here(
        &self,
        tenant: &TenantName,
        AskedOperations { operations, priority, until }: AskedOperations,
    ) -> Result<Option<AdmittedOperations>, OverLimit> {
        let ask = OperationRequest { operations, priority, until: self.clock.at(until) };
        let asked = self.books.borrow_mut().request(self.clock.now(), tenant, ask);
        let number = match asked {
            OperationOutcome::Unlimited => return Ok(None),
            OperationOutcome::Admitted(begun) => return Ok(Some(begun)),
            OperationOutcome::Waiting(number) => number,
            OperationOutcome::Refused(over) => {
                self.wanted.notify_one();
                return Err(over);
            }
        };
        let (settled, outcome) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, settled);
        let _place = WaitingPlace { limits: self, tenant, number };
        self.settle();
        self.wanted.notify_one();
        // The sender stays until it is used, or this place is left.
        let outcome = outcome.await;
        outcome.map_or_else(|_| Ok(None), |outcome| outcome.map(Some))
    }

    /// Decides what can be decided of the operations that wait here.
    fn settle(&self) {
        let settled = self.books.borrow_mut().settle(self.clock.now());
        for SettledRequest { number, outcome } in settled {
            if let Some(waiting) = self.waiting.borrow_mut().remove(&number) {
                // Who has gone has left the queue before.
                let _ = waiting.send(outcome);
            }
        }
    }

    /// Operations that were counted here did not run.
    pub(crate) fn return_operations(&self, tenant: &TenantName, begun: AdmittedOperations) {
        self.books.borrow_mut().return_operations(tenant, begun);
        self.settle();
    }

    /// Operations did not run that this gateway, or the home of the tenant, has counted.
    fn give_back(&self, tenant: &TenantName, home: Option<Holder>, begun: AdmittedOperations) {
        match home {
            None => self.return_operations(tenant, begun),
            Some(home) => self.tunnels.return_operations(home, tenant.clone(), begun),
        }
    }
}

/// A place among the operations that wait here; left where who asked goes.
struct WaitingPlace<'l> {
    limits: &'l Limits,
    tenant: &'l TenantName,
    number: OperationRequestNumber,
}

impl Drop for WaitingPlace<'_> {
    fn drop(&mut self) {
        if self.limits.waiting.borrow_mut().remove(&self.number).is_some() {
            self.limits.books.borrow_mut().withdraw(self.tenant, self.number);
        }
    }
}
