//! Membership of proxies: heartbeats, grace periods and the platform's list of machines.

mod support;

use corktack_core::identity::Incarnation;
use corktack_core::membership::{Membership, MembershipSettings, PlatformList, ProxyHeartbeat};
use corktack_core::state::command::Command;
use corktack_core::time::Timestamp;
use corktack_core::view::{ProxyState, Revision};
use rstest::rstest;
use std::collections::BTreeSet;
use support::*;

/// Heartbeat interval in milliseconds.
const HEARTBEAT_MS: u64 = 500;

/// A leader whose commands are committed immediately, on a virtual clock in milliseconds.
struct Leader {
    cell: Cell,
    membership: Membership,
    now: u64,
}

fn heartbeat(proxy: usize, incarnation: u64) -> ProxyHeartbeat {
    ProxyHeartbeat {
        proxy: name(&format!("p{proxy}")),
        incarnation: Incarnation(incarnation),
        address: address(7000 + u16::try_from(proxy).expect("few proxies")),
        zone: name(ZONES[proxy % ZONES.len()]),
        revision: Revision(0),
        draining: false,
    }
}

impl Leader {
    fn new(cell: Cell) -> Self {
        let now = 1_000;
        let start = Timestamp::from_millis(now);
        Self { cell, membership: Membership::new(MembershipSettings::default(), start), now }
    }

    /// Returns a leader of a fleet of registered proxies.
    fn with_fleet(proxies: usize) -> Self {
        let mut leader = Self::new(Cell::new());
        leader.run(1_000, |_| (0..proxies).map(|proxy| heartbeat(proxy, 1)).collect());
        assert_eq!(leader.count_in(ProxyState::Live), proxies);
        leader
    }

    fn tick(&mut self) -> Vec<Command> {
        let now = Timestamp::from_millis(self.now);
        let commands = self.membership.on_tick(now, &self.cell.state);
        for command in &commands {
            self.cell.apply(command.clone());
        }
        self.membership.on_proposal_outcome();
        commands
    }

    fn report(&mut self, heartbeat: ProxyHeartbeat) {
        self.membership.on_heartbeat(Timestamp::from_millis(self.now), heartbeat);
    }

    /// Delivers the heartbeats that `alive` returns for each interval; returns the proposed commands.
    fn run(&mut self, millis: u64, alive: impl Fn(u64) -> Vec<ProxyHeartbeat>) -> Vec<Command> {
        let until = self.now + millis;
        let mut commands = Vec::new();
        while self.now < until {
            self.now += HEARTBEAT_MS;
            alive(self.now).into_iter().for_each(|heartbeat| self.report(heartbeat));
            commands.extend(self.tick());
        }
        commands
    }

    fn count_in(&self, state: ProxyState) -> usize {
        self.cell.state.proxies().filter(|(_, proxy)| proxy.state == state).count()
    }

    fn state_of(&self, proxy: &str) -> ProxyState {
        self.cell.state.proxy(&name(proxy)).expect("a stored proxy").state
    }
}

fn all_but(proxies: usize, lost: &[usize]) -> impl Fn(u64) -> Vec<ProxyHeartbeat> + use<> {
    let lost = lost.to_vec();
    move |_| {
        let alive = (0..proxies).filter(|proxy| !lost.contains(proxy));
        alive.map(|proxy| heartbeat(proxy, 1)).collect()
    }
}

#[test]
fn a_fleet_registers_in_one_command_and_then_causes_none() {
    let mut leader = Leader::new(Cell::new());
    let commands = leader.run(HEARTBEAT_MS, all_but(1_100, &[]));
    assert!(matches!(&commands[..], [Command::RegisterProxies(batch)] if batch.len() == 1_100));
    assert!(leader.run(10_000, all_but(1_100, &[])).is_empty());
}

#[test]
fn silent_proxies_go_down_together_and_come_back() {
    let mut leader = Leader::with_fleet(10);
    let commands = leader.run(2_500, all_but(10, &[3, 4]));
    assert!(commands.is_empty());
    let commands = leader.run(1_000, all_but(10, &[3, 4]));
    assert!(matches!(&commands[..], [Command::ProxiesDown(batch)] if batch.len() == 2));
    leader.run(1_000, all_but(10, &[]));
    assert_eq!(leader.count_in(ProxyState::Live), 10);
}

#[test]
fn a_new_leader_grants_every_proxy_a_grace_period() {
    let cell = Leader::with_fleet(10).cell;
    let mut leader = Leader::new(cell);
    assert!(leader.run(2_000, |_| Vec::new()).is_empty());
    leader.run(2_000, all_but(10, &[9]));
    assert_eq!(leader.state_of("p9"), ProxyState::Down);
    assert_eq!(leader.count_in(ProxyState::Live), 9);
}

