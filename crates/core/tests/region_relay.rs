//! Choice of the gateway in a region that asks a primary in another region for all gateways there.

use corktack_core::distance::Distance;
use corktack_core::gateway::{Holder, HolderChoice, PeerTable};
use corktack_core::identity::GroupName;
use corktack_core::time::Timestamp;
use rstest::rstest;
use std::net::SocketAddr;

/// Gateways of the region.
const NEAR: [u8; 4] = [0, 1, 2, 3];
/// Gateways of other regions.
const FAR: [u8; 4] = [4, 5, 6, 7];

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_443))
}

fn group(number: u8) -> GroupName {
    GroupName::new(format!("g{number}")).expect("a valid name")
}

/// The other holders from the point of view of one of the near gateways.
fn others(own: u8) -> HolderChoice {
    let holder = |distance| move |number| Holder { address: address(number), distance };
    let near = NEAR.into_iter().filter(|number| *number != own).map(holder(Distance::SameRegion));
    let holders: Vec<_> = near.chain(FAR.into_iter().map(holder(Distance::OtherRegion))).collect();
    let mut choice = HolderChoice::default();
    choice.replace(&holders);
    choice
}

/// The gateway that `own` gets the position from: its relay, or itself if it has none.
fn asked_by(own: u8, group: &GroupName, peers: &PeerTable) -> SocketAddr {
    let relay = others(own).region_relay(group, address(own), Timestamp::ZERO, peers);
    relay.map_or(address(own), |relay| relay.address)
}

#[rstest]
fn all_gateways_of_a_region_have_the_same_relay(#[values(1, 2, 3, 4, 5, 6, 7, 8)] number: u8) {
    let (group, peers) = (group(number), PeerTable::default());
    let relay = asked_by(0, &group, &peers);
    assert!(
        NEAR.into_iter().map(address).any(|near| near == relay),
        "{relay} is in another region"
    );
    assert!(NEAR.into_iter().all(|own| asked_by(own, &group, &peers) == relay));
}

#[test]
fn different_groups_have_different_relays() {
    let peers = PeerTable::default();
    let relays = (0..32).map(|number| asked_by(0, &group(number), &peers));
    let different: std::collections::BTreeSet<_> = relays.collect();
    assert_eq!(different.len(), NEAR.len());
}

#[test]
fn the_next_gateway_replaces_a_relay_that_does_not_answer() {
    let group = group(1);
    let mut peers = PeerTable::default();
    let lost = asked_by(0, &group, &peers);
    peers.record_unanswered(lost, Timestamp::ZERO);
    let remaining: Vec<_> = NEAR.into_iter().filter(|own| address(*own) != lost).collect();
    let relay = asked_by(remaining[0], &group, &peers);
    assert_ne!(relay, lost);
    assert!(remaining.iter().all(|own| asked_by(*own, &group, &peers) == relay));
}

#[test]
fn a_gateway_alone_in_its_region_has_no_relay() {
    let mut choice = HolderChoice::default();
    let far =
        FAR.map(|number| Holder { address: address(number), distance: Distance::OtherRegion });
    choice.replace(&far);
    let peers = PeerTable::default();
    assert_eq!(choice.region_relay(&group(1), address(0), Timestamp::ZERO, &peers), None);
}
