//! Choice of a server connection for a transaction.
//!
//! A transaction takes, in this order: an idle connection to its member, a new connection within the group's
//! limit, a new one in place of an idle connection to another member, or the next connection that is
//! returned.

use crate::connection::{CONNECT_TIMEOUT, ConnectionError};
use crate::group::{Group, GroupState, PooledConnection};
use corktack_core::identity::MemberName;

fn take_idle(group: &Group, member: &MemberName) -> Option<PooledConnection> {
    loop {
        let take = |state: &mut GroupState| state.idle.get_mut(member)?.pop();
        let mut pooled = group.with_state(take)?;
        if pooled.connection.is_reusable() {
            return Some(pooled);
        }
        group.metrics.discarded.get_or_create(&group.label()).inc();
    }
}

/// Returns an idle connection to the member, or a new one within the group's limit. At the limit, closes an
/// idle connection to another member, or waits until a connection is closed or returned.
pub(crate) async fn obtain_connection(
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

/// Closes idle connections that broke while they were in the pool.
pub(crate) fn sweep_idle(group: &Group) {
    let dead = group.with_state(|state| {
        let mut dead = Vec::new();
        for connections in state.idle.values_mut() {
            dead.extend(connections.extract_if(.., |pooled| !pooled.connection.is_reusable()));
        }
        dead
    });
    drop(dead);
}
