//! Formation, growth and repair of a cell, and the registry that the cell serves.

mod support;

use corktack_control::{CellStart, ControlSettings, RegistryError};
use corktack_core::consensus::CellConfig;
use corktack_core::identity::{GroupName, ReplicaId};
use corktack_core::registry::{
    CellRepairSettings, Consistency, Document, DocumentError, DocumentLimits, RouteRule,
    ServiceRule, StoredDocument,
};
use corktack_core::view::View;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use support::proxy::Proxy;
use support::{Cell, TestReplica, wait_until};

/// An address that refuses connections and sorts before all others.
const UNREACHABLE: &str = "127.0.0.1:1";
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Silence after which a voter is replaced, where a test does not wait for one.
const NEVER: Duration = Duration::from_secs(60);
const REPLACE_AFTER: Duration = Duration::from_secs(1);

fn repairing(voters: usize, contacts: Vec<SocketAddr>) -> impl Fn(&mut ControlSettings) {
    repairing_after(NEVER, voters, contacts)
}

fn repairing_after(
    replace_after: Duration,
    voters: usize,
    contacts: Vec<SocketAddr>,
) -> impl Fn(&mut ControlSettings) {
    move |settings| {
        settings.cell_repair = Some(CellRepairSettings { voters, replace_after });
        settings.join_addresses.clone_from(&contacts);
    }
}

/// Returns the settings of [`repairing`] for a replica that requests to join.
fn joining(
    voters: usize,
    contacts: Vec<SocketAddr>,
    own: SocketAddr,
) -> impl Fn(&mut ControlSettings) {
    joining_after(NEVER, voters, contacts, own)
}

fn joining_after(
    replace_after: Duration,
    voters: usize,
    contacts: Vec<SocketAddr>,
    own: SocketAddr,
) -> impl Fn(&mut ControlSettings) {
    let repairing = repairing_after(replace_after, voters, contacts);
    move |settings| {
        repairing(settings);
        settings.cell_address = Some(own);
    }
}

fn proxy_addresses(cell: &Cell) -> Vec<SocketAddr> {
    cell.replicas.iter().map(|replica| replica.proxies).collect()
}

fn voters(replica: &TestReplica) -> Vec<ReplicaId> {
    let cell: CellConfig = replica.running().status().cell;
    cell.voters.iter().map(|voter| voter.id).collect()
}

async fn until_voters(cell: &Cell, expected: &[u64]) {
    let mut expected: Vec<ReplicaId> = expected.iter().map(|id| ReplicaId(*id)).collect();
    expected.sort();
    wait_until("the voters are those expected", async || {
        let agreed = cell.replicas.iter().all(|replica| {
            let mut voters = voters(replica);
            voters.sort();
            voters == expected
        });
        agreed.then_some(())
    })
    .await;
}

/// A cell of three whose follower was away for so long that a fourth replica has taken its place.
struct ReplacedFollower {
    /// The running replicas.
    cell: Cell,
    /// The follower, which is stopped and has kept its disk.
    away: TestReplica,
}

impl ReplacedFollower {
    async fn start() -> Self {
        let mut cell = Cell::start_with(3, repairing_after(REPLACE_AFTER, 3, Vec::new()));
        let mut away = cell.replicas.remove(cell.follower().await);
        away.stop().await;
        let mut replaced = Self { cell, away };
        replaced.start_replacement(4).await;
        replaced
    }

    /// Starts a replica that replaces a lost voter, and waits until it votes.
    async fn start_replacement(&mut self, id: u64) {
        let contacts = proxy_addresses(&self.cell);
        self.cell.start_join_requester(id, |own, settings| {
            joining_after(REPLACE_AFTER, 3, contacts.clone(), own)(settings);
        });
        self.until_all_running_vote().await;
    }

