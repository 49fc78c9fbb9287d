//! Which proxy owns which group.
//!
//! Owners are chosen by rendezvous (highest random weight) hashing over the live
//! proxies, nearest to the group's primary first: same zone, then same region,
//! then anywhere. No proxy is given more than [`capacity`] groups. A group keeps
//! its owner while that proxy is live; only a proxy that registers may take
//! groups from others, at most [`MOVES_PER_REGISTRATION`] at a time, so that a
//! proxy that was away gets its groups back and a fleet that restarts one by
//! one stays balanced.

use crate::identity::{GroupName, ProxyName, ZoneName};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Most groups that move to one proxy because it registered.
pub const MOVES_PER_REGISTRATION: usize = 16;

/// A proxy may own this many quarters of the mean.
const CAPACITY_QUARTERS: usize = 5;

/// Fixed keys: every replica, of any build, must choose the same owner.
const HASH_KEYS: (u64, u64) = (0x636f_726b_7461_636b, 0x6f77_6e65_7273_6869);

/// Keeps the two names apart in the hashed bytes; no name holds it.
const NAME_SEPARATOR: u8 = 0;

/// Separates the region from the rest in the name of a zone.
const REGION_SEPARATOR: char = '.';

/// How near a proxy is to a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// Another region, or no primary is known.
    Far,
    /// The same region.
    Region,
    /// The same zone.
    Zone,
}

/// How much a group prefers a proxy; the highest wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Preference {
    proximity: Proximity,
    weight: u64,
}

/// Region of a zone: the text before the first `.`.
#[must_use]
pub fn region(zone: &ZoneName) -> &str {
    let text = zone.as_str();
    text.split_once(REGION_SEPARATOR).map_or(text, |(region, _)| region)
}

/// How near two zones are.
#[must_use]
pub fn proximity(one: &ZoneName, other: &ZoneName) -> Proximity {
    if one == other {
        return Proximity::Zone;
    }
    if region(one) == region(other) {
        return Proximity::Region;
    }
    Proximity::Far
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
    /// How much the group prefers a proxy.
    #[must_use]
    pub fn preference(&self, proxy: &ProxyName, zone: &ZoneName) -> Preference {
        let proximity = self.zone.map_or(Proximity::Far, |primary| proximity(primary, zone));
        Preference { proximity, weight: weight(self.group, proxy) }
    }
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

    /// Gives the group to the proxy below capacity that it prefers, none when no proxy is live.
    pub fn assign(&mut self, placement: Placement<'_>) -> Option<ProxyName> {
        let limit = self.capacity;
        let (proxy, seat) = self
            .seats
            .iter_mut()
            .filter(|(_, seat)| seat.groups < limit)
            .max_by_key(|(proxy, seat)| placement.preference(proxy, seat.zone))?;
        seat.groups += 1;
        Some((*proxy).clone())
    }

    /// Takes a group away from its owner, before it is assigned again.
    pub fn release(&mut self, owner: &ProxyName) {
        if let Some(seat) = self.seats.get_mut(owner) {
            seat.groups = seat.groups.saturating_sub(1);
        }
    }

    /// Moves groups to a proxy that registered: those that prefer it to their
    /// owner, and those whose owner is over capacity, the most wanted first.
    pub fn attract<'b>(
        &mut self,
        newcomer: &ProxyName,
        groups: impl Iterator<Item = (Placement<'b>, &'b ProxyName)>,
    ) -> Vec<GroupName> {
        let Some(zone) = self.seats.get(newcomer).map(|seat| seat.zone) else {
            return Vec::new();
        };
        let mut wanted: Vec<_> = groups
            .filter(|(_, owner)| *owner != newcomer)
            .filter_map(|(placement, owner)| self.wish(newcomer, zone, placement, owner))
            .collect();
        wanted.sort_by(|one, other| other.cmp(one));
        let mut moved = Vec::new();
        for wish in wanted {
            let full = self.seats.get(newcomer).is_none_or(|seat| seat.groups >= self.capacity);
            if full || moved.len() == MOVES_PER_REGISTRATION {
                break;
            }
            if self.transfer(&wish, newcomer) {
                moved.push(wish.group.clone());
            }
        }
        moved
    }

    fn wish<'b>(
        &self,
        newcomer: &ProxyName,
        zone: &ZoneName,
        placement: Placement<'b>,
        owner: &'b ProxyName,
    ) -> Option<Wish<'b>> {
        let seat = self.seats.get(owner)?;
        let preference = placement.preference(newcomer, zone);
        let preferred = preference > placement.preference(owner, seat.zone);
        let overloaded = seat.groups > self.capacity;
        let group = placement.group;
        (preferred || overloaded).then_some(Wish { preferred, preference, group, owner })
    }

    fn transfer(&mut self, wish: &Wish<'_>, newcomer: &ProxyName) -> bool {
        let overloaded = self.seats.get(wish.owner).is_some_and(|seat| seat.groups > self.capacity);
        if !wish.preferred && !overloaded {
            return false;
        }
        self.release(wish.owner);
        if let Some(seat) = self.seats.get_mut(newcomer) {
            seat.groups += 1;
        }
        true
    }
}

/// A group that could move to a proxy that registered.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Wish<'b> {
    preferred: bool,
    preference: Preference,
    group: &'b GroupName,
    owner: &'b ProxyName,
}
