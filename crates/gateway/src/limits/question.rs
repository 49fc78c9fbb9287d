//! Asks the home of a tenant for operations that begin at this gateway and that it doesn't count itself.
//!
//! The first operation is requested at once; those that arrive within [`REQUEST_SPACING`] after it are
//! batched into one request. So a priority class of a tenant costs a gateway at most one request in that
//! time, however many operations begin. If no home answers, [`limits`](super) counts at this gateway.

use super::{Limits, RequestedOperations};
use crate::retry_after;
use crate::tunnel::{OperationsRequest, TunnelError};
use corktack_core::gateway::Holder;
use corktack_core::limits::{AdmittedOperations, OverLimit};
use corktack_core::tenancy::TenantName;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Shortest time between two requests of a gateway for a tenant and priority class: a little over 1 % of the
/// shortest latency objective of callers (400 ms).
const REQUEST_SPACING: Duration = Duration::from_millis(5);
/// Grace period for the answer after an operation's deadline: the latency from the home in the zone. A
/// shorter one loses answers that are on their way; a longer one refuses callers later.
const ANSWER_GRACE: Duration = Duration::from_millis(20);

/// An operation counted at a home, or by this gateway in its place.
#[derive(Debug)]
pub(super) struct CountedAtHome {
    /// Gateway that counted the operation; none if this gateway counted in the home's place.
    pub(super) home: Option<Holder>,
    pub(super) admitted: AdmittedOperations,
}

type Outcome = Result<CountedAtHome, OverLimit>;

/// An operation that waits for the home's answer.
#[derive(Debug)]
struct Waiter {
    until: Instant,
    sender: oneshot::Sender<Outcome>,
}

/// Tenant and priority class of the operations that one request asks for.
type BatchKey = (TenantName, u32);

/// Operations of one tenant and priority class that no request has been sent for yet.
#[derive(Debug, Default)]
struct UnsentBatch {
    waiters: Vec<Waiter>,
    /// Whether a request is scheduled.
    is_scheduled: bool,
    asked_at: Option<Instant>,
}

/// Operations to be requested from homes, by tenant and priority class.
#[derive(Debug, Default)]
pub(super) struct HomeRequests {
    batches: HashMap<BatchKey, UnsentBatch>,
}

impl HomeRequests {
    /// Adds operations; returns when a request for them is to be sent, unless one is scheduled already.
    fn add(
        &mut self,
        key: &BatchKey,
        waiters: impl IntoIterator<Item = Waiter>,
    ) -> Option<Instant> {
        let batch = self.batches.entry(key.clone()).or_default();
        batch.waiters.extend(waiters);
        if batch.waiters.is_empty() || std::mem::replace(&mut batch.is_scheduled, true) {
            return None;
        }
        let now = Instant::now();
        Some(batch.asked_at.map_or(now, |asked_at| (asked_at + REQUEST_SPACING).max(now)))
    }

    /// Takes the operations for the request that is sent now.
    fn take_batch(&mut self, key: &BatchKey) -> Vec<Waiter> {
        let Some(batch) = self.batches.get_mut(key) else { return Vec::new() };
        batch.is_scheduled = false;
        batch.asked_at = Some(Instant::now());
        std::mem::take(&mut batch.waiters)
    }
}

impl Limits {
    /// Has the tenant's home count an operation, and waits for the outcome.
    pub(super) async fn request_from_home(
        self: &Rc<Self>,
        tenant: &TenantName,
        priority: u32,
        until: Instant,
    ) -> Outcome {
        let (sender, receiver) = oneshot::channel();
        self.add_waiters(&(tenant.clone(), priority), [Waiter { until, sender }]);
        match timeout_at(until + ANSWER_GRACE, receiver).await {
            Ok(Ok(outcome)) => outcome,
            // Timed out, or the requesting task has ended, which happens only when the process ends.
            Ok(Err(_)) | Err(_) => {
                Err(OverLimit { allowance: 0, retry_after: retry_after::HOME_UNANSWERED })
            }
        }
    }