    /// Starts the follower again on its old log, and waits until it learns. Returns its id.
    async fn return_follower(mut self) -> (Cell, ReplicaId) {
        let (id, own) = (self.away.id, self.away.cell);
        let contacts = proxy_addresses(&self.cell);
        self.away.restart(&joining_after(REPLACE_AFTER, 3, contacts, own)).await;
        self.cell.replicas.push(self.away);
        wait_until("the returned replica is a learner by its own log", async || {
            let cell = self.cell.replicas.last()?.running().status().cell;
            cell.learners.iter().any(|learner| learner.id == id).then_some(())
        })
        .await;
        (self.cell, id)
    }

    async fn until_all_running_vote(&self) {
        let ids: Vec<u64> = self.cell.replicas.iter().map(|replica| replica.id.0).collect();
        until_voters(&self.cell, &ids).await;
    }
}

/// Stops a follower other than `kept` for good, and waits until `kept` votes in its place.
async fn until_next_lost_voter_is_replaced(mut cell: Cell, kept: ReplicaId) {
    let leader = cell.leader().await;
    let is_lost = |index: &usize| *index != leader && cell.replicas[*index].id != kept;
    let lost = (0..cell.replicas.len()).find(is_lost).expect("another follower");
    cell.replicas.remove(lost).stop().await;
    let ids: Vec<u64> = cell.replicas.iter().map(|replica| replica.id.0).collect();
    until_voters(&cell, &ids).await;
}

fn document(version: u64) -> StoredDocument {
    let group = GroupName::new("calls").expect("a valid name");
    let route = RouteRule {
        name: "r-1".to_owned(),
        database: "db1".to_owned(),
        path_prefix: "/".to_owned(),
        consistency: Consistency::Linearizable,
        statement_timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(500),
        priority: 1,
        group: group.clone(),
        attempts: 2,
        public: false,
    };
    let service = ServiceRule { name: group, max_connections: 10, synchronous_replicas: 0 };
    let document = Document {
        version,
        routes: vec![route],
        services: vec![service],
        limits: DocumentLimits { transaction_idle: Duration::from_secs(3) },
        tenants: None,
    };
    let source = format!("source of version {version}");
    StoredDocument { document: Arc::new(document), source: source.into() }
}

#[actix_rt::test]
async fn a_replica_that_requests_to_join_becomes_a_voter() {
    let mut cell = Cell::start_with(2, repairing(3, Vec::new()));
    let contacts = proxy_addresses(&cell);
    cell.start_join_requester(3, |own, settings| joining(3, contacts.clone(), own)(settings));
    until_voters(&cell, &[1, 2, 3]).await;
}

/// Guards against a new replica that never requests to join and never votes: the leader's link to the lost
/// replica reaches the new one at the same address, and the new one takes itself for a learner of the cell.
#[actix_rt::test]
async fn a_replica_that_lost_its_disk_rejoins_at_its_address_under_a_new_id() {
    let mut cell = Cell::start_with(3, repairing(3, Vec::new()));
    let lost = cell.follower().await;
    let mut contacts = proxy_addresses(&cell);
    // The first target of its requests is unreachable, so that the leader's link has time to reach the new
    // replica first.
    contacts.push(UNREACHABLE.parse().expect("an address"));
    let lost_id = cell.replicas[lost].id;
    cell.replicas[lost].stop().await;
    cell.replicas[lost].lose_disk();
    cell.replicas[lost].id = ReplicaId(9);
    cell.replicas[lost].start = CellStart::Join(Vec::new());
    let own = cell.replicas[lost].cell;
    cell.replicas[lost].restart(&joining(3, contacts, own)).await;
    let expected: Vec<u64> = (1..=3).filter(|id| ReplicaId(*id) != lost_id).chain([9]).collect();
    until_voters(&cell, &expected).await;
}

/// Guards against a voter that is removed while it is away and never comes back: by its own log it still
/// votes, and no leader tells it of the removal. The cell then stays one voter short after the next loss.
#[actix_rt::test]
async fn a_voter_that_was_removed_while_it_was_away_replaces_the_next_lost_voter() {
    let replaced = ReplacedFollower::start().await;
    let leader = replaced.cell.leader().await;
    let term = replaced.cell.replicas[leader].running().status().term;
    let (cell, returned) = replaced.return_follower().await;
    assert_eq!(cell.replicas[leader].running().status().term, term, "the leader keeps its term");
    until_next_lost_voter_is_replaced(cell, returned).await;
}

