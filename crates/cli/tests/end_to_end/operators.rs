//! The operators' commands, and the metrics that are served, against a running `dev`.

use crate::support::{TEST_TIMEOUT, apply_manifest, run, run_json, start_dev, wait_until_in_force};
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
async fn a_resource_is_created_shown_replaced_watched_and_deleted() {
    let dev = start_dev().await;
    let before = run_json(&dev, &["get", "classes"]).await["revision"].to_string();
    // The binding precedes its class in the file: `apply` writes classes before the resources that refer to
    // them.
    let manifests = format!("{BINDING}---\n{CLASS}");
    let created = apply_manifest(&dev, &manifests).await;
    assert_eq!(created.code, Some(0), "{created:?}");
    assert!(created.stdout.contains("PriorityClass/night created"), "{created:?}");
    assert!(created.stdout.contains("Binding/reports created"), "{created:?}");
    let again = apply_manifest(&dev, &manifests).await;
    assert_eq!(again.stdout.matches(" unchanged").count(), 2, "{again:?}");
    let raised = CLASS.replace("priority: 5", "priority: 6");
    let changed = apply_manifest(&dev, &raised).await;
    assert!(changed.stdout.contains("PriorityClass/night configured"), "{changed:?}");
    let shown = run_json(&dev, &["get", "class", "night"]).await;
    assert_eq!(shown["spec"]["priority"], 6);
    assert_eq!(shown["metadata"]["generation"], 2);
    let table = run(&dev, &["get", "binding"]).await;
    assert!(table.stdout.contains("user=reports"), "{table:?}");

    let status = wait_until_in_force(&dev).await;
    assert_eq!(status["inForce"]["summary"], "in force on 2 of 2 proxies");

    let in_use = run(&dev, &["delete", "class", "night"]).await;
    assert_eq!(in_use.code, Some(3), "{in_use:?}");
    for key in [["binding", "reports"], ["class", "night"]] {
        let deleted = run(&dev, &["delete", key[0], key[1]]).await;
        assert_eq!(deleted.code, Some(0), "{deleted:?}");
    }
    let missing = run(&dev, &["get", "class", "night"]).await;
    assert_eq!(missing.code, Some(1), "{missing:?}");
    assert!(missing.stderr.contains("not found"), "{missing:?}");
    let history = run(&dev, &["watch", "class", "--from", &before, "--events", "3"]).await;
    let lines: Vec<&str> = history.stdout.lines().collect();
    assert_eq!(lines.len(), 3, "{history:?}");
    for (line, action) in lines.iter().zip(["added", "modified", "deleted"]) {
        assert!(line.contains(&format!("{action} PriorityClass/night")), "{history:?}");
    }
    dev.stop().await;
}

#[actix_rt::test]
async fn of_two_changes_from_one_version_the_second_conflicts() {
    let dev = start_dev().await;
    let created = apply_manifest(&dev, CLASS).await;
    assert_eq!(created.code, Some(0), "{created:?}");
    // The output of `get` can be edited and applied: each manifest carries the version that it was read at.
    let shown = run(&dev, &["-o", "yaml", "get", "class", "night"]).await;
    let mine = shown.stdout.replace("priority: 5", "priority: 6");
    let theirs = shown.stdout.replace("priority: 5", "priority: 7");
    let first = apply_manifest(&dev, &mine).await;
    assert_eq!(first.code, Some(0), "{first:?}");
    let second = apply_manifest(&dev, &theirs).await;
    assert_eq!(second.code, Some(3), "{second:?}");
    assert!(second.stdout.contains("PriorityClass/night conflict"), "{second:?}");
    let stored = run_json(&dev, &["get", "class", "night"]).await;
    assert_eq!(stored["spec"]["priority"], 6);
    let stale = run(&dev, &["delete", "class", "night", "--version", "1"]).await;
    assert_eq!(stale.code, Some(3), "{stale:?}");
    // Version 0 requires that the resource does not exist.
    let taken = CLASS.replace("{name: night}", "{name: night, resourceVersion: 0}");
    let taken = apply_manifest(&dev, &taken.replace("priority: 5", "priority: 8")).await;
    assert_eq!(taken.code, Some(3), "{taken:?}");
    dev.stop().await;
}

/// Reads all classes and bindings with their versions. The revision is left out, because the system's own
/// decisions raise it as well.
async fn read_declared(dev: &Dev) -> Vec<Value> {
    let mut lists = Vec::new();
    for kind in ["classes", "bindings"] {
        lists.push(run_json(dev, &["get", kind]).await["items"].clone());
    }
    lists
}

