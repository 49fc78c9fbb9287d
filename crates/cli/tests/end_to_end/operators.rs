//! The operators' command line against a running control replica.

use crate::support::{LIMIT, apply_text, json, run, settled, start_dev};
use corktack_server::dev::Dev;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use tokio::time::timeout;

const CLASS: &str = "apiVersion: corktack/v1
kind: PriorityClass
metadata: {name: night}
spec: {priority: 5, guaranteedPercent: 5}
";
const BINDING: &str = "apiVersion: corktack/v1
kind: Binding
metadata: {name: reports}
spec: {match: {user: reports}, class: night, order: 7}
";

#[actix_rt::test]
async fn a_resource_is_created_shown_replaced_followed_and_deleted() {
    let dev = start_dev().await;
    let before = json(&dev, &["get", "classes"]).await["revision"].to_string();
    // The binding stands first: classes are written before what refers to them.
    let both = format!("{BINDING}---\n{CLASS}");
    let created = apply_text(&dev, &both).await;
    assert_eq!(created.code, Some(0), "{created:?}");
    assert!(created.output.contains("PriorityClass/night created"), "{created:?}");
    assert!(created.output.contains("Binding/reports created"), "{created:?}");
    let again = apply_text(&dev, &both).await;
    assert_eq!(again.output.matches(" unchanged").count(), 2, "{again:?}");
    let raised = CLASS.replace("priority: 5", "priority: 6");
    let changed = apply_text(&dev, &raised).await;
    assert!(changed.output.contains("PriorityClass/night configured"), "{changed:?}");
    let shown = json(&dev, &["get", "class", "night"]).await;
    assert_eq!(shown["spec"]["priority"], 6);
    assert_eq!(shown["metadata"]["generation"], 2);
    let table = run(&dev, &["get", "binding"]).await;
    assert!(table.output.contains("user=reports"), "{table:?}");

    let status = settled(&dev).await;
    assert_eq!(status["inForce"]["summary"], "in force on 2 of 2 proxies");

    let in_use = run(&dev, &["delete", "class", "night"]).await;
    assert_eq!(in_use.code, Some(3), "{in_use:?}");
    for key in [["binding", "reports"], ["class", "night"]] {
        let deleted = run(&dev, &["delete", key[0], key[1]]).await;
        assert_eq!(deleted.code, Some(0), "{deleted:?}");
    }
    let missing = run(&dev, &["get", "class", "night"]).await;
    assert_eq!(missing.code, Some(1), "{missing:?}");
    assert!(missing.errors.contains("not found"), "{missing:?}");
    let history = run(&dev, &["watch", "class", "--from", &before, "--events", "3"]).await;
    let lines: Vec<&str> = history.output.lines().collect();
    assert_eq!(lines.len(), 3, "{history:?}");
    for (line, action) in lines.iter().zip(["added", "modified", "deleted"]) {
        assert!(line.contains(&format!("{action} PriorityClass/night")), "{history:?}");
    }
    dev.stop().await;
}

#[actix_rt::test]
async fn of_two_changes_from_one_version_the_second_conflicts() {
    let dev = start_dev().await;
    let created = apply_text(&dev, CLASS).await;
    assert_eq!(created.code, Some(0), "{created:?}");
    // What get shows can be changed and applied: it carries the version it was made from.
    let shown = run(&dev, &["-o", "yaml", "get", "class", "night"]).await;
    let mine = shown.output.replace("priority: 5", "priority: 6");
    let theirs = shown.output.replace("priority: 5", "priority: 7");
    let first = apply_text(&dev, &mine).await;
    assert_eq!(first.code, Some(0), "{first:?}");
    let second = apply_text(&dev, &theirs).await;
    assert_eq!(second.code, Some(3), "{second:?}");
    assert!(second.output.contains("PriorityClass/night conflict"), "{second:?}");
    let stored = json(&dev, &["get", "class", "night"]).await;
    assert_eq!(stored["spec"]["priority"], 6);
    let stale = run(&dev, &["delete", "class", "night", "--version", "1"]).await;
    assert_eq!(stale.code, Some(3), "{stale:?}");
    // Version 0 demands that nothing is stored.
    let taken = CLASS.replace("{name: night}", "{name: night, resourceVersion: 0}");
    let taken = apply_text(&dev, &taken.replace("priority: 5", "priority: 8")).await;
    assert_eq!(taken.code, Some(3), "{taken:?}");
    dev.stop().await;
}

/// All classes and bindings with their versions. Not the revision: it rises with the
/// system's own decisions as well.
async fn declared(dev: &Dev) -> Vec<Value> {
    let mut lists = Vec::new();
    for kind in ["classes", "bindings"] {
        lists.push(json(dev, &["get", kind]).await["items"].clone());
    }
    lists
}

