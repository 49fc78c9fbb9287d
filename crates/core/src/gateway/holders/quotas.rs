//! How many gateways hold connections to a member, and in which zones they are.
//!
//! Inputs: the connections that the member takes, the statements that it runs at once, and the gateways of each
//! zone. Owns nothing. With a pool at each of 73 to 85 gateways members of 40 to 51 connections refused 34 % of
//! the requests of a calm day; with shares of at least [`CONNECTIONS_PER_SHARE`] 0.994 were served (trial). With
//! shares alone 214 of 295 gateways held connections to each member of a large deployment and opened 41,764 in
//! a day of trouble; with holders by load they opened 14,206, and worth rose from 0.598 to 0.894 (trial).

use crate::distance::Distance;
use crate::identity::ZoneName;
use std::collections::BTreeMap;

/// Connections that make a share worth holding: fewer would be dialed anew all the time. Chosen, not measured
/// beside other values.
pub const CONNECTIONS_PER_SHARE: u32 = 4;
/// Up to so many gateways all hold connections to every member, and no statement needs another
/// gateway. The users' small deployments have 6 to 9; with 73 and more the shares are too thin for
/// any of them to keep connections in use or to see how busy a member is. Chosen between them, not measured.
const ALL_HOLD_LIMIT: usize = 16;
/// Holders that a member has beside one for each statement that it runs at once. A holder of the
/// users' machines (0.12 cores, 2 Mbit/s) passes on about as many statements a second as one slot
/// runs; one more is there when one is lost. Chosen, not measured beside other values: with more, each sees less
/// of a member's load; with none, the loss of one leaves work waiting.
const SPARE_HOLDERS: u32 = 1;
/// Fewest holders: with two lost at once one is left. Chosen so, not measured.
const FEWEST_HOLDERS: u32 = 3;

/// How many of the gateways hold connections to a member that takes `max_connections` and runs
/// `capacity` statements at once.
#[must_use]
pub fn holder_count(max_connections: u32, capacity: u32, gateways: usize) -> usize {
    let shares = (max_connections / CONNECTIONS_PER_SHARE).max(1);
    let by_load = (capacity + SPARE_HOLDERS).max(FEWEST_HOLDERS);
    let wanted = if gateways <= ALL_HOLD_LIMIT { shares } else { shares.min(by_load) };
    (wanted as usize).min(gateways.max(1))
}

/// Holders by zone: spread over the zones of the member's region, its own zone first, as far as
/// there are gateways. Where that is a single zone one holder is elsewhere, so that gateways that are
/// lost together with their zone leave a way to a member that is not.
#[must_use]
pub fn zone_quotas(
    member_zone: &ZoneName,
    gateways: &BTreeMap<ZoneName, usize>,
    count: usize,
) -> BTreeMap<ZoneName, usize> {
    let mut zones: Vec<_> = gateways.iter().filter(|(_, size)| **size > 0).collect();
    zones.sort_by_key(|(zone, _)| (Distance::between(member_zone, zone), *zone));
    let near = zones
        .partition_point(|(zone, _)| Distance::between(member_zone, zone) != Distance::OtherRegion);
    let (near, far) = zones.split_at(near);
    let elsewhere = usize::from(near.len() == 1 && count > 1 && !far.is_empty());
    let mut quotas = BTreeMap::new();
    let placed = deal_out(near, count - elsewhere, &mut quotas);
    deal_out(far, count - placed, &mut quotas);
    quotas
}

/// Deals places out to zones in turn, no more to a zone than it has gateways; says how many.
fn deal_out(
    zones: &[(&ZoneName, &usize)],
    places: usize,
    quotas: &mut BTreeMap<ZoneName, usize>,
) -> usize {
    let mut placed = 0;
    let mut round = 0;
    while placed < places {
        let open: Vec<_> = zones.iter().filter(|(_, size)| **size > round).collect();
        if open.is_empty() {
            break;
        }
        for (zone, _) in open.into_iter().take(places - placed) {
            *quotas.entry((*zone).clone()).or_default() += 1;
            placed += 1;
        }
        round += 1;
    }
    placed
}
