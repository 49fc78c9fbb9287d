//! Failover under random sequences of faults.

use crate::support::name;
use crate::support::world::World;
use corktack_core::failover::MemberHealth;
use corktack_core::state::command::Command;
use proptest::prelude::*;

/// A fault, its repair, a write, or the passage of time.
#[derive(Clone, Debug)]
enum Event {
    Run(u64),
    SetReachability(u8, bool, bool),
    Heal(u8),
    ChangeLeader,
    SplitLeaders,
    LoseOutcomes(Option<bool>),
    OwnerReportsUnreachable(u8),
    Write,
    Drain(u8, bool),
    FailCalls(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (10..2_000_u64).prop_map(Event::Run),
        3 => (0..5_u8, any::<bool>(), any::<bool>()).prop_map(|(member, reachable, connected)| {
            Event::SetReachability(member, reachable, connected)
        }),
        3 => (0..5_u8).prop_map(Event::Heal),
        1 => Just(Event::ChangeLeader),
        2 => Just(Event::SplitLeaders),
        1 => any::<Option<bool>>().prop_map(Event::LoseOutcomes),
        5 => (0..5_u8).prop_map(Event::OwnerReportsUnreachable),
        4 => Just(Event::Write),
        2 => (0..4_u64).prop_map(Event::FailCalls),
        1 => (0..5_u8, any::<bool>()).prop_map(|(member, draining)| Event::Drain(member, draining)),
    ]
}

fn apply_event(world: &mut World, members: u8, event: Event) {
    let member = |number: u8| format!("m{}", number % members);
    match event {
        Event::Run(millis) => world.run(millis),
        Event::SetReachability(number, reachable, connected) => {
            let node = world.node("g0", &member(number));
            node.reachable = reachable;
            node.connected = connected;
        }
        Event::Heal(number) => {
            let node = world.node("g0", &member(number));
            node.reachable = true;
            node.connected = true;
        }
        Event::ChangeLeader => world.change_leader(),
        Event::SplitLeaders => world.split_leaders(),
        Event::LoseOutcomes(lost) => world.lost_outcomes = lost,
        Event::OwnerReportsUnreachable(number) => {
            world.report_by_owner("g0", &member(number), MemberHealth::Unreachable);
        }
        Event::FailCalls(failing) => world.failing_of_four = failing,
        Event::Write => world.write_everywhere(),
        Event::Drain(number, draining) => {
            let leaving = vec![(name("g0"), name(&member(number)), draining)];
            world.cell.apply(Command::MembersLeaving(leaving));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// [`World::promote`] checks that no term has two primaries and that a promoted
    /// member holds every committed entry.
    #[test]
    fn no_committed_write_is_lost_and_the_group_recovers(
        members in prop_oneof![Just(3_u8), Just(5_u8)],
        history in prop::collection::vec(event(), 1..60),
    ) {
        let mut world = World::steady(1, u16::from(members));
        for next_event in history {
            apply_event(&mut world, members, next_event);
        }
        world.lost_outcomes = None;
        world.failing_of_four = 0;
        for number in 0..members {
            apply_event(&mut world, members, Event::Heal(number));
            apply_event(&mut world, members, Event::Drain(number, false));
        }
        let mut healthy = false;
        for _ in 0..120 {
            world.run(1_000);
            healthy = world.is_healthy("g0");
            if healthy {
                break;
            }
        }
        prop_assert!(healthy, "{:?} {:?}", world.cell.group("g0"), world.nodes);
    }
}
