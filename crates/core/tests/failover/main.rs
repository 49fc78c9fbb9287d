//! Changes of primary: each fault on its own here, all of them at random in `histories`.

mod histories;
#[path = "../support/mod.rs"]
mod support;

use corktack_core::backend::MemberRole;
use corktack_core::failover::{FailoverAction, MemberHealth};
use corktack_core::identity::MemberName;
use corktack_core::position::{Position, Term};
use corktack_core::state::command::{Command, FailoverStep};
use rstest::rstest;
use std::time::{Duration, Instant};
use support::world::{Node, World, settings};
use support::*;

fn primary(world: &World) -> Option<MemberName> {
    world.cell.group("g0").primary
}

fn has_new_primary(cell: &Cell) -> bool {
    let view = cell.group("g0");
    view.term > Term(1) && view.primary.is_some()
}

#[test]
fn a_new_group_with_a_primary_is_adopted() {
    let mut world = World::new(3, 3);
    let took = world.run_until(|cell| cell.group("g2").primary.is_some());
    println!("adopted after {took:?}");
    world.run(5_000);
    assert_eq!(primary(&world), Some(name("m0")));
    assert_eq!(world.cell.group("g0").term, Term(1));
    assert!(world.terms_begun().is_empty());
}

#[test]
fn a_new_group_without_a_primary_gets_one_after_a_while() {
    let mut world = World::new(1, 3);
    for (member, index) in [("m0", 10), ("m1", 12), ("m2", 11)] {
        world.node("g0", member).role = MemberRole::Fenced;
        world.node("g0", member).last.index = index;
    }
    let took = world.run_until(has_new_primary);
    assert!(took >= settings().bootstrap_wait, "{took:?}");
    assert_eq!(primary(&world), Some(name("m1")), "the most advanced one");
}

#[test]
fn a_lost_primary_is_replaced_after_the_suspicion_time() {
    let mut world = World::steady(1, 3);
    world.lose_primary("g0");
    let took = world.run_until(has_new_primary);
    println!("primary replaced {took:?} after its owner missed it");
    assert!(took >= settings().suspicion);
    assert!(took < settings().suspicion + Duration::from_secs(1));
    assert!(world.is_healthy("g0"));
    assert_eq!(world.terms_begun(), [Term(2)]);
}

#[test]
fn one_observer_is_not_enough() {
    let mut world = World::steady(1, 3);
    world.owner_sees("g0", "m0", MemberHealth::Unreachable);
    world.run(10_000);
    assert!(world.terms_begun().is_empty(), "control sees it");

    let mut world = World::steady(1, 3);
    world.node("g0", "m0").seen = false;
    world.run(30_000);
    assert!(world.terms_begun().is_empty(), "its owner sees it");
}

#[test]
fn control_alone_is_enough_when_nobody_else_can_tell() {
    let mut world = World::steady(1, 3);
    world.change_leader();
    world.cut("g0", "m0");
    let took = world.run_until(has_new_primary);
    println!("found by control alone after {took:?}");
    assert!(took >= settings().suspicion * 3);
}

#[test]
fn a_primary_that_says_it_is_none_is_replaced() {
    let mut world = World::steady(1, 3);
    world.node("g0", "m0").role = MemberRole::Replica;
    world.owner_sees("g0", "m0", MemberHealth::Replica(Term(1)));
    let took = world.run_until(has_new_primary);
    assert!(took < settings().suspicion, "{took:?}");
}

#[test]
fn the_most_advanced_member_is_chosen_by_term_then_index() {
    let mut world = World::steady(1, 5);
    world.node("g0", "m1").last = Position { term: Term(0), index: 99 };
    world.node("g0", "m2").last = Position { term: Term(1), index: 10 };
    world.node("g0", "m3").last = Position { term: Term(1), index: 14 };
    world.lose_primary("g0");
    world.run_until(has_new_primary);
    assert_eq!(primary(&world), Some(name("m3")));
}

#[test]
fn without_a_majority_nothing_is_begun() {
    let mut world = World::steady(1, 3);
    world.cut("g0", "m1");
    world.lose_primary("g0");
    world.run(20_000);
    assert!(world.terms_begun().is_empty());
    world.node("g0", "m1").seen = true;
    world.node("g0", "m1").connected = true;
    world.run_until(has_new_primary);
    assert!(world.is_healthy("g0"));
}