#[actix_rt::test]
async fn an_invalid_manifest_is_refused_with_file_key_and_value_and_changes_nothing() {
    let dev = start_dev().await;
    let before = read_declared(&dev).await;
    for (from, to, expected_texts) in [
        ("priority: 5", "prio: 5", ["prio", "document 1", "night.yaml"]),
        ("priority: 5", "priority: high", ["priority", "high", "night.yaml"]),
        ("kind: PriorityClass", "kind: Class", ["kind", "Class", "night.yaml"]),
        ("name: night", "name: 'ni ght'", ["metadata.name", "ni ght", "night.yaml"]),
    ] {
        let refused = apply_manifest(&dev, &CLASS.replace(from, to)).await;
        assert_eq!(refused.code, Some(1), "{refused:?}");
        for text in expected_texts {
            assert!(refused.stderr.contains(text), "{text}: {refused:?}");
        }
    }
    // Only the server can detect that the binding's class does not exist.
    let refused = apply_manifest(&dev, BINDING).await;
    assert_eq!(refused.code, Some(1), "{refused:?}");
    assert!(refused.stdout.contains("Binding/reports failed"), "{refused:?}");
    assert!(refused.stdout.contains("spec.class"), "{refused:?}");
    assert_eq!(before, read_declared(&dev).await);
    dev.stop().await;
}

#[actix_rt::test]
async fn status_shows_the_cell_the_proxies_and_the_groups() {
    let dev = start_dev().await;
    let status = wait_until_in_force(&dev).await;
    assert_eq!(status["current"], true);
    assert_eq!(status["inForce"]["of"], 2);
    assert_eq!(status["groups"][0]["name"], "demo");
    assert_eq!(status["groups"][0]["failingOver"], false);
    assert_eq!(status["members"][0]["voter"], true);
    let group = run_json(&dev, &["get", "group", "demo"]).await;
    assert_eq!(group["status"]["primary"], status["groups"][0]["primary"]);
    dev.stop().await;
}

#[actix_rt::test]
async fn an_invalid_command_line_exits_with_2_or_names_the_unknown_word() {
    let dev = start_dev().await;
    assert_eq!(run(&dev, &["conquer"]).await.code, Some(2));
    let kind = run(&dev, &["get", "tables"]).await;
    assert_eq!(kind.code, Some(1), "{kind:?}");
    assert!(kind.stderr.contains("tables"), "{kind:?}");
    let no_file = run(&dev, &["apply"]).await;
    assert_eq!(no_file.code, Some(1), "{no_file:?}");
    let help = run(&dev, &["--help"]).await;
    assert_eq!(help.code, Some(0), "{help:?}");
    assert!(help.stdout.contains("apply"), "{help:?}");
    dev.stop().await;
}

/// Fetches a page over HTTP and returns its text.
async fn fetch_page(address: SocketAddr, path: &str) -> String {
    let client = awc::Client::default();
    let answer = timeout(TEST_TIMEOUT, client.get(format!("http://{address}{path}")).send()).await;
    let mut answer = answer.expect("an answer in time").expect("an answer");
    assert!(answer.status().is_success(), "{path}: {}", answer.status());
    let body = timeout(TEST_TIMEOUT, answer.body()).await.expect("a body in time").expect("a body");
    String::from_utf8(body.to_vec()).expect("UTF-8 text")
}

#[actix_rt::test]
async fn every_served_metric_is_described() {
    let dev = start_dev().await;
    let caller = crate::support::connect_caller(&dev, 0).await;
    caller.batch_execute("CREATE TABLE beds (id INT)").await.expect("table made");
    assert_eq!(caller.query_value("SELECT count(*) FROM beds").await, "0");
    let proxies = dev.proxies().iter().map(|proxy| proxy.addresses().telemetry);
    let addresses: Vec<SocketAddr> = proxies.chain([dev.ready().operators[0]]).collect();
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let described = std::fs::read_to_string(file).expect("the page");
    let mut found = BTreeSet::new();
    for address in addresses {
        for path in ["/live", "/ready"] {
            fetch_page(address, path).await;
        }
        for line in fetch_page(address, "/metrics").await.lines() {
            let Some(metric) = line.strip_prefix("# TYPE ") else { continue };
            let (name, kind) = metric.split_once(' ').expect("name and type");
            let total = if kind == "counter" { "_total" } else { "" };
            let table_row = format!("| `{name}{total}` |");
            assert!(described.contains(&table_row), "{table_row} is not described");
            found.insert(name.to_owned());
        }
    }
    for prefix in ["corktack_edge_", "corktack_owner_", "corktack_watch_", "corktack_control_"] {
        assert!(found.iter().any(|name| name.starts_with(prefix)), "{prefix}: {found:?}");
    }
    dev.stop().await;
}
