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
mod member;
mod order;
mod quotas;

pub use asking::HolderChoice;
pub use home::home_weight;
pub use order::asking_order;
pub use quotas::{CONNECTIONS_PER_SHARE, holder_count, zone_quotas};

use crate::distance::Distance;
use crate::identity::{MemberName, ProxyName, ZoneName};
use member::{MemberHolders, ZoneSizes};
use std::collections::{BTreeMap, BTreeSet};
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

/// Who holds connections to each member, as one gateway sees it.
#[derive(Debug)]
pub struct HolderTable {
    own: ProxyName,
    own_zone: ZoneName,
    gateways: BTreeMap<ProxyName, GatewayPlace>,
    zones: BTreeMap<ZoneName, BTreeSet<ProxyName>>,
    members: BTreeMap<MemberName, MemberHolders>,
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

    /// A gateway came, or is reached at another place now.
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
        let held = MemberHolders::new(name, needs, &self.zones, &sizes, &mut self.weighings);
        self.members.insert(name.clone(), held);
        self.changed.insert(name.clone());
    }

    /// A member left.
    pub fn remove_member(&mut self, name: &MemberName) {
        self.members.remove(name);
        self.changed.remove(name);
    }

    /// The members whose holders are others, or reached at other addresses, than when this was asked last.
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
        self.members.get(member).map_or(0, MemberHolders::count)
    }

    /// The other gateways that hold connections to a member, in the order in which this one asks
    /// them.
    #[must_use]
    pub fn others(&self, member: &MemberName) -> Vec<Holder> {
        let Some(held) = self.members.get(member) else { return Vec::new() };
        let zoned: Vec<_> = held.zoned().filter(|(name, _)| *name != self.own).collect();
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
