//! In which order a gateway asks the holders of a member.
//!
//! By how far out of the statement's way a holder is, then in turn. Relies on zones only; owns nothing.

use super::member::weight;
use crate::distance::Distance;
use crate::identity::{MemberName, ProxyName, ZoneName};

/// Where a holder is, seen from the asking gateway and the member; the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum HolderPlace {
    /// The holder is in the asking gateway's zone.
    OwnZone,
    /// It is in the region of the asking gateway or of the member.
    OnTheWay,
    /// It is in a third region.
    ThirdRegion,
}

/// The holders in the order in which one gateway asks them: those of its own zone, those on its way
/// to the member, the others. Those that are as near are asked in turn, from a place that a hash of
/// the gateway gives, so that gateways spread over all of them.
#[must_use]
pub fn asking_order(
    own: &ProxyName,
    own_zone: &ZoneName,
    (member, member_zone): (&MemberName, &ZoneName),
    holders: &[(ProxyName, ZoneName)],
) -> Vec<ProxyName> {
    let place = |zone: &ZoneName| match Distance::between(zone, own_zone) {
        Distance::SameZone => HolderPlace::OwnZone,
        Distance::SameRegion => HolderPlace::OnTheWay,
        Distance::OtherRegion => match Distance::between(zone, member_zone) {
            Distance::SameZone | Distance::SameRegion => HolderPlace::OnTheWay,
            Distance::OtherRegion => HolderPlace::ThirdRegion,
        },
    };
    let mut order = Vec::with_capacity(holders.len());
    for part in [HolderPlace::OwnZone, HolderPlace::OnTheWay, HolderPlace::ThirdRegion] {
        let mut names: Vec<_> =
            holders.iter().filter(|(_, zone)| place(zone) == part).map(|(name, _)| name).collect();
        let first = weight(member, own) as usize % names.len().max(1);
        names.rotate_left(first);
        order.extend(names.into_iter().cloned());
    }
    order
}
