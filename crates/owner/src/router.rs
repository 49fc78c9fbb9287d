//! Steps by which one request obtains a lease: barrier, wait for a replica, queue, connection.
//!
//! A [`Router`] holds the request's deadline and the results of earlier attempts. It takes its choices from
//! `decisions` and the routing table of `corktack_core`, slots from `group` and connections from `lease`.

use crate::connection::ConnectionError;
use crate::decisions::{Refusal, RetryCause, max_wait, reason_after_retry, slot_timeout_reason};
use crate::group::{Group, Slot, SlotWaitError};
use crate::lease::{Destination, Lease};
use crate::metrics::ClassLabel;
use corktack_core::admission::RequiredRole;
use corktack_core::identity::ClassName;
use corktack_core::position::Position;
use corktack_core::routing::ReadRoute;
use corktack_core::time::Timestamp;
use corktack_protocol::peer::{Access, NotRunReason, OpenRequest, ServedBy};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause before a barrier is requested again when the primary gave none. A shorter pause sends more requests
/// in a group without a primary; a longer one delays reads that wait for a change of primary by as much.
const BARRIER_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Obtains a server connection for one request, anew for each attempt.
pub(crate) struct Router {
    group: Arc<Group>,
    class: ClassName,
    access: Access,
    /// Lowest position that a read may be served at; set by a barrier if the request has none.
    pub minimum: Option<Position>,
    /// Whether a barrier was confirmed after the request arrived.
    confirmed: bool,
    /// Whether only the primary may serve the request, since a replica failed to.
    primary_only: bool,
    deadline: Timestamp,
    attempt: u32,
    /// Reason of the refusal if the deadline passes.
    timeout_reason: NotRunReason,
}

impl Router {
    /// Creates the router of a request that has just arrived.
    pub fn new(group: Arc<Group>, request: &OpenRequest) -> Self {
        let wait = max_wait(request.timeout_ms, group.view().spec.queue_timeout_ms);
        let deadline = group.now() + wait;
        Self {
            group,
            class: request.class.clone(),
            access: request.access,
            minimum: request.minimum,
            confirmed: false,
            primary_only: false,
            deadline,
            attempt: 0,
            timeout_reason: NotRunReason::QueueTimeout,
        }
    }

    /// Waits for a slot and a server connection. Safe to cancel. Refuses the request as `NotOwner` if another
    /// proxy becomes the owner before it has started.
    pub async fn obtain_lease(&mut self) -> Result<Lease, Refusal> {
        let group = Arc::clone(&self.group);
        tokio::select! {
            biased;
            () = group.retired() => Err(Refusal::from(NotRunReason::NotOwner)),
            lease = self.find_lease() => lease,
        }
    }

    async fn find_lease(&mut self) -> Result<Lease, Refusal> {
        loop {
            let required_role = self.choose_required_role().await?;
            let slot = self.wait_for_slot(required_role).await?;
            let Some(destination) = self.choose_destination(required_role) else {
                // The primary or the replicas changed while the request waited.
                continue;
            };
            match self.acquire_lease(slot, &destination).await {
                Some(lease) => return Ok(lease),
                None => self.prepare_retry(RetryCause::ConnectionLost).await?,
            }
        }
    }

    /// Takes a retry from the budget and waits for the back-off delay; fails when the budget is used up.
    pub async fn prepare_retry(&mut self, cause: RetryCause) -> Result<(), Refusal> {
        self.primary_only |= cause == RetryCause::ReplicaBehind;
        self.timeout_reason = reason_after_retry(cause);
        let attempt = self.attempt;
        self.attempt += 1;
        let delay = self
            .group
            .with_state(|state| state.retry.try_retry().then(|| state.backoff.delay(attempt)));
        let delay = delay.ok_or(Refusal::from(NotRunReason::RetryBudget))?;
        self.group.metrics.retries.get_or_create(&self.group.label()).inc();
        tokio::time::sleep(delay).await;
        Ok(())
    }

    async fn choose_required_role(&mut self) -> Result<RequiredRole, Refusal> {
        if self.access == Access::Write {
            return Ok(RequiredRole::Primary);
        }
        let minimum = match self.minimum {
            Some(minimum) => minimum,
            None => self.await_barrier().await?,
        };
        if !self.primary_only && self.wait_for_replica(minimum).await {
            return Ok(RequiredRole::Replica);
        }
        if !self.confirmed && !self.primary_covers(minimum) {
            self.await_barrier().await?;
        }
        Ok(RequiredRole::Primary)
    }

