//! The operators' page names every metric that the code registers, and nothing else.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Crates whose metrics processes serve.
const CRATES: [&str; 5] = ["edge", "owner", "control", "gateway", "server"];
/// Ends that the text form adds by the kind of a metric.
const ENDS: [&str; 2] = ["", "_total"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The source files below a folder.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("folder read") {
        let path = entry.expect("folder entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// The first literal of each call of a function in a text.
fn literals<'t>(text: &'t str, call: &'t str) -> impl Iterator<Item = &'t str> {
    text.split(call).skip(1).filter_map(|rest| {
        let literal = rest.trim_start().strip_prefix('"')?;
        literal.split_once('"').map(|(literal, _)| literal)
    })
}

/// The metrics that the code registers, without what the text form adds.
fn registered() -> BTreeSet<String> {
    let mut files = Vec::new();
    for name in CRATES {
        sources(&root().join("crates").join(name).join("src"), &mut files);
    }
    let mut metrics = BTreeSet::new();
    for file in files {
        let text = std::fs::read_to_string(file).expect("file read");
        let prefix = literals(&text, "sub_registry_with_prefix(").next();
        let prefix = prefix.map_or_else(String::new, |prefix| format!("{prefix}_"));
        let names = literals(&text, "registry.register(").map(|name| format!("{prefix}{name}"));
        metrics.extend(names);
    }
    metrics
}

/// The metrics that stand first in a row of the page.
fn described() -> BTreeSet<String> {
    let page = std::fs::read_to_string(root().join("docs/OPERATIONS.md")).expect("the page");
    let rows = literals_of_rows(&page).filter(|name| name.starts_with("corktack_"));
    rows.map(str::to_owned).collect()
}

fn literals_of_rows(page: &str) -> impl Iterator<Item = &str> {
    page.lines().filter_map(|line| line.strip_prefix("| `")?.split_once('`').map(|(name, _)| name))
}

#[test]
fn every_metric_is_described_and_every_described_one_is_there() {
    let (registered, described) = (registered(), described());
    assert!(registered.len() > 20, "{registered:?}");
    let stands = |name: &String| ENDS.iter().any(|end| described.contains(&format!("{name}{end}")));
    let missing: Vec<_> = registered.iter().filter(|name| !stands(name)).collect();
    assert!(missing.is_empty(), "not described: {missing:?}");
    let known = |name: &String| {
        registered.contains(name)
            || name.strip_suffix("_total").is_some_and(|name| registered.contains(name))
    };
    let unknown: Vec<_> = described.iter().filter(|name| !known(name)).collect();
    assert!(unknown.is_empty(), "described and not registered: {unknown:?}");
}
