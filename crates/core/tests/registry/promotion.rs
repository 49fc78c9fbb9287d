//! Replacement of primaries of registered groups: evidence, choice, fences, late and lost calls.

use super::support::{Registry, group, member};
use corktack_core::identity::{MemberName, ProxyName};
use corktack_core::position::{Position, Term};
use corktack_core::registry::BackEndRole::{Primary, Replica};
use corktack_core::registry::BackEndState::{Draining, Ready};
use corktack_core::registry::{
    GatewayContact, MemberAnswer, PromotionAction, PromotionAnswer, PromotionManager,
    PromotionSettings, ReachReport, RegistryCommand,
};
use corktack_core::statement::MemberStatus;
use corktack_core::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Number of reporting gateways.
const GATEWAYS: usize = 6;
/// Number of gateways whose reports suffice to replace a primary: half.
pub const REQUIRED_GATEWAYS: usize = 3;
/// Milliseconds after which the leader asks a primary that fewer gateways report as unreachable.
const SUSPICION_DELAY_MS: u64 = 800;

/// A registry and the leader's promotions for it, on a virtual clock.
pub struct World {
    pub registry: Registry,
    pub duty: PromotionManager,
    pub gateways: GatewayContact,
    pub now: Timestamp,
    /// Time of the latest request to each member.
    asked_at: BTreeMap<MemberName, Timestamp>,
}

pub fn status(primary: bool, term: u64, index: u64) -> MemberAnswer {
    MemberAnswer::Status(MemberStatus {
        primary,
        term,
        received: Position { term: Term(term), index },
        pause_term: 0,
    })
}

pub fn gateway(number: usize) -> ProxyName {
    ProxyName::new(format!("g{number}")).expect("a valid name")
}

impl World {
    /// Returns a world whose leader has taken over from an earlier one.
    pub fn new(synchronous_replicas: u32) -> Self {
        let mut world = Self::at_begin_of_leadership(synchronous_replicas);
        let actions = world.advance();
        let is_release =
            |action: &PromotionAction| matches!(action, PromotionAction::Release { .. });
        assert!(actions.iter().all(is_release), "{actions:?}");
        world
    }

    pub fn at_begin_of_leadership(synchronous_replicas: u32) -> Self {
        Self {
            registry: Registry::with_group(synchronous_replicas),
            duty: PromotionManager::new(PromotionSettings::default()),
            gateways: GatewayContact { reporting: GATEWAYS, silent: 0 },
            now: Timestamp::from_millis(1_000),
            asked_at: BTreeMap::new(),
        }
    }

    pub fn advance(&mut self) -> Vec<PromotionAction> {
        let actions = self.duty.advance(self.now, &self.registry.state, self.gateways);
        for action in &actions {
            if let PromotionAction::RequestStatus { member, asked_at, .. } = action {
                self.asked_at.insert(member.clone(), *asked_at);
            }
        }
        actions
    }

    /// Lets one gateway, too few, report the primary as unreachable until the leader asks the members.
    pub fn suspect_by_one_gateway(&mut self) -> Vec<PromotionAction> {
        self.report_unreachable(1, 1);
        assert!(self.advance().is_empty(), "other gateways may report the same");
        assert!(self.after(SUSPICION_DELAY_MS - 1).is_empty());
        self.after(1)
    }

    pub fn after(&mut self, millis: u64) -> Vec<PromotionAction> {
        self.now = self.now + std::time::Duration::from_millis(millis);
        self.advance()
    }

    /// Lets this number of gateways report a member as unreachable.
    pub fn report_unreachable(&mut self, gateways: usize, number: u16) {
        for gateway_number in 0..gateways {
            self.duty.record_reach_report(ReachReport {
                gateway: gateway(gateway_number),
                group: group(),
                member: member(number),
                reached: false,
            });
        }
    }

    /// Delivers an answer to the latest request to the member.
    pub fn answer(&mut self, number: u16, answer: MemberAnswer) {
        let asked_at = self.asked_at.get(&member(number)).copied().unwrap_or(Timestamp::ZERO);
        self.answer_request_of(asked_at, number, answer);
    }

