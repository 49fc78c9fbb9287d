//! Documents: the highest version holds, and what never can hold is refused.

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

fn held(registry: &Registry) -> (u64, String) {
    let held = registry.state.document().expect("a document is held");
    (held.document.version, held.source.to_string())
}

#[test]
fn the_highest_version_holds_whatever_the_order() {
    let mut registry = Registry::default();
    assert_eq!(put(&mut registry, 7, "seven"), RegistryOutcome::Document { held: 7 });
    assert_eq!(put(&mut registry, 3, "three"), RegistryOutcome::Document { held: 7 });
    assert_eq!(held(&registry), (7, "seven".to_owned()));
    assert_eq!(put(&mut registry, 9, "nine"), RegistryOutcome::Document { held: 9 });
    assert_eq!(held(&registry), (9, "nine".to_owned()));
}

#[test]
fn another_content_under_a_held_version_changes_nothing_and_is_acknowledged() {
    let mut registry = Registry::default();
    put(&mut registry, 7, "seven");
    let (outcome, changes) =
        registry.apply(RegistryCommand::PutDocument(stored(document(7), "another seven")));
    assert_eq!(outcome, RegistryOutcome::Document { held: 7 });
    assert_eq!(changes.document, None);
    assert_eq!(held(&registry), (7, "seven".to_owned()));
}

fn broken(change: impl FnOnce(&mut Document)) -> Document {
    let mut document = document(1);
    change(&mut document);
    document
}

#[rstest]
#[case::unknown_service(
    broken(|it| it.routes[0].group = GroupName::new("other").expect("a valid name")),
    DocumentError::UnknownService { route: "r-1".to_owned(), service: "other".to_owned() }
)]
#[case::same_place(
    broken(|it| it.routes.push(route("r-2", "db1"))),
    DocumentError::DuplicateRoute { route: "r-2".to_owned() }
)]
#[case::no_time(
    broken(|it| it.routes[0].statement_timeout = Duration::ZERO),
    DocumentError::NoTime { route: "r-1".to_owned() }
)]
#[case::same_service(
    broken(|it| it.services.push(it.services[0].clone())),
    DocumentError::DuplicateService { service: "calls".to_owned() }
)]
fn what_never_can_hold_is_refused(#[case] document: Document, #[case] error: DocumentError) {
    assert_eq!(document.check(), Err(error));
}

#[test]
fn routes_may_share_a_database_under_different_paths() {
    let mut document = document(1);
    document.routes.push(route("r-2", "db1"));
    document.routes[1].path_prefix = "/other".to_owned();
    assert_eq!(document.check(), Ok(()));
}

/// A document of many routes.
fn long(version: u64, routes: usize) -> Document {
    let mut long = document(version);
    long.routes = (0..routes).map(|it| route(&format!("r-{it}"), &format!("db{it}"))).collect();
    long
}

#[test]
fn a_change_brings_only_what_is_other_and_leads_to_the_very_document() {
    let former = long(3, 1_500);
    let mut next = Document { version: 4, ..former.clone() };
    next.routes[700].statement_timeout *= 2;
    next.routes.remove(20);
    next.routes.insert(900, route("r-new", "dbnew"));
    next.limits.transaction_idle *= 3;
    let change = DocumentChange::between(&former, &next).expect("much less than the whole");
    assert_eq!(change.weight(), 2);
    assert_eq!(change.apply(Some(&former)), Ok(next));
}

#[test]
fn a_change_of_most_of_a_document_is_told_by_the_whole() {
    let former = long(3, 10);
    assert_eq!(DocumentChange::between(&former, &long(4, 40)), None);
}

#[test]
fn a_change_is_for_one_document_only() {
    let (former, next) = (long(3, 100), long(5, 101));
    let change = DocumentChange::between(&former, &next).expect("one route came");
    for (other, found) in [(None, None), (Some(long(4, 100)), Some(4))] {
        let error = DocumentChangeError::OtherVersion { expected: 3, found };
        assert_eq!(change.apply(other.as_ref()), Err(error));
    }
    assert!(matches!(change.apply(Some(&long(3, 99))), Err(DocumentChangeError::OtherList(_))));
}