/// Guards against a removed replica that cannot answer its leader, because no member of the cell in its own
/// log is a member any more.
#[actix_rt::test]
async fn a_removed_voter_returns_to_a_cell_of_which_it_knows_no_member() {
    let mut replaced = ReplacedFollower::start().await;
    for id in [5, 6] {
        replaced.cell.replicas.remove(0).stop().await;
        replaced.start_replacement(id).await;
    }
    let (cell, returned) = replaced.return_follower().await;
    until_next_lost_voter_is_replaced(cell, returned).await;
}

#[actix_rt::test]
async fn a_document_is_read_back_from_every_replica() {
    let cell = Cell::start(3);
    cell.leader().await;
    let version = cell.replicas[0].running().registry().put_document(document(7)).await;
    assert_eq!(version, Ok(7));
    for replica in &cell.replicas {
        let read = replica.running().registry().document(READ_TIMEOUT).await;
        assert_eq!(read, Ok(Some(document(7))));
    }
    let version = cell.replicas[1].running().registry().put_document(document(3)).await;
    assert_eq!(version, Ok(7), "an older version is acknowledged without effect");
    let read = cell.replicas[2].running().registry().document(READ_TIMEOUT).await;
    assert_eq!(read, Ok(Some(document(7))));
}

#[actix_rt::test]
async fn an_invalid_document_is_refused_even_with_an_old_version() {
    let cell = Cell::start(1);
    cell.leader().await;
    let registry = cell.replicas[0].running().registry();
    assert_eq!(registry.put_document(document(7)).await, Ok(7));
    let mut invalid = document(3);
    let routes = &mut Arc::make_mut(&mut invalid.document).routes;
    routes[0].statement_timeout = Duration::ZERO;
    let refused = registry.put_document(invalid).await;
    let error = DocumentError::ZeroTimeout { route: "r-1".to_owned() };
    assert_eq!(refused, Err(RegistryError::Document(error)));
}

#[actix_rt::test]
async fn an_incomplete_cell_acknowledges_no_document() {
    let cell = Cell::start_with(1, |settings| {
        repairing(3, Vec::new())(settings);
        settings.formation_grace = Duration::from_secs(3_600);
    });
    cell.leader().await;
    let refused = cell.replicas[0].running().registry().put_document(document(1)).await;
    assert_eq!(refused, Err(RegistryError::Forming));
    let read = cell.replicas[0].running().registry().document(READ_TIMEOUT).await;
    assert_eq!(read, Ok(None));
}

#[actix_rt::test]
async fn a_document_survives_a_restart_of_all_replicas() {
    let mut cell = Cell::start(3);
    cell.leader().await;
    assert_eq!(cell.replicas[0].running().registry().put_document(document(7)).await, Ok(7));
    for replica in &mut cell.replicas {
        replica.stop().await;
    }
    for replica in &mut cell.replicas {
        replica.restart(&|_| ()).await;
    }
    cell.leader().await;
    let read = cell.replicas[1].running().registry().document(READ_TIMEOUT).await;
    assert_eq!(read, Ok(Some(document(7))));
}

/// Guards against gateways that connect to a replica without a cell and wait there for a proof that it is
/// current, which never comes. This happens in the recovery from a power loss with two lost disks.
#[actix_rt::test]
async fn a_replica_outside_the_cell_closes_proxy_connections_at_once() {
    let mut cell = Cell { replicas: Vec::new() };
    cell.start_join_requester(7, |_, settings| {
        settings.request_timeout = Duration::from_secs(3_600)
    });
    let mut proxy = Proxy::connect(cell.replicas[0].proxies, "p1", View::default()).await;
    assert_eq!(tokio::time::timeout(READ_TIMEOUT, proxy.apply_next_message()).await, Ok(None));
}