#[test]
fn a_leader_that_was_frozen_defers_declaring_proxies_down() {
    let mut leader = Leader::with_fleet(10);
    leader.now += 60_000;
    assert!(leader.tick().is_empty(), "that all proxies are silent is implausible");
    leader.run(1_000, all_but(10, &[5]));
    leader.run(3_000, all_but(10, &[5]));
    assert_eq!(leader.count_in(ProxyState::Live), 9);
    assert_eq!(leader.state_of("p5"), ProxyState::Down);
}

#[test]
fn a_lost_fleet_is_down_after_a_second_grace_period() {
    let mut leader = Leader::with_fleet(10);
    leader.run(5_500, all_but(10, &[0, 1, 2, 3, 4, 5]));
    assert_eq!(leader.count_in(ProxyState::Down), 0);
    leader.run(1_000, all_but(10, &[0, 1, 2, 3, 4, 5]));
    assert_eq!(leader.count_in(ProxyState::Down), 6);
}

#[test]
fn a_heartbeat_of_the_previous_incarnation_is_ignored() {
    let mut leader = Leader::with_fleet(2);
    leader.report(heartbeat(0, 2));
    assert!(matches!(&leader.tick()[..], [Command::RegisterProxies(_)]));
    leader.report(heartbeat(0, 1));
    assert!(leader.tick().is_empty());
    assert_eq!(leader.cell.state.proxy(&name("p0")).expect("stored").incarnation, Incarnation(2));
}

#[rstest]
fn a_stopping_proxy_and_a_leaving_machine_drain_at_once(#[values(true, false)] by_itself: bool) {
    let mut leader = Leader::with_fleet(3);
    let stopping = ProxyHeartbeat { draining: true, ..heartbeat(1, 1) };
    if by_itself {
        leader.report(stopping);
    } else {
        let leaving = BTreeSet::from([stopping.address]);
        leader.membership.on_platform_list(PlatformList { leaving, ..Default::default() });
    }
    assert!(matches!(&leader.tick()[..], [Command::ProxiesDraining(_)]));
    assert_eq!(leader.state_of("p1"), ProxyState::Draining);
    let again = leader.run(2_000, |_| {
        vec![heartbeat(0, 1), ProxyHeartbeat { draining: true, ..heartbeat(1, 1) }, heartbeat(2, 1)]
    });
    assert!(again.is_empty());
}

#[test]
fn a_stopping_proxy_is_not_registered_again() {
    let mut leader = Leader::with_fleet(3);
    leader.run(4_000, all_but(3, &[1]));
    assert_eq!(leader.state_of("p1"), ProxyState::Down);
    leader.report(ProxyHeartbeat { draining: true, ..heartbeat(1, 1) });
    assert!(leader.tick().is_empty());
}

#[test]
fn the_platforms_live_list_does_not_override_missed_heartbeats() {
    let mut leader = Leader::with_fleet(4);
    let live = BTreeSet::from([heartbeat(1, 1).address]);
    leader.membership.on_platform_list(PlatformList { live, ..Default::default() });
    leader.run(4_000, all_but(4, &[1]));
    assert_eq!(leader.state_of("p1"), ProxyState::Down);
}

#[test]
fn the_platforms_list_of_leaving_back_ends_is_applied() {
    let mut leader = Leader::with_fleet(1);
    leader.cell.put_group("calls", None).expect("accepted");
    let second = BTreeSet::from([address(6001)]);
    let leaving = PlatformList { leaving: second.clone(), live: second.clone() };
    leader.membership.on_platform_list(leaving);
    leader.tick();
    assert!(
        leader.cell.group("calls").draining.contains(&name("m1")),
        "a machine on both lists is leaving"
    );
    leader.membership.on_platform_list(PlatformList::default());
    assert!(leader.tick().is_empty(), "a machine on neither list keeps its state");
    leader.membership.on_platform_list(PlatformList { live: second, ..Default::default() });
    leader.tick();
    assert!(leader.cell.group("calls").draining.is_empty());
}

#[test]
fn nothing_is_proposed_twice_while_the_outcome_is_not_known() {
    let mut leader = Leader::new(Cell::new());
    leader.report(heartbeat(0, 1));
    let now = |millis: u64| Timestamp::from_millis(1_000 + millis);
    let mut tick = |millis| leader.membership.on_tick(now(millis), &leader.cell.state).len();
    assert_eq!([tick(0), tick(100), tick(1_999), tick(2_000)], [1, 0, 0, 1]);
}

#[test]
fn proxies_with_a_revision_in_force_are_counted() {
    let mut leader = Leader::with_fleet(4);
    leader.report(ProxyHeartbeat { revision: Revision(7), ..heartbeat(0, 1) });
    leader.report(ProxyHeartbeat { revision: Revision(8), ..heartbeat(1, 1) });
    leader.report(ProxyHeartbeat { revision: Revision(8), ..heartbeat(2, 2) });
    let in_force = leader.membership.in_force(Revision(8), &leader.cell.state);
    assert_eq!((in_force.applied, in_force.total), (1, 4));
    assert_eq!(in_force.missing, [name("p0"), name("p2"), name("p3")]);
}
