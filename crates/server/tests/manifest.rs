//! Checks which manifests are refused, and that the error names the file, document, key and value.

use corktack_core::resources::{ResourceKey, ResourceVersion};
use corktack_server::manifest::{ManifestError, check, load, parse};
use rstest::rstest;
use std::path::Path;

const MANIFESTS: &str = r"
apiVersion: corktack/v1
kind: PriorityClass
metadata: {name: gold, resourceVersion: 0}
spec: {priority: 30, guaranteedPercent: 50}
---
apiVersion: corktack/v1
kind: DatabaseGroup
metadata: {name: records}
spec:
  database: records
  slots: 5
  connections: 40
  members:
    - {name: records-1, address: '127.0.0.1:5501', zone: amba.a}
    - {name: records-2, address: '127.0.0.1:5502', zone: cuyo.a}
---
apiVersion: corktack/v1
kind: Binding
metadata: {name: fraud}
spec:
  match: {user: fraud, database: records, sourceNetwork: 10.0.0.0/8}
  class: gold
---
";

fn parse_text(text: &str) -> Result<Vec<corktack_server::manifest::Manifest>, ManifestError> {
    parse(Path::new("group.yaml"), text)
}

#[test]
fn documents_keep_their_number_and_resource_version() {
    let manifests = parse_text(MANIFESTS).expect("valid manifests");
    assert_eq!(manifests.len(), 3);
    assert_eq!(manifests[0].resource_version, Some(ResourceVersion(0)));
    assert_eq!(manifests[1].document, 2);
    assert!(matches!(&manifests[2].key, ResourceKey::Binding(name) if name.as_str() == "fraud"));
    assert!(check(&manifests).is_empty());
}

#[rstest]
#[case("slots: 5", "slot: 5", 2, &["spec", "slot"])]
#[case("slots: 5", "slots: five", 2, &["spec.slots", "five"])]
#[case("127.0.0.1:5502", "host:5502", 2, &["spec.members[1].address", "line 16", "host:5502"])]
#[case("kind: Binding", "kind: Bindings", 3, &["kind", "Bindings"])]
#[case("metadata: {name: fraud}", "metadata: {nam: fraud}", 3, &["metadata", "nam"])]
#[case("metadata: {name: fraud}", "metadata: {name: 'fr aud'}", 3, &["metadata.name", "fr aud"])]
#[case("priority: 30", "priority: -1", 1, &["spec.priority", "-1"])]
#[case("apiVersion: corktack/v1\nkind: Binding", "apiVersion: v2\nkind: Binding", 3, &["v2"])]
#[case("class: gold", "class: gold\nstate: {}", 3, &["state"])]
fn a_parse_error_names_file_document_key_and_value(
    #[case] from: &str,
    #[case] to: &str,
    #[case] document: usize,
    #[case] expected_texts: &[&str],
) {
    let text = parse_text(&MANIFESTS.replace(from, to)).expect_err("must be refused").to_string();
    assert!(text.contains("group.yaml"), "{text}");
    assert!(text.contains(&format!("document {document}")), "{text}");
    for expected in expected_texts {
        assert!(text.contains(expected), "{text} does not contain {expected}");
    }
}

#[test]
fn output_of_get_can_be_applied() {
    let get_output = MANIFESTS
        .replace(
            "metadata: {name: records}",
            "metadata: {name: records, resourceVersion: 9, generation: 2}",
        )
        .replace(
            "---\napiVersion: corktack/v1\nkind: Binding",
            "status: {term: 3, primary: records-1}\n---\napiVersion: corktack/v1\nkind: Binding",
        );
    let manifests = parse_text(&get_output).expect("valid manifests");
    assert_eq!(manifests[1].resource_version, Some(ResourceVersion(9)));
}

#[rstest]
#[case("class: gold", "class: golden", "spec.class = golden")]
#[case("database: records, source", "database: other, source", "spec.match.database = other")]
#[case("10.0.0.0/8", "10.0.0.0/40", "spec.match.sourceNetwork = 10.0.0.0/40")]
#[case("slots: 5", "slots: 0", "spec.slots = 0")]
#[case("connections: 40", "connections: 4", "spec.connections = 4")]
#[case("records-2", "records-1", "spec.members[1].name = records-1")]
#[case("127.0.0.1:5502", "127.0.0.1:5501", "spec.members[1].address = 127.0.0.1:5501")]
#[case("guaranteedPercent: 50", "guaranteedPercent: 101", "spec.guaranteedPercent = 101")]
fn an_invalid_value_or_reference_is_reported_without_a_server(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected_text: &str,
) {
    let errors = check(&parse_text(&MANIFESTS.replace(from, to)).expect("valid manifests"));
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(texts.len(), 1, "{texts:?}");
    assert!(texts[0].contains(expected_text), "{texts:?}");
}

#[test]
fn a_resource_declared_in_two_files_of_a_folder_is_reported() {
    let folder = tempfile::tempdir().expect("temporary folder");
    std::fs::write(folder.path().join("b.yaml"), MANIFESTS).expect("file written");
    std::fs::write(folder.path().join("a.yml"), MANIFESTS).expect("file written");
    std::fs::write(folder.path().join("notes.txt"), "not a manifest").expect("file written");
    let manifests = load(folder.path()).expect("valid manifests");
    assert_eq!(manifests.len(), 6);
    assert!(manifests[0].file.ends_with("a.yml"));
    let errors = check(&manifests);
    let first_error = errors.first().expect("one error").to_string();
    assert!(first_error.contains("b.yaml") && first_error.contains("a.yml"), "{first_error}");
}