    /// Delivers an answer to the request that was made at this time.
    pub fn answer_request_of(&mut self, asked_at: Timestamp, number: u16, answer: MemberAnswer) {
        self.duty.record_member_answer(&group(), &member(number), asked_at, answer);
    }

    /// Delivers the positions of both replicas; member 2 is ahead.
    pub fn answer_replicas(&mut self) {
        self.answer(2, status(false, 1, 20));
        self.answer(3, status(false, 1, 10));
    }

    /// Commits a proposed decision to the log and returns its fence.
    pub fn commit(&mut self, actions: &[PromotionAction]) -> u64 {
        let [PromotionAction::Propose(command)] = actions else { panic!("{actions:?}") };
        self.registry.apply(command.clone());
        self.registry.state.promotion(&group()).expect("a decision").fence.0
    }

    /// Runs until the leader calls the authority for member 2, and returns the fence.
    pub fn call_for_member_2(&mut self) -> u64 {
        self.report_unreachable(REQUIRED_GATEWAYS, 1);
        assert_eq!(asked(&self.advance()), names(&[2, 3]));
        self.answer_replicas();
        let proposed = self.advance();
        let fence = self.commit(&proposed);
        assert_eq!(called(&self.advance()), Some((member(2), fence)));
        fence
    }
}

pub fn names(numbers: &[u16]) -> BTreeSet<MemberName> {
    numbers.iter().map(|number| member(*number)).collect()
}

pub fn asked(actions: &[PromotionAction]) -> BTreeSet<MemberName> {
    let asked = actions.iter().filter_map(|action| match action {
        PromotionAction::RequestStatus { member, .. } => Some(member.clone()),
        _ => None,
    });
    asked.collect()
}

pub fn called(actions: &[PromotionAction]) -> Option<(MemberName, u64)> {
    actions.iter().find_map(|action| match action {
        PromotionAction::RequestPromotion { target, fence, .. } => Some((target.clone(), *fence)),
        _ => None,
    })
}

pub fn proposed(actions: &[PromotionAction]) -> Option<MemberName> {
    actions.iter().find_map(|action| match action {
        PromotionAction::Propose(RegistryCommand::Promote { target, .. }) => Some(target.clone()),
        _ => None,
    })
}

#[test]
fn a_healthy_primary_is_kept() {
    let mut world = World::new(0);
    assert!(world.advance().is_empty());
    assert!(world.after(60_000).is_empty());
}

#[test]
fn the_report_of_one_gateway_must_be_confirmed_by_the_leader() {
    let mut world = World::new(0);
    assert_eq!(asked(&world.suspect_by_one_gateway()), names(&[1, 2, 3]));
    world.answer_replicas();
    assert!(world.advance().is_empty(), "the suspected primary may still answer");
    world.answer(1, status(true, 1, 30));
    assert!(world.advance().is_empty());
    assert!(world.after(10_000).is_empty(), "the primary is kept");
}

#[test]
fn an_overloaded_primary_is_kept() {
    let mut world = World::new(0);
    world.suspect_by_one_gateway();
    world.answer(1, MemberAnswer::Silent);
    world.answer_replicas();
    assert_eq!(proposed(&world.advance()), None);
    assert_eq!(proposed(&world.after(10_000)), None);
}

#[test]
fn one_gateway_and_the_leader_together_suffice() {
    let mut world = World::new(0);
    world.suspect_by_one_gateway();
    world.answer(1, MemberAnswer::Unreachable);
    world.answer_replicas();
    assert_eq!(proposed(&world.advance()), Some(member(2)));
}

#[test]
fn half_of_the_gateways_suffice() {
    let mut world = World::new(0);
    world.report_unreachable(REQUIRED_GATEWAYS, 1);
    assert_eq!(asked(&world.advance()), names(&[2, 3]), "the leader does not ask the primary");
}

#[test]
fn fewer_than_half_of_the_gateways_do_not_suffice() {
    let mut world = World::new(0);
    world.report_unreachable(REQUIRED_GATEWAYS - 1, 1);
    assert!(
        world.advance().is_empty(),
        "the other gateways reach the primary and serve the callers of these"
    );
}

