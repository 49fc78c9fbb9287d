//! The task that keeps some server connections of a group open before they are needed.
//!
//! The module owns the task; it relies on `corktack_core` for how many connections each member should have,
//! and on the group's limit, which it never goes over.

use crate::group::Group;
use crate::idle::sweep_idle;
use corktack_core::identity::MemberName;
use corktack_core::pool::idle_connection_targets;
use futures_util::future::join_all;
use std::sync::Arc;
use std::time::Duration;

/// Time between two rounds of the task when nothing wakes it. Chosen, not measured: a shorter one replaces broken
/// idle connections sooner and wakes an idle process more often.
const WARM_INTERVAL: Duration = Duration::from_millis(500);

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
    for (member, target) in idle_connection_targets(&view) {
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
    let refused = group.with_state(|state| state.keep_idle(member, epoch, pooled));
    drop(refused);
}
