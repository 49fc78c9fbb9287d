//! The way of one request to a lease: barrier, wait for a replica, queue, connection.
//!
//! The module owns the request's deadline and what it has learned on its way; it relies on `decisions` and on the
//! routing table of `corktack_core` for what to do, on `group` for the queue and on `lease` for connections.

use crate::connection::ConnectionError;
use crate::decisions::{Refusal, RetryCause, late_reason, longest_wait, reason_when_late};
use crate::group::{GivenUp, Group, Slot};
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

/// Pause before a barrier is asked for again when the primary gave none. Chosen, not measured: a shorter one
/// asks a group without a primary more often, a longer one adds its length to reads that wait for a change
/// of primary.
const BARRIER_PAUSE: Duration = Duration::from_millis(20);

/// Finds a server connection for one request, again for each attempt.
pub(crate) struct Router {
    group: Arc<Group>,
    class: ClassName,
    access: Access,
    /// What a read must see at least; filled in by a barrier.
    pub minimum: Option<Position>,
    /// A barrier was confirmed after the request arrived.
    confirmed: bool,
    /// A replica failed the request, so the primary serves it.
    primary_only: bool,
    deadline: Timestamp,
    attempt: u32,
    /// Reason given when the deadline comes.
    late_reason: NotRunReason,
}

impl Router {
    /// A request that has just come.
    pub fn new(group: Arc<Group>, request: &OpenRequest) -> Self {
        let wait = longest_wait(request.timeout_ms, group.view().spec.queue_timeout_ms);
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
            late_reason: NotRunReason::QueueTimeout,
        }
    }

    /// Waits its turn and takes a server connection. Safe to cancel. What has not
    /// started when another proxy becomes the owner is left to that proxy.
    pub async fn obtain(&mut self) -> Result<Lease, Refusal> {
        let group = Arc::clone(&self.group);
        tokio::select! {
            biased;
            () = group.retired() => Err(Refusal::from(NotRunReason::NotOwner)),
            lease = self.find_lease() => lease,
        }
    }

    async fn find_lease(&mut self) -> Result<Lease, Refusal> {
        loop {
            let lane = self.choose_lane().await?;
            let slot = self.wait_for_slot(lane).await?;
            let Some(destination) = self.destination(lane) else {
                // What was known at the enqueueing has changed.
                continue;
            };
            match self.lease(slot, &destination).await {
                Some(lease) => return Ok(lease),
                None => self.prepare_retry(RetryCause::ConnectionLost).await?,
            }
        }
    }

    /// Takes a retry from the budget and waits the backoff.
    pub async fn prepare_retry(&mut self, cause: RetryCause) -> Result<(), Refusal> {
        self.primary_only |= cause == RetryCause::ReplicaBehind;
        self.late_reason = late_reason(cause);
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

    async fn choose_lane(&mut self) -> Result<RequiredRole, Refusal> {
        if self.access == Access::Write {
            return Ok(RequiredRole::Primary);
        }
        let minimum = match self.minimum {
            Some(minimum) => minimum,
            None => self.barrier().await?,
        };
        if !self.primary_only && self.replica_catches_up(minimum).await {
            return Ok(RequiredRole::Replica);
        }
        if !self.confirmed && !self.primary_covers(minimum) {
            self.barrier().await?;
        }
        Ok(RequiredRole::Primary)
    }

    /// Whether what the primary was seen to have committed holds the minimum, so
    /// that even a primary that was replaced since shows the session's own writes.
    fn primary_covers(&self, minimum: Position) -> bool {
        let primary = self.group.view().primary.clone();
        let covers = |name| self.group.with_state(|state| state.routing.covers(name, minimum));
        primary.as_ref().is_some_and(covers)
    }

    /// A position confirmed after the request arrived; asked for until the deadline.
    async fn barrier(&mut self) -> Result<Position, Refusal> {
        loop {
            let left = self.deadline.saturating_since(self.group.now());
            let asked = self.group.barriers.confirmed_position();
            let answer = tokio::time::timeout(left, asked).await;
            let Ok(answer) = answer else {
                return Err(Refusal::from(NotRunReason::NoBackEnd));
            };
            if let Some(position) = answer {
                self.confirmed = true;
                let minimum = self.minimum.map_or(position, |known| known.merge(position));
                self.minimum = Some(minimum);
                return Ok(minimum);
            }
            tokio::time::sleep(BARRIER_PAUSE.min(left)).await;
        }
    }

    /// Waits, within the group's bound, until a replica holds the minimum.
    async fn replica_catches_up(&self, minimum: Position) -> bool {
        let wait = Duration::from_millis(u64::from(self.group.view().spec.replica_wait_ms));
        let end = tokio::time::Instant::now() + wait;
        let mut knowledge = self.group.follow_knowledge();
        loop {
            match self.route(minimum) {
                ReadRoute::Replica(_) => return true,
                ReadRoute::Unavailable => return false,
                ReadRoute::Behind => {}
            }
            let changed = tokio::time::timeout_at(end, knowledge.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return false;
            }
        }
    }

    fn route(&self, minimum: Position) -> ReadRoute {
        let view = self.group.view();
        let zone = &self.group.settings.zone;
        self.group.with_state(|state| state.routing.route_read(&view, zone, minimum))
    }

    async fn wait_for_slot(&mut self, lane: RequiredRole) -> Result<Slot, Refusal> {
        let started = Instant::now();
        let enqueued = self.group.enqueue(&self.class, lane, self.deadline);
        let pending = enqueued.map_err(Refusal::from)?;
        let slot = pending.wait(self.deadline).await;
        let label =
            ClassLabel { group: self.group.name.to_string(), class: self.class.to_string() };
        let waited = started.elapsed().as_secs_f64();
        self.group.metrics.queue_wait.get_or_create(&label).observe(waited);
        slot.map_err(|given_up| match given_up {
            GivenUp::Late => self.late(lane),
            GivenUp::Displaced => Refusal::from(NotRunReason::QueueFull),
        })
    }

    fn late(&self, lane: RequiredRole) -> Refusal {
        let available = || self.group.available_primary().is_some();
        Refusal::from(reason_when_late(self.late_reason, lane, available))
    }

    fn destination(&self, lane: RequiredRole) -> Option<Destination> {
        let term = self.group.view().term;
        if lane == RequiredRole::Replica {
            let ReadRoute::Replica(member) = self.route(self.minimum?) else {
                return None;
            };
            return Some(Destination { member, served_by: ServedBy::Replica, term });
        }
        let (member, term) = self.group.available_primary()?;
        Some(Destination { member, served_by: ServedBy::Primary, term })
    }

    async fn lease(&self, slot: Slot, destination: &Destination) -> Option<Lease> {
        let mut view = self.group.follow_view();
        let replaced = view.wait_for(|view| {
            view.term != destination.term && destination.served_by == ServedBy::Primary
        });
        let leased = tokio::select! {
            _ = replaced => return None,
            leased = Lease::take(&self.group, slot, destination) => leased,
        };
        // Without room for a connection nothing is known of the member.
        if leased.as_ref().is_err_and(|error| !matches!(error, ConnectionError::NoRoom)) {
            self.note_unreachable(destination);
        }
        leased.ok()
    }

    fn note_unreachable(&self, destination: &Destination) {
        let member = &destination.member;
        match destination.served_by {
            ServedBy::Primary => self.group.suspect_primary(member, destination.term),
            ServedBy::Replica => {
                self.group.with_state(|state| state.routing.set_reachable(member, false));
                self.group.knowledge_changed();
            }
        }
    }
}
