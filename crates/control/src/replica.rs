//! Starts and stops a control replica.

use crate::back_end::BackEnds;
use crate::cell::{Disks, InboundSettings, LinkSettings, Links, accept_replicas};
use crate::clock::Clock;
use crate::error::ControlError;
use crate::feed::Feed;
use crate::http::{Operators, serve};
use crate::leader::LeaderDuties;
use crate::metrics::Metrics;
use crate::node::{NodeHandle, NodeInput, NodeParts, NodeStatus, NodeThread};
use crate::platform::poll_platform;
use crate::proxies::{Proofs, ProxyServer, ProxyTable, accept_proxies, send_summaries};
use crate::settings::{CellStart, ControlListeners, ControlSettings};
use crate::state_codec::decode_state;
use crate::stop::{StopSignal, StopTrigger, stop_channel};
use actix_rt::{Arbiter, ArbiterHandle};
use actix_web::dev::ServerHandle;
use corktack_core::consensus::{ConsensusSettings, PersistedState, Replica, Role};
use corktack_core::state::ControlState;
use corktack_storage::{DataFolder, ReplicaLog};
use prometheus_client::registry::Registry;
use std::net::TcpListener;
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// Most entry bytes in one append message.
const APPEND_BYTES_LIMIT: usize = 256 * 1024;
/// Bytes of one piece of a snapshot sent to another replica.
const SNAPSHOT_CHUNK_BYTES: usize = 256 * 1024;
/// Longest wait for another replica to take over at a planned stop.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
const THREAD_NAME: &str = "corktack-consensus";

/// A control replica.
#[derive(Debug)]
pub struct ControlReplica;

impl ControlReplica {
    /// Starts a replica on bound listeners. Must be called inside an actix system.
    ///
    /// # Errors
    /// [`ControlError`]; nothing runs then.
    pub fn start(
        settings: ControlSettings,
        listeners: ControlListeners,
        registry: &mut Registry,
    ) -> Result<ControlHandle, ControlError> {
        check_operators(&settings, &listeners.operators)?;
        if actix_rt::System::try_current().is_none() {
            return Err(ControlError::NoSystem);
        }
        let metrics = Metrics::new();
        metrics.register(registry);
        start(settings, listeners, metrics)
    }
}

/// Operators without a token are only served on loopback.
fn check_operators(settings: &ControlSettings, listener: &TcpListener) -> Result<(), ControlError> {
    let address = listener.local_addr().map_err(ControlError::Listener)?;
    if settings.operator_token.is_none() && !address.ip().is_loopback() {
        return Err(ControlError::TokenRequired(address));
    }
    Ok(())
}

/// A running control replica. Dropping it stops it without handing leadership over.
pub struct ControlHandle {
    node: NodeHandle,
    status: watch::Receiver<NodeStatus>,
    /// Ends what serves proxies and watching operators, and asks back ends.
    trigger: StopTrigger,
    /// Ends the connections of other replicas.
    cell_trigger: StopTrigger,
    http: ServerHandle,
    arbiters: Vec<Arbiter>,
    thread: Option<JoinHandle<()>>,
}

impl std::fmt::Debug for ControlHandle {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("ControlHandle").finish_non_exhaustive()
    }
}

impl ControlHandle {
    /// What the replica is doing now.
    #[must_use]
    pub fn status(&self) -> NodeStatus {
        self.status.borrow().clone()
    }

    /// Wakes at each change of the status.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<NodeStatus> {
        self.status.clone()
    }

    /// Hands leadership over, then stops.
    pub async fn stop(mut self) {
        self.transfer_leadership().await;
        self.trigger.stop();
        // Requests under way need the other replicas to be answered.
        self.http.stop(true).await;
        self.cell_trigger.stop();
        // The thread has ended already when it takes no more inputs.
        let _ = self.node.send(NodeInput::Stop);
        let mut status = self.status.clone();
        drop(status.wait_for(|status| !status.running).await);
        self.join();
    }

    async fn transfer_leadership(&mut self) {
        let alone = self.status.borrow().cell.voters.len() < 2;
        let leads = self.status.borrow().role == Role::Leader;
        if alone || !leads || self.node.send(NodeInput::TransferLeadership).is_err() {
            return;
        }
        // The successor needs this replica's vote, and is known by its first heartbeat.
        let own = self.status.borrow().leader;
        let transferred = self.status.wait_for(|status| {
            !status.running
                || status.role != Role::Leader && status.leader.is_some() && status.leader != own
        });
        // Without a successor in time the others hold an election later.
        drop(timeout(TRANSFER_TIMEOUT, transferred).await);
    }

    /// The thread has left its loop, so this waits no longer than its last steps.
    fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

