//! Leases of server connections: one transaction, one slot, one connection.
//!
//! A [`Lease`] owns its connection exclusively until [`Lease::recycle`] resets the connection and returns it
//! to the pool. Dropping a lease closes the connection. Connections come from `idle`; the group's state says
//! when a transaction must not continue at its member.

use crate::connection::{ConnectionError, ServerConnection};
use crate::group::{Group, PooledConnection, Slot};
use crate::idle::acquire_connection;
use corktack_core::identity::MemberName;
use corktack_core::position::Term;
use corktack_core::routing::is_draining;
use corktack_core::view::GroupView;
use corktack_protocol::peer::ServedBy;
use std::sync::Arc;
use std::time::Duration;

/// Statement that resets a session to its initial state.
const RESET_SESSION: &str = "DISCARD ALL";
/// Statement that ends a transaction whose caller is gone.
const ROLLBACK: &str = "ROLLBACK";
/// Longest time to reset a connection before it is closed instead. The slot stays occupied meanwhile. A
/// shorter timeout closes connections whose last statement is a little slow; a longer one delays the next
/// request for the slot.
const RESET_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The member chosen for a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Destination {
    pub member: MemberName,
    pub served_by: ServedBy,
    /// Term of the view in which the member was chosen.
    pub term: Term,
}

impl Destination {
    /// Reports whether the member is still the primary of the same term.
    pub fn is_primary_of(&self, view: &GroupView) -> bool {
        view.primary.as_ref() == Some(&self.member) && view.term == self.term
    }
}

/// Exclusive use of a server connection and a slot by one transaction.
#[derive(Debug)]
pub(crate) struct Lease {
    pooled: Option<PooledConnection>,
    group: Arc<Group>,
    destination: Destination,
    epoch: u64,
    _slot: Slot,
}

impl Lease {
    /// Acquires an idle connection to the member, or opens a new one.
    pub async fn acquire(
        group: &Arc<Group>,
        slot: Slot,
        destination: &Destination,
    ) -> Result<Self, ConnectionError> {
        let member = &destination.member;
        let epoch = group.with_state(|state| state.epoch);
        let pooled = acquire_connection(group, member).await?;
        group.with_state(|state| state.routing.record_transaction_start(member));
        let group = Arc::clone(group);
        let destination = destination.clone();
        Ok(Self { pooled: Some(pooled), group, destination, epoch, _slot: slot })
    }

    /// Returns the member that the transaction runs at.
    pub fn destination(&self) -> &Destination {
        &self.destination
    }

    /// Returns the connection. The connection is absent only after the lease has ended, which consumes the
    /// lease.
    pub fn connection(&mut self) -> Result<&mut ServerConnection, ConnectionError> {
        let pooled = self.pooled.as_mut().ok_or(ConnectionError::Closed)?;
        Ok(&mut pooled.connection)
    }

    /// Waits until the primary that serves the transaction is replaced, or its term changes. Never returns
    /// for a replica.
    pub fn wait_until_replaced(&self) -> impl Future<Output = ()> + use<> {
        let mut views = self.group.subscribe_view();
        let destination = self.destination.clone();
        async move {
            if destination.served_by == ServedBy::Replica {
                return std::future::pending().await;
            }
            let replaced = |view: &Arc<GroupView>| !destination.is_primary_of(view);
            // The wait cannot fail: the lease holds the group, which holds the sender.
            let _ = views.wait_for(replaced).await;
        }
    }

    /// Waits until probes of the replica go unanswered. Never returns for the primary, whose replacement the
    /// view announces.
    pub fn wait_until_unreachable(&self) -> impl Future<Output = ()> + use<> {
        let mut member_changes = self.group.subscribe_member_changes();
        let group = Arc::clone(&self.group);
        let Destination { member, served_by, .. } = self.destination.clone();
        async move {
            if served_by == ServedBy::Primary {
                return std::future::pending().await;
            }
            while group.with_state(|state| state.routing.is_reachable(&member)) {
                if member_changes.changed().await.is_err() {
                    return;
                }
            }
        }
    }

    /// Waits until the member has left probes unanswered for longer than `silence_timeout`.
    pub fn wait_until_silent(&self) -> impl Future<Output = ()> + use<> {
        let mut member_changes = self.group.subscribe_member_changes();
        let group = Arc::clone(&self.group);
        let member = self.destination.member.clone();
        async move {
            loop {
                let since = group.with_state(|state| state.silent_since.get(&member).copied());
                let changed = member_changes.changed();
                let Some(since) = since else {
                    if changed.await.is_err() {
                        return;
                    }
                    continue;
                };
                let remaining = group.settings.silence_timeout.saturating_sub(since.elapsed());
                if remaining.is_zero() || tokio::time::timeout(remaining, changed).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Ends the lease after a complete answer, outside a transaction. Resets the connection if its session
    /// may have changed, and returns it to the pool.
    pub async fn recycle(mut self) {
        if let Ok(connection) = self.connection() {
            let is_reset = reset_session(connection).await;
            if is_reset {
                self.return_to_pool();
            }
        }
    }

    /// Ends the lease of a caller that is gone: waits for the running statement and rolls back the open
    /// transaction, both within a time limit.
    pub async fn roll_back(mut self) {
        if let Ok(connection) = self.connection() {
            let rolled_back = tokio::time::timeout(RESET_TIMEOUT, roll_back(connection)).await;
            if matches!(rolled_back, Ok(Ok(true))) && reset_session(connection).await {
                self.return_to_pool();
            }
        }
    }

    fn return_to_pool(&mut self) {
        let view = self.group.view();
        let member = &self.destination.member;
        let is_leaving = is_draining(&view, member);
        let epoch = self.epoch;
        let Some(pooled) = self.pooled.take() else {
            return;
        };
        let not_pooled = self.group.with_state(|state| match is_leaving {
            true => Some(pooled),
            false => state.keep_idle(member, epoch, pooled),
        });
        drop(not_pooled);
        self.group.connection_freed.notify_one();
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let member = &self.destination.member;
        self.group.with_state(|state| state.routing.record_transaction_end(member));
        if self.pooled.take().is_some() {
            self.group.metrics.discarded.get_or_create(&self.group.label()).inc();
            self.group.warm_wakeup.notify_one();
        }
    }
}

/// Waits for the running statements, then rolls back; returns whether the session is outside a transaction.
async fn roll_back(connection: &mut ServerConnection) -> Result<bool, ConnectionError> {
    connection.drain_replies().await?;
    connection.queue_query(ROLLBACK)?;
    connection.drain_replies().await
}

async fn reset_session(connection: &mut ServerConnection) -> bool {
    if !connection.session_changed {
        return true;
    }
    let reset = connection.query(RESET_SESSION, RESET_TIMEOUT).await;
    connection.tracker.clear_statements();
    connection.session_changed = false;
    reset.is_ok()
}
