//! Choice of a server connection for a transaction.
//!
//! A transaction takes, in this order: an idle connection to its member, a new connection within the group's
//! limit, a new one in place of an idle connection to another member, or the next connection that is
//! returned.

use crate::connection::{CONNECT_TIMEOUT, ConnectionError};
use crate::group::{Group, GroupState, PooledConnection};
use corktack_core::identity::MemberName;

fn pop_reusable(group: &Group, member: &MemberName) -> Option<PooledConnection> {
    loop {
        let pop = |state: &mut GroupState| state.idle.get_mut(member)?.pop();
        let mut pooled = group.with_state(pop)?;
        if pooled.connection.is_reusable() {
            return Some(pooled);
        }
        group.metrics.discarded.get_or_create(&group.label()).inc();
    }
}

/// Returns an idle connection to the member, or a new one within the group's limit. At the limit, closes an
/// idle connection to another member, or waits until a connection is closed or returned.
pub(crate) async fn acquire_connection(
    group: &Group,
    member: &MemberName,
) -> Result<PooledConnection, ConnectionError> {
    loop {
        if let Some(pooled) = pop_reusable(group, member) {
            return Ok(pooled);
        }
        if let Some(reservation) = group.reserve_connection() {
            return group.connect(member, reservation).await;
        }
        if !close_idle_to_other_member(group, member) {
            let freed = tokio::time::timeout(CONNECT_TIMEOUT, group.connection_freed.notified());
            freed.await.map_err(|_| ConnectionError::NoRoom)?;
        }
    }
}

fn close_idle_to_other_member(group: &Group, member: &MemberName) -> bool {
    let closed = group.with_state(|state| {
        let others = state.idle.iter_mut().filter(|(name, _)| *name != member);
        others.max_by_key(|(_, connections)| connections.len())?.1.pop()
    });
    closed.is_some()
}

/// Closes idle connections that broke while they were in the pool.
pub(crate) fn sweep_idle(group: &Group) {
    let broken = group.with_state(|state| {
        let mut broken = Vec::new();
        for connections in state.idle.values_mut() {
            broken.extend(connections.extract_if(.., |pooled| !pooled.connection.is_reusable()));
        }
        broken
    });
    drop(broken);
}
