//! The gateways that hold connections to one member.
//!
//! Chosen in each zone by a rendezvous hash, as many as the zone's quota. Owns the choice for one member. Relies
//! on [`super::HolderTable`] for the gateways of each zone, and on [`super::quotas`] for how many hold.

use super::MemberNeeds;
use super::quotas::{holder_count, zone_quotas};
use crate::identity::{MemberName, ProxyName, ZoneName};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// The holders of one member.
#[derive(Debug)]
pub(super) struct MemberHolders {
    pub(super) needs: MemberNeeds,
    /// Holders that it should have.
    wanted: usize,
    quotas: BTreeMap<ZoneName, usize>,
    /// Holders by zone, the heaviest first; as many as the quota, or all gateways of the zone.
    pub(super) chosen: BTreeMap<ZoneName, Vec<(u64, ProxyName)>>,
}

/// How many gateways there are.
pub(super) struct ZoneSizes {
    zones: BTreeMap<ZoneName, usize>,
    gateways: usize,
}

impl ZoneSizes {
    pub(super) fn of(zones: &BTreeMap<ZoneName, BTreeSet<ProxyName>>, gateways: usize) -> Self {
        let zones = zones.iter().map(|(zone, names)| (zone.clone(), names.len())).collect();
        Self { zones, gateways }
    }
}

impl MemberHolders {
    /// The holders of a member among the gateways that there are.
    pub(super) fn new(
        name: &MemberName,
        needs: MemberNeeds,
        zones: &BTreeMap<ZoneName, BTreeSet<ProxyName>>,
        sizes: &ZoneSizes,
        weighings: &mut u64,
    ) -> Self {
        let mut holders =
            Self { needs, wanted: 0, quotas: BTreeMap::new(), chosen: BTreeMap::new() };
        holders.follow_sizes(sizes, (0, usize::MAX));
        holders.choose(name, zones, weighings);
        holders
    }

    /// How many there are.
    pub(super) fn count(&self) -> usize {
        self.chosen.values().map(Vec::len).sum()
    }

    /// Their names and zones.
    pub(super) fn zoned(&self) -> impl Iterator<Item = (ProxyName, ZoneName)> {
        self.chosen
            .iter()
            .flat_map(|(zone, chosen)| chosen.iter().map(|(_, name)| (name.clone(), zone.clone())))
    }

    /// Works the quotas out after the size of one zone changed; says whether they are others. They
    /// depend on a size only as far as it is below the number of holders.
    pub(super) fn follow_sizes(
        &mut self,
        sizes: &ZoneSizes,
        (before, after): (usize, usize),
    ) -> bool {
        let MemberNeeds { zone, capacity, max_connections } = &self.needs;
        let wanted = holder_count(*max_connections, *capacity, sizes.gateways);
        if wanted == self.wanted && before.min(wanted) == after.min(wanted) {
            return false;
        }
        self.wanted = wanted;
        let quotas = zone_quotas(zone, &sizes.zones, wanted);
        let changed = quotas != self.quotas;
        self.quotas = quotas;
        changed
    }

    pub(super) fn is_held_by(&self, zone: &ZoneName, name: &ProxyName) -> bool {
        let chosen = self.chosen.get(zone);
        chosen.is_some_and(|chosen| chosen.iter().any(|(_, holder)| holder == name))
    }

    /// Chooses the heaviest gateways of each zone.
    pub(super) fn choose(
        &mut self,
        member: &MemberName,
        zones: &BTreeMap<ZoneName, BTreeSet<ProxyName>>,
        weighings: &mut u64,
    ) {
        let choose_in = |(zone, quota): (&ZoneName, &usize)| {
            let names = zones.get(zone).into_iter().flatten();
            let mut weighed: Vec<_> =
                names.map(|name| (weight(member, name), name.clone())).collect();
            *weighings += weighed.len() as u64;
            weighed.sort_by(heaviest_first);
            weighed.truncate(*quota);
            (zone.clone(), weighed)
        };
        self.chosen = self.quotas.iter().map(choose_in).collect();
    }

    /// Weighs a gateway that came; says whether it holds connections from now on.
    pub(super) fn offer(
        &mut self,
        member: &MemberName,
        zone: &ZoneName,
        name: &ProxyName,
        weighings: &mut u64,
    ) -> bool {
        let Some(quota) = self.quotas.get(zone) else { return false };
        let chosen = self.chosen.entry(zone.clone()).or_default();
        *weighings += 1;
        let offered = (weight(member, name), name.clone());
        let place = chosen.partition_point(|held| heaviest_first(held, &offered).is_lt());
        if place >= *quota {
            return false;
        }
        chosen.insert(place, offered);
        chosen.truncate(*quota);
        true
    }
}

fn heaviest_first(left: &(u64, ProxyName), right: &(u64, ProxyName)) -> std::cmp::Ordering {
    right.0.cmp(&left.0).then_with(|| left.1.cmp(&right.1))
}

/// Rendezvous hash: when a gateway comes or goes, only its own shares move.
pub(super) fn weight(member: &MemberName, gateway: &ProxyName) -> u64 {
    let mut hasher = SipHasher13::new();
    member.hash(&mut hasher);
    gateway.hash(&mut hasher);
    hasher.finish()
}