#[test]
fn a_majority_lost_between_decision_and_fence_is_waited_for_in_one_term() {
    let mut world = World::steady(1, 3);
    world.lose_primary("g0");
    while world.step(|action| !matches!(action, FailoverAction::Fence { .. })) {}
    world.cut("g0", "m1");
    world.run(20_000);
    assert_eq!(primary(&world), None);
    assert_eq!(world.terms_begun(), [Term(2)], "no term is wasted");
    world.node("g0", "m1").seen = true;
    world.node("g0", "m1").connected = true;
    let took = world.run_until(has_new_primary);
    assert!(took < settings().retry_last + Duration::from_secs(1), "{took:?}");
}

#[test]
fn a_higher_promise_leads_to_a_term_above_it() {
    let mut world = World::steady(1, 3);
    world.node("g0", "m1").promised = Term(8);
    world.node("g0", "m1").role = MemberRole::Fenced;
    world.lose_primary("g0");
    world.run_until(has_new_primary);
    assert_eq!(world.cell.group("g0").term, Term(9));
    assert!(world.is_healthy("g0"));
}

#[test]
fn a_member_that_dies_before_its_promotion_is_passed_over_in_a_higher_term() {
    let mut world = World::steady(1, 3);
    world.node("g0", "m1").last.index = 12;
    world.lose_primary("g0");
    while world.step(|action| !matches!(action, FailoverAction::Promote { .. })) {}
    world.cut("g0", "m1");
    world.node("g0", "m0").seen = true;
    world.node("g0", "m0").connected = true;
    let took = world.run_until(has_new_primary);
    println!("passed over after {took:?}");
    assert!(world.cell.group("g0").term > Term(2));
    assert!(world.is_healthy("g0"));
}

#[test]
fn a_group_that_elects_by_itself_is_adopted_and_not_fought() {
    let mut world = World::steady(1, 3);
    world.lose_primary("g0");
    for member in ["m1", "m2"] {
        assert!(world.fence(&(name("g0"), name(member)), Term(2)).is_ok());
    }
    assert!(world.promote(&(name("g0"), name("m2")), Term(2)).is_ok());
    world.run_until(has_new_primary);
    assert_eq!(primary(&world), Some(name("m2")));
    world.run(5_000);
    assert!(world.terms_begun().is_empty());
}

#[test]
fn a_draining_primary_is_switched_to_a_staying_member() {
    let mut world = World::steady(1, 3);
    world.node("g0", "m0").last.index = 15;
    world.cell.apply(Command::MembersLeaving(vec![(name("g0"), name("m0"), true)]));
    let took = world.run_until(has_new_primary);
    println!("switched after {took:?}");
    assert_ne!(primary(&world), Some(name("m0")));
    assert!(world.is_healthy("g0"));
    world.run(30_000);
    assert_eq!(world.terms_begun(), [Term(2)]);
}

#[test]
fn a_draining_primary_stays_while_too_few_follow_it() {
    let mut world = World::steady(1, 3);
    world.cut("g0", "m2");
    world.cell.apply(Command::MembersLeaving(vec![(name("g0"), name("m0"), true)]));
    world.run(10_000);
    assert_eq!(primary(&world), Some(name("m0")));
}

#[test]
fn a_flapping_group_fails_over_ever_more_slowly() {
    let mut world = World::steady(1, 3);
    let mut gaps = Vec::new();
    for round in 0..4 {
        let term = world.cell.group("g0").term;
        let lost = world.lose_primary("g0");
        gaps.push(
            world.run_until(|cell| {
                cell.group("g0").term > term && cell.group("g0").primary.is_some()
            }),
        );
        let node = world.node("g0", lost.as_str());
        node.seen = true;
        node.connected = true;
        assert!(world.is_healthy("g0"), "round {round}");
        let (member, term) = (primary(&world).expect("a primary"), world.cell.group("g0").term);
        world.owner_sees("g0", member.as_str(), MemberHealth::Primary(term));
    }
    println!("gaps of a flapping group: {gaps:?}");
    assert!(gaps.is_sorted() && gaps[3] >= Duration::from_secs(8));
}

#[test]
fn a_lost_zone_is_one_command() {
    let mut world = World::steady(122, 3);
    for group in 0..122 {
        world.lose_primary(&format!("g{group}"));
    }
    let all_done = |cell: &Cell| {
        cell.state.groups().all(|(_, it)| it.view.term > Term(1) && it.view.primary.is_some())
    };
    let took = world.run_until(all_done);
    let batches = world.actions.iter().filter_map(|action| match action {
        FailoverAction::Propose { command: Command::Failover(batch), .. } => Some(batch.len()),
        _ => None,
    });
    let batches: Vec<_> = batches.collect();
    println!("122 primaries replaced in {took:?} by commands of {batches:?} steps");
    assert_eq!(batches, [122, 122]);
}

