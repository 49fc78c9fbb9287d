//! Which gateways hold connections to a member.
//!
//! A member takes few connections and runs few statements at once; where there are many gateways
//! only some hold connections to it, and the others have their statements run by those. Few holders
//! see a member's true load, keep their connections in use, and know the newest positions.
//!
//! Every gateway works the holders out by itself from the same view: while views differ for a moment,
//! a member may meet more connections than it takes and says so, which is never a wrong answer.
//!
//! The table is kept up change by change. A gateway that comes is weighed once for each member; one
//! that goes leaves a place only at the members that it held.

mod asking;
mod home;
mod order;
mod quotas;

pub use asking::HolderChoice;
pub use home::home_weight;
pub use order::asking_order;
pub use quotas::{CONNECTIONS_PER_SHARE, holder_count, zone_quotas};

use crate::distance::Distance;
use crate::identity::{MemberName, ProxyName, ZoneName};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// What of a member decides who holds connections to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberNeeds {
    /// Its zone.
    pub zone: ZoneName,
    /// Statements that it runs at once.
    pub capacity: u32,
    /// Connections that it takes from all gateways together.
    pub max_connections: u32,
}

/// Where a gateway is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayPlace {
    /// Its zone.
    pub zone: ZoneName,
    /// Where other gateways reach it.
    pub address: SocketAddr,
}

/// A gateway that holds connections, as another one asks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Where it is asked.
    pub address: SocketAddr,
    /// How far it is.
    pub distance: Distance,
}

/// The holders of one member.
#[derive(Debug)]
struct Held {
    needs: MemberNeeds,
    /// Holders that it should have.
    wanted: usize,
    quotas: BTreeMap<ZoneName, usize>,
    /// Holders by zone, the heaviest first; as many as the quota, or all gateways of the zone.
    chosen: BTreeMap<ZoneName, Vec<(u64, ProxyName)>>,
}

/// Who holds connections to each member, as one gateway sees it.
#[derive(Debug)]
pub struct HolderTable {
    own: ProxyName,
    own_zone: ZoneName,
    gateways: BTreeMap<ProxyName, GatewayPlace>,
    zones: BTreeMap<ZoneName, BTreeSet<ProxyName>>,
    members: BTreeMap<MemberName, Held>,
    changed: BTreeSet<MemberName>,
    weighings: u64,
}

impl HolderTable {
    /// A table for a gateway, which counts as there whether control knows it yet or not.
    #[must_use]
    pub fn new(own: ProxyName, own_place: GatewayPlace) -> Self {
        let mut table = Self {
            own: own.clone(),
            own_zone: own_place.zone.clone(),
            gateways: BTreeMap::new(),
            zones: BTreeMap::new(),
            members: BTreeMap::new(),
            changed: BTreeSet::new(),
            weighings: 0,
        };
        table.put_gateway(&own, own_place);
        table
    }

    /// A gateway came, or is elsewhere now.
    pub fn put_gateway(&mut self, name: &ProxyName, place: GatewayPlace) {
        if let Some(before) = self.gateways.get(name) {
            if before.zone == place.zone {
                self.move_gateway(name, place);
                return;
            }
            self.drop_gateway(name);
        }
        let zone = place.zone.clone();
        self.gateways.insert(name.clone(), place);
        let names = self.zones.entry(zone.clone()).or_default();
        let size = names.len();
        names.insert(name.clone());
        let sizes = ZoneSizes::of(&self.zones, self.gateways.len());
        for (member, held) in &mut self.members {
            let changed = if held.follow_sizes(&sizes, (size, size + 1)) {
                held.choose(member, &self.zones, &mut self.weighings);
                true
            } else {
                held.offer(member, &zone, name, &mut self.weighings)
            };
            if changed {
                self.changed.insert(member.clone());
            }
        }
    }

    /// A gateway is gone. This one never is.
    pub fn remove_gateway(&mut self, name: &ProxyName) {
        if *name != self.own {
            self.drop_gateway(name);
        }
    }

    fn drop_gateway(&mut self, name: &ProxyName) {
        let Some(place) = self.gateways.remove(name) else { return };
        let Some(names) = self.zones.get_mut(&place.zone) else { return };
        names.remove(name);
        let size = names.len();
        let sizes = ZoneSizes::of(&self.zones, self.gateways.len());
        for (member, held) in &mut self.members {
            let other_quotas = held.follow_sizes(&sizes, (size + 1, size));
            if other_quotas || held.is_held_by(&place.zone, name) {
                held.choose(member, &self.zones, &mut self.weighings);
                self.changed.insert(member.clone());
            }
        }
    }

