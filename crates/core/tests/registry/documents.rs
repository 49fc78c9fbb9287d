//! Documents: the highest version holds, and what never can hold is refused.

use super::support::{Registry, document, route, stored};
use corktack_core::identity::GroupName;
use corktack_core::registry::{Document, DocumentError, RegistryCommand, RegistryOutcome};
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
    assert!(!changes.document);
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