/// Where the leader stops: at the first action of the kind, and whether it is performed.
#[rstest]
fn a_new_leader_finishes_what_the_old_one_began(
    #[values("begin", "fence", "promote", "complete")] kind: &str,
    #[values(true, false)] performed: bool,
) {
    let mut world = World::steady(1, 3);
    world.lose_primary("g0");
    let is_kind = |action: &FailoverAction| match action {
        FailoverAction::Fence { .. } => kind == "fence",
        FailoverAction::Promote { .. } => kind == "promote",
        FailoverAction::Propose { command: Command::Failover(batch), .. } => match batch[0].1 {
            FailoverStep::Begin { .. } => kind == "begin",
            FailoverStep::Complete { .. } => kind == "complete",
            FailoverStep::Adopt { .. } => false,
        },
        _ => false,
    };
    let mut reached = false;
    while !reached {
        world.step(|action| {
            reached |= is_kind(action);
            performed || !is_kind(action)
        });
    }
    world.change_leader();
    let took = world.run_until(has_new_primary);
    println!("{kind}, performed {performed}: finished in {took:?}");
    assert!(took < Duration::from_secs(5));
    assert!(world.is_healthy("g0"));
    // What was promoted is adopted; everything else needs a term of its own.
    let promoted = kind == "complete" || (kind == "promote" && performed);
    assert_eq!(world.cell.group("g0").term == Term(2), promoted || (kind == "begin" && !performed));
}

#[rstest]
fn a_lost_outcome_is_found_out_from_the_state(#[values(true, false)] applied: bool) {
    let mut world = World::steady(1, 3);
    world.lose_primary("g0");
    world.lose_outcomes = Some(applied);
    world.run(3_000);
    world.lose_outcomes = None;
    world.run_until(has_new_primary);
    assert!(world.is_healthy("g0"));
}

#[test]
fn a_deposed_leader_cannot_begin_a_term_that_is_taken() {
    let mut world = World::steady(1, 3);
    world.lose_primary("g0");
    let mut stale = None;
    while stale.is_none() {
        world.step(|action| match action {
            FailoverAction::Propose { command, .. } => {
                stale = Some(command.clone());
                false
            }
            _ => true,
        });
    }
    world.change_leader();
    world.run_until(has_new_primary);
    let before = world.cell.group("g0");
    world.cell.apply(stale.expect("a stale command"));
    assert_eq!(world.cell.group("g0"), before);
}

#[test]
fn a_change_of_members_during_a_failover_starts_it_over() {
    let mut world = World::steady(1, 3);
    world.lose_primary("g0");
    while world.step(|action| !matches!(action, FailoverAction::Promote { .. })) {}
    let mut spec = group_spec("g0", 3);
    spec.members.remove(0);
    world.cell.put("g0", spec, None).expect("accepted");
    world.nodes.remove(&(name("g0"), name("m0")));
    world.run_until(has_new_primary);
    assert!(world.is_healthy("g0"));
}

#[test]
fn a_group_deleted_and_created_anew_is_followed_with_its_new_members() {
    let mut world = World::steady(1, 3);
    world.cell.delete(group_key("g0")).expect("deleted");
    let mut spec = group_spec("g0", 5);
    spec.members.drain(..2);
    world.cell.put("g0", spec, None).expect("accepted");
    let template = world.node("g0", "m2").clone();
    for (member, role) in [("m3", MemberRole::Primary), ("m4", MemberRole::Replica)] {
        world.nodes.insert((name("g0"), name(member)), Node { role, ..template.clone() });
    }
    world.run_until(|cell| cell.group("g0").primary.is_some());
    assert_eq!(primary(&world), Some(name("m3")));
}

#[test]
fn an_observation_that_comes_before_the_first_evaluation_counts() {
    let mut world = World::steady(1, 3);
    world.change_leader();
    world.lose_primary("g0");
    let took = world.run_until(has_new_primary);
    assert!(took < settings().suspicion * 2, "{took:?}: its owner's word was lost");
}

#[test]
fn a_change_of_slots_does_not_hold_up_a_failover() {
    let mut world = World::steady(1, 3);
    world.lose_primary("g0");
    while world.step(|action| !matches!(action, FailoverAction::Promote { .. })) {}
    let mut spec = group_spec("g0", 3);
    spec.slots += 1;
    world.cell.put("g0", spec, None).expect("accepted");
    world.run_until(has_new_primary);
    assert_eq!(world.terms_begun(), [Term(2)]);
}

#[test]
fn a_fleet_at_rest_costs_little() {
    let mut world = World::steady(733, 3);
    let started = Instant::now();
    world.run(20_000);
    println!("733 groups, 20 s: {} probes, {:?}", world.actions.len(), started.elapsed());
    assert!(world.actions.len() <= 2 * 733, "a sweep every ten seconds");
}