    /// Reports whether the primary's last known commit position covers the minimum. If so, even a primary
    /// that was replaced since then shows the session's own writes.
    fn primary_covers(&self, minimum: Position) -> bool {
        let primary = self.group.view().primary.clone();
        let covers = |name| self.group.with_state(|state| state.routing.covers(name, minimum));
        primary.as_ref().is_some_and(covers)
    }

    /// Obtains a position that was confirmed after the request arrived, retrying until the deadline.
    async fn await_barrier(&mut self) -> Result<Position, Refusal> {
        loop {
            let remaining = self.deadline.saturating_since(self.group.now());
            let confirmation = self.group.barriers.confirmed_position();
            let answer = tokio::time::timeout(remaining, confirmation).await;
            let Ok(answer) = answer else {
                return Err(Refusal::from(NotRunReason::NoBackEnd));
            };
            if let Some(position) = answer {
                self.confirmed = true;
                let minimum = self.minimum.map_or(position, |minimum| minimum.merge(position));
                self.minimum = Some(minimum);
                return Ok(minimum);
            }
            tokio::time::sleep(BARRIER_RETRY_PAUSE.min(remaining)).await;
        }
    }

    /// Waits until a replica has applied the minimum, for at most the group's `replica_wait_ms`. Returns
    /// whether one has.
    async fn wait_for_replica(&self, minimum: Position) -> bool {
        let wait = Duration::from_millis(u64::from(self.group.view().spec.replica_wait_ms));
        let end = tokio::time::Instant::now() + wait;
        let mut member_changes = self.group.subscribe_member_changes();
        loop {
            match self.route_read(minimum) {
                ReadRoute::Replica(_) => return true,
                ReadRoute::Unavailable => return false,
                ReadRoute::Behind => {}
            }
            let changed = tokio::time::timeout_at(end, member_changes.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return false;
            }
        }
    }

    fn route_read(&self, minimum: Position) -> ReadRoute {
        let view = self.group.view();
        let zone = &self.group.settings.zone;
        self.group.with_state(|state| state.routing.route_read(&view, zone, minimum))
    }

    async fn wait_for_slot(&mut self, required_role: RequiredRole) -> Result<Slot, Refusal> {
        let started = Instant::now();
        let enqueued = self.group.enqueue(&self.class, required_role, self.deadline);
        let pending = enqueued.map_err(Refusal::from)?;
        let slot = pending.wait(self.deadline).await;
        let label =
            ClassLabel { group: self.group.name.to_string(), class: self.class.to_string() };
        let waited = started.elapsed().as_secs_f64();
        self.group.metrics.queue_wait.get_or_create(&label).observe(waited);
        slot.map_err(|wait_error| match wait_error {
            SlotWaitError::DeadlinePassed => self.timeout_refusal(required_role),
            SlotWaitError::Displaced => Refusal::from(NotRunReason::QueueFull),
        })
    }

    fn timeout_refusal(&self, required_role: RequiredRole) -> Refusal {
        let has_primary = || self.group.available_primary().is_some();
        Refusal::from(slot_timeout_reason(self.timeout_reason, required_role, has_primary))
    }

    fn choose_destination(&self, required_role: RequiredRole) -> Option<Destination> {
        let term = self.group.view().term;
        if required_role == RequiredRole::Replica {
            let ReadRoute::Replica(member) = self.route_read(self.minimum?) else {
                return None;
            };
            return Some(Destination { member, served_by: ServedBy::Replica, term });
        }
        let (member, term) = self.group.available_primary()?;
        Some(Destination { member, served_by: ServedBy::Primary, term })
    }

    async fn acquire_lease(&self, slot: Slot, destination: &Destination) -> Option<Lease> {
        let mut view = self.group.subscribe_view();
        let replaced = view.wait_for(|view| {
            view.term != destination.term && destination.served_by == ServedBy::Primary
        });
        let leased = tokio::select! {
            _ = replaced => return None,
            leased = Lease::acquire(&self.group, slot, destination) => leased,
        };
        // A full connection pool says nothing about the member.
        if leased.as_ref().is_err_and(|error| !matches!(error, ConnectionError::NoRoom)) {
            self.record_unreachable(destination);
        }
        leased.ok()
    }

    fn record_unreachable(&self, destination: &Destination) {
        let member = &destination.member;
        match destination.served_by {
            ServedBy::Primary => self.group.mark_primary_suspect(member, destination.term),
            ServedBy::Replica => {
                self.group.with_state(|state| state.routing.set_reachable(member, false));
                self.group.notify_member_changed();
            }
        }
    }
}
