//! The replacement of primaries: evidence, choice, fences, late and lost calls.

use super::support::{Registry, group, member};
use corktack_core::identity::{MemberName, ProxyName};
use corktack_core::position::{Position, Term};
use corktack_core::registry::BackEndRole::{Primary, Replica};
use corktack_core::registry::BackEndState::{Draining, Ready};
use corktack_core::registry::{
    GatewayContact, MemberAnswer, PromotionAction, PromotionAnswer, PromotionDuty,
    PromotionSettings, ReachReport, RegistryCommand,
};
use corktack_core::statement::MemberStatus;
use corktack_core::time::Timestamp;
use std::collections::BTreeSet;

/// Gateways that are heard, and those of them whose word is enough: half.
const GATEWAYS: usize = 6;
const ENOUGH: usize = 3;
/// Milliseconds for which fewer may not reach a primary before the leader looks for itself.
const SUSPICION_PAUSE: u64 = 800;

/// A leader's duty over a registry, on a clock of its own.
struct World {
    registry: Registry,
    duty: PromotionDuty,
    gateways: GatewayContact,
    now: Timestamp,
}

fn status(primary: bool, term: u64, index: u64) -> MemberAnswer {
    MemberAnswer::Status(MemberStatus {
        primary,
        term,
        received: Position { term: Term(term), index },
        held_term: 0,
    })
}

fn gateway(number: usize) -> ProxyName {
    ProxyName::new(format!("g{number}")).expect("a valid name")
}

impl World {
    fn new(synchronous_replicas: u32) -> Self {
        Self {
            registry: Registry::with_group(synchronous_replicas),
            duty: PromotionDuty::new(PromotionSettings::default()),
            gateways: GatewayContact { reporting: GATEWAYS, silent: 0 },
            now: Timestamp::from_millis(1_000),
        }
    }

    fn advance(&mut self) -> Vec<PromotionAction> {
        self.duty.advance(self.now, &self.registry.state, self.gateways)
    }

    /// Too few gateways do not reach the primary, for long enough that the leader looks.
    fn suspected_by_one(&mut self) -> Vec<PromotionAction> {
        self.unreached(1, 1);
        assert!(self.advance().is_empty(), "others may say the same");
        assert!(self.after(SUSPICION_PAUSE - 1).is_empty());
        self.after(1)
    }

    fn after(&mut self, millis: u64) -> Vec<PromotionAction> {
        self.now = self.now + std::time::Duration::from_millis(millis);
        self.advance()
    }

    fn unreached(&mut self, gateways: usize, number: u16) {
        for place in 0..gateways {
            self.duty.report(ReachReport {
                gateway: gateway(place),
                group: group(),
                member: member(number),
                reached: false,
            });
        }
    }

    fn answer(&mut self, number: u16, answer: MemberAnswer) {
        self.duty.take_status(&group(), &member(number), answer);
    }

    /// Both replicas tell their positions; the second member is ahead.
    fn replicas_answer(&mut self) {
        self.answer(2, status(false, 1, 20));
        self.answer(3, status(false, 1, 10));
    }

    /// Puts a proposed decision into the log; gives its fence.
    fn commit(&mut self, actions: &[PromotionAction]) -> u64 {
        let [PromotionAction::Propose(command)] = actions else { panic!("{actions:?}") };
        self.registry.apply(command.clone());
        self.registry.state.promotion(&group()).expect("a decision").fence.0
    }

    /// Goes on to the call for member 2.
    fn call_for_second(&mut self) -> u64 {
        self.unreached(ENOUGH, 1);
        assert_eq!(asked(&self.advance()), names(&[2, 3]));
        self.replicas_answer();
        let proposed = self.advance();
        let fence = self.commit(&proposed);
        assert_eq!(called(&self.advance()), Some((member(2), fence)));
        fence
    }
}

fn names(numbers: &[u16]) -> BTreeSet<MemberName> {
    numbers.iter().map(|number| member(*number)).collect()
}

fn asked(actions: &[PromotionAction]) -> BTreeSet<MemberName> {
    let asked = actions.iter().filter_map(|action| match action {
        PromotionAction::Ask { member, .. } => Some(member.clone()),
        _ => None,
    });
    asked.collect()
}

fn called(actions: &[PromotionAction]) -> Option<(MemberName, u64)> {
    actions.iter().find_map(|action| match action {
        PromotionAction::Call { target, fence, .. } => Some((target.clone(), *fence)),
        _ => None,
    })
}

fn proposed(actions: &[PromotionAction]) -> Option<MemberName> {
    actions.iter().find_map(|action| match action {
        PromotionAction::Propose(RegistryCommand::Promote { target, .. }) => Some(target.clone()),
        _ => None,
    })
}

