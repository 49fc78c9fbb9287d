//! In which order a gateway asks the holders of a member.

use super::weight;
use crate::distance::Distance;
use crate::identity::{MemberName, ProxyName, ZoneName};

/// How far out of its way a statement goes through a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Detour {
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
    let detour = |zone: &ZoneName| match Distance::between(zone, own_zone) {
        Distance::SameZone => Detour::OwnZone,
        Distance::SameRegion => Detour::OnTheWay,
        Distance::OtherRegion => match Distance::between(zone, member_zone) {
            Distance::SameZone | Distance::SameRegion => Detour::OnTheWay,
            Distance::OtherRegion => Detour::ThirdRegion,
        },
    };
    let mut order = Vec::with_capacity(holders.len());
    for part in [Detour::OwnZone, Detour::OnTheWay, Detour::ThirdRegion] {
        let mut names: Vec<_> =
            holders.iter().filter(|(_, zone)| detour(zone) == part).map(|(name, _)| name).collect();
        let first = weight(member, own) as usize % names.len().max(1);
        names.rotate_left(first);
        order.extend(names.into_iter().cloned());
    }
    order
}
