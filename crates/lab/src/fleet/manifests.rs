//! Manifests of a fleet, in the form that operators keep in version control.
//!
//! Each manifest is written as one JSON document, which is also valid YAML.

use super::plan::{FleetPlan, GroupPlan};
use corktack_core::resources::API_VERSION;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Returns all manifests of a fleet as one text for `corktack apply`. `addresses` holds the addresses of
/// the members by group.
#[must_use]
pub fn render_manifests(plan: &FleetPlan, addresses: &[Vec<SocketAddr>]) -> String {
    let mut documents = Vec::new();
    for class in &plan.profile.classes {
        let spec = json!({
            "priority": class.priority,
            "guaranteedPercent": class.guaranteed_percent,
        });
        documents.push(render_manifest("PriorityClass", &class.name, &spec));
        let spec = json!({ "match": { "user": class.name }, "class": class.name });
        documents.push(render_manifest("Binding", &class.name, &spec));
    }
    for (group, addresses) in plan.groups.iter().zip(addresses) {
        documents.push(render_manifest(
            "DatabaseGroup",
            &group.name,
            &group_spec(plan, group, addresses),
        ));
    }
    documents.join("---\n")
}

fn render_manifest(kind: &str, name: &str, spec: &Value) -> String {
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
