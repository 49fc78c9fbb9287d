//! Names of the participants, and the resources of a run.

use corktack_core::identity::{ClassName, GroupName, MemberName, NameError, ProxyName, ZoneName};
use corktack_core::resources::{
    DatabaseGroupSpec, MemberSpec, PriorityClassSpec, ResourceKey, ResourceSpec,
};
use std::net::SocketAddr;
use std::str::FromStr;

/// Zones, one for each member and proxy.
const ZONES: [&str; 3] = ["north.a", "north.b", "south.a"];

/// A name of this module; all of them are valid.
fn name<T: FromStr<Err = NameError>>(text: &str) -> T {
    text.parse().unwrap_or_else(|error| unreachable!("{text:?}: {error}"))
}

pub(crate) fn group_name() -> GroupName {
    name("g")
}

pub(crate) fn member_name(index: u8) -> MemberName {
    name(&format!("m{index}"))
}

/// Name of the group that is registered through the control cell's registry.
pub(crate) fn registered_group() -> GroupName {
    name("registered")
}

pub(crate) fn registered_member(index: u8) -> MemberName {
    name(&format!("r{index}"))
}

/// Index of a member by its name.
pub(crate) fn member_index(member: &MemberName) -> u8 {
    member.as_str().trim_start_matches('m').parse().unwrap_or(u8::MAX)
}

pub(crate) fn proxy_name(index: u8) -> ProxyName {
    name(&format!("p{index}"))
}

pub(crate) fn zone(index: u8) -> ZoneName {
    name(ZONES[usize::from(index) % ZONES.len()])
}

pub(crate) fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The class that operators change.
pub(crate) fn class_key(class: u8) -> ResourceKey {
    let class: ClassName = name(&format!("c{class}"));
    ResourceKey::PriorityClass(class)
}

pub(crate) fn class_spec(priority: u32) -> ResourceSpec {
    ResourceSpec::PriorityClass(PriorityClassSpec { priority, guaranteed_percent: 10 })
}

/// The resource of the group.
pub(crate) fn group_resource(members: u8) -> (ResourceKey, ResourceSpec) {
    let member = |index: u8| MemberSpec {
        name: member_name(index),
        address: address(6_000 + u16::from(index)),
        zone: zone(index),
        draining: false,
    };
    let spec = DatabaseGroupSpec {
        database: "g".to_owned(),
        members: (0..members).map(member).collect(),
        slots: 5,
        connections: 40,
        queue_limit: 1_000,
        queue_timeout_ms: 5_000,
        replica_wait_ms: 20,
    };
    (ResourceKey::DatabaseGroup(group_name()), ResourceSpec::DatabaseGroup(spec))
}
