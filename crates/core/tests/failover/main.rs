//! Failover after single faults; `histories` covers random sequences of faults.

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
    println!("primaries adopted after {took:?}");
    world.run(5_000);
    assert_eq!(primary(&world), Some(name("m0")));
    assert_eq!(world.cell.group("g0").term, Term(1));
    assert!(world.terms_begun().is_empty());
}

#[test]
fn a_new_group_without_a_primary_gets_one_after_the_bootstrap_wait() {
    let mut world = World::new(1, 3);
    for (member, index) in [("m0", 10), ("m1", 12), ("m2", 11)] {
        world.node("g0", member).role = MemberRole::Fenced;
        world.node("g0", member).last.index = index;
    }
    let took = world.run_until(has_new_primary);
    assert!(took >= settings().bootstrap_wait, "{took:?}");
    assert_eq!(primary(&world), Some(name("m1")), "the most advanced member is promoted");
}

#[test]
fn a_lost_primary_is_replaced_after_the_suspicion_time() {
    let mut world = World::steady(1, 3);
    world.lose_primary("g0");
    let took = world.run_until(has_new_primary);
    println!("primary replaced {took:?} after its owner reported it unreachable");
    assert!(took >= settings().suspicion);
    assert!(took < settings().suspicion + Duration::from_secs(1));
    assert!(world.is_healthy("g0"));
    assert_eq!(world.terms_begun(), [Term(2)]);
}

#[test]
fn one_observer_is_not_enough() {
    let mut world = World::steady(1, 3);
    world.report_by_owner("g0", "m0", MemberHealth::Unreachable);
    world.run(10_000);
    assert!(world.terms_begun().is_empty(), "control still reaches the primary");

    let mut world = World::steady(1, 3);
    world.node("g0", "m0").reachable = false;
    world.run(30_000);
    assert!(world.terms_begun().is_empty(), "the owner still reaches the primary");
}

#[test]
fn control_alone_is_enough_when_no_proxy_observes_the_primary() {
    let mut world = World::steady(1, 3);
    world.change_leader();
    world.isolate("g0", "m0");
    let took = world.run_until(has_new_primary);
    println!("primary replaced on control's observation alone after {took:?}");
    assert!(took >= settings().suspicion * 3);
}