    /// A gateway has another address; what it holds stays as it is.
    fn move_gateway(&mut self, name: &ProxyName, place: GatewayPlace) {
        let held = self.members.iter().filter(|(_, held)| held.is_held_by(&place.zone, name));
        self.changed.extend(held.map(|(member, _)| member.clone()));
        self.gateways.insert(name.clone(), place);
    }

    /// A member came or changed.
    pub fn put_member(&mut self, name: &MemberName, needs: MemberNeeds) {
        if self.members.get(name).is_some_and(|held| held.needs == needs) {
            return;
        }
        let sizes = ZoneSizes::of(&self.zones, self.gateways.len());
        let mut held = Held { needs, wanted: 0, quotas: BTreeMap::new(), chosen: BTreeMap::new() };
        held.follow_sizes(&sizes, (0, usize::MAX));
        held.choose(name, &self.zones, &mut self.weighings);
        self.members.insert(name.clone(), held);
        self.changed.insert(name.clone());
    }

    /// A member left.
    pub fn remove_member(&mut self, name: &MemberName) {
        self.members.remove(name);
        self.changed.remove(name);
    }

    /// The members whose holders are others, or reached elsewhere, than when this was asked last.
    pub fn take_changed(&mut self) -> BTreeSet<MemberName> {
        std::mem::take(&mut self.changed)
    }

    /// Whether this gateway holds connections to a member.
    #[must_use]
    pub fn holds(&self, member: &MemberName) -> bool {
        let held = self.members.get(member);
        held.is_some_and(|held| held.is_held_by(&self.own_zone, &self.own))
    }

    /// How many gateways hold connections to a member.
    #[must_use]
    pub fn count(&self, member: &MemberName) -> usize {
        self.members.get(member).map_or(0, |held| held.chosen.values().map(Vec::len).sum())
    }

    /// The other gateways that hold connections to a member, in the order in which this one asks
    /// them.
    #[must_use]
    pub fn others(&self, member: &MemberName) -> Vec<Holder> {
        let Some(held) = self.members.get(member) else { return Vec::new() };
        let zoned: Vec<_> = held
            .chosen
            .iter()
            .flat_map(|(zone, chosen)| chosen.iter().map(|(_, name)| (name.clone(), zone.clone())))
            .filter(|(name, _)| *name != self.own)
            .collect();
        let order = asking_order(&self.own, &self.own_zone, (member, &held.needs.zone), &zoned);
        let holder = |name: &ProxyName| {
            let place = self.gateways.get(name)?;
            let distance = Distance::between(&self.own_zone, &place.zone);
            Some(Holder { address: place.address, distance })
        };
        order.iter().filter_map(holder).collect()
    }

    /// The other gateways of this one's zone.
    #[must_use]
    pub fn zone_peers(&self) -> Vec<Holder> {
        let names = self.zones.get(&self.own_zone).into_iter().flatten();
        let others = names.filter(|name| **name != self.own);
        let places = others.filter_map(|name| self.gateways.get(name));
        places.map(|it| Holder { address: it.address, distance: Distance::SameZone }).collect()
    }

    /// Gateways weighed for a member since the start: the work that the table has cost.
    #[must_use]
    pub const fn weighings(&self) -> u64 {
        self.weighings
    }
}

/// How many gateways there are.
struct ZoneSizes {
    zones: BTreeMap<ZoneName, usize>,
    gateways: usize,
}

impl ZoneSizes {
    fn of(zones: &BTreeMap<ZoneName, BTreeSet<ProxyName>>, gateways: usize) -> Self {
        let zones = zones.iter().map(|(zone, names)| (zone.clone(), names.len())).collect();
        Self { zones, gateways }
    }
}

impl Held {
    /// Works the quotas out after the size of one zone changed; says whether they are others. They
    /// depend on a size only as far as it is below the number of holders.
    fn follow_sizes(&mut self, sizes: &ZoneSizes, (before, after): (usize, usize)) -> bool {
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

    fn is_held_by(&self, zone: &ZoneName, name: &ProxyName) -> bool {
        let chosen = self.chosen.get(zone);
        chosen.is_some_and(|chosen| chosen.iter().any(|(_, holder)| holder == name))
    }

    /// Chooses the heaviest gateways of each zone.
    fn choose(
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
    fn offer(
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
fn weight(member: &MemberName, gateway: &ProxyName) -> u64 {
    let mut hasher = SipHasher13::new();
    member.hash(&mut hasher);
    gateway.hash(&mut hasher);
    hasher.finish()
}
