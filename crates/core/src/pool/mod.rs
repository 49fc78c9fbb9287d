//! Decisions about server connections: replies, session state, sizes.
//!
//! Owns the rule for how many idle connections an owner keeps to each member. Relies on the view for the group's
//! limits and for which members are draining.

pub mod outcomes;
pub mod replies;
pub mod statements;

use crate::identity::MemberName;
use crate::routing::is_draining;
use crate::view::GroupView;
use std::collections::BTreeMap;

/// Idle server connections to keep to each member: enough to the primary for all
/// slots, and as many to each replica as the rest of the limit allows.
#[must_use]
pub fn warm_targets(group: &GroupView) -> BTreeMap<MemberName, u32> {
    let spec = &group.spec;
    let names = spec.members.iter().map(|member| &member.name);
    let serving: Vec<_> = names.filter(|name| !is_draining(group, name)).collect();
    let is_primary = |name: &MemberName| group.primary.as_ref() == Some(name);
    let to_primary = spec.slots.min(spec.connections);
    let replicas = serving.iter().filter(|name| !is_primary(name)).count() as u32;
    let share = (spec.connections - to_primary).checked_div(replicas).unwrap_or(0);
    let to_replica = share.min(spec.slots);
    let target = |name: &MemberName| if is_primary(name) { to_primary } else { to_replica };
    serving.into_iter().map(|name| (name.clone(), target(name))).collect()
}
