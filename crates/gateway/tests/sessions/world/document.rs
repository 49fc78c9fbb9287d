//! What control says in these tests: routes, tenants, members, and the settings that go with it.

use crate::member::Member;
use corktack_core::identity::{GroupName, Incarnation, MemberName, ProxyName, ZoneName};
use corktack_core::limits::LimitBounds;
use corktack_core::registry::{
    BackEndRole, BackEndState, Consistency, Document, DocumentLimits, RegisteredBackEnd, RouteRule,
    ServiceRule,
};
use corktack_core::tenancy::{ApiKey, TenantName, TenantRule};
use corktack_core::view::View;
use corktack_gateway::GatewaySettings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
pub const LINEARIZABLE: &str = "linearizable";
pub const BOUNDED: &str = "bounded";
pub const OWN_WRITES: &str = "own";
/// Bounded by [`SHORT_STALENESS`].
pub const BRIEFLY_BOUNDED: &str = "brief";
/// Linearizable; waits for no member for long.
pub const HASTY: &str = "hasty";
/// Objective of [`HASTY`], a part of which a statement may wait.
pub(super) const HASTE: Duration = Duration::from_secs(1);
/// Short, so that a test can let a position grow older than it.
pub const SHORT_STALENESS: Duration = Duration::from_millis(500);
/// Members take this many connections: one share, so one holder among several gateways.
pub const ONE_SHARE: u32 = 4;
/// Long enough for any machine; nothing in these tests waits for it to pass.
pub(super) const LONG: Duration = Duration::from_secs(60);
pub fn group() -> GroupName {
    GroupName::new("calls").expect("a valid name")
}

/// A second group, for routes that move from one to the other.
pub(super) fn other_group() -> GroupName {
    GroupName::new("archive").expect("a valid name")
}

pub(super) fn zone() -> ZoneName {
    ZoneName::new("north.a").expect("a valid name")
}

pub(super) fn route(name: &str, consistency: Consistency) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        database: name.to_owned(),
        path_prefix: "/".to_owned(),
        consistency,
        statement_timeout: LONG,
        latency_objective: LONG,
        priority: 1,
        group: group(),
        attempts: 2,
        public: false,
    }
}

pub(super) fn document(max_connections: u32, transaction_idle: Duration) -> Document {
    Document {
        version: 1,
        routes: vec![
            route(LINEARIZABLE, Consistency::Linearizable),
            route(BOUNDED, Consistency::BoundedStaleness(LONG)),
            route(OWN_WRITES, Consistency::ReadYourWrites(LONG)),
            route(BRIEFLY_BOUNDED, Consistency::BoundedStaleness(SHORT_STALENESS)),
            RouteRule { latency_objective: HASTE, ..route(HASTY, Consistency::Linearizable) },
        ],
        services: vec![ServiceRule { name: group(), max_connections, synchronous_replicas: 0 }],
        limits: DocumentLimits { transaction_idle },
        tenants: None,
    }
}

pub(super) fn tenant_rules(tenants: &[(&str, &[&str])]) -> Vec<TenantRule> {
    let rule = |(name, keys): &(&str, &[&str])| TenantRule {
        name: TenantName::new(name).expect("a valid name"),
        keys: keys.iter().map(|key| ApiKey::new(key)).collect(),
        rate: None,
    };
    tenants.iter().map(rule).collect()
}

pub fn settings(place: usize, peers: SocketAddr) -> GatewaySettings {
    GatewaySettings {
        name: gateway_name(place),
        incarnation: Incarnation(1),
        limits: LimitBounds::default(),
        unproved_limit: None,
        peers,
        zone: zone(),
        connect_timeout: LONG,
        dial_timeout: LONG,
        begin_timeout: LONG,
        drain_limit: LONG,
        notice: Duration::ZERO,
        transaction_grace: LONG,
    }
}

pub(super) fn gateway_name(place: usize) -> ProxyName {
    ProxyName::new(format!("g{place}")).expect("a valid name")
}

/// Adds members of a group to what control says.
pub(super) fn register(view: &mut View, group: &GroupName, members: &[&Member]) {
    for member in members {
        let primary = member.state.borrow().primary;
        let back_end = RegisteredBackEnd {
            group: group.clone(),
            address: member.address,
            zone: zone(),
            capacity: 3,
            state: BackEndState::Ready,
            role: if primary { BackEndRole::Primary } else { BackEndRole::Replica },
        };
        let name = MemberName::new(member.name.as_str()).expect("a valid name");
        view.back_ends.insert(name, Arc::new(back_end));
    }
}
