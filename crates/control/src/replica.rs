//! Starts and stops a control replica.
//!
//! Owns the thread, the arbiters and the HTTP server of a running one. A planned stop ends in one place,
//! [`ControlHandle::stop`]: leadership goes over first ([`TRANSFER_TIMEOUT`], [`SUCCESSOR_TIMEOUT`]), then
//! proxies and watching operators are let go, requests under way are answered, and the links to other
//! replicas and the thread end last.

use crate::clock::Clock;
use crate::consensus::{ConsensusHandle, ConsensusInput, ReplicaStatus};
use crate::error::ControlError;
use crate::feed::Feed;
use crate::metrics::Metrics;
use crate::proxies::{Proofs, ProxyTable};
use crate::recovered::Recovered;
use crate::registry::RegistryHandle;
use crate::settings::{ControlListeners, ControlSettings};
use crate::starting::Starting;
use crate::stop::{StopTrigger, stop_channel};
use actix_rt::Arbiter;
use actix_web::dev::ServerHandle;
use corktack_core::consensus::Role;
use prometheus_client::registry::Registry;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// Longest wait for another replica to take over at a planned stop. Chosen, not measured; a lower value
/// leaves the others to an election behind slow links, a higher one holds up a stop where none can.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the first heartbeat of the one that took over. Chosen, not measured; a lower value may
/// take away the vote that it needs, a higher one holds up a stop where it is lost.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(500);

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
    registry: RegistryHandle,
    consensus: ConsensusHandle,
    status: watch::Receiver<ReplicaStatus>,
    /// Ends what serves proxies and watching operators, and what calls back ends.
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
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// The registry of back ends and the configuration document.
    #[must_use]
    pub fn registry(&self) -> RegistryHandle {
        self.registry.clone()
    }

    /// Wakes at each change of the status.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<ReplicaStatus> {
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
        let _ = self.consensus.send(ConsensusInput::Stop);
        let mut status = self.status.clone();
        drop(status.wait_for(|status| !status.running).await);
        self.join();
    }

    async fn transfer_leadership(&mut self) {
        let alone = self.status.borrow().cell.voters.len() < 2;
        let leads = self.status.borrow().role == Role::Leader;
        if alone || !leads || self.consensus.send(ConsensusInput::TransferLeadership).is_err() {
            return;
        }
        // Without a successor in time the others hold an election later.
        let stepped_down = self.status.wait_for(|status| status.role != Role::Leader);
        drop(timeout(TRANSFER_TIMEOUT, stepped_down).await);
        // The successor needs this replica's vote, and is known by its first heartbeat.
        let followed = self.status.wait_for(|status| {
            status.role == Role::Leader || status.leader.is_some() || !status.running
        });
        drop(timeout(SUCCESSOR_TIMEOUT, followed).await);
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
        let _ = self.consensus.send(ConsensusInput::Stop);
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
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
    let (publisher, status) =
        watch::channel(ReplicaStatus::of(&recovered.replica, recovered.applied));
    let starting = Starting {
        metrics,
        clock,
        consensus: ConsensusHandle::new(inputs, settings.request_timeout),
        feed: Feed::new(recovered.state.view_revision(), settings.watch_changes.max(1)),
        proofs: Proofs::default(),
        proxies: ProxyTable::new(),
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
    starting.start_joining();
    let thread = starting.start_consensus(recovered, publisher, received)?;
    let http = starting.start_operators(listeners.operators)?;
    let registry = RegistryHandle::new(&starting);
    let Starting { consensus, status, arbiters, .. } = starting;
    Ok(ControlHandle {
        registry,
        consensus,
        status,
        trigger,
        cell_trigger,
        http,
        arbiters,
        thread: Some(thread),
    })
}