#[actix_rt::test]
async fn a_bad_manifest_names_file_key_and_value_and_changes_nothing() {
    let dev = start_dev().await;
    let before = declared(&dev).await;
    for (from, to, named) in [
        ("priority: 5", "prio: 5", ["prio", "document 1", "night.yaml"]),
        ("priority: 5", "priority: high", ["priority", "high", "night.yaml"]),
        ("kind: PriorityClass", "kind: Class", ["kind", "Class", "night.yaml"]),
        ("name: night", "name: 'ni ght'", ["metadata.name", "ni ght", "night.yaml"]),
    ] {
        let refused = apply_text(&dev, &CLASS.replace(from, to)).await;
        assert_eq!(refused.code, Some(1), "{refused:?}");
        for text in named {
            assert!(refused.errors.contains(text), "{text}: {refused:?}");
        }
    }
    // What only the server can tell.
    let refused = apply_text(&dev, BINDING).await;
    assert_eq!(refused.code, Some(1), "{refused:?}");
    assert!(refused.output.contains("Binding/reports failed"), "{refused:?}");
    assert!(refused.output.contains("spec.class"), "{refused:?}");
    assert_eq!(before, declared(&dev).await);
    dev.stop().await;
}

#[actix_rt::test]
async fn status_shows_the_cell_the_proxies_and_the_groups() {
    let dev = start_dev().await;
    let status = settled(&dev).await;
    assert_eq!(status["current"], true);
    assert_eq!(status["inForce"]["of"], 2);
    assert_eq!(status["groups"][0]["name"], "demo");
    assert_eq!(status["groups"][0]["failingOver"], false);
    assert_eq!(status["members"][0]["voter"], true);
    let group = json(&dev, &["get", "group", "demo"]).await;
    assert_eq!(group["status"]["primary"], status["groups"][0]["primary"]);
    dev.stop().await;
}

#[actix_rt::test]
async fn a_command_line_that_is_not_understood_ends_with_2_or_names_the_word() {
    let dev = start_dev().await;
    assert_eq!(run(&dev, &["conquer"]).await.code, Some(2));
    let kind = run(&dev, &["get", "tables"]).await;
    assert_eq!(kind.code, Some(1), "{kind:?}");
    assert!(kind.errors.contains("tables"), "{kind:?}");
    let no_file = run(&dev, &["apply"]).await;
    assert_eq!(no_file.code, Some(1), "{no_file:?}");
    let help = run(&dev, &["--help"]).await;
    assert_eq!(help.code, Some(0), "{help:?}");
    assert!(help.output.contains("apply"), "{help:?}");
    dev.stop().await;
}

/// The text of a page over HTTP.
async fn page(address: SocketAddr, path: &str) -> String {
    let client = awc::Client::default();
    let answer = timeout(LIMIT, client.get(format!("http://{address}{path}")).send()).await;
    let mut answer = answer.expect("an answer in time").expect("an answer");
    assert!(answer.status().is_success(), "{path}: {}", answer.status());
    let body = timeout(LIMIT, answer.body()).await.expect("a body in time").expect("a body");
    String::from_utf8(body.to_vec()).expect("UTF-8 text")
}

#[actix_rt::test]
async fn every_metric_that_is_served_is_described() {
    let dev = start_dev().await;
    let caller = crate::support::caller(&dev, 0).await;
    caller.batch_execute("CREATE TABLE beds (id INT)").await.expect("table made");
    assert_eq!(caller.value("SELECT count(*) FROM beds").await, "0");
    let proxies = dev.proxies().iter().map(|proxy| proxy.addresses().telemetry);
    let served: Vec<SocketAddr> = proxies.chain([dev.ready().operators[0]]).collect();
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let described = std::fs::read_to_string(file).expect("the page");
    let mut found = BTreeSet::new();
    for address in served {
        for path in ["/live", "/ready"] {
            page(address, path).await;
        }
        for line in page(address, "/metrics").await.lines() {
            let Some(metric) = line.strip_prefix("# TYPE ") else { continue };
            let (name, kind) = metric.split_once(' ').expect("name and type");
            let total = if kind == "counter" { "_total" } else { "" };
            let described_as = format!("| `{name}{total}` |");
            assert!(described.contains(&described_as), "{described_as} is not described");
            found.insert(name.to_owned());
        }
    }
    for part in ["corktack_edge_", "corktack_owner_", "corktack_watch_", "corktack_control_"] {
        assert!(found.iter().any(|name| name.starts_with(part)), "{part}: {found:?}");
    }
    dev.stop().await;
}