#[test]
fn a_primary_that_silent_gateways_may_reach_is_kept_for_the_grace_period() {
    let mut world = World::new(0);
    world.gateways = GatewayContact { reporting: 1, silent: 5 };
    world.report_unreachable(1, 1);
    assert!(world.advance().is_empty());
    assert!(
        world.after(6_999).is_empty(),
        "silent gateways on the primary's side of the partition are served"
    );
    assert_eq!(asked(&world.after(1)), names(&[1, 2, 3]), "the grace period has ended");
}

#[test]
fn the_primary_is_kept_when_a_partition_heals() {
    let mut world = World::new(0);
    world.gateways = GatewayContact { reporting: 2, silent: 4 };
    world.report_unreachable(2, 1);
    assert!(world.advance().is_empty());
    assert!(world.after(5_000).is_empty());
    for number in 0..2 {
        let (gateway, group, member) = (gateway(number), group(), member(1));
        world.duty.record_reach_report(ReachReport { gateway, group, member, reached: true });
    }
    assert!(world.after(1).is_empty());
    world.report_unreachable(1, 1);
    assert!(world.after(3_000).is_empty(), "a new suspicion starts its own delay");
}

#[test]
fn a_few_silent_gateways_do_not_delay_a_suspicion() {
    let mut world = World::new(0);
    world.gateways = GatewayContact { reporting: 4, silent: 2 };
    world.report_unreachable(2, 1);
    assert!(world.advance().is_empty());
    assert_eq!(asked(&world.after(SUSPICION_DELAY_MS)), names(&[1, 2, 3]));
}

#[test]
fn two_gateways_suffice_if_there_are_only_two() {
    let mut world = World::new(0);
    world.gateways = GatewayContact { reporting: 2, silent: 0 };
    world.report_unreachable(2, 1);
    assert_eq!(asked(&world.advance()), names(&[2, 3]));
}

#[test]
fn reports_of_departed_gateways_do_not_count() {
    let mut world = World::new(0);
    world.report_unreachable(REQUIRED_GATEWAYS, 1);
    world.duty.retain_gateways(&BTreeSet::from([gateway(5)]));
    assert!(world.advance().is_empty());
}

#[test]
fn the_most_advanced_member_is_chosen_by_term_first() {
    let mut world = World::new(0);
    world.report_unreachable(REQUIRED_GATEWAYS, 1);
    world.advance();
    world.answer(2, status(false, 1, 90));
    world.answer(3, status(false, 2, 40));
    assert_eq!(proposed(&world.advance()), Some(member(3)));
}

#[test]
fn a_member_that_does_not_answer_does_not_block_the_choice() {
    let mut world = World::new(0);
    world.report_unreachable(REQUIRED_GATEWAYS, 1);
    world.advance();
    world.answer(3, status(false, 1, 10));
    assert!(world.advance().is_empty(), "the other replica may still answer");
    assert_eq!(proposed(&world.after(400)), Some(member(3)));
}

#[test]
fn where_replicas_hold_acknowledged_commits_all_of_them_must_answer() {
    let mut world = World::new(1);
    world.report_unreachable(REQUIRED_GATEWAYS, 1);
    let actions = world.advance();
    let is_hold = |action: &PromotionAction| {
        matches!(action, PromotionAction::RequestStatus { hold: true, .. })
    };
    assert!(actions.iter().all(is_hold), "{actions:?}");
    world.answer(3, status(false, 1, 10));
    assert_eq!(proposed(&world.after(400)), None);
    world.answer(2, status(false, 1, 11));
    world.answer(3, status(false, 1, 10));
    assert_eq!(proposed(&world.advance()), Some(member(2)));
}

#[test]
fn held_replicas_are_released_when_the_primary_is_kept() {
    let mut world = World::new(1);
    world.suspect_by_one_gateway();
    world.answer(1, status(true, 1, 30));
    let actions = world.advance();
    let released =
        actions.iter().filter(|action| matches!(action, PromotionAction::Release { .. }));
    assert_eq!(released.count(), 3);
}

