//! Manifests of a profile, as operators would keep them in version control.
//!
//! Relies on YAML being a superset of JSON: each manifest is one JSON document.

use super::plan::{FleetPlan, GroupPlan};
use corktack_core::resources::API_VERSION;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// All manifests of a fleet as one text that `corktack apply` reads. Members are reached at
/// `addresses`, by group.
#[must_use]
pub fn manifests(plan: &FleetPlan, addresses: &[Vec<SocketAddr>]) -> String {
    let mut all = Vec::new();
    for class in &plan.profile.classes {
        let spec = json!({
            "priority": class.priority,
            "guaranteedPercent": class.guaranteed_percent,
        });
        all.push(manifest("PriorityClass", &class.name, &spec));
        let spec = json!({ "match": { "user": class.name }, "class": class.name });
        all.push(manifest("Binding", &class.name, &spec));
    }
    for (group, addresses) in plan.groups.iter().zip(addresses) {
        all.push(manifest("DatabaseGroup", &group.name, &group_spec(plan, group, addresses)));
    }
    all.join("---\n")
}

fn manifest(kind: &str, name: &str, spec: &Value) -> String {
    let metadata = json!({ "name": name });
    let manifest =
        json!({ "apiVersion": API_VERSION, "kind": kind, "metadata": metadata, "spec": spec });
    format!("{manifest}\n")
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
