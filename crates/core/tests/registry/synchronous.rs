//! Replacement of primaries where commits are acknowledged once a replica has received them: the promoted
//! member must hold every acknowledged commit.

use super::promotion::{REQUIRED_GATEWAYS, World, asked, called, gateway, names, proposed, status};
use super::support::{group, member};
use corktack_core::identity::MemberName;
use corktack_core::registry::BackEndRole::{Primary, Replica};
use corktack_core::registry::BackEndState::{Draining, Ready};
use corktack_core::registry::{
    MemberAnswer, PromotionAction, PromotionAnswer, PromotionManager, PromotionSettings,
    ReachReport, RegistryCommand,
};
use rstest::rstest;
use std::collections::BTreeSet;

/// Milliseconds in which an answer that doesn't come is given up, and the members are asked again.
const REPEATED_MS: u64 = 700;
/// Milliseconds in which a promoted member that doesn't become primary is given up.
const GIVEN_UP_MS: u64 = 3_500;

fn held(actions: &[PromotionAction]) -> BTreeSet<MemberName> {
    let held = actions.iter().filter_map(|action| match action {
        PromotionAction::RequestStatus { member, hold: true, .. } => Some(member.clone()),
        _ => None,
    });
    held.collect()
}

fn released(actions: &[PromotionAction]) -> BTreeSet<MemberName> {
    let released = actions.iter().filter_map(|action| match action {
        PromotionAction::Release { member, .. } => Some(member.clone()),
        _ => None,
    });
    released.collect()
}

/// Returns a world with synchronous replication whose gateways have lost the primary, and what the leader does.
fn primary_lost(prepare: impl Fn(&mut World)) -> (World, Vec<PromotionAction>) {
    let mut world = World::new(1);
    prepare(&mut world);
    world.report_unreachable(REQUIRED_GATEWAYS, 1);
    let actions = world.advance();
    (world, actions)
}

/// Lets all gateways report that they reach the primary.
fn reach_primary(world: &mut World) {
    for number in 0..REQUIRED_GATEWAYS {
        let (gateway, group, member) = (gateway(number), group(), member(1));
        world.duty.record_reach_report(ReachReport { gateway, group, member, reached: true });
    }
}

/// Starts a leadership of another process.
fn change_leader(world: &mut World) -> Vec<PromotionAction> {
    world.duty = PromotionManager::new(PromotionSettings::default());
    world.advance()
}

// Guards against a leaving replica that goes on acknowledging commits while the other one is held.
#[test]
fn a_leaving_replica_is_held_and_asked() {
    let (_, actions) = primary_lost(|world| {
        world.registry.apply_report(2, Draining, Replica, 2);
    });
    assert_eq!(held(&actions), names(&[2, 3]));
}

// Guards against a promotion without the commits that only a leaving replica has received, also once it left.
#[rstest]
#[case::before_the_primary_is_lost(true)]
#[case::while_the_members_are_asked(false)]
fn the_log_of_a_replica_that_left_counts_until_its_successor_answers(#[case] left_before: bool) {
    let leave = RegistryCommand::Leave { member: member(2) };
    let (mut world, _) = primary_lost(|world| {
        world.registry.apply_report(2, Draining, Replica, 2);
        if left_before {
            world.registry.apply(RegistryCommand::Leave { member: member(2) });
        }
    });
    world.answer(2, status(false, 1, 20));
    world.answer(3, status(false, 1, 10));
    assert_eq!(proposed(&world.advance()), None);
    world.registry.apply(leave);
    for _ in 0..10 {
        assert_eq!(proposed(&world.after(REPEATED_MS)), None);
        world.answer(3, status(false, 1, 10));
    }
    world.registry.apply_successor(4, 2);
    assert_eq!(proposed(&world.advance()), None, "the successor has not answered");
    assert_eq!(held(&world.after(REPEATED_MS)).intersection(&names(&[3, 4])).count(), 2);
    world.answer(1, MemberAnswer::Unreachable);
    world.answer(3, status(false, 1, 10));
    world.answer(4, status(false, 1, 20));
    assert_eq!(proposed(&world.advance()), Some(member(4)));
}

// Guards against a wait for a leaving replica whose commits the chosen member has as well.
#[test]
fn a_replica_with_all_commits_of_a_leaving_one_is_promoted_at_once() {
    let (mut world, _) = primary_lost(|world| {
        world.registry.apply_report(2, Draining, Replica, 2);
    });
    world.answer(2, status(false, 1, 20));
    world.answer(3, status(false, 1, 20));
    assert_eq!(proposed(&world.advance()), Some(member(3)));
}

// Guards against a promotion without the commits that only a member has that cannot be promoted now.
#[test]
fn a_member_behind_a_refused_one_is_not_promoted_in_its_place() {
    let (mut world, _) = primary_lost(|_| ());
    world.answer_replicas();
    let proposal = world.advance();
    let fence = world.commit(&proposal);
    assert_eq!(called(&world.advance()), Some((member(2), fence)));
    world.duty.record_authority_answer(world.now, &group(), fence, PromotionAnswer::Refused);
    assert_eq!(held(&world.advance()), names(&[2, 3]));
    world.answer_replicas();
    assert_eq!(proposed(&world.advance()), None);
    assert_eq!(held(&world.after(3_000)), names(&[2, 3]), "the refusal is over");
    world.answer(1, MemberAnswer::Unreachable);
    world.answer_replicas();
    assert_eq!(proposed(&world.advance()), Some(member(2)));
}

