//! Heartbeats: what is news, what is late, what is final.

use super::support::{Registry, member, report};
use corktack_core::registry::BackEndRole::{Primary, Replica};
use corktack_core::registry::BackEndState::{Draining, Ready};
use corktack_core::registry::RegistryCommand;

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
