//! Choice of the gateways that hold connections to a member, and the cost of updating it.

use corktack_core::distance::Distance;
use corktack_core::gateway::{
    GatewayLocation, HolderTable, MemberCapacity, holder_count, holder_order, zone_quotas,
};
use corktack_core::identity::{MemberName, ProxyName, ZoneName};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Six zones in three regions.
const ZONES: [&str; 6] = ["n.a", "n.b", "s.a", "s.b", "w.a", "w.b"];

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a valid name")
}

fn gateway(number: usize) -> ProxyName {
    ProxyName::new(format!("g{number}")).expect("a valid name")
}

fn member(number: usize) -> MemberName {
    MemberName::new(format!("m{number}")).expect("a valid name")
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 256) as u8, (number % 256) as u8], 7_443))
}

fn place(number: usize) -> GatewayLocation {
    GatewayLocation { zone: zone(ZONES[number % ZONES.len()]), address: address(number) }
}

fn needs(number: usize) -> MemberCapacity {
    MemberCapacity { zone: zone(ZONES[number % 3 * 2]), capacity: 5, max_connections: 857 }
}

/// Creates the table of gateway 0.
fn table(gateways: usize, members: usize) -> HolderTable {
    let mut table = HolderTable::new(gateway(0), place(0));
    (0..members).for_each(|number| table.put_member(&member(number), needs(number)));
    (1..gateways).for_each(|number| table.put_gateway(&gateway(number), place(number)));
    table.take_changed();
    table
}

#[rstest]
#[case::small_site(36, 3, 7, 7)]
#[case::one_share(4, 3, 6, 1)]
#[case::no_gateway_known(36, 3, 0, 1)]
#[case::by_load(857, 5, 295, 6)]
#[case::few_slots(202, 1, 295, 3)]
#[case::few_connections(8, 5, 73, 2)]
fn holder_count_follows_connections_and_load(
    #[case] max_connections: u32,
    #[case] capacity: u32,
    #[case] gateways: usize,
    #[case] count: usize,
) {
    assert_eq!(holder_count(max_connections, capacity, gateways), count);
}

fn quotas(sizes: &[(&str, usize)], count: usize) -> Vec<(String, usize)> {
    let sizes: BTreeMap<_, _> = sizes.iter().map(|(name, size)| (zone(name), *size)).collect();
    let quotas = zone_quotas(&zone("n.a"), &sizes, count);
    quotas.into_iter().map(|(zone, quota)| (zone.to_string(), quota)).collect()
}

#[rstest]
#[case::spread_over_the_region(&[("n.a", 9), ("n.b", 9), ("s.a", 9)], 5, &[("n.a", 3), ("n.b", 2)])]
#[case::one_in_another_region(&[("n.a", 9), ("s.a", 9)], 4, &[("n.a", 3), ("s.a", 1)])]
#[case::too_few_near(&[("n.a", 1), ("n.b", 1), ("s.a", 9)], 4, &[("n.a", 1), ("n.b", 1), ("s.a", 2)])]
#[case::no_other_region(&[("n.a", 9)], 4, &[("n.a", 4)])]
#[case::no_gateway_in_the_region(&[("s.a", 9), ("w.a", 9)], 3, &[("s.a", 2), ("w.a", 1)])]
#[case::single_holder(&[("n.a", 9), ("s.a", 9)], 1, &[("n.a", 1)])]
fn holders_are_spread_over_the_zones_of_the_members_region(
    #[case] sizes: &[(&str, usize)],
    #[case] count: usize,
    #[case] expected: &[(&str, usize)],
) {
    let expected: Vec<_> =
        expected.iter().map(|(zone, quota)| ((*zone).to_owned(), *quota)).collect();
    assert_eq!(quotas(sizes, count), expected);
}

/// Computing all weights anew at each change would cost the number of gateways times the number of
/// members. A change must cost about one weight for each member, at any size.
#[rstest]
#[case::large_site(295, 60)]
#[case::design_size(1_100, 2_200)]
fn restarting_one_gateway_costs_about_one_weight_for_each_member(
    #[case] gateways: usize,
    #[case] members: usize,
) {
    let mut table = table(gateways, members);
    let before = table.weights_computed();
    for number in 100..110 {
        table.remove_gateway(&gateway(number));
        table.put_gateway(&gateway(number), place(number));
    }
    let per_restart = (table.weights_computed() - before) / 10;
    let all = (gateways * members) as u64;
    assert!(
        per_restart <= 3 * members as u64,
        "{per_restart} weights for each restart; all would be {all}"
    );
}

