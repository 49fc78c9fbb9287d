//! Counts the operations of tenants against their limits, which hold over all gateways.
//!
//! Each tenant has a home among the gateways of a zone, which counts the operations begun in that zone.
//! [`GatewayLimits`] decides which operations may begin there; the home asks the leader for allowances in the
//! background ([`report`]). The other gateways ask the home, through tunnels ([`question`]). If the home
//! doesn't answer, the next gateway in the tenant's order counts in its place, and finally the asking gateway
//! itself: each gateway admits only what the leader has allowed it.

mod permit;
mod question;
mod report;

pub(crate) use permit::OperationPermit;
pub(crate) use report::run_allowance_reports;
pub use report::{LimitUpdate, LimitsLink};

use crate::clock::SteadyClock;
use crate::settings::GatewaySettings;
use crate::tunnel::Tunnels;
use corktack_core::gateway::{Holder, HolderChoice};
use corktack_core::limits::{
    AdmittedOperations, GatewayLimits, LimitTotals, OperationOutcome, OperationRequest,
    OperationRequestNumber, OverLimit, SettledRequest,
};
use corktack_core::tenancy::{Principal, TenantDirectory, TenantName};
use question::HomeRequests;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Fraction of an operation's wait time that it may wait for its tenant's limit. A lower value refuses more
/// operations; a higher one leaves too little time to wait for the member. Longer waits, more spare
/// operations and expected sessions together raise the mean value of the requests served (0 to 1) from 0.628
/// to 0.719 where tenants reach their limits.
const LIMIT_WAIT_FRACTION: f64 = 0.8;
/// Most gateways of the zone that are asked for a tenant before this one counts itself. Fewer split a
/// tenant's count sooner; more make its callers wait for gateways that are gone.
const MAX_HOMES_ASKED: usize = 3;

/// Operations that are requested together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestedOperations {
    pub(crate) operations: u64,
    /// Priority class of the operations; 0 is served first.
    pub(crate) priority: u32,
    /// Deadline of the wait for the tenant's limit.
    pub(crate) until: Instant,
}

/// Limits of tenants at this gateway, and the operations that wait for them.
#[derive(Debug)]
pub(crate) struct Limits {
    /// Operations counted at this gateway, and its allowances.
    accounts: RefCell<GatewayLimits>,
    /// Channels for the outcome of the operations that wait at this gateway.
    waiting: RefCell<
        HashMap<OperationRequestNumber, oneshot::Sender<Result<AdmittedOperations, OverLimit>>>,
    >,
    /// Operations to be requested from homes at other gateways.
    home_requests: RefCell<HomeRequests>,
    /// Other gateways of the zone, and the order in which they are asked.
    peers: RefCell<(Vec<Holder>, HolderChoice)>,
    own_address: SocketAddr,
    tunnels: Rc<Tunnels>,
    clock: SteadyClock,
    /// Notified when an operation waits here or is refused, so that the leader may be asked for more.
    allowance_wanted: Notify,
}

impl Limits {
    pub(crate) fn new(
        settings: &GatewaySettings,
        tunnels: Rc<Tunnels>,
        clock: SteadyClock,
    ) -> Self {
        let name = settings.name.clone();
        let accounts = GatewayLimits::new(clock.now(), name, settings.incarnation, settings.limits);
        Self {
            accounts: RefCell::new(accounts),
            waiting: RefCell::default(),
            home_requests: RefCell::default(),
            peers: RefCell::default(),
            own_address: settings.peers,
            tunnels,
            clock,
            allowance_wanted: Notify::new(),
        }
    }

    /// Applies the tenants' rates of a new document.
    pub(crate) fn update_rates(&self, tenants: Option<&TenantDirectory>) {
        self.accounts.borrow_mut().apply_rates(tenants);
        self.settle_waiting();
    }

    /// Returns how many operations may begin here in a window, and how many began in the last one.
    pub(crate) fn totals(&self) -> LimitTotals {
        self.accounts.borrow_mut().totals(self.clock.now())
    }

    /// Replaces the other gateways of the zone.
    pub(crate) fn set_peers(&self, peers: &[Holder]) {
        let mut current = self.peers.borrow_mut();
        if current.0 != peers {
            current.0 = peers.to_vec();
            current.1.replace(peers);
        }
    }

    /// Prepares for operations of a principal whose caller has just connected: if this gateway is the
    /// tenant's home, it marks the tenant as active, so that an allowance is ready. A home at another gateway
    /// learns of the caller with the first operation.
    pub(crate) fn mark_active(&self, principal: &Principal) {
        if let Some(tenant) = principal.tenant()
            && self.homes(tenant).is_empty()
        {
            self.accounts.borrow_mut().expect_operations(self.clock.now(), tenant);
        }
    }

