//! Which proxy owns which group.
//!
//! Owners are chosen by rendezvous (highest random weight) hashing over the live
//! proxies, nearest to the group's primary first, with capped load: see [`Rank`].
//! A group keeps its owner while that proxy is live, also when its primary moves
//! to another zone. Only a proxy that registers takes groups from others, at most
//! [`MOVES_PER_REGISTRATION`] at a time: first those it owned before it went, then
//! those that rank it above their owner. So a proxy that was away gets its groups
//! back, and a fleet that restarts one by one stays balanced.
//!
//! Inputs: the zones of proxies and primaries, who owns what, and names. Owns nothing between two commands of the
//! log. Relies on fixed hash keys, so that every replica chooses the same.

use crate::distance::Distance;
use crate::identity::{GroupName, ProxyName, ZoneName};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Most groups that move to one proxy because it registered. Chosen, not measured beside other values: with more,
/// a start moves more sessions at once; with fewer, a proxy that was away gets its groups back later.
pub const MOVES_PER_REGISTRATION: usize = 64;

/// A proxy may own this many quarters of the mean. Chosen, not measured beside other values: with fewer, groups
/// are placed farther from their primaries; with more, loads differ more.
const CAPACITY_QUARTERS: usize = 5;

/// A proxy in the primary's region may own this many times the capacity before
/// one in another region is chosen: a busier owner costs less than a far one. With 1,100 proxies and 733 groups,
/// whose capacity is 1, 182 groups were owned in another region without it, and none with it; the highest load
/// was 2 in place of 1.
const NEAR_OVERLOAD: usize = 2;

/// Fixed keys: every replica, of any build, must choose the same owner.
const HASH_KEYS: (u64, u64) = (0x636f_726b_7461_636b, 0x6f77_6e65_7273_6869);

/// Keeps the two names apart in the hashed bytes; no name holds it.
const NAME_SEPARATOR: u8 = 0;

/// How well a proxy suits a group; the highest wins, then the highest weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// It is full.
    Full,
    /// Another region, below capacity.
    Far,
    /// The primary's region, over capacity and below twice that.
    BusyRegion,
    /// The primary's zone, over capacity and below twice that.
    BusyZone,
    /// The primary's region, below capacity.
    Region,
    /// The primary's zone, below capacity.
    Zone,
}

/// Most groups given to one proxy: five quarters of the mean, rounded up.
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
    /// The group.
    pub group: &'a GroupName,
    /// Zone of its primary, where known.
    pub zone: Option<&'a ZoneName>,
}

impl Placement<'_> {
    /// Rank of a proxy of that zone which owns so many groups.
    fn rank(&self, zone: &ZoneName, groups: usize, capacity: usize) -> Rank {
        let between = |primary| Distance::between(primary, zone);
        // Where no primary is known every proxy is as far as in another region.
        let distance = self.zone.map_or(Distance::OtherRegion, between);
        rank(distance, groups, capacity)
    }
}

/// How well a proxy suits a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Suitability {
    rank: Rank,
    weight: u64,
}

fn weight(group: &GroupName, proxy: &ProxyName) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    hasher.write(group.as_str().as_bytes());
    hasher.write_u8(NAME_SEPARATOR);
    hasher.write(proxy.as_str().as_bytes());
    hasher.finish()
}

#[derive(Debug)]
struct Seat<'a> {
    zone: &'a ZoneName,
    groups: usize,
}

/// The live proxies and how many groups each owns, while owners are chosen.
#[derive(Debug)]
pub struct Balancer<'a> {
    seats: BTreeMap<&'a ProxyName, Seat<'a>>,
    capacity: usize,
}

