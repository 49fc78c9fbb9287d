//! Configuration of the tests: routes, tenants and members in the view, and settings of the gateways.

use crate::member::Member;
use corktack_core::clients::ClientLimits;
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
/// Route with linearizable reads.
pub const LINEARIZABLE: &str = "linearizable";
/// Route with reads of bounded staleness; the bound is never reached in a test.
pub const BOUNDED: &str = "bounded";
/// Route whose sessions read their own writes.
pub const OWN_WRITES: &str = "own";
/// Route with reads bounded by [`SHORT_STALENESS`].
pub const SHORT_BOUNDED: &str = "brief";
/// Route with linearizable reads and a short wait for a connection.
pub const SHORT_WAIT: &str = "hasty";
/// Latency objective of [`SHORT_WAIT`], of which a statement may wait a fraction for a connection.
pub(super) const SHORT_OBJECTIVE: Duration = Duration::from_secs(1);
/// Staleness bound that is short enough for a test to wait until a position is older.
pub const SHORT_STALENESS: Duration = Duration::from_millis(500);
/// Connections of a member that make a single share, so that one of several gateways holds them.
pub const ONE_SHARE: u32 = 4;
/// Time that is long enough for an overloaded machine; no test waits for it to pass.
pub(super) const LONG: Duration = Duration::from_secs(60);
/// Limits of callers that no test meets unless it is about them.
pub const CALLERS: ClientLimits = ClientLimits {
    max_connections: 1_000,
    max_bytes: 64 * 1024 * 1024,
    message_timeout: LONG,
    bytes_per_second: 64 * 1024 * 1024,
};
/// Returns the group of the tests.
pub fn group() -> GroupName {
    GroupName::new("calls").expect("a valid name")
}

/// Returns a second group, for routes that move from one to the other.
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

/// Returns a document with all routes of the tests and without tenants.
pub(super) fn document(max_connections: u32, transaction_idle: Duration) -> Document {
    Document {
        version: 1,
        routes: vec![
            route(LINEARIZABLE, Consistency::Linearizable),
            route(BOUNDED, Consistency::BoundedStaleness(LONG)),
            route(OWN_WRITES, Consistency::ReadYourWrites(LONG)),
            route(SHORT_BOUNDED, Consistency::BoundedStaleness(SHORT_STALENESS)),
            RouteRule {
                latency_objective: SHORT_OBJECTIVE,
                ..route(SHORT_WAIT, Consistency::Linearizable)
            },
        ],
        services: vec![ServiceRule { name: group(), max_connections, synchronous_replicas: 0 }],
        limits: DocumentLimits { transaction_idle },
        tenants: None,
    }
}

/// Returns rules of tenants without a rate, each with the given keys.
pub(super) fn tenant_rules(tenants: &[(&str, &[&str])]) -> Vec<TenantRule> {
    let rule = |(name, keys): &(&str, &[&str])| TenantRule {
        name: TenantName::new(name).expect("a valid name"),
        keys: keys.iter().map(|key| ApiKey::new(key)).collect(),
        rate: None,
    };
    tenants.iter().map(rule).collect()
}

/// Returns the settings of the gateway with this index, whose address for other gateways is `peers`.
pub fn settings(index: usize, peers: SocketAddr) -> GatewaySettings {
    GatewaySettings {
        name: gateway_name(index),
        incarnation: Incarnation(1),
        limits: LimitBounds::default(),
        max_confirmation_age: None,
        callers: CALLERS,
        max_answer_bytes: CALLERS.max_bytes,
        max_peer_bytes: CALLERS.max_bytes,
        peers,
        zone: zone(),
        connect_timeout: LONG,
        dial_timeout: LONG,
        begin_timeout: LONG,
        drain_limit: LONG,
        drain_notice: Duration::ZERO,
        transaction_grace: LONG,
        stop_limit: LONG,
    }
}

pub(super) fn gateway_name(index: usize) -> ProxyName {
    ProxyName::new(format!("g{index}")).expect("a valid name")
}

/// Adds members of a group to the view.
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
