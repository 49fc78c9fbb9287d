//! Heartbeats of back ends: which of them change the registry, and the effect of delayed ones.

use super::support::{Registry, group, member, report};
use corktack_core::registry::BackEndRole::{Primary, Replica};
use corktack_core::registry::BackEndState::{self, Draining, Ready};
use corktack_core::registry::RegistryCommand;
use rstest::rstest;

#[test]
fn only_heartbeats_with_changes_go_through_the_log() {
    let registry = Registry::with_group(0);
    let changes_registration = |report| registry.state.changes_registration(&member(2), &report);
    assert!(!changes_registration(report(2, Ready, Replica, 2)), "an unchanged heartbeat");
    assert!(changes_registration(report(2, Ready, Primary, 2)), "another role");
    assert!(changes_registration(report(2, Draining, Replica, 2)), "another state");
    assert!(!changes_registration(report(2, Ready, Primary, 1)), "a heartbeat that was overtaken");
    assert!(
        registry.state.changes_registration(&member(4), &report(4, Ready, Replica, 1)),
        "a new member"
    );
}

#[test]
fn draining_is_final() {
    let mut registry = Registry::with_group(0);
    registry.apply_report(2, Draining, Replica, 2);
    let changes = registry.apply_report(2, Ready, Replica, 3);
    assert!(changes.back_ends.is_empty());
    assert_eq!(registry.state_of(2), Some(Draining));
    registry.apply_report(2, Ready, Primary, 4);
    let back_end = registry.state.back_end(&member(2)).expect("a registered back end");
    assert_eq!((back_end.state, back_end.role), (Draining, Primary));
}

#[test]
fn draining_is_applied_even_from_an_overtaken_heartbeat() {
    let mut registry = Registry::with_group(0);
    registry.apply_report(2, Ready, Primary, 5);
    registry.apply_report(2, Draining, Replica, 4);
    assert_eq!(registry.state_of(2), Some(Draining));
}

#[test]
fn a_late_heartbeat_does_not_register_a_departed_back_end_again() {
    let mut registry = Registry::with_group(0);
    registry.apply(RegistryCommand::Leave { member: member(2) });
    assert!(!registry.state.changes_registration(&member(2), &report(2, Ready, Replica, 9)));
    registry.apply_report(2, Ready, Replica, 9);
    assert_eq!(registry.state_of(2), None);
}

#[test]
fn leaving_twice_or_while_unknown_is_acknowledged_without_a_change() {
    let mut registry = Registry::with_group(0);
    registry.apply(RegistryCommand::Leave { member: member(2) });
    let (_, changes) = registry.apply(RegistryCommand::Leave { member: member(2) });
    assert!(changes.back_ends.is_empty());
    let (_, changes) = registry.apply(RegistryCommand::Leave { member: member(9) });
    assert!(changes.back_ends.is_empty());
}

/// What happens between the registration of the later incarnation and the delayed heartbeat of the
/// earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Between {
    Nothing,
    EarlierLeft,
    LaterDrains,
    LaterIsPromoted,
}

/// Returns a report of a primary at the shared address, so that incarnations differ in their
/// identity alone.
fn report_at_shared_address(number: u16, state: BackEndState, sequence: u64) -> RegistryCommand {
    let mut report = report(number, state, Primary, sequence);
    report.back_end.address = ([10, 0, 0, 1], 9_000).into();
    RegistryCommand::Report { member: member(number), report }
}

#[rstest]
fn a_late_heartbeat_of_an_earlier_incarnation_does_not_change_the_later_one(
    #[values(true, false)] earlier_was_registered: bool,
    #[values(
        Between::Nothing,
        Between::EarlierLeft,
        Between::LaterDrains,
        Between::LaterIsPromoted
    )]
    between: Between,
    #[values(Ready, Draining)] late: BackEndState,
    #[values(1, 9)] late_sequence: u64,
) {
    let mut registry = Registry::with_group(0);
    let leave = |number| RegistryCommand::Leave { member: member(number) };
    (1..=3).for_each(|number| drop(registry.apply(leave(number))));
    let (earlier, later) = (11, 12);
    if earlier_was_registered {
        registry.apply(report_at_shared_address(earlier, Ready, 5));
    }
    registry.apply(report_at_shared_address(later, Ready, 1));
    match between {
        Between::Nothing => (),
        Between::EarlierLeft => drop(registry.apply(leave(earlier))),
        Between::LaterDrains => {
            registry.apply(report_at_shared_address(later, Draining, 2));
        }
        Between::LaterIsPromoted => {
            let promote = RegistryCommand::Promote { group: group(), target: member(later) };
            registry.apply(promote);
        }
    }
    let stored = registry.state.back_end(&member(later)).cloned();
    let promotion = registry.state.promotion(&group()).cloned();
    assert!(stored.is_some());
    let (_, changes) = registry.apply(report_at_shared_address(earlier, late, late_sequence));
    assert_eq!(registry.state.back_end(&member(later)).cloned(), stored);
    assert_eq!(registry.state.promotion(&group()).cloned(), promotion);
    assert!(!changes.back_ends.contains(&member(later)));
    if between == Between::EarlierLeft {
        assert_eq!(
            registry.state_of(earlier),
            None,
            "a back end that left is not registered again"
        );
    }
}
