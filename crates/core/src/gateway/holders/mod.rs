//! Assignment of members to the gateways that hold connections to them.
//!
//! A member takes few connections and runs few statements at once. Where there are many gateways,
//! only some of them, the holders, have connections to a member; the other gateways send their
//! statements through those. With few holders, each one sees the member's true load, keeps its
//! connections in use and knows the newest positions.
//!
//! Every gateway computes the holders by itself from the same view. While the views of two gateways
//! differ, more gateways than intended connect to a member, and the member refuses the surplus
//! connections; no answer becomes wrong by that.
//!
//! The table is updated incrementally: a gateway that joins has its weight computed once for each
//! member, and a gateway that leaves frees a place only at the members that it held.

mod asking;
mod home;
mod member;
mod order;
mod quotas;

pub use asking::HolderChoice;
pub use home::home_weight;
pub use order::holder_order;
pub use quotas::{CONNECTIONS_PER_SHARE, holder_count, zone_quotas};

use crate::distance::Distance;
use crate::identity::{MemberName, ProxyName, ZoneName};
use member::{MemberHolders, ZoneSizes};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Properties of a member that decide which gateways hold connections to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberCapacity {
    /// Zone of the member.
    pub zone: ZoneName,
    /// Number of statements that the member runs concurrently.
    pub capacity: u32,
    /// Number of connections that the member accepts from all gateways together.
    pub max_connections: u32,
}

/// Location of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayLocation {
    /// Zone of the gateway.
    pub zone: ZoneName,
    /// Address at which other gateways connect to this one.
    pub address: SocketAddr,
}

/// A gateway that holds connections to a member, as seen by the gateway that sends requests to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Distance from the requesting gateway to the holder.
    pub distance: Distance,
}

/// The holders of every member, from the point of view of one gateway.
#[derive(Debug)]
pub struct HolderTable {
    own_name: ProxyName,
    own_zone: ZoneName,
    gateways: BTreeMap<ProxyName, GatewayLocation>,
    zones: BTreeMap<ZoneName, BTreeSet<ProxyName>>,
    members: BTreeMap<MemberName, MemberHolders>,
    changed_members: BTreeSet<MemberName>,
    weights_computed: u64,
}

impl HolderTable {
    /// Creates a table for the gateway `own`. The table counts this gateway as present even before
    /// the control service lists it.
    #[must_use]
    pub fn new(own: ProxyName, own_place: GatewayLocation) -> Self {
        let mut table = Self {
            own_name: own.clone(),
            own_zone: own_place.zone.clone(),
            gateways: BTreeMap::new(),
            zones: BTreeMap::new(),
            members: BTreeMap::new(),
            changed_members: BTreeSet::new(),
            weights_computed: 0,
        };
        table.put_gateway(&own, own_place);
        table
    }

    /// Adds a gateway, or updates its address or zone.
    pub fn put_gateway(&mut self, name: &ProxyName, place: GatewayLocation) {
        if let Some(before) = self.gateways.get(name) {
            if before.zone == place.zone {
                self.update_address(name, place);
                return;
            }
            self.delete_gateway(name);
        }
        let zone = place.zone.clone();
        self.gateways.insert(name.clone(), place);
        let names = self.zones.entry(zone.clone()).or_default();
        let size = names.len();
        names.insert(name.clone());
        let sizes = ZoneSizes::count(&self.zones, self.gateways.len());
        for (member, holders) in &mut self.members {
            let changed = if holders.update_quotas(&sizes, (size, size + 1)) {
                holders.choose_holders(member, &self.zones, &mut self.weights_computed);
                true
            } else {
                holders.consider_gateway(member, &zone, name, &mut self.weights_computed)
            };
            if changed {
                self.changed_members.insert(member.clone());
            }
        }
    }

    /// Removes a gateway. The table's own gateway is never removed.
    pub fn remove_gateway(&mut self, name: &ProxyName) {
        if *name != self.own_name {
            self.delete_gateway(name);
        }
    }

