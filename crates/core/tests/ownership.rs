//! Balance of owners, their distance to the primaries, and the number of moves, for small and large
//! fleets.
//!
//! The tests print their figures (`cargo test -p corktack-core --test ownership -- --nocapture`).

mod support;

use corktack_core::distance::Distance;
use corktack_core::identity::{Incarnation, ProxyName};
use corktack_core::ownership::{MOVES_PER_REGISTRATION, capacity};
use corktack_core::position::Term;
use corktack_core::state::command::{Command, FailoverStep};
use corktack_core::view::{ProxyState, ViewChange};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;
use support::*;

const PROXIES: usize = 1_100;
const GROUPS: usize = 733;

fn group_name(number: usize) -> String {
    format!("g{number}")
}

/// Adds groups whose primaries are spread over the members' zones.
fn put_groups(cell: &mut Cell, count: usize) {
    for number in 0..count {
        let group = group_name(number);
        cell.put_group(&group, None).expect("accepted");
        cell.adopt(&group, &format!("m{}", number % 3), 1).expect("adopted");
    }
}

fn cell(proxies: usize, groups: usize) -> Cell {
    let mut cell = Cell::new();
    cell.apply(Command::RegisterProxies(fleet(proxies)));
    put_groups(&mut cell, groups);
    cell
}

fn owners(cell: &Cell) -> BTreeMap<String, Option<ProxyName>> {
    let groups = cell.state.groups();
    groups.map(|(name, group)| (name.to_string(), group.view.owner.clone())).collect()
}

fn highest_load(cell: &Cell) -> usize {
    let mut loads = BTreeMap::<ProxyName, usize>::new();
    for owner in owners(cell).into_values() {
        *loads.entry(owner.expect("every group is owned")).or_default() += 1;
    }
    loads.into_values().max().unwrap_or_default()
}

fn moved(before: &BTreeMap<String, Option<ProxyName>>, cell: &Cell) -> usize {
    let after = owners(cell);
    before.iter().filter(|(group, owner)| after[*group] != **owner).count()
}

/// Counts the groups whose owner and primary are in the same zone, the same region, or different
/// regions.
fn owner_distances(cell: &Cell) -> [usize; 3] {
    let mut counts = [0; 3];
    for (_, group) in cell.state.groups() {
        let owner = group.view.owner.as_ref().and_then(|owner| cell.state.proxy(owner));
        let owner = owner.expect("a stored owner");
        let primary = group.primary_spec().expect("a primary");
        counts[match Distance::between(&owner.zone, &primary.zone) {
            Distance::SameZone => 0,
            Distance::SameRegion => 1,
            Distance::OtherRegion => 2,
        }] += 1;
    }
    counts
}

#[test]
fn a_whole_fleet_is_balanced_and_owners_are_near_their_primaries() {
    let started = Instant::now();
    let cell = cell(PROXIES, GROUPS);
    let took = started.elapsed();
    println!("{PROXIES} proxies, {GROUPS} groups: built in {took:?}, {} entries", cell.last);
    println!("highest load {}, zone/region/far {:?}", highest_load(&cell), owner_distances(&cell));
    // All primaries are in one of two regions, so the proxies of that region own up to twice the
    // capacity.
    assert!(highest_load(&cell) <= 2 * capacity(GROUPS, PROXIES));
    assert_eq!(owner_distances(&cell)[2], 0);
}

#[test]
fn groups_are_balanced_over_few_proxies() {
    let cell = cell(6, 600);
    println!(
        "6 proxies, 600 groups: highest load {}, {:?}",
        highest_load(&cell),
        owner_distances(&cell)
    );
    assert!(highest_load(&cell) <= 2 * capacity(600, 6));
}

#[test]
fn only_the_groups_of_a_lost_proxy_move() {
    let mut cell = cell(PROXIES, GROUPS);
    let lost: Vec<_> =
        (0..PROXIES).step_by(9).map(|number| incarnation_of(&format!("p{number}"), 1)).collect();
    let before = owners(&cell);
    let affected =
        before.values().flatten().filter(|owner| lost.iter().any(|proxy| proxy.0 == **owner));
    let affected = affected.count();
    let started = Instant::now();
    let count = lost.len();
    cell.apply(Command::ProxiesDown(lost));
    let took = started.elapsed();
    println!("{count} proxies lost at once: {} groups moved in {took:?}", moved(&before, &cell));
    assert_eq!(moved(&before, &cell), affected);
    assert!(highest_load(&cell) <= 2 * capacity(GROUPS, PROXIES - count));
}

#[rstest]
#[case(9, 30)]
#[case(1_100, 733)]
fn a_returning_proxy_gets_its_groups_back(#[case] proxies: usize, #[case] groups: usize) {
    let mut cell = cell(proxies, groups);
    let before = owners(&cell);
    cell.apply(Command::ProxiesDown(vec![incarnation_of("p2", 1)]));
    let lost = moved(&before, &cell);
    cell.apply(Command::RegisterProxies(vec![registration("p2", 2, ZONES[2])]));
    let gained = moved(&before, &cell);
    println!("{proxies} proxies, {groups} groups: {lost} lost, {gained} more than before it");
    assert!(lost > 0);
    let after = owners(&cell);
    let mut lost = before.iter().filter(|(_, owner)| **owner == Some(name("p2")));
    assert!(lost.all(|(group, owner)| after[group] == *owner));
}