// Guards against the replacement of a primary that is back, for which the members could not be chosen among.
#[test]
fn a_primary_that_gateways_reach_again_is_kept() {
    let (mut world, _) = primary_lost(|_| ());
    world.answer(3, status(false, 1, 10));
    world.after(REPEATED_MS);
    reach_primary(&mut world);
    assert_eq!(released(&world.after(REPEATED_MS)), names(&[1, 2, 3]));
    world.answer_replicas();
    assert_eq!(proposed(&world.after(10_000)), None);
}

// Guards against the replacement of a primary that is back and that no gateway has tried again.
#[test]
fn a_primary_that_answers_the_leader_again_is_kept() {
    let (mut world, actions) = primary_lost(|_| ());
    assert_eq!(asked(&actions), names(&[2, 3]));
    world.answer(3, status(false, 1, 10));
    let actions = world.after(REPEATED_MS);
    assert_eq!(asked(&actions), names(&[1, 2, 3]));
    assert_eq!(held(&actions), names(&[2, 3]), "a primary that may serve keeps running");
    world.answer(1, status(true, 1, 30));
    assert_eq!(released(&world.advance()), names(&[1, 2, 3]));
}

// Guards against the release of replicas while a member that lacks later commits may still be promoted.
#[test]
fn a_primary_that_is_back_is_not_kept_while_a_call_is_open() {
    let (mut world, _) = primary_lost(|_| ());
    world.answer_replicas();
    let proposal = world.advance();
    let fence = world.commit(&proposal);
    world.advance();
    world.duty.record_authority_answer(world.now, &group(), fence, PromotionAnswer::Unknown);
    reach_primary(&mut world);
    for _ in 0..8 {
        let actions = world.after(GIVEN_UP_MS);
        assert_eq!(released(&actions), BTreeSet::new());
        assert!(!asked(&actions).contains(&member(1)));
    }
}

// Guards against commits that a primary that is back has acknowledged with a replica that is not held.
#[test]
fn a_replica_that_registers_after_the_decision_is_held() {
    let (mut world, _) = primary_lost(|_| ());
    world.answer_replicas();
    let proposal = world.advance();
    world.registry.apply_successor(4, 2);
    assert_eq!(held(&world.after(1)), names(&[4]));
    world.commit(&proposal);
    world.registry.apply_successor(5, 3);
    assert_eq!(held(&world.after(1)), names(&[5]));
    assert_eq!(held(&world.after(1)), BTreeSet::new(), "each is held once");
}

// Guards against a replica that stays held after the promotion and acknowledges nothing any more.
#[test]
fn replicas_are_released_once_the_promoted_member_leads() {
    let (mut world, _) = primary_lost(|_| ());
    world.answer_replicas();
    let proposal = world.advance();
    world.commit(&proposal);
    world.advance();
    world.registry.apply_report(2, Ready, Primary, 2);
    assert_eq!(released(&world.advance()), names(&[1, 2, 3]));
}

// Guards against an answer from before a release, which the member's log has outgrown since.
#[test]
fn an_answer_to_an_earlier_request_does_not_count() {
    let (mut world, _) = primary_lost(|_| ());
    let first_request = world.now;
    world.after(REPEATED_MS);
    world.answer(1, MemberAnswer::Unreachable);
    world.answer(2, status(false, 1, 20));
    world.answer_request_of(first_request, 3, status(false, 1, 10));
    assert_eq!(proposed(&world.advance()), None);
    world.answer(3, status(false, 1, 30));
    assert_eq!(proposed(&world.advance()), Some(member(3)));
}

// Guards against replicas that stay held because the leader that held them is gone.
#[test]
fn a_new_leader_releases_the_replicas_that_an_earlier_one_held() {
    let mut world = World::at_begin_of_leadership(1);
    assert_eq!(released(&world.advance()), names(&[1, 2, 3]));
    assert!(world.after(10_000).is_empty());
}

// Guards against a release while the decision of an earlier leader may still be carried out.
#[test]
fn a_new_leader_supersedes_a_decision_that_may_be_open() {
    let (mut world, _) = primary_lost(|_| ());
    world.answer_replicas();
    let proposal = world.advance();
    let first = world.commit(&proposal);
    let actions = change_leader(&mut world);
    assert_eq!(released(&actions), BTreeSet::new());
    assert_eq!(held(&actions), names(&[2, 3]));
    world.answer_replicas();
    let proposal = world.advance();
    assert!(world.commit(&proposal) > first);
    assert!(called(&world.advance()).is_some());
}

// Guards against a wait for leaving replicas, and for their successors, where they hold no commit alone.
#[test]
fn without_synchronous_replicas_no_leaving_replica_is_waited_for() {
    let mut world = World::new(0);
    world.registry.apply_report(2, Draining, Replica, 2);
    world.registry.apply(RegistryCommand::Leave { member: member(2) });
    world.report_unreachable(REQUIRED_GATEWAYS, 1);
    assert_eq!(asked(&world.advance()), names(&[3]));
    world.answer(3, status(false, 1, 10));
    assert_eq!(proposed(&world.advance()), Some(member(3)));
}