impl Drop for ControlHandle {
    fn drop(&mut self) {
        self.trigger.stop();
        self.cell_trigger.stop();
        let _ = self.node.send(NodeInput::Stop);
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
    }
}

/// What a replica found on its disk.
struct Recovered {
    replica: Replica,
    log: ReplicaLog,
    disks: Disks,
    state: ControlState,
    applied: u64,
}

impl Recovered {
    fn open(settings: &ControlSettings, clock: &Clock) -> Result<Self, ControlError> {
        let folder = DataFolder::open(&settings.data_folder)?;
        let (log, persisted) = ReplicaLog::open(&folder, &settings.cell.0)?;
        let disks = Disks::open(&folder)?;
        let (state, applied) = recover_state(&persisted)?;
        let bootstrap = match &settings.start {
            CellStart::Bootstrap(cell) => Some(cell.clone()),
            CellStart::Join(_) => None,
        };
        let consensus = consensus_settings(settings);
        let replica = Replica::new(consensus, persisted, bootstrap, clock.now())?;
        Ok(Self { replica, log, disks, state, applied })
    }
}

/// The state of the snapshot; the core hands out the entries after it once more.
fn recover_state(persisted: &PersistedState) -> Result<(ControlState, u64), ControlError> {
    match &persisted.snapshot {
        Some(snapshot) => Ok((decode_state(&snapshot.data)?, snapshot.index)),
        None => Ok((ControlState::default(), 0)),
    }
}

fn consensus_settings(settings: &ControlSettings) -> ConsensusSettings {
    ConsensusSettings {
        id: settings.replica,
        election_timeout: settings.election_timeout,
        heartbeat_interval: settings.heartbeat_interval,
        append_bytes_limit: APPEND_BYTES_LIMIT,
        snapshot_chunk_bytes: SNAPSHOT_CHUNK_BYTES,
        // Numbers drawn in another life of this replica must not come again.
        seed: settings.seed ^ settings.incarnation.0,
    }
}

/// What the parts of a replica on its way up share.
struct Starting {
    settings: ControlSettings,
    metrics: Metrics,
    clock: Clock,
    node: NodeHandle,
    feed: Feed,
    proofs: Proofs,
    disks: Disks,
    status: watch::Receiver<NodeStatus>,
    arbiters: Vec<Arbiter>,
    stop: StopSignal,
    cell_stop: StopSignal,
}

impl Starting {
    /// The arbiter of the cell's connections, of back ends and of the platform's list.
    fn first_arbiter(&self) -> ArbiterHandle {
        self.arbiters[0].handle()
    }

    /// The arbiters of the proxies' connections.
    fn proxy_arbiters(&self) -> Vec<ArbiterHandle> {
        self.arbiters[1..].iter().map(Arbiter::handle).collect()
    }

    fn start_node(
        &self,
        recovered: Recovered,
        publisher: watch::Sender<NodeStatus>,
        inputs: mpsc::Receiver<NodeInput>,
    ) -> Result<JoinHandle<()>, ControlError> {
        let parts = NodeParts {
            clock: self.clock,
            replica: recovered.replica,
            log: recovered.log,
            state: recovered.state,
            applied: recovered.applied,
            snapshot_entries: self.settings.snapshot_entries.max(1),
            links: self.links(),
            feed: self.feed.clone(),
            duties: self.duties(),
            status: publisher,
            metrics: self.metrics.clone(),
        };
        let thread = std::thread::Builder::new().name(THREAD_NAME.to_owned());
        let run = move || NodeThread::new(parts).run(&inputs);
        thread.spawn(run).map_err(ControlError::Thread)
    }

    fn links(&self) -> Links {
        let settings = LinkSettings {
            cell: self.settings.cell.clone(),
            replica: self.settings.replica,
            disk: self.disks.own(),
            seed: self.settings.seed,
        };
        let mut links = Links::new(settings, self.first_arbiter(), self.metrics.clone());
        match &self.settings.start {
            CellStart::Bootstrap(cell) => links.connect(&cell.voters),
            CellStart::Join(members) => links.connect(members),
        }
        links
    }

    fn duties(&self) -> LeaderDuties {
        let back_ends = BackEnds {
            arbiter: self.first_arbiter(),
            node: self.node.clone(),
            stop: self.stop.clone(),
        };
        LeaderDuties::new(&self.settings, back_ends, self.metrics.clone())
    }

