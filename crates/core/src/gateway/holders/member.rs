//! The gateways that hold connections to one member.
//!
//! In each zone, the gateways with the highest rendezvous weights hold connections, as many as the
//! zone's quota. [`MemberHolders`] owns this choice for one member. It relies on
//! [`super::HolderTable`] for the gateways of each zone and on [`super::quotas`] for the quotas.

use super::MemberCapacity;
use super::quotas::{holder_count, zone_quotas};
use crate::identity::{MemberName, ProxyName, ZoneName};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// The holders of one member.
#[derive(Debug)]
pub(super) struct MemberHolders {
    pub(super) needs: MemberCapacity,
    /// Target number of holders.
    target_count: usize,
    quotas: BTreeMap<ZoneName, usize>,
    /// Holders of each zone, in descending order of weight: as many as the quota, or all gateways
    /// of the zone if there are fewer.
    pub(super) by_zone: BTreeMap<ZoneName, Vec<(u64, ProxyName)>>,
}

/// Number of gateways, in each zone and in total.
pub(super) struct ZoneSizes {
    zones: BTreeMap<ZoneName, usize>,
    gateways: usize,
}

impl ZoneSizes {
    pub(super) fn count(zones: &BTreeMap<ZoneName, BTreeSet<ProxyName>>, gateways: usize) -> Self {
        let zones = zones.iter().map(|(zone, names)| (zone.clone(), names.len())).collect();
        Self { zones, gateways }
    }
}

impl MemberHolders {
    /// Chooses the holders of a member among the known gateways.
    pub(super) fn new(
        name: &MemberName,
        needs: MemberCapacity,
        zones: &BTreeMap<ZoneName, BTreeSet<ProxyName>>,
        sizes: &ZoneSizes,
        weights_computed: &mut u64,
    ) -> Self {
        let mut holders =
            Self { needs, target_count: 0, quotas: BTreeMap::new(), by_zone: BTreeMap::new() };
        holders.update_quotas(sizes, (0, usize::MAX));
        holders.choose_holders(name, zones, weights_computed);
        holders
    }

    /// Returns the number of holders.
    pub(super) fn count(&self) -> usize {
        self.by_zone.values().map(Vec::len).sum()
    }

    /// Returns the holders with their zones.
    pub(super) fn names_and_zones(&self) -> impl Iterator<Item = (ProxyName, ZoneName)> {
        self.by_zone.iter().flat_map(|(zone, zone_holders)| {
            zone_holders.iter().map(|(_, name)| (name.clone(), zone.clone()))
        })
    }

    /// Recomputes the quotas after the size of one zone changed, and reports whether they differ
    /// from the previous ones. A zone's size matters only as far as it is below the target number
    /// of holders.
    pub(super) fn update_quotas(
        &mut self,
        sizes: &ZoneSizes,
        (before, after): (usize, usize),
    ) -> bool {
        let MemberCapacity { zone, capacity, max_connections } = &self.needs;
        let target_count = holder_count(*max_connections, *capacity, sizes.gateways);
        if target_count == self.target_count && before.min(target_count) == after.min(target_count)
        {
            return false;
        }
        self.target_count = target_count;
        let quotas = zone_quotas(zone, &sizes.zones, target_count);
        let changed = quotas != self.quotas;
        self.quotas = quotas;
        changed
    }

    pub(super) fn is_held_by(&self, zone: &ZoneName, name: &ProxyName) -> bool {
        let zone_holders = self.by_zone.get(zone);
        zone_holders
            .is_some_and(|zone_holders| zone_holders.iter().any(|(_, holder)| holder == name))
    }

    /// Chooses the gateways with the highest weights in each zone.
    pub(super) fn choose_holders(
        &mut self,
        member: &MemberName,
        zones: &BTreeMap<ZoneName, BTreeSet<ProxyName>>,
        weights_computed: &mut u64,
    ) {
        let choose_in = |(zone, quota): (&ZoneName, &usize)| {
            let names = zones.get(zone).into_iter().flatten();
            let mut weighted: Vec<_> =
                names.map(|name| (weight(member, name), name.clone())).collect();
            *weights_computed += weighted.len() as u64;
            weighted.sort_by(by_descending_weight);
            weighted.truncate(*quota);
            (zone.clone(), weighted)
        };
        self.by_zone = self.quotas.iter().map(choose_in).collect();
    }

    /// Computes the weight of a gateway that joined, and reports whether the gateway becomes a
    /// holder.
    pub(super) fn consider_gateway(
        &mut self,
        member: &MemberName,
        zone: &ZoneName,
        name: &ProxyName,
        weights_computed: &mut u64,
    ) -> bool {
        let Some(quota) = self.quotas.get(zone) else { return false };
        let zone_holders = self.by_zone.entry(zone.clone()).or_default();
        *weights_computed += 1;
        let candidate = (weight(member, name), name.clone());
        let place =
            zone_holders.partition_point(|holder| by_descending_weight(holder, &candidate).is_lt());
        if place >= *quota {
            return false;
        }
        zone_holders.insert(place, candidate);
        zone_holders.truncate(*quota);
        true
    }
}

fn by_descending_weight(left: &(u64, ProxyName), right: &(u64, ProxyName)) -> std::cmp::Ordering {
    right.0.cmp(&left.0).then_with(|| left.1.cmp(&right.1))
}

/// Returns the rendezvous weight of a gateway for a member. When a gateway joins or leaves, only
/// the assignments to that gateway change.
pub(super) fn weight(member: &MemberName, gateway: &ProxyName) -> u64 {
    let mut hasher = SipHasher13::new();
    member.hash(&mut hasher);
    gateway.hash(&mut hasher);
    hasher.finish()
}