impl<'a> Balancer<'a> {
    /// Counts the groups of each live proxy. Owners that are not live are left out.
    pub fn new<'b>(
        live: impl Iterator<Item = (&'a ProxyName, &'a ZoneName)>,
        owners: impl Iterator<Item = Option<&'b ProxyName>>,
    ) -> Self {
        let mut seats: BTreeMap<_, _> =
            live.map(|(proxy, zone)| (proxy, Seat { zone, groups: 0 })).collect();
        let mut groups = 0;
        for owner in owners {
            groups += 1;
            let seat = owner.and_then(|owner| seats.get_mut(owner));
            seat.into_iter().for_each(|seat| seat.groups += 1);
        }
        let capacity = capacity(groups, seats.len());
        Self { seats, capacity }
    }

    /// Whether the proxy is live.
    #[must_use]
    pub fn is_live(&self, proxy: &ProxyName) -> bool {
        self.seats.contains_key(proxy)
    }

    /// Gives the group to the proxy that suits it best, none when no proxy is live.
    pub fn assign(&mut self, placement: Placement<'_>) -> Option<ProxyName> {
        let mut best: Option<(Suitability, &ProxyName)> = None;
        for (proxy, seat) in &self.seats {
            let rank = placement.rank(seat.zone, seat.groups, self.capacity);
            // Weights are only computed where they can decide.
            if best.as_ref().is_some_and(|(best, _)| rank < best.rank) {
                continue;
            }
            let offer = (Suitability { rank, weight: weight(placement.group, proxy) }, *proxy);
            if best.as_ref().is_none_or(|best| offer > *best) {
                best = Some(offer);
            }
        }
        let proxy = best?.1;
        self.seats.get_mut(proxy).into_iter().for_each(|seat| seat.groups += 1);
        Some(proxy.clone())
    }

    /// Takes a group away from its owner, before it is assigned again.
    pub fn release(&mut self, owner: &ProxyName) {
        if let Some(seat) = self.seats.get_mut(owner) {
            seat.groups = seat.groups.saturating_sub(1);
        }
    }

    /// Moves groups to a proxy that registered and names them.
    pub fn attract<'b>(
        &mut self,
        newcomer: &ProxyName,
        groups: impl Iterator<Item = Owned<'b>>,
    ) -> Vec<GroupName> {
        let foreign = groups.filter(|group| group.owner != newcomer);
        let mut moves: Vec<_> =
            foreign.filter_map(|group| self.wanted_move(newcomer, group)).collect();
        moves.sort_by(|one, other| other.order().cmp(&one.order()));
        let mut moved = Vec::new();
        for wanted in moves {
            if moved.len() == MOVES_PER_REGISTRATION {
                break;
            }
            // Loads changed since: the move must still be wanted.
            if self.wanted_move(newcomer, wanted.group).is_none() {
                continue;
            }
            self.release(wanted.group.owner);
            self.seats.get_mut(newcomer).into_iter().for_each(|seat| seat.groups += 1);
            moved.push(wanted.group.placement.group.clone());
        }
        moved
    }

    /// The move of a group to a newcomer, where that suits it better than its owner.
    fn wanted_move<'b>(&self, newcomer: &ProxyName, group: Owned<'b>) -> Option<Move<'b>> {
        let placement = group.placement;
        let offered = self.rank_of(newcomer, placement, 0)?;
        let present = self.rank_of(group.owner, placement, 1)?;
        let returning = group.former_owner == Some(newcomer) && offered > Rank::Full;
        if offered < present && !returning {
            return None;
        }
        let offered_weight = weight(placement.group, newcomer);
        let heavier = || offered_weight > weight(placement.group, group.owner);
        let preferred = offered > present || heavier();
        let offered = Suitability { rank: offered, weight: offered_weight };
        (returning || preferred).then_some(Move { returning, offered, group })
    }

    /// Rank of a proxy, `counted` of whose groups do not count.
    fn rank_of(&self, proxy: &ProxyName, placement: Placement<'_>, counted: usize) -> Option<Rank> {
        let seat = self.seats.get(proxy)?;
        Some(placement.rank(seat.zone, seat.groups.saturating_sub(counted), self.capacity))
    }
}

fn rank(distance: Distance, groups: usize, capacity: usize) -> Rank {
    let free = groups < capacity;
    let bearable = groups < capacity * NEAR_OVERLOAD;
    match distance {
        Distance::SameZone if free => Rank::Zone,
        Distance::SameZone if bearable => Rank::BusyZone,
        Distance::SameRegion if free => Rank::Region,
        Distance::SameRegion if bearable => Rank::BusyRegion,
        Distance::OtherRegion if free => Rank::Far,
        _ => Rank::Full,
    }
}

/// A group with its owner.
#[derive(Clone, Copy, Debug)]
pub struct Owned<'a> {
    /// The group.
    pub placement: Placement<'a>,
    /// Its owner.
    pub owner: &'a ProxyName,
    /// The proxy that owned it last and went.
    pub former_owner: Option<&'a ProxyName>,
}

/// A group that should move to a proxy that registered.
#[derive(Debug)]
struct Move<'b> {
    returning: bool,
    offered: Suitability,
    group: Owned<'b>,
}

impl Move<'_> {
    fn order(&self) -> (bool, Suitability, &GroupName) {
        (self.returning, self.offered, self.group.placement.group)
    }
}