    /// A listener of the standard library is given to the reactor of the arbiter
    /// that accepts on it.
    fn start_cell(&self, listener: TcpListener) -> Result<(), ControlError> {
        listener.set_nonblocking(true).map_err(ControlError::Listener)?;
        let settings = InboundSettings {
            cell: self.settings.cell.clone(),
            replica: self.settings.replica,
            disks: self.disks.clone(),
            metrics: self.metrics.clone(),
        };
        let (node, stop) = (self.node.clone(), self.cell_stop.clone());
        self.first_arbiter().spawn(async move {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => accept_replicas(listener, settings, node, stop).await,
                Err(error) => log::error!(error:% = error; "replicas are not accepted"),
            }
        });
        Ok(())
    }

    fn start_proxies(&self, listener: TcpListener) -> Result<(), ControlError> {
        listener.set_nonblocking(true).map_err(ControlError::Listener)?;
        let server = self.proxy_server();
        let interval = self.settings.proxy_heartbeat_interval;
        let first = self.first_arbiter();
        // A proxy is told that this replica is cut off before it counts as silent.
        let limit = self.settings.proxy_heartbeat_timeout / 2;
        let proofs = self.proofs.clone();
        first.spawn(proofs.run(interval, limit, self.node.clone(), self.stop.clone()));
        let table = server.table.clone();
        first.spawn(send_summaries(table, interval, self.node.clone(), self.stop.clone()));
        let arbiters = self.proxy_arbiters();
        first.spawn(async move {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => accept_proxies(listener, server, arbiters).await,
                Err(error) => log::error!(error:% = error; "proxies are not accepted"),
            }
        });
        Ok(())
    }

    fn proxy_server(&self) -> ProxyServer {
        ProxyServer {
            node: self.node.clone(),
            feed: self.feed.clone(),
            table: ProxyTable::new(),
            proofs: self.proofs.clone(),
            metrics: self.metrics.clone(),
            heartbeat_timeout: self.settings.proxy_heartbeat_timeout,
            connections: Arc::default(),
            stop: self.stop.clone(),
        }
    }

    fn start_platform(&self) {
        let Some(source) = self.settings.platform.clone() else { return };
        let (status, node, stop) = (self.status.clone(), self.node.clone(), self.stop.clone());
        // The HTTP client stays on the thread that made it.
        self.first_arbiter().spawn_fn(move || {
            actix_rt::spawn(poll_platform(source, status, node, stop));
        });
    }

    fn start_operators(&self, listener: TcpListener) -> Result<ServerHandle, ControlError> {
        let mut registry = Registry::default();
        self.metrics.register(&mut registry);
        let operators = Operators {
            cell: self.settings.cell.clone(),
            replica: self.settings.replica,
            node: self.node.clone(),
            feed: self.feed.clone(),
            proofs: self.proofs.clone(),
            status: self.status.clone(),
            registry: Arc::new(registry),
            token: self.settings.operator_token.as_deref().map(Arc::from),
            bookmark_interval: self.settings.proxy_heartbeat_interval,
            stop: self.stop.clone(),
        };
        let workers = self.settings.workers.max(1);
        let server = serve(operators, listener, workers).map_err(ControlError::Listener)?;
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(handle)
    }
}

fn start(
    settings: ControlSettings,
    listeners: ControlListeners,
    metrics: Metrics,
) -> Result<ControlHandle, ControlError> {
    let clock = Clock::start();
    let recovered = Recovered::open(&settings, &clock)?;
    let (inputs, received) = mpsc::channel();
    let (trigger, stop) = stop_channel();
    let (cell_trigger, cell_stop) = stop_channel();
    let (publisher, status) = watch::channel(NodeStatus::of(&recovered.replica, recovered.applied));
    let starting = Starting {
        metrics,
        clock,
        node: NodeHandle::new(inputs, settings.request_timeout),
        feed: Feed::new(recovered.state.view_revision(), settings.watch_changes.max(1)),
        proofs: Proofs::default(),
        disks: recovered.disks.clone(),
        status,
        arbiters: (0..=settings.workers.max(1)).map(|_| Arbiter::new()).collect(),
        stop,
        cell_stop,
        settings,
    };
    starting.start_cell(listeners.cell)?;
    starting.start_proxies(listeners.proxies)?;
    starting.start_platform();
    let thread = starting.start_node(recovered, publisher, received)?;
    let http = starting.start_operators(listeners.operators)?;
    let Starting { node, status, arbiters, .. } = starting;
    Ok(ControlHandle { node, status, trigger, cell_trigger, http, arbiters, thread: Some(thread) })
}
