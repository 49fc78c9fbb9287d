//! The task that opens server connections of a group before they are needed.
//!
//! `corktack_core` says how many connections each member should have. The task never exceeds the group's
//! limit.

use crate::group::Group;
use crate::idle::sweep_idle;
use corktack_core::identity::MemberName;
use corktack_core::pool::idle_connection_targets;
use futures_util::future::join_all;
use std::sync::Arc;
use std::time::Duration;

/// Time between two rounds of the task when nothing wakes it. A shorter interval replaces broken idle
/// connections sooner but wakes an idle process more often.
const WARM_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps idle connections to each member open; runs as long as the group is owned.
pub(crate) async fn keep_warm(group: Arc<Group>) {
    loop {
        sweep_idle(&group);
        let missing = missing_connections(&group);
        join_all(missing.iter().map(|member| open_warm_connection(&group, member))).await;
        tokio::select! {
            () = group.warm_wakeup.notified() => {}
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
            let busy = state.routing.member(&member).map_or(0, |member| member.busy);
            idle + busy
        });
        let count = target.saturating_sub(present) as usize;
        missing.extend(std::iter::repeat_n(member, count));
    }
    let available = view.spec.connections.saturating_sub(group.open_connections());
    missing.truncate(available as usize);
    missing
}

async fn open_warm_connection(group: &Group, member: &MemberName) {
    let epoch = group.with_state(|state| state.epoch);
    let Some(reservation) = group.reserve_connection() else {
        return;
    };
    let Ok(pooled) = group.connect(member, reservation).await else {
        return;
    };
    let not_pooled = group.with_state(|state| state.keep_idle(member, epoch, pooled));
    drop(not_pooled);
}