#[test]
fn a_primary_that_reports_another_role_is_replaced() {
    let mut world = World::steady(1, 3);
    world.node("g0", "m0").role = MemberRole::Replica;
    world.report_by_owner("g0", "m0", MemberHealth::Replica(Term(1)));
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
fn no_term_is_begun_without_a_reachable_majority() {
    let mut world = World::steady(1, 3);
    world.isolate("g0", "m1");
    world.lose_primary("g0");
    world.run(20_000);
    assert!(world.terms_begun().is_empty());
    world.node("g0", "m1").reachable = true;
    world.node("g0", "m1").connected = true;
    world.run_until(has_new_primary);
    assert!(world.is_healthy("g0"));
}

#[test]
fn a_majority_lost_between_decision_and_fence_is_awaited_within_one_term() {
    let mut world = World::steady(1, 3);
    world.lose_primary("g0");
    while world.step(|action| !matches!(action, FailoverAction::Fence { .. })) {}
    world.isolate("g0", "m1");
    world.run(20_000);
    assert_eq!(primary(&world), None);
    assert_eq!(world.terms_begun(), [Term(2)], "the leader begins no further term");
    world.node("g0", "m1").reachable = true;
    world.node("g0", "m1").connected = true;
    let took = world.run_until(has_new_primary);
    assert!(took < settings().retry_maximum + Duration::from_secs(1), "{took:?}");
}

#[test]
fn a_higher_promised_term_leads_to_a_term_above_it() {
    let mut world = World::steady(1, 3);
    world.node("g0", "m1").promised = Term(8);
    world.node("g0", "m1").role = MemberRole::Fenced;
    world.lose_primary("g0");
    world.run_until(has_new_primary);
    assert_eq!(world.cell.group("g0").term, Term(9));
    assert!(world.is_healthy("g0"));
}

#[test]
fn a_member_lost_before_its_promotion_is_excluded_in_a_higher_term() {
    let mut world = World::steady(1, 3);
    world.node("g0", "m1").last.index = 12;
    world.lose_primary("g0");
    while world.step(|action| !matches!(action, FailoverAction::Promote { .. })) {}
    world.isolate("g0", "m1");
    world.node("g0", "m0").reachable = true;
    world.node("g0", "m0").connected = true;
    let took = world.run_until(has_new_primary);
    println!("another member promoted after {took:?}");
    assert!(world.cell.group("g0").term > Term(2));
    assert!(world.is_healthy("g0"));
}

#[test]
fn a_primary_elected_by_the_group_itself_is_adopted_without_a_new_term() {
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
fn a_draining_primary_is_replaced_by_a_member_that_is_not_draining() {
    let mut world = World::steady(1, 3);
    world.node("g0", "m0").last.index = 15;
    world.cell.apply(Command::MembersLeaving(vec![(name("g0"), name("m0"), true)]));
    let took = world.run_until(has_new_primary);
    println!("switched over after {took:?}");
    assert_ne!(primary(&world), Some(name("m0")));
    assert!(world.is_healthy("g0"));
    world.run(30_000);
    assert_eq!(world.terms_begun(), [Term(2)]);
}

#[test]
fn a_draining_primary_is_kept_while_too_few_members_follow_it() {
    let mut world = World::steady(1, 3);
    world.isolate("g0", "m2");
    world.cell.apply(Command::MembersLeaving(vec![(name("g0"), name("m0"), true)]));
    world.run(10_000);
    assert_eq!(primary(&world), Some(name("m0")));
}

#[test]
fn a_flapping_group_fails_over_at_growing_intervals() {
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
        node.reachable = true;
        node.connected = true;
        assert!(world.is_healthy("g0"), "round {round}");
        let (member, term) = (primary(&world).expect("a primary"), world.cell.group("g0").term);
        world.report_by_owner("g0", member.as_str(), MemberHealth::Primary(term));
    }
    println!("gaps of a flapping group: {gaps:?}");
    assert!(gaps.is_sorted() && gaps[3] >= Duration::from_secs(8));
}

#[test]
fn a_lost_zone_is_failed_over_by_one_command_per_step() {
    let mut world = World::steady(122, 3);
    for group in 0..122 {
        world.lose_primary(&format!("g{group}"));
    }
    let all_done = |cell: &Cell| {
        cell.state
            .groups()
            .all(|(_, group)| group.view.term > Term(1) && group.view.primary.is_some())
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

/// The leader is replaced at its first action of this kind, which is performed or dropped.
#[rstest]
fn a_new_leader_finishes_the_failover_of_the_old_leader(
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
    // A promoted member is adopted in its term; any other state needs a new term, unless no term
    // was begun.
    let promoted = kind == "complete" || (kind == "promote" && performed);
    assert_eq!(world.cell.group("g0").term == Term(2), promoted || (kind == "begin" && !performed));
}

#[rstest]
fn a_lost_proposal_outcome_is_recovered_from_the_state(#[values(true, false)] applied: bool) {
    let mut world = World::steady(1, 3);
    world.lose_primary("g0");
    world.lost_outcomes = Some(applied);
    world.run(3_000);
    world.lost_outcomes = None;
    world.run_until(has_new_primary);
    assert!(world.is_healthy("g0"));
}

#[test]
fn a_deposed_leader_cannot_begin_a_term_that_was_already_begun() {
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
    world.cell.apply(stale.expect("a proposal of the deposed leader"));
    assert_eq!(world.cell.group("g0"), before);
}

#[test]
fn a_change_of_members_restarts_a_failover() {
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
fn a_recreated_group_is_monitored_with_its_new_members() {
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
fn an_observation_received_before_the_first_evaluation_counts() {
    let mut world = World::steady(1, 3);
    world.change_leader();
    world.lose_primary("g0");
    let took = world.run_until(has_new_primary);
    assert!(took < settings().suspicion * 2, "{took:?}: the owner's report was lost");
}

#[test]
fn a_change_of_slots_does_not_restart_a_failover() {
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
fn a_healthy_fleet_costs_few_probes() {
    let mut world = World::steady(733, 3);
    let started = Instant::now();
    world.run(20_000);
    println!("733 groups, 20 s: {} probes, {:?}", world.actions.len(), started.elapsed());
    assert!(world.actions.len() <= 2 * 733, "one probe of each primary every 10 s");
}