#[test]
fn only_members_held_by_a_gateway_change_when_it_leaves() {
    let mut table = table(295, 60);
    let mut changed_count = 0;
    for number in 1..295 {
        table.remove_gateway(&gateway(number));
        changed_count += table.take_changed().len();
        table.put_gateway(&gateway(number), place(number));
        table.take_changed();
    }
    // 60 members have 6 holders each; gateway 0 stays.
    assert!((300..=360).contains(&changed_count), "{changed_count}");
}

#[test]
fn requests_go_to_the_new_address_of_a_gateway() {
    let mut table = table(30, 20);
    let members_at_old_address = |table: &HolderTable| {
        let is_asked = |number: &usize| {
            table.other_holders(&member(*number)).iter().any(|holder| holder.address == address(7))
        };
        (0..20).filter(is_asked).count()
    };
    let before = members_at_old_address(&table);
    assert!(before > 0);
    let moved = GatewayLocation { address: address(999), ..place(7) };
    table.put_gateway(&gateway(7), moved);
    assert_eq!(table.take_changed().len(), before);
    assert_eq!(members_at_old_address(&table), 0);
}

#[test]
fn a_gateway_counts_itself_when_control_does_not_list_it() {
    let mut table = HolderTable::new(gateway(0), place(0));
    table.put_member(&member(0), needs(0));
    assert!(table.is_own_member(&member(0)));
    table.remove_gateway(&gateway(0));
    assert!(
        table.is_own_member(&member(0)),
        "the gateway is present even if control lists it as gone"
    );
}

#[derive(Clone, Debug)]
enum Change {
    Put(usize),
    Remove(usize),
    PutMember(usize, u32),
    RemoveMember(usize),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (1..40_usize).prop_map(Change::Put),
        (1..40_usize).prop_map(Change::Remove),
        (0..6_usize, 1..12_u32).prop_map(|(number, capacity)| Change::PutMember(number, capacity)),
        (0..6_usize).prop_map(Change::RemoveMember),
    ]
}

proptest! {
    /// A table that was updated in any order of changes equals one created from the final state.
    #[test]
    fn incremental_updates_equal_a_new_table(changes in prop::collection::vec(change(), 0..80)) {
        let mut updated = HolderTable::new(gateway(0), place(0));
        let mut gateways = BTreeSet::new();
        let mut members = BTreeMap::new();
        for change in changes {
            match change {
                Change::Put(number) => {
                    updated.put_gateway(&gateway(number), place(number));
                    gateways.insert(number);
                }
                Change::Remove(number) => {
                    updated.remove_gateway(&gateway(number));
                    gateways.remove(&number);
                }
                Change::PutMember(number, capacity) => {
                    let needs = MemberCapacity { capacity, ..needs(number) };
                    updated.put_member(&member(number), needs.clone());
                    members.insert(number, needs);
                }
                Change::RemoveMember(number) => {
                    updated.remove_member(&member(number));
                    members.remove(&number);
                }
            }
        }
        let mut created = HolderTable::new(gateway(0), place(0));
        gateways.iter().for_each(|number| created.put_gateway(&gateway(*number), place(*number)));
        members
            .iter()
            .for_each(|(number, needs)| created.put_member(&member(*number), needs.clone()));
        for number in 0..6 {
            let name = member(number);
            prop_assert_eq!(updated.other_holders(&name), created.other_holders(&name));
            prop_assert_eq!(updated.is_own_member(&name), created.is_own_member(&name));
            prop_assert_eq!(updated.holder_count(&name), created.holder_count(&name));
        }
    }
}

/// Gateways spread over the six zones.
fn gateways(count: usize) -> Vec<(ProxyName, ZoneName)> {
    (0..count).map(|number| (gateway(number), place(number).zone)).collect()
}

#[test]
fn order_contains_every_holder_and_ends_with_far_ones() {
    let all = gateways(72);
    let holders = &all[..12];
    for (own, own_zone) in &all {
        let order = holder_order(own, own_zone, (&member(0), &zone("n.a")), holders);
        let expected: BTreeSet<_> = holders.iter().map(|(name, _)| name).collect();
        assert_eq!(order.iter().collect::<BTreeSet<_>>(), expected);
        let ranks = order.iter().map(|name| {
            let holder_zone =
                &holders.iter().find(|(holder, _)| holder == name).expect("a holder").1;
            let near =
                |zone: &ZoneName| Distance::between(holder_zone, zone) != Distance::OtherRegion;
            (holder_zone != own_zone, !near(own_zone) && !near(&zone("n.a")))
        });
        assert!(ranks.is_sorted(), "the own zone first, a third region last");
    }
}

