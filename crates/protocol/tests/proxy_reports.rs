//! Reports of proxies that replace earlier ones.

use corktack_core::identity::{GroupName, Incarnation, MemberName, ProxyName, ZoneName};
use corktack_core::position::Term;
use corktack_core::view::Revision;
use corktack_protocol::cell::ProxyReport;
use corktack_protocol::control::{MemberHealth, Observation};

const PRIMARY: MemberHealth = MemberHealth::Primary(Term(1));
const LOST: MemberHealth = MemberHealth::Unreachable;

/// Returns a report with observations of numbered members of one group.
fn report(incarnation: u64, revision: u64, observed: &[(u8, MemberHealth)]) -> ProxyReport {
    let observation = |(number, health): &(u8, MemberHealth)| Observation {
        group: GroupName::new("calls").expect("a valid name"),
        member: MemberName::new(format!("m{number}")).expect("a valid name"),
        health: *health,
    };
    ProxyReport {
        proxy: ProxyName::new("p-1").expect("a valid name"),
        incarnation: Incarnation(incarnation),
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneName::new("amba.a").expect("a valid name"),
        revision: Revision(revision),
        draining: false,
        observations: observed.iter().map(observation).collect(),
    }
}

#[test]
fn the_newest_observation_of_each_member_is_kept() {
    let mut stored = report(1, 5, &[(1, PRIMARY), (2, LOST)]);
    stored.replace_with(report(1, 6, &[(1, LOST)]));
    assert_eq!(stored, report(1, 6, &[(1, LOST), (2, LOST)]));
}

#[test]
fn observations_of_an_earlier_incarnation_are_dropped() {
    let mut stored = report(1, 5, &[(1, LOST)]);
    stored.replace_with(report(2, 3, &[]));
    assert_eq!(stored, report(2, 3, &[]));
}
