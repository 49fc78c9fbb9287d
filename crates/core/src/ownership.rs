//! Assignment of groups to owning proxies.
//!
//! Owners are chosen by rendezvous (highest random weight) hashing over the live
//! proxies, nearest to the group's primary first, with bounded load: see [`Rank`].
//! A group keeps its owner while that proxy is live, even if its primary moves
//! to another zone. Only a proxy that registers takes groups from others, at most
//! [`MOVES_PER_REGISTRATION`] at a time: first the groups that it owned before it left,
//! then the groups that rank it above their owner. So a returning proxy gets its groups
//! back, and a fleet whose proxies restart one after the other stays balanced.
//!
//! The choice depends on the zones of proxies and primaries, the current owners and the names. The
//! module keeps no state between two commands of the log. The hash keys are fixed, so that every
//! replica chooses the same owners.

use crate::distance::Distance;
use crate::identity::{GroupName, ProxyName, ZoneName};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Highest number of groups that move to one proxy because it registered. With more groups, a start
/// moves more sessions at once; with fewer, a returning proxy gets its groups back later.
pub const MOVES_PER_REGISTRATION: usize = 64;

/// Capacity of a proxy, in quarters of the mean number of groups. With fewer quarters, groups are
/// placed farther from their primaries; with more, loads differ more.
const CAPACITY_QUARTERS: usize = 5;

/// Factor on the capacity of proxies in the primary's region, which may own that many groups before
/// a proxy in another region is chosen: a busier owner costs less than a distant one. With 1,100
/// proxies and 733 groups, where the capacity is 1, 182 groups are owned in another region without
/// the factor and none with it; the highest load is 2 instead of 1.
const NEAR_OVERLOAD_FACTOR: usize = 2;

/// Fixed hash keys: every replica, of any build, must choose the same owner.
const HASH_KEYS: (u64, u64) = (0x636f_726b_7461_636b, 0x6f77_6e65_7273_6869);

/// Separates the two names in the hashed bytes; no name contains this byte.
const NAME_SEPARATOR: u8 = 0;

/// How well a proxy suits a group. The proxy of the highest rank is chosen, among equal ranks the
/// one of the highest weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// The proxy may not own more groups at its distance.
    Full,
    /// In another region than the primary, below capacity.
    Far,
    /// In the primary's region, at or above capacity and below twice the capacity.
    BusyRegion,
    /// In the primary's zone, at or above capacity and below twice the capacity.
    BusyZone,
    /// In the primary's region, below capacity.
    Region,
    /// In the primary's zone, below capacity.
    Zone,
}

/// Returns the capacity of a proxy in groups: five quarters of the mean, rounded up.
#[must_use]
pub const fn capacity(groups: usize, proxies: usize) -> usize {
    if proxies == 0 {
        return 0;
    }
    (groups * CAPACITY_QUARTERS).div_ceil(proxies * 4)
}

/// A group that needs an owner.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// Name of the group.
    pub group: &'a GroupName,
    /// Zone of the group's primary; none if the group has no primary.
    pub zone: Option<&'a ZoneName>,
}

impl Placement<'_> {
    /// Returns the rank of a proxy in `zone` that owns `groups` groups.
    fn rank(&self, zone: &ZoneName, groups: usize, capacity: usize) -> Rank {
        let between = |primary| Distance::between(primary, zone);
        // Without a primary every proxy counts as in another region.
        let distance = self.zone.map_or(Distance::OtherRegion, between);
        rank(distance, groups, capacity)
    }
}

/// Rank of a proxy for a group, and its weight in the rendezvous hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Suitability {
    rank: Rank,
    weight: u64,
}

/// Returns the weight of a proxy for a group in the rendezvous hash.
fn weight(group: &GroupName, proxy: &ProxyName) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    hasher.write(group.as_str().as_bytes());
    hasher.write_u8(NAME_SEPARATOR);
    hasher.write(proxy.as_str().as_bytes());
    hasher.finish()
}

/// Zone of a live proxy and the number of groups that it owns.
#[derive(Debug)]
struct ProxyLoad<'a> {
    zone: &'a ZoneName,
    groups: usize,
}

/// The live proxies and the number of groups of each, while owners are chosen.
#[derive(Debug)]
pub struct Balancer<'a> {
    loads: BTreeMap<&'a ProxyName, ProxyLoad<'a>>,
    capacity: usize,
}

