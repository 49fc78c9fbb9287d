//! Built-in resources of `dev`: a group, its priority classes and a binding.

use super::settings::{DEMO_GROUP, DEMO_USER, DevError};
use crate::client::Request;
use corktack_core::identity::{BindingName, ClassName, GroupName, ZoneName};
use corktack_core::resources::{
    BindingSpec, CallerMatch, DatabaseGroupSpec, MemberSpec, PriorityClassSpec, ResourceKey,
    ResourceSpec,
};
use corktack_standin::Group;

/// Name, priority and guaranteed percentage of each class, highest priority first.
const CLASSES: [(&str, u32, u8); 3] = [("gold", 30, 50), ("silver", 20, 20), ("bronze", 10, 10)];
/// Class of callers that no binding matches.
pub(super) const DEFAULT_CLASS: &str = "bronze";
/// Class that the binding gives to the demo user.
const DEMO_CLASS: &str = "gold";
/// Slots of the group. With fewer slots, callers wait at a lower load.
const GROUP_SLOTS: u32 = 5;
/// Server connections of the group. With fewer connections, sessions share them at a lower load.
const GROUP_CONNECTIONS: u32 = 30;
/// Zone of all proxies and members of `dev`.
pub(super) const ZONE: &str = "local.a";

/// Builds the writes that declare the demo group, its classes and a binding, ordered so that each
/// resource comes after those it refers to. The writes replace the resources of an earlier run,
/// because the members have new ports.
pub(super) fn requests(group: &Group) -> Result<Vec<Request>, DevError> {
    let mut requests = Vec::new();
    for (name, priority, guaranteed_percent) in CLASSES {
        let key = ResourceKey::PriorityClass(ClassName::new(name)?);
        let spec = PriorityClassSpec { priority, guaranteed_percent };
        requests.push(Request::put(&key, &ResourceSpec::PriorityClass(spec), None)?);
    }
    let key = ResourceKey::DatabaseGroup(GroupName::new(DEMO_GROUP)?);
    let spec = ResourceSpec::DatabaseGroup(group_spec(group)?);
    requests.push(Request::put(&key, &spec, None)?);
    let key = ResourceKey::Binding(BindingName::new(DEMO_USER)?);
    let callers = CallerMatch { user: Some(DEMO_USER.to_owned()), ..CallerMatch::default() };
    let spec = BindingSpec { callers, class: ClassName::new(DEMO_CLASS)?, order: 0 };
    requests.push(Request::put(&key, &ResourceSpec::Binding(spec), None)?);
    Ok(requests)
}

fn group_spec(group: &Group) -> Result<DatabaseGroupSpec, DevError> {
    let zone = ZoneName::new(ZONE)?;
    let members = group.peers().iter().zip(group.postgres_addresses());
    let members = members.map(|(peer, address)| MemberSpec {
        name: peer.name.clone(),
        address: *address,
        zone: zone.clone(),
        draining: false,
    });
    Ok(DatabaseGroupSpec {
        database: DEMO_GROUP.to_owned(),
        members: members.collect(),
        slots: GROUP_SLOTS,
        connections: GROUP_CONNECTIONS,
        queue_limit: 1_000,
        queue_timeout_ms: 5_000,
        replica_wait_ms: 20,
    })
}