    fn delete_gateway(&mut self, name: &ProxyName) {
        let Some(place) = self.gateways.remove(name) else { return };
        let Some(names) = self.zones.get_mut(&place.zone) else { return };
        names.remove(name);
        let size = names.len();
        let sizes = ZoneSizes::count(&self.zones, self.gateways.len());
        for (member, holders) in &mut self.members {
            let quotas_changed = holders.update_quotas(&sizes, (size + 1, size));
            if quotas_changed || holders.is_held_by(&place.zone, name) {
                holders.choose_holders(member, &self.zones, &mut self.weights_computed);
                self.changed_members.insert(member.clone());
            }
        }
    }

    /// Updates the address of a gateway that stays in its zone. The gateway keeps the members it
    /// holds.
    fn update_address(&mut self, name: &ProxyName, place: GatewayLocation) {
        let affected =
            self.members.iter().filter(|(_, holders)| holders.is_held_by(&place.zone, name));
        self.changed_members.extend(affected.map(|(member, _)| member.clone()));
        self.gateways.insert(name.clone(), place);
    }

    /// Adds a member, or updates its properties.
    pub fn put_member(&mut self, name: &MemberName, needs: MemberCapacity) {
        if self.members.get(name).is_some_and(|holders| holders.needs == needs) {
            return;
        }
        let sizes = ZoneSizes::count(&self.zones, self.gateways.len());
        let holders =
            MemberHolders::new(name, needs, &self.zones, &sizes, &mut self.weights_computed);
        self.members.insert(name.clone(), holders);
        self.changed_members.insert(name.clone());
    }

    /// Removes a member.
    pub fn remove_member(&mut self, name: &MemberName) {
        self.members.remove(name);
        self.changed_members.remove(name);
    }

    /// Returns the members for which a holder, or the address of a holder, changed since the last
    /// call.
    pub fn take_changed(&mut self) -> BTreeSet<MemberName> {
        std::mem::take(&mut self.changed_members)
    }

    /// Reports whether this gateway holds connections to a member.
    #[must_use]
    pub fn is_own_member(&self, member: &MemberName) -> bool {
        let holders = self.members.get(member);
        holders.is_some_and(|holders| holders.is_held_by(&self.own_zone, &self.own_name))
    }

    /// Returns the number of gateways that hold connections to a member.
    #[must_use]
    pub fn holder_count(&self, member: &MemberName) -> usize {
        self.members.get(member).map_or(0, MemberHolders::count)
    }

    /// Returns the other gateways that hold connections to a member, in the order in which this
    /// gateway sends requests to them.
    #[must_use]
    pub fn other_holders(&self, member: &MemberName) -> Vec<Holder> {
        let Some(holders) = self.members.get(member) else { return Vec::new() };
        let candidates: Vec<_> =
            holders.names_and_zones().filter(|(name, _)| *name != self.own_name).collect();
        let order = holder_order(
            &self.own_name,
            &self.own_zone,
            (member, &holders.needs.zone),
            &candidates,
        );
        let holder = |name: &ProxyName| {
            let place = self.gateways.get(name)?;
            let distance = Distance::between(&self.own_zone, &place.zone);
            Some(Holder { address: place.address, distance })
        };
        order.iter().filter_map(holder).collect()
    }

    /// Returns the other gateways in the zone of this one.
    #[must_use]
    pub fn zone_peers(&self) -> Vec<Holder> {
        let names = self.zones.get(&self.own_zone).into_iter().flatten();
        let others = names.filter(|name| **name != self.own_name);
        let places = others.filter_map(|name| self.gateways.get(name));
        places
            .map(|place| Holder { address: place.address, distance: Distance::SameZone })
            .collect()
    }

    /// Returns the number of weights computed since the table was created, the main cost of its
    /// updates.
    #[must_use]
    pub const fn weights_computed(&self) -> u64 {
        self.weights_computed
    }
}
