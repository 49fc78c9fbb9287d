//! The order in which a gateway sends requests to the holders of a member.
//!
//! Holders are ordered by how little they lengthen the path from the gateway to the member, and
//! holders that are equally near are rotated. The order depends on zones and names only.

use super::member::weight;
use crate::distance::Distance;
use crate::identity::{MemberName, ProxyName, ZoneName};

/// Location of a holder relative to the requesting gateway and the member, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum HolderProximity {
    /// The holder is in the zone of the requesting gateway.
    OwnZone,
    /// The holder is in the region of the requesting gateway or in that of the member.
    EndpointRegion,
    /// The holder is in a region where neither the requesting gateway nor the member is.
    ThirdRegion,
}

/// Returns the holders in the order in which one gateway sends requests to them: first those in its
/// own zone, then those in its own region or in the member's, then all others. Holders that are
/// equally near start at an offset given by a hash of the gateway's name, so that gateways spread
/// over all of them.
#[must_use]
pub fn holder_order(
    own: &ProxyName,
    own_zone: &ZoneName,
    (member, member_zone): (&MemberName, &ZoneName),
    holders: &[(ProxyName, ZoneName)],
) -> Vec<ProxyName> {
    let proximity = |zone: &ZoneName| match Distance::between(zone, own_zone) {
        Distance::SameZone => HolderProximity::OwnZone,
        Distance::SameRegion => HolderProximity::EndpointRegion,
        Distance::OtherRegion => match Distance::between(zone, member_zone) {
            Distance::SameZone | Distance::SameRegion => HolderProximity::EndpointRegion,
            Distance::OtherRegion => HolderProximity::ThirdRegion,
        },
    };
    let mut order = Vec::with_capacity(holders.len());
    for group in
        [HolderProximity::OwnZone, HolderProximity::EndpointRegion, HolderProximity::ThirdRegion]
    {
        let mut names: Vec<_> = holders
            .iter()
            .filter(|(_, zone)| proximity(zone) == group)
            .map(|(name, _)| name)
            .collect();
        let first = weight(member, own) as usize % names.len().max(1);
        names.rotate_left(first);
        order.extend(names.into_iter().cloned());
    }
    order
}
