//! The begin of a leadership: what a new leader has applied, and the fences of promotions that it calls for.

use crate::network::{ELECTION_TIMEOUT, Network, SETTLE_TIME};
use corktack_core::consensus::Role;
use corktack_core::identity::{GroupName, MemberName, ProxyName, ZoneName};
use corktack_core::position::{Position, Term};
use corktack_core::registry::{
    BackEndReport, BackEndRole, BackEndState, Document, DocumentLimits, GatewayContact,
    MemberAnswer, PromotionAction, PromotionAnswer, PromotionManager, PromotionSettings,
    ReachReport, RegisteredBackEnd, RegistryChanges, RegistryCommand, RegistryState, ServiceRule,
    StoredDocument,
};
use corktack_core::statement::MemberStatus;
use corktack_core::view::Revision;
use rand::Rng;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const REPLICAS: u64 = 3;
const MEMBERS: u16 = 3;
/// Time between two evaluations of the promotions.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(1);
/// Time for which a group's promotions are played after each restart.
const ROUND: Duration = Duration::from_millis(1_500);
const ROUNDS: usize = 4;
/// Time for which a leader stands still, long enough for an election and a decision.
const PAUSE: Duration = Duration::from_millis(800);
const SEEDS_OF_PAUSES: u64 = 16;
const GATEWAYS: GatewayContact = GatewayContact { reporting: 2, silent: 0 };

fn group() -> GroupName {
    GroupName::new("calls").expect("a valid name")
}

fn member(number: u16) -> MemberName {
    MemberName::new(format!("m{number}")).expect("a valid name")
}

fn document() -> RegistryCommand {
    let document = Document {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceRule { name: group(), max_connections: 9, synchronous_replicas: 0 }],
        limits: DocumentLimits { transaction_idle: Duration::from_secs(3) },
        tenants: None,
    };
    let source = "source".into();
    RegistryCommand::PutDocument(StoredDocument { document: Arc::new(document), source })
}

/// Returns the registration of a member; member 1 is the primary.
fn registration(number: u16) -> RegistryCommand {
    let role = if number == 1 { BackEndRole::Primary } else { BackEndRole::Replica };
    let back_end = RegisteredBackEnd {
        group: group(),
        address: ([10, 0, 0, 1], number).into(),
        zone: ZoneName::new("amba.a").expect("a valid name"),
        capacity: 3,
        state: BackEndState::Ready,
        role,
    };
    let report = BackEndReport { back_end, sequence: 1, warmup: Duration::ZERO };
    RegistryCommand::Report { member: member(number), report }
}

fn encode(command: &RegistryCommand) -> Vec<u8> {
    serde_json::to_vec(command).expect("an encodable command")
}

/// A call for a promotion by a replica in a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Call {
    holder: u64,
    term: Term,
    fence: u64,
}

/// Replicas whose leader replaces a primary that no gateway reaches. The authority answers no call.
struct World {
    network: Network,
    duties: BTreeMap<u64, (Term, PromotionManager)>,
    calls: Vec<Call>,
}

impl World {
    fn start(seed: u64) -> Self {
        let mut network = Network::start(REPLICAS, seed);
        network.commit(&encode(&document()));
        for number in 1..=MEMBERS {
            network.commit(&encode(&registration(number)));
        }
        network.expect_convergence();
        Self { network, duties: BTreeMap::new(), calls: Vec::new() }
    }

    /// Returns the registry after the commands that a replica has applied.
    fn registry(&self, id: u64) -> RegistryState {
        let mut registry = RegistryState::default();
        for (index, command) in &self.network.nodes[&id].state {
            let command = serde_json::from_slice(command).expect("a decodable command");
            registry.apply(Revision(*index), command, &mut RegistryChanges::default());
        }
        registry
    }

    /// Advances the promotions of a replica as the driver does: in each leadership from the time at which the
    /// leader has applied an entry of its own term.
    fn advance(&mut self, id: u64) {
        let replica = self.network.replica(id);
        if !replica.has_applied_own_term() {
            self.duties.remove(&id);
            return;
        }
        let (now, term, registry) = (self.network.now, replica.term(), self.registry(id));
        let duty = self.duties.entry(id).or_insert_with(|| (term, new_duty()));
        if duty.0 != term {
            *duty = (term, new_duty());
        }
        let actions = duty.1.advance(now, &registry, GATEWAYS);
        actions.into_iter().for_each(|action| self.perform(id, term, action));
    }

    fn perform(&mut self, id: u64, term: Term, action: PromotionAction) {
        match action {
            PromotionAction::RequestStatus { group, member, asked_at, .. } => {
                let (_, duty) = self.duties.get_mut(&id).expect("the duty that acts");
                let answer = status_of(&member);
                duty.record_member_answer(&group, &member, asked_at, answer);
            }
            PromotionAction::Propose(command) => {
                self.network.propose(id, &encode(&command));
            }
            PromotionAction::RequestPromotion { fence, .. } => {
                self.calls.push(Call { holder: id, term, fence });
            }
            PromotionAction::Release { .. } => (),
        }
    }

    /// Runs until a call is made or the time has passed.
    fn run_until_call(&mut self, duration: Duration) {
        let (until, calls) = (self.network.now + duration, self.calls.len());
        while self.network.now < until && self.calls.len() == calls {
            self.network.run_for(EVALUATION_INTERVAL);
            let mut running = self.network.running();
            running.retain(|id| !self.network.is_stalled(*id));
            running.into_iter().for_each(|id| self.advance(id));
        }
    }

    /// Records that the authority has not answered a call in time, so that it is repeated.
    fn expire_call(&mut self, call: Call) {
        let now = self.network.now;
        let (_, duty) = self.duties.get_mut(&call.holder).expect("the duty that called");
        duty.record_authority_answer(now, &group(), call.fence, PromotionAnswer::Unknown);
    }