#[test]
fn an_owner_chosen_without_a_primary_is_chosen_again_after_the_failover() {
    let mut cell = cell(60, 20);
    for number in 0..20 {
        cell.step(&group_name(number), FailoverStep::Begin { term: Term(2) }).expect("begun");
    }
    let lost = owners(&cell).into_values().flatten().collect::<BTreeSet<_>>();
    cell.apply(Command::ProxiesDown(
        lost.into_iter().map(|proxy| (proxy, Incarnation(1))).collect(),
    ));
    for number in 0..20 {
        cell.step(&group_name(number), complete("m1", 2)).expect("completed");
    }
    assert_eq!(owner_distances(&cell)[2], 0, "{:?}", owner_distances(&cell));
}

#[test]
fn half_a_fleet_that_returns_at_once_is_balanced() {
    let mut cell = cell(PROXIES, GROUPS);
    let half = fleet(PROXIES).split_off(PROXIES / 2);
    let incarnations = half
        .iter()
        .map(|registration| (registration.proxy.clone(), registration.incarnation))
        .collect();
    let started = Instant::now();
    cell.apply(Command::ProxiesDown(incarnations));
    let down = started.elapsed();
    let before = owners(&cell);
    cell.apply(Command::RegisterProxies(half));
    let (up, moves) = (started.elapsed() - down, moved(&before, &cell));
    println!("{} proxies: down in {down:?}, up in {up:?} with {moves} moves", PROXIES / 2);
    assert!(highest_load(&cell) <= 2 * capacity(GROUPS, PROXIES));
}

#[test]
fn a_fleet_restarted_one_by_one_stays_balanced() {
    let mut cell = cell(12, 120);
    let mut moves = 0;
    for number in 0..12 {
        let proxy = format!("p{number}");
        let before = owners(&cell);
        cell.apply(Command::ProxiesDraining(vec![incarnation_of(&proxy, 1)]));
        moves += moved(&before, &cell);
        cell.apply(Command::ProxiesDown(vec![incarnation_of(&proxy, 1)]));
        let before = owners(&cell);
        cell.apply(Command::RegisterProxies(vec![registration(&proxy, 2, ZONES[number % 6])]));
        assert!(moved(&before, &cell) <= MOVES_PER_REGISTRATION);
        moves += moved(&before, &cell);
    }
    println!("12 restarts, 120 groups: {moves} moves, highest load {}", highest_load(&cell));
    assert!(highest_load(&cell) <= 2 * capacity(120, 12));
}

#[test]
fn a_fleet_that_grows_one_by_one_stays_balanced() {
    let mut cell = cell(1, 120);
    for registration in fleet(12).split_off(1) {
        let before = owners(&cell);
        cell.apply(Command::RegisterProxies(vec![registration]));
        assert!(moved(&before, &cell) <= MOVES_PER_REGISTRATION);
    }
    println!("grown from 1 to 12 proxies, 120 groups: highest load {}", highest_load(&cell));
    assert!(highest_load(&cell) <= 2 * capacity(120, 12));
}

#[test]
fn a_restart_without_an_absence_moves_nothing() {
    let mut cell = cell(9, 30);
    let before = owners(&cell);
    let again = registration("p4", 2, ZONES[4]);
    let applied = cell.apply(Command::RegisterProxies(vec![again.clone()]));
    assert_eq!(moved(&before, &cell), 0);
    assert!(matches!(&applied.changes[..], [ViewChange::PutProxy(..)]));
    assert!(cell.apply(Command::RegisterProxies(vec![again])).changes.is_empty());
}

#[test]
fn a_draining_proxy_stays_draining_for_its_incarnation() {
    let mut cell = cell(2, 4);
    let state = |cell: &Cell| cell.state.proxy(&name("p1")).expect("stored").state;
    cell.apply(Command::ProxiesDraining(vec![incarnation_of("p1", 9)]));
    assert_eq!(state(&cell), ProxyState::Live, "the command names another incarnation");
    cell.apply(Command::ProxiesDraining(vec![incarnation_of("p1", 1)]));
    assert_eq!(highest_load(&cell), 4);
    cell.apply(Command::RegisterProxies(vec![registration("p1", 1, ZONES[1])]));
    assert_eq!(state(&cell), ProxyState::Draining);
    cell.apply(Command::RegisterProxies(vec![registration("p1", 2, ZONES[1])]));
    assert_eq!(state(&cell), ProxyState::Live);
}

#[test]
fn groups_wait_for_a_first_proxy_and_old_proxies_are_removed() {
    let mut cell = Cell::new();
    put_groups(&mut cell, 3);
    assert!(owners(&cell).values().all(Option::is_none));
    cell.apply(Command::RegisterProxies(fleet(300)));
    assert!(owners(&cell).values().all(Option::is_some));
    let all = (0..300).map(|number| incarnation_of(&format!("p{number}"), 1));
    for down in all {
        cell.apply(Command::ProxiesDown(vec![down]));
    }
    assert!(owners(&cell).values().all(Option::is_none));
    assert_eq!(cell.state.proxies().count(), 256);
    assert!(
        cell.state.proxy(&name("p0")).is_none(),
        "the proxy that went down first is removed first"
    );
}