#[test]
fn gateways_spread_their_first_requests_over_the_holders() {
    let all = gateways(72);
    let holders = &all[..6];
    let first = |(own, own_zone): &(ProxyName, ZoneName)| {
        holder_order(own, own_zone, (&member(0), &zone("n.a")), holders)[0].clone()
    };
    let firsts: Vec<_> = all.iter().map(first).collect();
    let busiest =
        holders.iter().map(|(holder, _)| firsts.iter().filter(|first| *first == holder).count());
    assert!(busiest.max() <= Some(24), "72 gateways, 6 holders");
}

mod homes {
    use super::{address, same_zone_holders};
    use corktack_core::distance::Distance;
    use corktack_core::gateway::{Holder, HolderChoice, PeerTable, home_weight};
    use corktack_core::tenancy::TenantName;
    use corktack_core::time::Timestamp;
    use std::collections::BTreeMap;
    use std::net::SocketAddr;

    fn tenant(number: usize) -> TenantName {
        TenantName::new(&format!("t{number}")).expect("a valid name")
    }

    fn holders(numbers: std::ops::Range<usize>) -> HolderChoice {
        let mut choice = HolderChoice::default();
        choice.replace(&same_zone_holders(numbers));
        choice
    }

    fn order(choice: &HolderChoice, tenant: &TenantName) -> Vec<SocketAddr> {
        let asked = choice.candidates_for_tenant(
            tenant,
            None,
            Timestamp::ZERO,
            &PeerTable::default(),
            usize::MAX,
        );
        asked.iter().map(|holder| holder.address).collect()
    }

    #[test]
    fn order_depends_on_the_tenant_and_not_on_the_requesting_gateway() {
        let forwards = holders(0..4);
        let mut backwards = HolderChoice::default();
        let reversed: Vec<Holder> = same_zone_holders(0..4).into_iter().rev().collect();
        backwards.replace(&reversed);
        for number in 0..50 {
            assert_eq!(order(&forwards, &tenant(number)), order(&backwards, &tenant(number)));
        }
    }

    #[test]
    fn homes_spread_over_the_holders() {
        let choice = holders(0..4);
        let mut homes = BTreeMap::new();
        for number in 0..400 {
            *homes.entry(order(&choice, &tenant(number))[0]).or_insert(0) += 1;
        }
        assert_eq!(homes.len(), 4);
        assert!(homes.values().all(|count| (60..=140).contains(count)), "{homes:?}");
    }

    #[test]
    fn only_tenants_of_a_removed_holder_get_another_home() {
        let (before, after) = (holders(0..4), holders(0..3));
        for number in 0..100 {
            let homes = order(&before, &tenant(number));
            let remaining: Vec<_> =
                homes.iter().copied().filter(|home| *home != address(3)).collect();
            assert_eq!(order(&after, &tenant(number)), remaining);
        }
    }

    #[test]
    fn a_holder_gets_only_the_holders_that_precede_it() {
        let choice = holders(0..3);
        let (own, peers) = (address(9), PeerTable::default());
        for number in 0..100 {
            let tenant = tenant(number);
            let asked =
                choice.candidates_for_tenant(&tenant, Some(own), Timestamp::ZERO, &peers, 9);
            let own_weight = home_weight(&tenant, own);
            assert!(asked.iter().all(|holder| home_weight(&tenant, holder.address) > own_weight));
            let lighter = order(&choice, &tenant).len() - asked.len();
            let expected =
                (0..3).filter(|number| home_weight(&tenant, address(*number)) < own_weight);
            assert_eq!(lighter, expected.count());
        }
    }

    #[test]
    fn a_home_that_does_not_answer_is_skipped() {
        let choice = holders(0..4);
        let mut peers = PeerTable::default();
        let homes = order(&choice, &tenant(1));
        peers.record_unanswered(homes[0], Timestamp::ZERO);
        let asked = choice.candidates_for_tenant(&tenant(1), None, Timestamp::ZERO, &peers, 1);
        assert_eq!(asked[0].address, homes[1]);
        assert_eq!(asked[0].distance, Distance::SameZone);
    }
}

/// Holders in the zone of the requesting gateway.
fn same_zone_holders(numbers: std::ops::Range<usize>) -> Vec<corktack_core::gateway::Holder> {
    let holder = |number| corktack_core::gateway::Holder {
        address: address(number),
        distance: Distance::SameZone,
    };
    numbers.map(holder).collect()
}