    fn add_waiters(self: &Rc<Self>, key: &BatchKey, waiters: impl IntoIterator<Item = Waiter>) {
        let send_at = self.home_requests.borrow_mut().add(key, waiters);
        let Some(send_at) = send_at else { return };
        let (limits, key) = (Rc::clone(self), key.clone());
        actix_rt::spawn(async move {
            sleep_until(send_at).await;
            let waiters = limits.home_requests.borrow_mut().take_batch(&key);
            limits.send_batch(&key, waiters).await;
        });
    }

    /// Sends one request for the waiting operations, and distributes the outcome among them.
    async fn send_batch(self: &Rc<Self>, key: &BatchKey, mut waiters: Vec<Waiter>) {
        waiters.retain(|waiter| !waiter.sender.is_closed());
        let Some(until) = waiters.iter().map(|waiter| waiter.until).max() else { return };
        let (tenant, priority) = key;
        let operations = waiters.len() as u64;
        let requested = RequestedOperations { operations, priority: *priority, until };
        let (home, outcome) = self.request_from_homes(tenant, requested).await;
        match outcome {
            Ok(admitted) => self.distribute(key, home, admitted, waiters),
            Err(over_limit) => self.refuse(over_limit, waiters),
        }
    }

    fn distribute(
        self: &Rc<Self>,
        key: &BatchKey,
        home: Option<Holder>,
        admitted: AdmittedOperations,
        waiters: Vec<Waiter>,
    ) {
        let single = AdmittedOperations { operations: 1, ..admitted };
        let mut remaining = admitted.operations;
        let mut unserved = Vec::new();
        for waiter in waiters {
            if remaining == 0 {
                unserved.push(waiter);
            } else if waiter.sender.send(Ok(CountedAtHome { home, admitted: single })).is_ok() {
                remaining -= 1;
            }
        }
        if remaining > 0 {
            self.undo_count(&key.0, home, AdmittedOperations { operations: remaining, ..admitted });
        }
        if !unserved.is_empty() {
            self.add_waiters(key, unserved);
        }
    }

    /// Refuses operations, with a different retry time for each, so that their callers don't retry at once.
    fn refuse(&self, over_limit: OverLimit, waiters: Vec<Waiter>) {
        let interval = self.accounts.borrow().admission_interval(&over_limit);
        let mut retry_after = over_limit.retry_after;
        for waiter in waiters {
            // A send fails only if the caller has gone and needs no answer.
            let _ = waiter.sender.send(Err(OverLimit { retry_after, ..over_limit }));
            retry_after += interval;
        }
    }

    /// Asks the homes of a tenant in turn. If none answers, this gateway counts against its own allowance.
    async fn request_from_homes(
        &self,
        tenant: &TenantName,
        requested: RequestedOperations,
    ) -> (Option<Holder>, Result<AdmittedOperations, OverLimit>) {
        let RequestedOperations { operations, priority, until } = requested;
        let mut remaining = self.homes(tenant);
        while !remaining.is_empty() {
            let Ok(tunnel) = self.tunnels.connect_first(&remaining).await else { break };
            let home = tunnel.holder();
            remaining.retain(|other| other.address != home.address);
            let wait = until.saturating_duration_since(Instant::now());
            let request = OperationsRequest { operations, priority, wait };
            match self.tunnels.begin_operations(tunnel, tenant, request).await {
                Ok(outcome) => return (Some(home), outcome),
                Err(TunnelError::Refused(refusal)) => log::debug!(
                    tenant:% = tenant, home:% = home.address, refusal:? = refusal;
                    "gateway refuses to count operations of a tenant"
                ),
                // Operations that the home may have counted stay counted there, although they don't run.
                Err(TunnelError::NotSent(error) | TunnelError::Sent(error)) => log::info!(
                    tenant:% = tenant, home:% = home.address, error:% = error;
                    "gateway that counts operations of a tenant gives no answer"
                ),
            }
        }
        match self.count_locally(tenant, requested).await {
            Ok(Some(admitted)) => (None, Ok(admitted)),
            // The limit was removed in the meantime.
            Ok(None) => (None, Ok(AdmittedOperations { operations, counted_at: self.clock.now() })),
            Err(over_limit) => (None, Err(over_limit)),
        }
    }
}