impl<'a> Balancer<'a> {
    /// Returns a balancer that counts the groups of each live proxy. Owners that are not live are
    /// left out.
    pub fn new<'b>(
        live: impl Iterator<Item = (&'a ProxyName, &'a ZoneName)>,
        owners: impl Iterator<Item = Option<&'b ProxyName>>,
    ) -> Self {
        let mut loads: BTreeMap<_, _> =
            live.map(|(proxy, zone)| (proxy, ProxyLoad { zone, groups: 0 })).collect();
        let mut groups = 0;
        for owner in owners {
            groups += 1;
            let load = owner.and_then(|owner| loads.get_mut(owner));
            load.into_iter().for_each(|load| load.groups += 1);
        }
        let capacity = capacity(groups, loads.len());
        Self { loads, capacity }
    }

    /// Reports whether the proxy is live.
    #[must_use]
    pub fn is_live(&self, proxy: &ProxyName) -> bool {
        self.loads.contains_key(proxy)
    }

    /// Assigns the group to the proxy that suits it best; none if no proxy is live.
    pub fn assign(&mut self, placement: Placement<'_>) -> Option<ProxyName> {
        let mut best: Option<(Suitability, &ProxyName)> = None;
        for (proxy, load) in &self.loads {
            let rank = placement.rank(load.zone, load.groups, self.capacity);
            // Weights are computed only where they can decide.
            if best.as_ref().is_some_and(|(best, _)| rank < best.rank) {
                continue;
            }
            let offer = (Suitability { rank, weight: weight(placement.group, proxy) }, *proxy);
            if best.as_ref().is_none_or(|best| offer > *best) {
                best = Some(offer);
            }
        }
        let proxy = best?.1;
        self.loads.get_mut(proxy).into_iter().for_each(|load| load.groups += 1);
        Some(proxy.clone())
    }

    /// Removes a group from the load of its owner, before the group is assigned again.
    pub fn release(&mut self, owner: &ProxyName) {
        if let Some(load) = self.loads.get_mut(owner) {
            load.groups = load.groups.saturating_sub(1);
        }
    }

    /// Moves groups to a proxy that registered, and returns the names of the moved groups.
    pub fn rebalance_to<'b>(
        &mut self,
        newcomer: &ProxyName,
        groups: impl Iterator<Item = OwnedGroup<'b>>,
    ) -> Vec<GroupName> {
        let foreign = groups.filter(|group| group.owner != newcomer);
        let mut moves: Vec<_> =
            foreign.filter_map(|group| self.improving_move(newcomer, group)).collect();
        moves.sort_by(|left, right| right.sort_key().cmp(&left.sort_key()));
        let mut moved = Vec::new();
        for candidate in moves {
            if moved.len() == MOVES_PER_REGISTRATION {
                break;
            }
            // Earlier moves changed the loads, so the move may no longer be an improvement.
            if self.improving_move(newcomer, candidate.group).is_none() {
                continue;
            }
            self.release(candidate.group.owner);
            self.loads.get_mut(newcomer).into_iter().for_each(|load| load.groups += 1);
            moved.push(candidate.group.placement.group.clone());
        }
        moved
    }

    /// Returns the move of a group to a newcomer, if the newcomer suits it better than its owner or
    /// owned it before.
    fn improving_move<'b>(&self, newcomer: &ProxyName, group: OwnedGroup<'b>) -> Option<Move<'b>> {
        let placement = group.placement;
        let offered = self.rank_of(newcomer, placement, 0)?;
        let current = self.rank_of(group.owner, placement, 1)?;
        let returning = group.former_owner == Some(newcomer) && offered > Rank::Full;
        if offered < current && !returning {
            return None;
        }
        let offered_weight = weight(placement.group, newcomer);
        let heavier = || offered_weight > weight(placement.group, group.owner);
        let preferred = offered > current || heavier();
        let offered = Suitability { rank: offered, weight: offered_weight };
        (returning || preferred).then_some(Move { returning, offered, group })
    }

    /// Returns the rank of a proxy, without `excluded` of its groups; none if the proxy is not live.
    fn rank_of(
        &self,
        proxy: &ProxyName,
        placement: Placement<'_>,
        excluded: usize,
    ) -> Option<Rank> {
        let load = self.loads.get(proxy)?;
        Some(placement.rank(load.zone, load.groups.saturating_sub(excluded), self.capacity))
    }
}

fn rank(distance: Distance, groups: usize, capacity: usize) -> Rank {
    let below_capacity = groups < capacity;
    let below_overload = groups < capacity * NEAR_OVERLOAD_FACTOR;
    match distance {
        Distance::SameZone if below_capacity => Rank::Zone,
        Distance::SameZone if below_overload => Rank::BusyZone,
        Distance::SameRegion if below_capacity => Rank::Region,
        Distance::SameRegion if below_overload => Rank::BusyRegion,
        Distance::OtherRegion if below_capacity => Rank::Far,
        _ => Rank::Full,
    }
}

/// A group and its current owner.
#[derive(Clone, Copy, Debug)]
pub struct OwnedGroup<'a> {
    /// Name of the group and zone of its primary.
    pub placement: Placement<'a>,
    /// Current owner of the group.
    pub owner: &'a ProxyName,
    /// Proxy that owned the group before and left.
    pub former_owner: Option<&'a ProxyName>,
}

/// A group that should move to a proxy that registered.
#[derive(Debug)]
struct Move<'b> {
    returning: bool,
    offered: Suitability,
    group: OwnedGroup<'b>,
}

impl Move<'_> {
    /// Returns the sort key; moves with the highest key are made first.
    fn sort_key(&self) -> (bool, Suitability, &GroupName) {
        (self.returning, self.offered, self.group.placement.group)
    }
}
