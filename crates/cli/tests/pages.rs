//! The operators' page describes every metric that the code registers, and no other.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Crates that register metrics.
const CRATES: [&str; 6] = ["edge", "owner", "control", "gateway", "clients", "server"];
/// Suffixes that the text exposition format adds to a metric name, depending on the metric type.
const SUFFIXES: [&str; 2] = ["", "_total"];

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Collects the Rust source files below a folder.
fn collect_source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("folder read") {
        let path = entry.expect("folder entry").path();
        if path.is_dir() {
            collect_source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Returns the string literal that is the first argument of each call of a function in a text.
fn first_arguments<'t>(text: &'t str, call: &'t str) -> impl Iterator<Item = &'t str> {
    text.split(call).skip(1).filter_map(|rest| {
        let literal = rest.trim_start().strip_prefix('"')?;
        literal.split_once('"').map(|(literal, _)| literal)
    })
}

/// Returns the names of the metrics that the code registers, without the suffixes of the text format.
fn registered_metrics() -> BTreeSet<String> {
    let mut files = Vec::new();
    for name in CRATES {
        collect_source_files(&workspace_root().join("crates").join(name).join("src"), &mut files);
    }
    let mut metrics = BTreeSet::new();
    for file in files {
        let text = std::fs::read_to_string(file).expect("file read");
        let prefix = first_arguments(&text, "sub_registry_with_prefix(").next();
        let prefix = prefix.map_or_else(String::new, |prefix| format!("{prefix}_"));
        let names =
            first_arguments(&text, "registry.register(").map(|name| format!("{prefix}{name}"));
        metrics.extend(names);
    }
    metrics
}

/// Returns the names of the metrics that begin a table row of the page.
fn described_metrics() -> BTreeSet<String> {
    let page =
        std::fs::read_to_string(workspace_root().join("docs/OPERATIONS.md")).expect("the page");
    let rows = first_literals_of_rows(&page).filter(|name| name.starts_with("corktack_"));
    rows.map(str::to_owned).collect()
}

fn first_literals_of_rows(page: &str) -> impl Iterator<Item = &str> {
    page.lines().filter_map(|line| line.strip_prefix("| `")?.split_once('`').map(|(name, _)| name))
}

#[test]
fn every_registered_metric_is_described_and_every_described_metric_is_registered() {
    let (registered, described) = (registered_metrics(), described_metrics());
    assert!(registered.len() > 20, "{registered:?}");
    let is_described = |name: &String| {
        SUFFIXES.iter().any(|suffix| described.contains(&format!("{name}{suffix}")))
    };
    let missing: Vec<_> = registered.iter().filter(|name| !is_described(name)).collect();
    assert!(missing.is_empty(), "not described: {missing:?}");
    let is_registered = |name: &String| {
        registered.contains(name)
            || name.strip_suffix("_total").is_some_and(|name| registered.contains(name))
    };
    let unknown: Vec<_> = described.iter().filter(|name| !is_registered(name)).collect();
    assert!(unknown.is_empty(), "described and not registered: {unknown:?}");
}