#[test]
fn a_primary_that_serves_is_left_alone() {
    let mut world = World::new(0);
    assert!(world.advance().is_empty());
    assert!(world.after(60_000).is_empty());
}

#[test]
fn the_word_of_one_gateway_needs_a_look_of_the_leaders_own() {
    let mut world = World::new(0);
    assert_eq!(asked(&world.suspected_by_one()), names(&[1, 2, 3]));
    world.replicas_answer();
    assert!(world.advance().is_empty(), "the primary may still answer");
    world.answer(1, status(true, 1, 30));
    assert!(world.advance().is_empty());
    assert!(world.after(10_000).is_empty(), "the lead stays where it is");
}

#[test]
fn a_primary_that_only_has_too_much_to_do_keeps_the_lead() {
    let mut world = World::new(0);
    world.suspected_by_one();
    world.answer(1, MemberAnswer::Silent);
    world.replicas_answer();
    assert_eq!(proposed(&world.advance()), None);
    assert_eq!(proposed(&world.after(10_000)), None);
}

#[test]
fn one_gateway_and_the_leader_together_are_evidence() {
    let mut world = World::new(0);
    world.suspected_by_one();
    world.answer(1, MemberAnswer::Unreachable);
    world.replicas_answer();
    assert_eq!(proposed(&world.advance()), Some(member(2)));
}

#[test]
fn half_of_the_gateways_are_evidence_enough() {
    let mut world = World::new(0);
    world.unreached(ENOUGH, 1);
    assert_eq!(asked(&world.advance()), names(&[2, 3]), "the primary need not be asked");
}

#[test]
fn fewer_than_half_of_them_are_not() {
    let mut world = World::new(0);
    world.unreached(ENOUGH - 1, 1);
    assert!(world.advance().is_empty(), "the others reach it, and serve for those that do not");
}

#[test]
fn a_primary_that_silent_gateways_may_reach_is_kept_for_long() {
    let mut world = World::new(0);
    world.gateways = GatewayContact { reporting: 1, silent: 5 };
    world.unreached(1, 1);
    assert!(world.advance().is_empty());
    assert!(world.after(6_999).is_empty(), "those on its side of the cut are served");
    assert_eq!(asked(&world.after(1)), names(&[1, 2, 3]), "but not for ever");
}

#[test]
fn a_cut_that_heals_leaves_the_primary_where_it_is() {
    let mut world = World::new(0);
    world.gateways = GatewayContact { reporting: 2, silent: 4 };
    world.unreached(2, 1);
    assert!(world.advance().is_empty());
    assert!(world.after(5_000).is_empty());
    for place in 0..2 {
        let (gateway, group, member) = (gateway(place), group(), member(1));
        world.duty.report(ReachReport { gateway, group, member, reached: true });
    }
    assert!(world.after(1).is_empty());
    world.unreached(1, 1);
    assert!(world.after(3_000).is_empty(), "another suspicion counts from its own beginning");
}

#[test]
fn a_few_silent_gateways_hold_nothing_up() {
    let mut world = World::new(0);
    world.gateways = GatewayContact { reporting: 4, silent: 2 };
    world.unreached(2, 1);
    assert!(world.advance().is_empty());
    assert_eq!(asked(&world.after(SUSPICION_PAUSE)), names(&[1, 2, 3]));
}

#[test]
fn two_gateways_are_enough_where_there_are_no_more() {
    let mut world = World::new(0);
    world.gateways = GatewayContact { reporting: 2, silent: 0 };
    world.unreached(2, 1);
    assert_eq!(asked(&world.advance()), names(&[2, 3]));
}

#[test]
fn gateways_that_are_gone_do_not_count_as_reporting() {
    let mut world = World::new(0);
    world.unreached(ENOUGH, 1);
    world.duty.retain_gateways(&BTreeSet::from([gateway(5)]));
    assert!(world.advance().is_empty());
}

#[test]
fn the_most_advanced_member_is_chosen_by_term_first() {
    let mut world = World::new(0);
    world.unreached(ENOUGH, 1);
    world.advance();
    world.answer(2, status(false, 1, 90));
    world.answer(3, status(false, 2, 40));
    assert_eq!(proposed(&world.advance()), Some(member(3)));
}

#[test]
fn a_member_that_does_not_answer_holds_nothing_up() {
    let mut world = World::new(0);
    world.unreached(ENOUGH, 1);
    world.advance();
    world.answer(3, status(false, 1, 10));
    assert!(world.advance().is_empty(), "the other may still answer");
    assert_eq!(proposed(&world.after(400)), Some(member(3)));
}

