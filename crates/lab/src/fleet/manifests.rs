//! Manifests of a profile, as operators would keep them in version control.

use super::plan::{FleetPlan, GroupPlan};
use corktack_core::resources::API_VERSION;
use serde::Serialize;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// A manifest in the form that `corktack apply` reads.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Manifest {
    api_version: &'static str,
    kind: &'static str,
    metadata: Metadata,
    spec: Value,
}

#[derive(Debug, Serialize)]
struct Metadata {
    name: String,
}

/// All manifests of a fleet as one YAML text. Members are reached at `addresses`, by group.
///
/// # Errors
/// The library's error when a value has no YAML form.
pub fn manifests(
    plan: &FleetPlan,
    addresses: &[Vec<SocketAddr>],
) -> Result<String, serde_yaml_ng::Error> {
    let mut all = Vec::new();
    for class in &plan.profile.classes {
        let spec = json!({
            "priority": class.priority,
            "guaranteedPercent": class.guaranteed_percent,
        });
        all.push(manifest("PriorityClass", &class.name, spec));
        let spec = json!({ "match": { "user": class.name }, "class": class.name });
        all.push(manifest("Binding", &class.name, spec));
    }
    for (group, addresses) in plan.groups.iter().zip(addresses) {
        all.push(manifest("DatabaseGroup", &group.name, group_spec(plan, group, addresses)));
    }
    let texts: Result<Vec<String>, _> = all.iter().map(serde_yaml_ng::to_string).collect();
    Ok(texts?.join("---\n"))
}

fn manifest(kind: &'static str, name: &str, spec: Value) -> Manifest {
    let metadata = Metadata { name: name.to_owned() };
    Manifest { api_version: API_VERSION, kind, metadata, spec }
}

fn group_spec(plan: &FleetPlan, group: &GroupPlan, addresses: &[SocketAddr]) -> Value {
    let members: Vec<Value> = group
        .members
        .iter()
        .zip(addresses)
        .map(|(member, address)| {
            json!({ "name": member.name, "address": address, "zone": member.zone })
        })
        .collect();
    json!({
        "database": group.name,
        "members": members,
        "slots": plan.profile.slots,
        "connections": plan.profile.connections,
    })
}
