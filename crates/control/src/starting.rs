//! Starts the parts of a replica and connects them. Decides which arbiter each part runs on, and which
//! stop signal ends it.

use crate::back_end::BackEndCaller;
use crate::cell::{Disks, InboundSettings, LinkSettings, Links, accept_replicas};
use crate::clock::Clock;
use crate::consensus::{
    ConsensusHandle, ConsensusInput, ConsensusParts, ConsensusThread, ReplicaStatus,
};
use crate::error::ControlError;
use crate::feed::Feed;
use crate::http::{OperatorContext, serve};
use crate::joining::JoinTask;
use crate::leader::LeaderDuties;
use crate::metrics::Metrics;
use crate::platform::poll_platform;
use crate::proxies::{CurrencyChecks, ProxyServer, ProxyTable, accept_proxies, send_summaries};
use crate::recovered::Recovered;
use crate::registry_calls::{CallOrder, RegistryCaller};
use crate::settings::{CellStart, ControlSettings};
use crate::stop::StopSignal;
use actix_rt::{Arbiter, ArbiterHandle};
use actix_web::dev::ServerHandle;
use corktack_core::consensus::CellMember;
use corktack_core::registry::{CellRepair, CellRepairDuty};
use corktack_tasks::{essential, run_essential};
use prometheus_client::registry::Registry;
use std::net::TcpListener;
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use tokio::sync::watch;

const THREAD_NAME: &str = "corktack-consensus";

/// The components that the parts of a replica share, while it starts.
pub(crate) struct StartupContext {
    pub(crate) settings: ControlSettings,
    pub(crate) metrics: Metrics,
    pub(crate) clock: Clock,
    pub(crate) consensus: ConsensusHandle,
    pub(crate) feed: Feed,
    pub(crate) currency_checks: CurrencyChecks,
    pub(crate) proxies: ProxyTable,
    pub(crate) disks: Disks,
    pub(crate) status: watch::Receiver<ReplicaStatus>,
    pub(crate) arbiters: Vec<Arbiter>,
    pub(crate) stop: StopSignal,
    pub(crate) cell_stop: StopSignal,
}

impl StartupContext {
    /// Returns the arbiter of the cell's connections, the calls to back ends and the platform's list.
    fn first_arbiter(&self) -> ArbiterHandle {
        self.arbiters[0].handle()
    }

    /// Returns the arbiters of the proxies' connections.
    fn proxy_arbiters(&self) -> Vec<ArbiterHandle> {
        self.arbiters[1..].iter().map(Arbiter::handle).collect()
    }

    /// Starts the consensus thread.
    pub(crate) fn start_consensus(
        &self,
        recovered: Recovered,
        publisher: watch::Sender<ReplicaStatus>,
        inputs: mpsc::Receiver<ConsensusInput>,
    ) -> Result<JoinHandle<()>, ControlError> {
        let parts = ConsensusParts {
            clock: self.clock,
            replica: recovered.replica,
            start: recovered.start,
            log: recovered.log,
            state: recovered.state,
            applied: recovered.applied,
            snapshot_entries: self.settings.snapshot_entries.max(1),
            stall_threshold: self.settings.heartbeat_interval,
            links: self.links(),
            feed: self.feed.clone(),
            duties: self.duties(),
            proxies: self.proxies.clone(),
            cell_repair: self
                .settings
                .cell_repair
                .map(|repair| CellRepairDuty::new(CellRepair::new(repair))),
            status: publisher,
            metrics: self.metrics.clone(),
        };
        let thread = std::thread::Builder::new().name(THREAD_NAME.to_owned());
        let run = move || {
            run_essential(THREAD_NAME, || ConsensusThread::new(parts).run(&inputs));
        };
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
        let back_ends = BackEndCaller {
            arbiter: self.first_arbiter(),
            consensus: self.consensus.clone(),
            stop: self.stop.clone(),
        };
        let calls = self.settings.registry_calls.clone();
        let registry = calls.map(|calls| RegistryCaller {
            calls,
            arbiter: self.first_arbiter(),
            consensus: self.consensus.clone(),
            stop: self.stop.clone(),
            order: CallOrder::default(),
        });
        LeaderDuties::new(&self.settings, back_ends, registry, self.metrics.clone())
    }

