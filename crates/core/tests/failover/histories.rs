//! Changes of primary under random histories of faults.

use crate::support::name;
use crate::support::world::World;
use corktack_core::failover::MemberHealth;
use corktack_core::state::command::Command;
use proptest::prelude::*;

/// A fault or a passage of time.
#[derive(Clone, Debug)]
enum Happening {
    Run(u64),
    Cut(u8, bool, bool),
    Heal(u8),
    ChangeLeader,
    SplitLeaders,
    LoseOutcomes(Option<bool>),
    OwnerMisses(u8),
    Write,
    Drain(u8, bool),
    Flaky(u64),
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        4 => (10..2_000_u64).prop_map(Happening::Run),
        3 => (0..5_u8, any::<bool>(), any::<bool>()).prop_map(|(member, seen, connected)| {
            Happening::Cut(member, seen, connected)
        }),
        3 => (0..5_u8).prop_map(Happening::Heal),
        1 => Just(Happening::ChangeLeader),
        2 => Just(Happening::SplitLeaders),
        1 => any::<Option<bool>>().prop_map(Happening::LoseOutcomes),
        5 => (0..5_u8).prop_map(Happening::OwnerMisses),
        4 => Just(Happening::Write),
        2 => (0..4_u64).prop_map(Happening::Flaky),
        1 => (0..5_u8, any::<bool>()).prop_map(|(member, on)| Happening::Drain(member, on)),
    ]
}

fn happen(world: &mut World, members: u8, happening: Happening) {
    let member = |number: u8| format!("m{}", number % members);
    match happening {
        Happening::Run(millis) => world.run(millis),
        Happening::Cut(number, seen, connected) => {
            let node = world.node("g0", &member(number));
            node.seen = seen;
            node.connected = connected;
        }
        Happening::Heal(number) => {
            let node = world.node("g0", &member(number));
            node.seen = true;
            node.connected = true;
        }
        Happening::ChangeLeader => world.change_leader(),
        Happening::SplitLeaders => world.split_leaders(),
        Happening::LoseOutcomes(lose) => world.lose_outcomes = lose,
        Happening::OwnerMisses(number) => {
            world.owner_sees("g0", &member(number), MemberHealth::Unreachable);
        }
        Happening::Flaky(of_four) => world.flaky = of_four,
        Happening::Write => world.write_everywhere(),
        Happening::Drain(number, on) => {
            let leaving = vec![(name("g0"), name(&member(number)), on)];
            world.cell.apply(Command::MembersLeaving(leaving));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// The world itself checks that no term has two primaries and that a promoted
    /// member holds every committed entry.
    #[test]
    fn no_committed_write_is_lost_and_the_group_recovers(
        members in prop_oneof![Just(3_u8), Just(5_u8)],
        history in prop::collection::vec(happening(), 1..60),
    ) {
        let mut world = World::steady(1, u16::from(members));
        for happening_now in history {
            happen(&mut world, members, happening_now);
        }
        world.lose_outcomes = None;
        world.flaky = 0;
        for number in 0..members {
            happen(&mut world, members, Happening::Heal(number));
            happen(&mut world, members, Happening::Drain(number, false));
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
