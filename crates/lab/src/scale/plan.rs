//! Sizes and manifests of a scale run.

use corktack_core::identity::{Incarnation, NameError, ProxyName, ZoneName};
use corktack_core::resources::API_VERSION;
use corktack_server::watch_client::state::WatchSettings;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Regions of the target.
pub const REGIONS: u32 = 2;
/// Zones of one region.
pub const ZONES: u32 = 3;
/// Members of a group.
pub const MEMBERS: u32 = 3;
/// Nodes of the target.
pub const TARGET_NODES: u32 = 1_100;
/// Groups of the target: 2,200 databases in groups of three.
pub const TARGET_GROUPS: u32 = 733;

/// Groups that belong to a number of nodes, in the target's proportion.
#[must_use]
pub const fn groups_for(nodes: u32) -> u32 {
    nodes * TARGET_GROUPS / TARGET_NODES
}

/// Zone of the node or member with this number.
///
/// # Errors
/// Never for the names made here; the error of [`ZoneName::new`].
pub fn zone(number: u32) -> Result<ZoneName, NameError> {
    let place = number % (REGIONS * ZONES);
    ZoneName::new(format!("region-{}.zone-{}", place / ZONES + 1, place % ZONES + 1))
}

/// Settings of the hollow node with this number, as a proxy has by default.
///
/// # Errors
/// Never for the names made here; the error of the name types.
pub fn node_settings(number: u32, replicas: &[SocketAddr]) -> Result<WatchSettings, NameError> {
    Ok(WatchSettings {
        proxy: ProxyName::new(format!("node-{number:04}"))?,
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 1, (number >> 8) as u8, number as u8], 6_000)),
        zone: zone(number)?,
        replicas: replicas.to_vec(),
        heartbeat_interval: Duration::from_secs(1),
        silence_timeout: Duration::from_secs(3),
        retry_minimum: Duration::from_millis(50),
        retry_maximum: Duration::from_secs(2),
        follows_cell: false,
        seed: u64::from(number),
    })
}

/// Address of a member's hollow back end.
#[must_use]
pub fn member_address(group: u32, member: u32, port: u16) -> SocketAddr {
    let number = group * MEMBERS + member;
    SocketAddr::from(([127, 2, (number >> 8) as u8, number as u8], port))
}

/// Name of a group.
#[must_use]
pub fn group_name(group: u32) -> String {
    format!("group-{group:03}")
}

/// Name of a member.
#[must_use]
pub fn member_name(group: u32, member: u32) -> String {
    format!("{}-m{member}", group_name(group))
}

/// Manifests of all groups, as one YAML text.
///
/// # Errors
/// Errors of the names and of the YAML library.
pub fn manifests(groups: u32, port: u16) -> eyre::Result<String> {
    let mut texts = Vec::new();
    for group in 0..groups {
        texts.push(group_manifest(group, port, 10)?);
    }
    Ok(texts.join("---\n"))
}

/// Manifest of one group with this many slots.
///
/// # Errors
/// Errors of the names and of the YAML library.
pub fn group_manifest(group: u32, port: u16, slots: u32) -> eyre::Result<String> {
    let addresses = std::array::from_fn(|member| member_address(group, member as u32, port));
    group_manifest_at(group, addresses, slots)
}

/// Manifest of one group with this many slots and its members at these addresses.
///
/// # Errors
/// Errors of the names and of the YAML library.
pub fn group_manifest_at(
    group: u32,
    addresses: [SocketAddr; MEMBERS as usize],
    slots: u32,
) -> eyre::Result<String> {
    let mut members = Vec::new();
    for (member, address) in (0..).zip(addresses) {
        members.push(json!({
            "name": member_name(group, member),
            "address": address,
            "zone": zone(group + member)?,
        }));
    }
    let manifest = json!({
        "apiVersion": API_VERSION,
        "kind": "DatabaseGroup",
        "metadata": { "name": group_name(group) },
        "spec": {
            "database": group_name(group),
            "members": members,
            "slots": slots,
            "connections": 100,
        },
    });
    Ok(serde_yaml_ng::to_string(&manifest)?)
}
