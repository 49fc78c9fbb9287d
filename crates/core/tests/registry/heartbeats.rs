//! Heartbeats: what is news, what is late, what is final.

use super::support::{Registry, group, member, report};
use corktack_core::registry::BackEndRole::{Primary, Replica};
use corktack_core::registry::BackEndState::{self, Draining, Ready};
use corktack_core::registry::RegistryCommand;
use rstest::rstest;

#[test]
fn only_what_changes_goes_through_the_log() {
    let registry = Registry::with_group(0);
    let is_news = |report| registry.state.is_news(&member(2), &report);
    assert!(!is_news(report(2, Ready, Replica, 2)), "a bare heartbeat");
    assert!(is_news(report(2, Ready, Primary, 2)), "another role");
    assert!(is_news(report(2, Draining, Replica, 2)), "another state");
    assert!(!is_news(report(2, Ready, Primary, 1)), "a heartbeat that was overtaken");
    assert!(registry.state.is_news(&member(4), &report(4, Ready, Replica, 1)), "a new member");
}

#[test]
fn leaving_is_final() {
    let mut registry = Registry::with_group(0);
    registry.say(2, Draining, Replica, 2);
    let changes = registry.say(2, Ready, Replica, 3);
    assert!(changes.back_ends.is_empty());
    assert_eq!(registry.state_of(2), Some(Draining));
    registry.say(2, Ready, Primary, 4);
    let back_end = registry.state.back_end(&member(2)).expect("it is registered");
    assert_eq!((back_end.state, back_end.role), (Draining, Primary));
}

#[test]
fn a_drain_is_taken_even_from_a_heartbeat_that_was_overtaken() {
    let mut registry = Registry::with_group(0);
    registry.say(2, Ready, Primary, 5);
    registry.say(2, Draining, Replica, 4);
    assert_eq!(registry.state_of(2), Some(Draining));
}

#[test]
fn a_late_heartbeat_does_not_bring_back_who_left() {
    let mut registry = Registry::with_group(0);
    registry.apply(RegistryCommand::Leave { member: member(2) });
    assert!(!registry.state.is_news(&member(2), &report(2, Ready, Replica, 9)));
    registry.say(2, Ready, Replica, 9);
    assert_eq!(registry.state_of(2), None);
}

#[test]
fn leaving_twice_or_unknown_is_acknowledged_and_changes_nothing() {
    let mut registry = Registry::with_group(0);
    registry.apply(RegistryCommand::Leave { member: member(2) });
    let (_, changes) = registry.apply(RegistryCommand::Leave { member: member(2) });
    assert!(changes.back_ends.is_empty());
    let (_, changes) = registry.apply(RegistryCommand::Leave { member: member(9) });
    assert!(changes.back_ends.is_empty());
}

/// What a later life at the address of an earlier one may have become before a heartbeat of that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Between {
    Nothing,
    EarlierLeft,
    LaterDrains,
    LaterIsPromoted,
}

/// The earlier life is 1 and the later one 2, at the same address: they differ in their identity alone.
fn at_one_address(number: u16, state: BackEndState, sequence: u64) -> RegistryCommand {
    let mut report = report(number, state, Primary, sequence);
    report.back_end.address = ([10, 0, 0, 1], 9_000).into();
    RegistryCommand::Report { member: member(number), report }
}

#[rstest]
fn a_late_heartbeat_of_an_earlier_life_changes_nothing_of_the_later_one(
    #[values(true, false)] earlier_was_known: bool,
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
    if earlier_was_known {
        registry.apply(at_one_address(earlier, Ready, 5));
    }
    registry.apply(at_one_address(later, Ready, 1));
    match between {
        Between::Nothing => (),
        Between::EarlierLeft => drop(registry.apply(leave(earlier))),
        Between::LaterDrains => {
            registry.apply(at_one_address(later, Draining, 2));
        }
        Between::LaterIsPromoted => {
            let promote = RegistryCommand::Promote { group: group(), target: member(later) };
            registry.apply(promote);
        }
    }
    let known = registry.state.back_end(&member(later)).cloned();
    let promotion = registry.state.promotion(&group()).cloned();
    assert!(known.is_some());
    let (_, changes) = registry.apply(at_one_address(earlier, late, late_sequence));
    assert_eq!(registry.state.back_end(&member(later)).cloned(), known);
    assert_eq!(registry.state.promotion(&group()).cloned(), promotion);
    assert!(!changes.back_ends.contains(&member(later)));
    if between == Between::EarlierLeft {
        assert_eq!(registry.state_of(earlier), None, "who left does not come back");
    }
}
