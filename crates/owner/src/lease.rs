//! Leases of server connections, and the task that keeps some warm.
//!
//! A [`Lease`] owns its connection: no other transaction can reach it before
//! the lease gives it back, clean, with [`Lease::recycle`]. A lease that is
//! dropped closes the connection.

use crate::connection::{CONNECT_TIMEOUT, ConnectionError, ServerConnection};
use crate::group::{Group, PooledConnection};
use crate::slot::Slot;
use corktack_core::identity::MemberName;
use corktack_core::pool::warm_targets;
use corktack_core::position::Term;
use corktack_core::routing::is_draining;
use corktack_core::view::GroupView;
use corktack_protocol::peer::ServedBy;
use futures_util::future::join_all;
use std::sync::Arc;
use std::time::Duration;

/// Statement that brings a session back to its first state.
const RESET_SESSION: &str = "DISCARD ALL";
/// Statement that ends a transaction that its caller left.
const ROLLBACK: &str = "ROLLBACK";
/// Longest time for a connection to become clean again before it is closed.
const CLEAN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between two looks at the idle connections when nothing wakes the task.
const WARM_INTERVAL: Duration = Duration::from_millis(500);

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
        group.with_state(|state| state.routing.started(member));
        let group = Arc::clone(group);
        let destination = destination.clone();
        Ok(Self { pooled: Some(pooled), group, destination, epoch, _slot: slot })
    }

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
        let refused = self.group.with_state(|state| {
            if leaves || state.retired || state.epoch != epoch {
                return Some(pooled);
            }
            state.idle.entry(member.clone()).or_default().push(pooled);
            None
        });
        drop(refused);
        self.group.room.notify_one();
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let member = &self.destination.member;
        self.group.with_state(|state| state.routing.ended(member));
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
    connection.tracker.forget_statements();
    connection.session_changed = false;
    reset.is_ok()
}

fn take_idle(group: &Group, member: &MemberName) -> Option<PooledConnection> {
    loop {
        let take = |state: &mut crate::group::GroupState| state.idle.get_mut(member)?.pop();
        let mut pooled = group.with_state(take)?;
        if pooled.connection.is_reusable() {
            return Some(pooled);
        }
        group.metrics.discarded.get_or_create(&group.label()).inc();
    }
}

/// An idle connection to the member, or a new one within the group's limit. At the
/// limit an idle connection to another member is closed, or the next one awaited.
async fn obtain_connection(
    group: &Group,
    member: &MemberName,
) -> Result<PooledConnection, ConnectionError> {
    loop {
        if let Some(pooled) = take_idle(group, member) {
            return Ok(pooled);
        }
        if let Some(open) = group.reserve_connection() {
            return group.connect(member, open).await;
        }
        if !close_idle_of_others(group, member) {
            let room = tokio::time::timeout(CONNECT_TIMEOUT, group.room.notified());
            room.await.map_err(|_| ConnectionError::NoRoom)?;
        }
    }
}

fn close_idle_of_others(group: &Group, member: &MemberName) -> bool {
    let closed = group.with_state(|state| {
        let others = state.idle.iter_mut().filter(|(name, _)| *name != member);
        others.max_by_key(|(_, connections)| connections.len())?.1.pop()
    });
    closed.is_some()
}

/// Keeps idle connections to each member; runs as long as the group is owned.
pub(crate) async fn keep_warm(group: Arc<Group>) {
    loop {
        sweep_idle(&group);
        let missing = missing_connections(&group);
        join_all(missing.iter().map(|member| warm_one(&group, member))).await;
        tokio::select! {
            () = group.warm.notified() => {}
            () = tokio::time::sleep(WARM_INTERVAL) => {}
        }
    }
}

fn missing_connections(group: &Group) -> Vec<MemberName> {
    let view = group.view();
    let mut missing = Vec::new();
    for (member, target) in warm_targets(&view) {
        let present = group.with_state(|state| {
            let idle = state.idle.get(&member).map_or(0, Vec::len) as u32;
            let busy = state.routing.member(&member).map_or(0, |known| known.busy);
            idle + busy
        });
        let count = target.saturating_sub(present) as usize;
        missing.extend(std::iter::repeat_n(member, count));
    }
    let room = view.spec.connections.saturating_sub(group.open_connections());
    missing.truncate(room as usize);
    missing
}

async fn warm_one(group: &Group, member: &MemberName) {
    let epoch = group.with_state(|state| state.epoch);
    let Some(open) = group.reserve_connection() else {
        return;
    };
    let Ok(pooled) = group.connect(member, open).await else {
        return;
    };
    let refused = group.with_state(|state| {
        if state.retired || state.epoch != epoch {
            return Some(pooled);
        }
        state.idle.entry(member.clone()).or_default().push(pooled);
        None
    });
    drop(refused);
}

fn sweep_idle(group: &Group) {
    let dead = group.with_state(|state| {
        let mut dead = Vec::new();
        for connections in state.idle.values_mut() {
            dead.extend(connections.extract_if(.., |pooled| !pooled.connection.is_reusable()));
        }
        dead
    });
    drop(dead);
}