    /// Accepts other replicas. The listener is registered with the reactor of the arbiter that accepts on
    /// it.
    pub(crate) fn start_cell(&self, listener: TcpListener) -> Result<(), ControlError> {
        listener.set_nonblocking(true).map_err(ControlError::Listener)?;
        let settings = InboundSettings {
            cell: self.settings.cell.clone(),
            replica: self.settings.replica,
            disks: self.disks.clone(),
            metrics: self.metrics.clone(),
        };
        let (consensus, stop) = (self.consensus.clone(), self.cell_stop.clone());
        self.first_arbiter().spawn(async move {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => {
                    let accepting = accept_replicas(listener, settings, consensus, stop);
                    essential("accept-replicas", accepting).await;
                }
                Err(error) => log::error!(error:% = error; "replicas are not accepted"),
            }
        });
        Ok(())
    }

    /// Accepts proxies, sends summaries of them to the leader, and starts the proofs that this replica is
    /// current.
    pub(crate) fn start_proxies(&self, listener: TcpListener) -> Result<(), ControlError> {
        listener.set_nonblocking(true).map_err(ControlError::Listener)?;
        let server = self.proxy_server();
        let interval = self.settings.proxy_heartbeat_interval;
        let first = self.first_arbiter();
        // Half the heartbeat timeout, so that a proxy learns that this replica is cut off before the replica
        // counts as silent.
        let proof_timeout = self.settings.proxy_heartbeat_timeout / 2;
        let currency_checks = self.currency_checks.clone();
        let (consensus, stop) = (self.consensus.clone(), self.stop.clone());
        let checking = currency_checks.run(interval, proof_timeout, consensus, stop);
        first.spawn(essential("currency-checks", checking));
        let table = server.table.clone();
        let (consensus, stop) = (self.consensus.clone(), self.stop.clone());
        let sending = send_summaries(table, interval, consensus, stop);
        first.spawn(essential("send-summaries", sending));
        let arbiters = self.proxy_arbiters();
        first.spawn(async move {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => {
                    essential("accept-proxies", accept_proxies(listener, server, arbiters)).await;
                }
                Err(error) => log::error!(error:% = error; "proxies are not accepted"),
            }
        });
        Ok(())
    }

    fn proxy_server(&self) -> ProxyServer {
        ProxyServer {
            consensus: self.consensus.clone(),
            feed: self.feed.clone(),
            table: self.proxies.clone(),
            currency_checks: self.currency_checks.clone(),
            metrics: self.metrics.clone(),
            heartbeat_timeout: self.settings.proxy_heartbeat_timeout,
            next_connection: Arc::default(),
            status: self.status.clone(),
            stop: self.stop.clone(),
        }
    }

    /// Requests other replicas to add this one to their cell while it belongs to none, if addresses for that
    /// are configured.
    pub(crate) fn start_joining(&self) {
        let Some(address) = self.settings.cell_address else { return };
        if self.settings.join_addresses.is_empty() {
            return;
        }
        let join_task = JoinTask {
            member: CellMember { id: self.settings.replica, address },
            contacts: self.settings.join_addresses.clone(),
            voter_request_after: self.settings.voter_request_after,
            status: self.status.clone(),
            consensus: self.consensus.clone(),
            metrics: self.metrics.clone(),
        };
        let stop = self.stop.clone();
        self.first_arbiter().spawn(essential("join", join_task.run(stop)));
    }

    /// Polls the platform's list, if one is configured.
    pub(crate) fn start_platform(&self) {
        let Some(source) = self.settings.platform.clone() else { return };
        let (status, consensus, stop) =
            (self.status.clone(), self.consensus.clone(), self.stop.clone());
        // The HTTP client can't move between threads, so the task creates it on its arbiter.
        self.first_arbiter().spawn_fn(move || {
            let polling = poll_platform(source, status, consensus, stop);
            actix_rt::spawn(essential("poll-platform", polling));
        });
    }

    /// Starts the HTTP server for operators and returns its handle.
    pub(crate) fn start_operators(
        &self,
        listener: TcpListener,
    ) -> Result<ServerHandle, ControlError> {
        let mut registry = Registry::default();
        self.metrics.register(&mut registry);
        let operators = OperatorContext {
            cell: self.settings.cell.clone(),
            replica: self.settings.replica,
            consensus: self.consensus.clone(),
            feed: self.feed.clone(),
            currency_checks: self.currency_checks.clone(),
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
