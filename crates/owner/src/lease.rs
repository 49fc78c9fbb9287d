//! Leases of server connections: one transaction, one slot, one connection.
//!
//! A [`Lease`] owns its connection: no other transaction can reach it before
//! the lease gives it back, clean, with [`Lease::recycle`]. A lease that is
//! dropped closes the connection. The module relies on `idle` for a connection and on the group's
//! state for when the work must not go on at its member.

use crate::connection::{ConnectionError, ServerConnection};
use crate::group::{Group, PooledConnection, Slot};
use crate::idle::obtain_connection;
use corktack_core::identity::MemberName;
use corktack_core::position::Term;
use corktack_core::routing::is_draining;
use corktack_core::view::GroupView;
use corktack_protocol::peer::ServedBy;
use std::sync::Arc;
use std::time::Duration;

/// Statement that brings a session back to its first state.
const RESET_SESSION: &str = "DISCARD ALL";
/// Statement that ends a transaction that its caller left.
const ROLLBACK: &str = "ROLLBACK";
/// Longest time for a connection to become clean again before it is closed. The slot is held meanwhile. Chosen,
/// not measured: a shorter one closes connections whose last statement is a little slow, a longer one keeps the
/// slot from the next request.
const CLEAN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A member chosen for a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Destination {
    pub member: MemberName,
    pub served_by: ServedBy,
    /// Term of the view that the choice was made from.
    pub term: Term,
}

impl Destination {
    /// Whether the member is still the primary of the same term.
    pub fn is_primary_of(&self, view: &GroupView) -> bool {
        view.primary.as_ref() == Some(&self.member) && view.term == self.term
    }
}

/// A server connection in the hands of one transaction.
#[derive(Debug)]
pub(crate) struct Lease {
    pooled: Option<PooledConnection>,
    group: Arc<Group>,
    destination: Destination,
    epoch: u64,
    _slot: Slot,
}

impl Lease {
    /// Takes an idle connection to the member, or opens one.
    pub async fn take(
        group: &Arc<Group>,
        slot: Slot,
        destination: &Destination,
    ) -> Result<Self, ConnectionError> {
        let member = &destination.member;
        let epoch = group.with_state(|state| state.epoch);
        let pooled = obtain_connection(group, member).await?;
        group.with_state(|state| state.routing.record_transaction_start(member));
        let group = Arc::clone(group);
        let destination = destination.clone();
        Ok(Self { pooled: Some(pooled), group, destination, epoch, _slot: slot })
    }

    /// The member that the transaction runs at.
    pub fn destination(&self) -> &Destination {
        &self.destination
    }

    /// The connection. Absent only after the lease has ended, which consumes it.
    pub fn connection(&mut self) -> Result<&mut ServerConnection, ConnectionError> {
        let pooled = self.pooled.as_mut().ok_or(ConnectionError::Closed)?;
        Ok(&mut pooled.connection)
    }

    /// Waits until the work must not go on here: the primary was replaced.
    pub fn replaced(&self) -> impl Future<Output = ()> + use<> {
        let mut views = self.group.follow_view();
        let destination = self.destination.clone();
        async move {
            if destination.served_by == ServedBy::Replica {
                return std::future::pending().await;
            }
            let replaced = |view: &Arc<GroupView>| !destination.is_primary_of(view);
            // The sender lives in the group, which the lease holds.
            let _ = views.wait_for(replaced).await;
        }
    }

    /// Waits until probes of the replica go unanswered; for the primary the view decides.
    pub fn unreachable(&self) -> impl Future<Output = ()> + use<> {
        let mut knowledge = self.group.follow_knowledge();
        let group = Arc::clone(&self.group);
        let Destination { member, served_by, .. } = self.destination.clone();
        async move {
            if served_by == ServedBy::Primary {
                return std::future::pending().await;
            }
            while group.with_state(|state| state.routing.is_reachable(&member)) {
                if knowledge.changed().await.is_err() {
                    return;
                }
            }
        }
    }

    /// Waits until the member was silent for longer than the bound.
    pub fn silent(&self) -> impl Future<Output = ()> + use<> {
        let mut knowledge = self.group.follow_knowledge();
        let group = Arc::clone(&self.group);
        let member = self.destination.member.clone();
        async move {
            loop {
                let since = group.with_state(|state| state.silent_since.get(&member).copied());
                let changed = knowledge.changed();
                let Some(since) = since else {
                    if changed.await.is_err() {
                        return;
                    }
                    continue;
                };
                let left = group.settings.silence_timeout.saturating_sub(since.elapsed());
                if left.is_zero() || tokio::time::timeout(left, changed).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Ends the lease after a whole answer, outside a transaction. The connection
    /// is reset where its session may have changed, and given back.
    pub async fn recycle(mut self) {
        if let Ok(connection) = self.connection() {
            let clean = clean_session(connection).await;
            if clean {
                self.give_back();
            }
        }
    }

    /// Ends the lease of a caller that is gone: what runs is awaited, and the
    /// open transaction rolled back, both within a bound.
    pub async fn roll_back(mut self) {
        if let Ok(connection) = self.connection() {
            let settled = tokio::time::timeout(CLEAN_TIMEOUT, roll_back(connection)).await;
            if matches!(settled, Ok(Ok(true))) && clean_session(connection).await {
                self.give_back();
            }
        }
    }

    fn give_back(&mut self) {
        let view = self.group.view();
        let member = &self.destination.member;
        let leaves = is_draining(&view, member);
        let epoch = self.epoch;
        let Some(pooled) = self.pooled.take() else {
            return;
        };
        let refused = self.group.with_state(|state| match leaves {
            true => Some(pooled),
            false => state.keep_idle(member, epoch, pooled),
        });
        drop(refused);
        self.group.room.notify_one();
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let member = &self.destination.member;
        self.group.with_state(|state| state.routing.record_transaction_end(member));
        if self.pooled.take().is_some() {
            self.group.metrics.discarded.get_or_create(&self.group.label()).inc();
            self.group.warm.notify_one();
        }
    }
}

/// Settles what runs, then rolls back; whether the session is outside a transaction.
async fn roll_back(connection: &mut ServerConnection) -> Result<bool, ConnectionError> {
    connection.settle().await?;
    connection.queue_query(ROLLBACK)?;
    connection.settle().await
}

async fn clean_session(connection: &mut ServerConnection) -> bool {
    if !connection.session_changed {
        return true;
    }
    let reset = connection.query(RESET_SESSION, CLEAN_TIMEOUT).await;
    connection.tracker.clear_statements();
    connection.session_changed = false;
    reset.is_ok()
}
