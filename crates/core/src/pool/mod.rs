//! Decisions about pooled server connections: which reply answers which message, which statements change the
//! session, how keyed writes are stored, and how many idle connections an owner keeps to each member.

pub mod outcomes;
pub mod replies;
pub mod statements;

use crate::identity::MemberName;
use crate::routing::is_draining;
use crate::view::GroupView;
use std::collections::BTreeMap;

/// Returns the number of idle server connections to keep to each member that is not draining: to the
/// primary enough for all slots, and to each replica an equal share of the rest of the group's
/// connection limit, but at most one per slot.
#[must_use]
pub fn idle_connection_targets(group: &GroupView) -> BTreeMap<MemberName, u32> {
    let spec = &group.spec;
    let names = spec.members.iter().map(|member| &member.name);
    let serving: Vec<_> = names.filter(|name| !is_draining(group, name)).collect();
    let is_primary = |name: &MemberName| group.primary.as_ref() == Some(name);
    let primary_target = spec.slots.min(spec.connections);
    let replica_count = serving.iter().filter(|name| !is_primary(name)).count() as u32;
    let replica_share = (spec.connections - primary_target).checked_div(replica_count).unwrap_or(0);
    let replica_target = replica_share.min(spec.slots);
    let target = |name: &MemberName| if is_primary(name) { primary_target } else { replica_target };
    serving.into_iter().map(|name| (name.clone(), target(name))).collect()
}