#[test]
fn a_draining_primary_is_replaced_although_it_answers() {
    let mut world = World::new(0);
    world.registry.apply_report(1, Draining, Primary, 2);
    assert_eq!(asked(&world.advance()), names(&[2, 3]));
}

#[test]
fn a_group_whose_primary_left_gets_a_new_one() {
    let mut world = World::new(0);
    world.registry.apply(RegistryCommand::Leave { member: member(1) });
    assert!(world.advance().is_empty(), "a new primary may still register");
    assert_eq!(asked(&world.after(3_100)), names(&[2, 3]));
}

#[test]
fn a_decision_is_in_the_log_before_the_authority_is_called() {
    let mut world = World::new(0);
    world.report_unreachable(REQUIRED_GATEWAYS, 1);
    world.advance();
    world.answer_replicas();
    let actions = world.advance();
    assert_eq!(called(&actions), None);
    assert_eq!(called(&world.after(50)), None, "the decision is not committed yet");
    let fence = world.commit(&actions);
    assert_eq!(called(&world.advance()), Some((member(2), fence)));
}

#[test]
fn a_lost_call_is_retried_with_the_same_fence() {
    let mut world = World::new(0);
    let fence = world.call_for_member_2();
    world.duty.record_authority_answer(world.now, &group(), fence, PromotionAnswer::Unknown);
    assert_eq!(called(&world.advance()), None);
    assert_eq!(called(&world.after(350)), Some((member(2), fence)));
}

#[test]
fn an_accepted_call_is_not_repeated_and_ends_when_the_member_is_primary() {
    let mut world = World::new(0);
    let fence = world.call_for_member_2();
    world.duty.record_authority_answer(world.now, &group(), fence, PromotionAnswer::Accepted);
    assert_eq!(called(&world.after(1_000)), None);
    world.registry.apply_report(2, Ready, Primary, 2);
    assert!(world.advance().is_empty());
    world.registry.apply_report(1, Ready, Replica, 2);
    assert!(world.after(10_000).is_empty());
}

#[test]
fn each_new_decision_has_a_higher_fence() {
    let mut world = World::new(0);
    let first = world.call_for_member_2();
    world.duty.record_authority_answer(world.now, &group(), first, PromotionAnswer::Refused);
    assert_eq!(asked(&world.advance()), names(&[3]), "the refused member is excluded");
    world.answer(3, status(false, 1, 10));
    let actions = world.advance();
    let second = world.commit(&actions);
    assert!(second > first);
    assert_eq!(called(&world.advance()), Some((member(3), second)));
    world.duty.record_authority_answer(world.now, &group(), first, PromotionAnswer::Refused);
    assert!(world.after(10).is_empty());
    world.duty.record_authority_answer(world.now, &group(), second, PromotionAnswer::Unknown);
    let again = called(&world.after(350));
    assert_eq!(again, Some((member(3), second)), "the answer to the older call has no effect");
}

#[test]
fn a_member_that_never_becomes_primary_is_given_up() {
    let mut world = World::new(0);
    let fence = world.call_for_member_2();
    world.duty.record_authority_answer(world.now, &group(), fence, PromotionAnswer::Accepted);
    assert_eq!(asked(&world.after(3_600)), BTreeSet::new());
    assert_eq!(asked(&world.after(10)), names(&[3]));
}

#[test]
fn a_new_leader_does_not_reuse_the_fence_of_its_predecessor() {
    let mut world = World::new(0);
    let first = world.call_for_member_2();
    world.duty = PromotionManager::new(PromotionSettings::default());
    world.report_unreachable(REQUIRED_GATEWAYS, 1);
    world.advance();
    world.answer_replicas();
    let actions = world.advance();
    assert_eq!(called(&actions), None);
    let second = world.commit(&actions);
    assert!(second > first);
}

#[test]
fn a_late_promotion_that_took_effect_is_noticed_before_another_is_decided() {
    let mut world = World::new(0);
    world.report_unreachable(REQUIRED_GATEWAYS, 1);
    world.advance();
    world.answer(2, status(true, 2, 20));
    world.answer(3, status(false, 1, 10));
    assert_eq!(proposed(&world.advance()), None);
}