    /// Counts an operation that begins now for a principal. The operation waits for part of the time until
    /// `wait_deadline` if the tenant's limit may allow it in that time, or the leader may allow more.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        principal: &Principal,
        priority: u32,
        wait_deadline: Instant,
    ) -> Result<OperationPermit, OverLimit> {
        let limited = principal.tenant().filter(|tenant| self.accounts.borrow().is_limited(tenant));
        let Some(tenant) = limited else { return Ok(OperationPermit::unlimited()) };
        let now = Instant::now();
        let until = now + wait_deadline.saturating_duration_since(now).mul_f64(LIMIT_WAIT_FRACTION);
        self.admit_until(tenant, priority, until).await
    }

    async fn admit_until(
        self: &Rc<Self>,
        tenant: &TenantName,
        priority: u32,
        until: Instant,
    ) -> Result<OperationPermit, OverLimit> {
        let (home, admitted) = if self.homes(tenant).is_empty() {
            let requested = RequestedOperations { operations: 1, priority, until };
            (None, self.count_locally(tenant, requested).await?)
        } else {
            let counted = self.request_from_home(tenant, priority, until).await?;
            (counted.home, Some(counted.admitted))
        };
        let Some(admitted) = admitted else { return Ok(OperationPermit::unlimited()) };
        Ok(OperationPermit::counted(Rc::clone(self), tenant.clone(), priority, home, admitted))
    }

    /// Returns the gateways to ask for a tenant's operations, the home first; none if this gateway counts
    /// them.
    fn homes(&self, tenant: &TenantName) -> Vec<Holder> {
        let peers = self.peers.borrow();
        self.tunnels.candidates_for_tenant(
            &peers.1,
            tenant,
            Some(self.own_address),
            MAX_HOMES_ASKED,
        )
    }

    /// Counts operations for another gateway; returns none if this gateway knows no limit of the tenant.
    pub(crate) async fn count_for_another(
        &self,
        tenant: &TenantName,
        requested: RequestedOperations,
    ) -> Option<Result<AdmittedOperations, OverLimit>> {
        self.count_locally(tenant, requested).await.transpose()
    }

    /// Counts as many of the operations as may begin at this gateway; returns none if nothing limits them.
    async fn count_locally(
        &self,
        tenant: &TenantName,
        RequestedOperations { operations, priority, until }: RequestedOperations,
    ) -> Result<Option<AdmittedOperations>, OverLimit> {
        let request =
            OperationRequest { operations, priority, until: self.clock.timestamp_of(until) };
        let outcome = self.accounts.borrow_mut().request(self.clock.now(), tenant, request);
        let number = match outcome {
            OperationOutcome::Unlimited => return Ok(None),
            OperationOutcome::Admitted(admitted) => return Ok(Some(admitted)),
            OperationOutcome::Waiting(number) => number,
            OperationOutcome::Refused(over_limit) => {
                self.allowance_wanted.notify_one();
                return Err(over_limit);
            }
        };
        let (sender, outcome) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        let _place = WaitingPlace { limits: self, tenant, number };
        self.settle_waiting();
        self.allowance_wanted.notify_one();
        // The sender is kept until it is used, or `_place` is dropped.
        let outcome = outcome.await;
        outcome.map_or_else(|_| Ok(None), |outcome| outcome.map(Some))
    }

    /// Sends the outcome to each waiting operation that can be decided now.
    fn settle_waiting(&self) {
        let settled = self.accounts.borrow_mut().settle(self.clock.now());
        for SettledRequest { number, outcome } in settled {
            if let Some(sender) = self.waiting.borrow_mut().remove(&number) {
                // A send fails only if the waiter has gone, and then it has left the queue already.
                let _ = sender.send(outcome);
            }
        }
    }

    /// Undoes the count of operations that were counted at this gateway and did not run.
    pub(crate) fn return_operations(&self, tenant: &TenantName, admitted: AdmittedOperations) {
        self.accounts.borrow_mut().return_operations(tenant, admitted);
        self.settle_waiting();
    }

    /// Undoes the count of operations that did not run, at the home that counted them or at this gateway.
    fn undo_count(&self, tenant: &TenantName, home: Option<Holder>, admitted: AdmittedOperations) {
        match home {
            None => self.return_operations(tenant, admitted),
            Some(home) => self.tunnels.return_operations(home, tenant.clone(), admitted),
        }
    }
}

/// Place among the operations that wait at this gateway; withdrawn on drop, when the requester goes.
struct WaitingPlace<'l> {
    limits: &'l Limits,
    tenant: &'l TenantName,
    number: OperationRequestNumber,
}

impl Drop for WaitingPlace<'_> {
    fn drop(&mut self) {
        if self.limits.waiting.borrow_mut().remove(&self.number).is_some() {
            self.limits.accounts.borrow_mut().withdraw(self.tenant, self.number);
        }
    }
}