#[test]
fn where_replicas_hold_acknowledged_commits_all_of_them_must_answer() {
    let mut world = World::new(1);
    world.unreached(ENOUGH, 1);
    let actions = world.advance();
    let held = |action: &PromotionAction| matches!(action, PromotionAction::Ask { hold: true, .. });
    assert!(actions.iter().all(held), "{actions:?}");
    world.answer(3, status(false, 1, 10));
    assert_eq!(proposed(&world.after(400)), None);
    world.answer(2, status(false, 1, 11));
    world.answer(3, status(false, 1, 10));
    assert_eq!(proposed(&world.advance()), Some(member(2)));
}

#[test]
fn held_replicas_receive_again_when_the_lead_stays() {
    let mut world = World::new(1);
    world.suspected_by_one();
    world.answer(1, status(true, 1, 30));
    let actions = world.advance();
    let released = actions.iter().filter(|it| matches!(it, PromotionAction::Release { .. }));
    assert_eq!(released.count(), 3);
}

#[test]
fn a_draining_primary_is_replaced_while_it_answers() {
    let mut world = World::new(0);
    world.registry.say(1, Draining, Primary, 2);
    assert_eq!(asked(&world.advance()), names(&[2, 3]));
}

#[test]
fn a_group_whose_primary_left_gets_another() {
    let mut world = World::new(0);
    world.registry.apply(RegistryCommand::Leave { member: member(1) });
    assert!(world.advance().is_empty(), "its successor may register any moment");
    assert_eq!(asked(&world.after(3_100)), names(&[2, 3]));
}

#[test]
fn a_decision_is_in_the_log_before_the_authority_is_called() {
    let mut world = World::new(0);
    world.unreached(ENOUGH, 1);
    world.advance();
    world.replicas_answer();
    let actions = world.advance();
    assert_eq!(called(&actions), None);
    assert_eq!(called(&world.after(50)), None, "not before it is committed");
    let fence = world.commit(&actions);
    assert_eq!(called(&world.advance()), Some((member(2), fence)));
}

#[test]
fn a_lost_call_is_made_again_under_the_same_fence() {
    let mut world = World::new(0);
    let fence = world.call_for_second();
    world.duty.take_answer(world.now, &group(), fence, PromotionAnswer::Unknown);
    assert_eq!(called(&world.advance()), None);
    assert_eq!(called(&world.after(350)), Some((member(2), fence)));
}

#[test]
fn an_accepted_call_is_not_repeated_and_ends_when_the_member_leads() {
    let mut world = World::new(0);
    let fence = world.call_for_second();
    world.duty.take_answer(world.now, &group(), fence, PromotionAnswer::Accepted);
    assert_eq!(called(&world.after(1_000)), None);
    world.registry.say(2, Ready, Primary, 2);
    assert!(world.advance().is_empty());
    world.registry.say(1, Ready, Replica, 2);
    assert!(world.after(10_000).is_empty());
}

#[test]
fn each_new_decision_has_a_higher_fence() {
    let mut world = World::new(0);
    let first = world.call_for_second();
    world.duty.take_answer(world.now, &group(), first, PromotionAnswer::Refused);
    assert_eq!(asked(&world.advance()), names(&[3]), "the refused member is left out");
    world.answer(3, status(false, 1, 10));
    let actions = world.advance();
    let second = world.commit(&actions);
    assert!(second > first);
    assert_eq!(called(&world.advance()), Some((member(3), second)));
    world.duty.take_answer(world.now, &group(), first, PromotionAnswer::Refused);
    assert!(world.after(10).is_empty());
    world.duty.take_answer(world.now, &group(), second, PromotionAnswer::Unknown);
    let again = called(&world.after(350));
    assert_eq!(again, Some((member(3), second)), "the answer to the older call changed nothing");
}

#[test]
fn a_member_that_never_leads_is_given_up() {
    let mut world = World::new(0);
    let fence = world.call_for_second();
    world.duty.take_answer(world.now, &group(), fence, PromotionAnswer::Accepted);
    assert_eq!(asked(&world.after(3_600)), BTreeSet::new());
    assert_eq!(asked(&world.after(10)), names(&[3]));
}

#[test]
fn a_new_leader_does_not_call_under_the_fence_of_the_one_before() {
    let mut world = World::new(0);
    let first = world.call_for_second();
    world.duty = PromotionDuty::new(PromotionSettings::default());
    world.unreached(ENOUGH, 1);
    world.advance();
    world.replicas_answer();
    let actions = world.advance();
    assert_eq!(called(&actions), None);
    let second = world.commit(&actions);
    assert!(second > first);
}

#[test]
fn a_late_call_that_was_carried_out_is_seen_before_another_is_made() {
    let mut world = World::new(0);
    world.unreached(ENOUGH, 1);
    world.advance();
    world.answer(2, status(true, 2, 20));
    world.answer(3, status(false, 1, 10));
    assert_eq!(proposed(&world.advance()), None);
}
