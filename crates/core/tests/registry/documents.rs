//! Documents: the highest version is in force, invalid documents are rejected, and changes apply to
//! one version only.

use super::support::{Registry, document, route, stored};
use corktack_core::identity::GroupName;
use corktack_core::registry::{
    Document, DocumentChange, DocumentChangeError, DocumentError, RegistryCommand, RegistryOutcome,
};
use rstest::rstest;
use std::time::Duration;

fn put(registry: &mut Registry, version: u64, source: &str) -> RegistryOutcome {
    registry.apply(RegistryCommand::PutDocument(stored(document(version), source))).0
}

fn in_force(registry: &Registry) -> (u64, String) {
    let stored = registry.state.document().expect("a document is in force");
    (stored.document.version, stored.source.to_string())
}

#[test]
fn the_highest_version_is_in_force_whatever_the_order() {
    let mut registry = Registry::default();
    assert_eq!(put(&mut registry, 7, "seven"), RegistryOutcome::Document { held: 7 });
    assert_eq!(put(&mut registry, 3, "three"), RegistryOutcome::Document { held: 7 });
    assert_eq!(in_force(&registry), (7, "seven".to_owned()));
    assert_eq!(put(&mut registry, 9, "nine"), RegistryOutcome::Document { held: 9 });
    assert_eq!(in_force(&registry), (9, "nine".to_owned()));
}

#[test]
fn other_content_under_the_version_in_force_is_acknowledged_without_a_change() {
    let mut registry = Registry::default();
    put(&mut registry, 7, "seven");
    let (outcome, changes) =
        registry.apply(RegistryCommand::PutDocument(stored(document(7), "another seven")));
    assert_eq!(outcome, RegistryOutcome::Document { held: 7 });
    assert_eq!(changes.document, None);
    assert_eq!(in_force(&registry), (7, "seven".to_owned()));
}

fn invalid_document(change: impl FnOnce(&mut Document)) -> Document {
    let mut document = document(1);
    change(&mut document);
    document
}

#[rstest]
#[case::unknown_service(
    invalid_document(|document| {
        document.routes[0].group = GroupName::new("other").expect("a valid name")
    }),
    DocumentError::UnknownService { route: "r-1".to_owned(), service: "other".to_owned() }
)]
#[case::same_place(
    invalid_document(|document| document.routes.push(route("r-2", "db1"))),
    DocumentError::DuplicateRoute { route: "r-2".to_owned() }
)]
#[case::no_time(
    invalid_document(|document| document.routes[0].statement_timeout = Duration::ZERO),
    DocumentError::ZeroTimeout { route: "r-1".to_owned() }
)]
#[case::same_service(
    invalid_document(|document| document.services.push(document.services[0].clone())),
    DocumentError::DuplicateService { service: "calls".to_owned() }
)]
fn an_invalid_document_is_rejected(#[case] document: Document, #[case] error: DocumentError) {
    assert_eq!(document.check(), Err(error));
}

#[test]
fn routes_may_share_a_database_under_different_paths() {
    let mut document = document(1);
    document.routes.push(route("r-2", "db1"));
    document.routes[1].path_prefix = "/other".to_owned();
    assert_eq!(document.check(), Ok(()));
}

/// Returns a document with this number of routes.
fn document_with_routes(version: u64, routes: usize) -> Document {
    let mut document = document(version);
    document.routes =
        (0..routes).map(|number| route(&format!("r-{number}"), &format!("db{number}"))).collect();
    document
}

#[test]
fn a_change_contains_only_the_differences_and_results_in_the_new_document() {
    let former = document_with_routes(3, 1_500);
    let mut next = Document { version: 4, ..former.clone() };
    next.routes[700].statement_timeout *= 2;
    next.routes.remove(20);
    next.routes.insert(900, route("r-new", "dbnew"));
    next.limits.transaction_idle *= 3;
    let change = DocumentChange::between(&former, &next).expect("much smaller than the document");
    assert_eq!(change.weight(), 2);
    assert_eq!(change.apply(Some(&former)), Ok(next));
}

#[test]
fn a_change_of_most_of_a_document_is_sent_as_the_whole_document() {
    let former = document_with_routes(3, 10);
    assert_eq!(DocumentChange::between(&former, &document_with_routes(4, 40)), None);
}

#[test]
fn a_change_applies_to_one_version_only() {
    let (former, next) = (document_with_routes(3, 100), document_with_routes(5, 101));
    let change = DocumentChange::between(&former, &next).expect("one route was added");
    for (other, found) in [(None, None), (Some(document_with_routes(4, 100)), Some(4))] {
        let error = DocumentChangeError::OtherVersion { expected: 3, found };
        assert_eq!(change.apply(other.as_ref()), Err(error));
    }
    assert!(matches!(
        change.apply(Some(&document_with_routes(3, 99))),
        Err(DocumentChangeError::OtherList(_))
    ));
}