    /// Crashes every replica, and starts those that `is_started` accepts again.
    fn restart(&mut self, is_started: impl Fn(u64) -> bool) {
        restart(&mut self.network, is_started);
        self.duties.clear();
    }

    /// Returns the leaderships that called under each fence.
    fn callers_by_fence(&self) -> BTreeMap<u64, BTreeSet<(u64, Term)>> {
        let mut callers: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        for call in &self.calls {
            callers.entry(call.fence).or_default().insert((call.holder, call.term));
        }
        callers
    }
}

/// Crashes every replica, loses the messages in flight, and starts the replicas that `is_started` accepts.
fn restart(network: &mut Network, is_started: impl Fn(u64) -> bool) {
    (1..=REPLICAS).for_each(|id| network.crash(id));
    network.run_for(network.faults.longest_delay);
    (1..=REPLICAS).filter(|id| is_started(*id)).for_each(|id| network.restart(id));
}

/// Returns the promotions of a new leadership, with a primary that both gateways report as unreachable.
fn new_duty() -> PromotionManager {
    let mut duty = PromotionManager::new(PromotionSettings::default());
    for gateway in ["g-1", "g-2"] {
        let gateway = ProxyName::new(gateway).expect("a valid name");
        let (group, member) = (group(), member(1));
        duty.record_reach_report(ReachReport { gateway, group, member, reached: false });
    }
    duty
}

/// Member 2 is the most advanced replica.
fn status_of(replica: &MemberName) -> MemberAnswer {
    let index = if *replica == member(2) { 20 } else { 10 };
    let received = Position { term: Term(1), index };
    MemberAnswer::Status(MemberStatus { primary: false, term: 1, received, pause_term: 0 })
}

/// Guards against duties that begin on a state without the last commits of earlier leaders.
#[rstest]
fn a_new_leader_has_applied_its_own_term_only_with_all_earlier_commits(
    #[values(0, 1, 2, 3, 4)] seed: u64,
) {
    let mut network = Network::start(REPLICAS, seed);
    let committed = network.commit(b"before the restart");
    restart(&mut network, |_| true);
    let elected = network.run_until("leader", Network::leader);
    assert!(network.replica(elected).applied_index() < committed, "the hint on disk is older");
    assert!(!network.replica(elected).has_applied_own_term());
    let ready = network.run_until("leader that has applied its own term", |network| {
        let is_ready = |id: &u64| network.replica(*id).has_applied_own_term();
        network.running().into_iter().find(is_ready)
    });
    let replica = network.replica(ready);
    assert_eq!(replica.role(), Role::Leader);
    assert!(replica.applied_index() > committed, "an entry of the leader's own term follows");
    let applied = &network.nodes[&ready].state;
    assert!(applied.iter().any(|(index, _)| *index == committed), "{applied:?}");
}

#[test]
fn a_follower_and_a_deposed_leader_have_not_applied_their_own_term() {
    let mut network = Network::start(REPLICAS, 0);
    let leader = network.expect_leader();
    assert!(network.replica(leader).has_applied_own_term());
    let followers = (1..=REPLICAS).filter(|id| *id != leader);
    assert!(followers.into_iter().all(|id| !network.replica(id).has_applied_own_term()));
    network.isolate(&[leader]);
    network.run_for(ELECTION_TIMEOUT * 10);
    assert!(!network.replica(leader).has_applied_own_term());
}

/// Guards against two leaders that call for promotions under one fence: the cell is restarted between a
/// decision and the authority's answer.
#[rstest]
fn no_two_leaders_call_for_a_promotion_under_one_fence(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] seed: u64,
    #[values(false, true)] holder_restarts_late: bool,
) {
    let mut world = World::start(seed);
    world.run_until_call(ROUND);
    for _ in 0..ROUNDS {
        let last = *world.calls.last().expect("a call in each round");
        world.restart(|id| !holder_restarts_late || id != last.holder);
        let late = Duration::from_millis(world.network.rng.random_range(0..1_000));
        world.run_until_call(late);
        if holder_restarts_late {
            world.network.restart(last.holder);
        }
        let calls = world.calls.len();
        world.run_until_call(SETTLE_TIME * 4);
        assert!(world.calls.len() > calls, "the primary is replaced: {:?}", world.calls);
    }
    let callers = world.callers_by_fence();
    assert!(callers.values().all(|callers| callers.len() == 1), "{callers:?}");
    let fences: Vec<_> = world.calls.iter().map(|call| call.fence).collect();
    assert!(fences.is_sorted(), "a later decision has a higher fence: {:?}", world.calls);
}

/// Guards against a leader that stood still and calls under a fence that is not its own: it learns of its
/// successor only after it has evaluated its duties once more.
#[test]
fn a_paused_leader_repeats_its_call_only_under_its_own_lower_fence() {
    let mut repeated = 0;
    for seed in 0..SEEDS_OF_PAUSES {
        let mut world = World::start(seed);
        world.run_until_call(ROUND);
        let first = *world.calls.last().expect("a call");
        world.expire_call(first);
        world.network.pause(first.holder, PAUSE);
        world.run_until_call(PAUSE);
        let second = *world.calls.last().expect("a call of the successor");
        assert_ne!(second.holder, first.holder);
        assert!(second.fence > first.fence, "{:?}", world.calls);
        world.run_until_call(PAUSE);
        for call in world.calls.iter().filter(|call| call.holder == first.holder) {
            assert_eq!(*call, first, "{:?}", world.calls);
        }
        repeated += world.calls.iter().filter(|call| **call == first).count() - 1;
    }
    assert!(repeated > 0, "no seed has a call that is repeated after the pause");
}
