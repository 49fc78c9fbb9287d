//! Limits of tenants: reports of gateways reach the leader through any replica, and its answers them.

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
use support::{Cell, until};

/// 100 operations in a window of 5 s.
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

/// A gateway that reports what it holds of the one tenant.
struct Gateway {
    proxy: Proxy,
    name: &'static str,
    held: u64,
    sequence: u64,
    taken: u64,
}

impl Gateway {
    async fn connect(cell: &Cell, place: usize, name: &'static str) -> Self {
        let proxy = Proxy::connect(cell.replicas[place].proxies, name, View::default()).await;
        Self { proxy, name, held: 0, sequence: 0, taken: 0 }
    }

    /// Moves to another replica.
    async fn move_to(&mut self, cell: &Cell, place: usize) {
        let view = self.proxy.view.clone();
        self.proxy = Proxy::connect(cell.replicas[place].proxies, self.name, view).await;
    }

    /// Reports to the leader of a term until it answers; gives what is granted.
    async fn ask(&mut self, needed: u64) -> u64 {
        loop {
            assert!(self.proxy.confirm().await.is_some(), "the replica goes on");
            let Some(term) = self.proxy.led else { continue };
            self.report(term, needed).await;
            // The answer comes before that to a heartbeat some time later, or is asked for again.
            for _ in 0..5 {
                assert!(self.proxy.confirm().await.is_some(), "the replica goes on");
            }
            if let Some(granted) = self.take(term) {
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
            running: Duration::ZERO,
            sequence: self.sequence,
            taken: self.taken,
            whole: true,
            demands: vec![demand],
        };
        self.proxy.allowances(report).await;
    }

    fn take(&mut self, term: Term) -> Option<u64> {
        let grants = std::mem::take(&mut self.proxy.grants);
        let newest = grants.into_iter().rfind(|grant| grant.term == term)?;
        let granted = newest.allowances.first()?.operations;
        (self.taken, self.held) = (newest.number, granted);
        Some(granted)
    }
}

#[actix_rt::test]
async fn gateways_share_a_limit_through_any_replica() {
    let cell = Cell::start(3);
    let leader = cell.leader().await;
    let registry = cell.replicas[leader].running().registry();
    assert_eq!(registry.put_document(document()).await, Ok(1));
    let mut first = Gateway::connect(&cell, leader, "g-1").await;
    let mut second = Gateway::connect(&cell, (leader + 1) % 3, "g-2").await;
    // Beyond the ceiling of the start, once a higher one is in the log.
    until("the first gets its part", async || (first.ask(40).await == 40).then_some(())).await;
    let granted = until("the second gets the rest", async || {
        let granted = second.ask(90).await;
        (granted >= 55).then_some(granted)
    })
    .await;
    assert!(first.held + granted <= 100, "{} and {granted}", first.held);
}

#[actix_rt::test]
async fn a_new_leader_knows_of_what_the_one_before_gave() {
    let mut cell = Cell::start(3);
    let leader = cell.leader().await;
    let registry = cell.replicas[leader].running().registry();
    assert_eq!(registry.put_document(document()).await, Ok(1));
    let follower = (leader + 1) % 3;
    let mut first = Gateway::connect(&cell, follower, "g-1").await;
    let mut second = Gateway::connect(&cell, follower, "g-2").await;
    until("most of the limit is given", async || (first.ask(90).await >= 85).then_some(())).await;
    let held = first.held;
    cell.replicas[leader].stop().await;
    let next = cell.leader().await;
    // The second gateway reports first: what the first one holds is not its.
    second.move_to(&cell, next).await;
    for _ in 0..5 {
        let granted = second.ask(90).await;
        assert!(held + granted <= 100, "{held} and {granted}");
    }
    first.move_to(&cell, next).await;
    let kept = first.ask(90).await;
    assert!(kept + second.held <= 100, "{kept} and {}", second.held);
}
