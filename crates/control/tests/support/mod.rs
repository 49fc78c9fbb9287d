//! Test support: cells of control replicas in the test's process, an operator client and a proxy client.
#![allow(dead_code, reason = "each test file uses only some of these items")]

pub mod gate;
pub mod group;
pub mod links;
pub mod operator;
pub mod proxy;
pub mod registered_group;

use awc::http::{Method, StatusCode};
use corktack_control::{
    CellStart, ControlHandle, ControlListeners, ControlReplica, ControlSettings,
};
use corktack_core::consensus::{CellConfig, CellMember, Role};
use corktack_core::identity::{Incarnation, ReplicaId};
use corktack_protocol::cell::CellName;
use links::Links;
use operator::Operator;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Time after which a wait of a test fails, far above the expected time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const LOOPBACK: &str = "127.0.0.1:0";

/// Polls until `condition` returns a value; fails the test after [`WAIT_TIMEOUT`].
pub async fn wait_until<T>(expected: &str, mut condition: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(Instant::now() < deadline, "not before the timeout: {expected}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A replica with its data folder and addresses; `handle` is `None` while the replica is stopped.
pub struct TestReplica {
    pub id: ReplicaId,
    pub start: CellStart,
    pub folder: TempDir,
    pub cell: SocketAddr,
    pub proxies: SocketAddr,
    pub operators: SocketAddr,
    pub handle: Option<ControlHandle>,
    /// Number of starts, which is the incarnation of the running process.
    starts: u64,
}

impl TestReplica {
    pub fn operator(&self) -> Operator {
        Operator::new(self.operators)
    }

    pub fn role(&self) -> Option<Role> {
        self.handle.as_ref().map(|handle| handle.status().role)
    }

    pub fn running(&self) -> &ControlHandle {
        self.handle.as_ref().expect("the replica runs")
    }

    pub async fn stop(&mut self) {
        if let Some(handle) = self.handle.take() {
            handle.stop().await;
        }
    }

    /// Starts the replica again on the same folder and addresses.
    pub async fn restart(&mut self, adjust: &impl Fn(&mut ControlSettings)) {
        let listeners = ControlListeners {
            cell: bind(self.cell).await,
            proxies: bind(self.proxies).await,
            operators: bind(self.operators).await,
        };
        self.launch(listeners, adjust);
    }

    /// Replaces the data folder of a stopped replica with an empty one.
    pub fn lose_disk(&mut self) {
        assert!(self.handle.is_none(), "the replica is stopped");
        self.folder = TempDir::new().expect("a folder can be made");
    }

    /// Returns the value of one of the replica's metrics, named with its labels.
    pub async fn metric(&self, name: &str) -> u64 {
        let answer = self.operator().get("/metrics").await;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        line.and_then(|value| value.parse().ok()).expect("the metric exists")
    }

    fn launch(&mut self, listeners: ControlListeners, adjust: &impl Fn(&mut ControlSettings)) {
        // Fails if another test of this process has installed the logger already.
        drop(env_logger::builder().is_test(true).format_timestamp_millis().try_init());
        let folder = self.folder.path().to_path_buf();
        let name = CellName("test".to_owned());
        let mut settings = ControlSettings::new(name, self.id, self.start.clone(), folder);
        self.starts += 1;
        settings.incarnation = Incarnation(self.starts);
        settings.proxy_heartbeat_interval = Duration::from_millis(50);
        settings.proxy_heartbeat_timeout = Duration::from_secs(2);
        adjust(&mut settings);
        let handle = ControlReplica::start(settings, listeners, &mut Registry::default());
        self.handle = Some(handle.expect("a replica starts"));
    }
}

async fn bind(address: SocketAddr) -> TcpListener {
    wait_until("the address is free", async || TcpListener::bind(address).ok()).await
}

fn bind_any() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(LOOPBACK).expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}

type BoundListeners = (ControlListeners, [SocketAddr; 3]);

fn bind_listeners() -> BoundListeners {
    let (cell, cell_address) = bind_any();
    let (proxies, proxies_address) = bind_any();
    let (operators, operators_address) = bind_any();
    let addresses = [cell_address, proxies_address, operators_address];
    (ControlListeners { cell, proxies, operators }, addresses)
}

/// A cell of replicas.
pub struct Cell {
    pub replicas: Vec<TestReplica>,
}

impl Cell {
    /// Starts a cell of `size` voters with the settings of the tests.
    pub fn start(size: u64) -> Self {
        Self::start_with(size, |_| ())
    }

    /// Starts a cell of `size` voters; `adjust` changes the settings of each replica.
    pub fn start_with(size: u64, adjust: impl Fn(&mut ControlSettings)) -> Self {
        let bound: Vec<_> = (1..=size).map(|id| (ReplicaId(id), bind_listeners())).collect();
        Self::launch_all(bound, |_, cell| cell, adjust)
    }

    /// Starts a cell whose links can be cut or silenced.
    pub fn start_linked(size: u64, adjust: impl Fn(&mut ControlSettings)) -> (Self, Links) {
        let bound: Vec<_> = (1..=size).map(|id| (ReplicaId(id), bind_listeners())).collect();
        let links = Links::new();
        let cell = Self::launch_all(bound, |id, cell| links.open(id, cell), adjust);
        (cell, links)
    }

    /// Starts the replicas; `address` maps the address of a replica to the address that the others use.
    fn launch_all(
        bound: Vec<(ReplicaId, BoundListeners)>,
        address: impl Fn(ReplicaId, SocketAddr) -> SocketAddr,
        adjust: impl Fn(&mut ControlSettings),
    ) -> Self {
        let member = |(id, (_, [cell, ..])): &(ReplicaId, BoundListeners)| CellMember {
            id: *id,
            address: address(*id, *cell),
        };
        let voters = bound.iter().map(member).collect();
        let start = CellStart::Bootstrap(CellConfig { voters, learners: Vec::new() });
        let launch = |(id, bound)| launch(id, start.clone(), bound, &adjust);
        Self { replicas: bound.into_iter().map(launch).collect() }
    }

    /// Starts a replica that waits to be added to the cell.
    pub fn start_joiner(&mut self, id: u64, adjust: impl Fn(&mut ControlSettings)) {
        let member = |replica: &TestReplica| CellMember { id: replica.id, address: replica.cell };
        let members = self.replicas.iter().map(member).collect();
        let start = CellStart::Join(members);
        self.replicas.push(launch(ReplicaId(id), start, bind_listeners(), &adjust));
    }

    /// Starts a replica that requests to be added to the cell; `adjust` receives its cell address.
    pub fn start_join_requester(
        &mut self,
        id: u64,
        adjust: impl Fn(SocketAddr, &mut ControlSettings),
    ) {
        let bound = bind_listeners();
        let cell_address = bound.1[0];
        let start = CellStart::Join(Vec::new());
        self.replicas.push(launch(ReplicaId(id), start, bound, &|settings: &mut _| {
            adjust(cell_address, settings);
        }));
    }

    /// Adds the replica at `index` to the cell as a learner.
    pub async fn add_learner(&self, index: usize) {
        let TestReplica { id, cell, .. } = &self.replicas[index];
        self.change_membership(json!({"operation": "addLearner", "id": id, "address": cell})).await;
    }

    /// Changes the cell's membership through the leader; repeats the request while it conflicts.
    pub async fn change_membership(&self, change: Value) {
        wait_until("the cell changes", async || {
            let operator = self.replicas[self.leader().await].operator();
            let answer = operator.send(Method::POST, "/v1/cell", None, Some(&change)).await;
            let expected = [StatusCode::NO_CONTENT, StatusCode::CONFLICT];
            assert!(expected.contains(&answer.status), "{:?}", answer.body);
            (answer.status == StatusCode::NO_CONTENT).then_some(())
        })
        .await;
    }

    /// Waits for a leader on which most replicas agree; returns its index.
    pub async fn leader(&self) -> usize {
        wait_until("a leader", async || {
            let index =
                self.replicas.iter().position(|replica| replica.role() == Some(Role::Leader))?;
            let id = Some(self.replicas[index].id);
            let running = self.replicas.iter().filter_map(|replica| replica.handle.as_ref());
            let agreed = running.filter(|handle| handle.status().leader == id).count();
            (2 * agreed > self.replicas.len()).then_some(index)
        })
        .await
    }

    /// Returns the index of a running follower.
    pub async fn follower(&self) -> usize {
        let leader = self.leader().await;
        let is_running_follower =
            |index: &usize| *index != leader && self.replicas[*index].handle.is_some();
        (0..self.replicas.len()).find(is_running_follower).expect("a follower runs")
    }
}

fn launch(
    id: ReplicaId,
    start: CellStart,
    (listeners, [cell, proxies, operators]): BoundListeners,
    adjust: &impl Fn(&mut ControlSettings),
) -> TestReplica {
    let folder = TempDir::new().expect("a folder can be made");
    let mut replica =
        TestReplica { id, start, folder, cell, proxies, operators, handle: None, starts: 0 };
    replica.launch(listeners, adjust);
    replica
}
