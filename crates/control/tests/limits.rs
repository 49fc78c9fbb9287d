//! Limits of tenants: gateways report to the leader and get its grants through any replica.

mod support;

use corktack_core::identity::{GroupName, Incarnation, ProxyName};
use corktack_core::limits::{AllowanceDemand, AllowanceReport};
use corktack_core::position::Term;
use corktack_core::registry::{Document, DocumentLimits, ServiceRule, StoredDocument};
use corktack_core::tenancy::{ApiKey, TenantName, TenantRate, TenantRule};
use corktack_core::view::View;
use std::sync::Arc;
use std::time::Duration;
use support::proxy::Proxy;
use support::{Cell, wait_until};

/// Allows 100 operations in a window of 5 s.
const RATE: TenantRate = TenantRate { per_second: 15.0, burst: 25.0 };

fn tenant() -> TenantName {
    TenantName::new("alfa").expect("a valid name")
}

fn document() -> StoredDocument {
    let group = GroupName::new("calls").expect("a valid name");
    let rule = TenantRule { name: tenant(), keys: vec![ApiKey::new("key")], rate: Some(RATE) };
    let document = Document {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceRule { name: group, max_connections: 9, synchronous_replicas: 0 }],
        limits: DocumentLimits { transaction_idle: Duration::from_secs(3) },
        tenants: Some(vec![rule]),
    };
    StoredDocument { document: Arc::new(document), source: "source".into() }
}

/// A gateway that reports its allowance of one tenant.
struct Gateway {
    proxy: Proxy,
    name: &'static str,
    held: u64,
    sequence: u64,
    /// Number of the newest grant that the gateway has applied.
    applied_grant: u64,
}

impl Gateway {
    async fn connect(cell: &Cell, index: usize, name: &'static str) -> Self {
        let proxy = Proxy::connect(cell.replicas[index].proxies, name, View::default()).await;
        Self { proxy, name, held: 0, sequence: 0, applied_grant: 0 }
    }

    /// Connects to another replica with the same view.
    async fn move_to(&mut self, cell: &Cell, index: usize) {
        let view = self.proxy.view.clone();
        self.proxy = Proxy::connect(cell.replicas[index].proxies, self.name, view).await;
    }

    /// Reports to the leader until it answers, and returns the granted operations.
    async fn request(&mut self, needed: u64) -> u64 {
        loop {
            assert!(self.proxy.heartbeat_is_current().await.is_some(), "the connection stays open");
            let Some(term) = self.proxy.leader_term else { continue };
            self.report(term, needed).await;
            // The grant comes before the acknowledgement of one of these heartbeats, or is requested again.
            for _ in 0..5 {
                assert!(
                    self.proxy.heartbeat_is_current().await.is_some(),
                    "the connection stays open"
                );
            }
            if let Some(granted) = self.apply_grant(term) {
                return granted;
            }
        }
    }

    async fn report(&mut self, term: Term, needed: u64) {
        self.sequence += 1;
        let demand = AllowanceDemand { tenant: tenant(), held: self.held, needed, wanted: needed };
        let report = AllowanceReport {
            gateway: ProxyName::new(self.name).expect("a valid name"),
            incarnation: Incarnation(1),
            term,
            uptime: Duration::ZERO,
            sequence: self.sequence,
            last_applied_grant: self.applied_grant,
            is_full: true,
            demands: vec![demand],
        };
        self.proxy.report_allowances(report).await;
    }

    fn apply_grant(&mut self, term: Term) -> Option<u64> {
        let grants = std::mem::take(&mut self.proxy.grants);
        let newest = grants.into_iter().rfind(|grant| grant.term == term)?;
        let granted = newest.allowances.first()?.operations;
        (self.applied_grant, self.held) = (newest.number, granted);
        Some(granted)
    }
}

#[actix_rt::test]
async fn gateways_on_different_replicas_share_a_limit() {
    let cell = Cell::start(3);
    let leader = cell.leader().await;
    let registry = cell.replicas[leader].running().registry();
    assert_eq!(registry.put_document(document()).await, Ok(1));
    let mut first = Gateway::connect(&cell, leader, "g-1").await;
    let mut second = Gateway::connect(&cell, (leader + 1) % 3, "g-2").await;
    // More than the initial ceiling allows, so the grant needs a higher ceiling in the log.
    wait_until("the first gateway gets its share", async || {
        (first.request(40).await == 40).then_some(())
    })
    .await;
    let granted = wait_until("the second gateway gets the rest", async || {
        let granted = second.request(90).await;
        (granted >= 55).then_some(granted)
    })
    .await;
    assert!(first.held + granted <= 100, "{} and {granted}", first.held);
}

#[actix_rt::test]
async fn a_new_leader_counts_the_allowances_granted_by_the_previous_one() {
    let mut cell = Cell::start(3);
    let leader = cell.leader().await;
    let registry = cell.replicas[leader].running().registry();
    assert_eq!(registry.put_document(document()).await, Ok(1));
    let follower = (leader + 1) % 3;
    let mut first = Gateway::connect(&cell, follower, "g-1").await;
    let mut second = Gateway::connect(&cell, follower, "g-2").await;
    wait_until("most of the limit is granted", async || {
        (first.request(90).await >= 85).then_some(())
    })
    .await;
    let held = first.held;
    cell.replicas[leader].stop().await;
    let new_leader = cell.leader().await;
    // The second gateway reports first, and must not get operations that the first gateway still holds.
    second.move_to(&cell, new_leader).await;
    for _ in 0..5 {
        let granted = second.request(90).await;
        assert!(held + granted <= 100, "{held} and {granted}");
    }
    first.move_to(&cell, new_leader).await;
    let granted = first.request(90).await;
    assert!(granted + second.held <= 100, "{granted} and {}", second.held);
}
