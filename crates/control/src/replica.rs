//! Starts and stops a control replica.
//!
//! Owns the thread, the arbiters and the HTTP server of a running replica. [`ControlHandle::stop`] performs
//! a planned stop in this order: transfer leadership ([`TRANSFER_TIMEOUT`], [`SUCCESSOR_TIMEOUT`]), close
//! the connections of proxies and watching operators, answer the requests in flight, and end the links to
//! other replicas and the thread.

use crate::clock::Clock;
use crate::consensus::{ConsensusHandle, ConsensusInput, ReplicaStatus};
use crate::error::ControlError;
use crate::feed::Feed;
use crate::metrics::Metrics;
use crate::proxies::{CurrencyChecks, ProxyTable};
use crate::recovered::Recovered;
use crate::registry::RegistryHandle;
use crate::settings::{ControlListeners, ControlSettings};
use crate::starting::StartupContext;
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

/// Longest wait for another replica to take leadership over at a planned stop. With a shorter timeout and
/// slow links, the others need an election; a longer one delays a stop when no replica can take over.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the first heartbeat of the new leader. With a shorter timeout, this replica may end
/// before it grants the vote that the successor needs; a longer one delays a stop when the heartbeat is
/// lost.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts control replicas.
#[derive(Debug)]
pub struct ControlReplica;

impl ControlReplica {
    /// Starts a replica on bound listeners. Must be called inside an actix system.
    ///
    /// # Errors
    /// [`ControlError`] if a check, the recovery or a part of the start fails; no replica runs then.
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

/// Fails if operators would be served without a token on an address other than loopback.
fn check_operators(settings: &ControlSettings, listener: &TcpListener) -> Result<(), ControlError> {
    let address = listener.local_addr().map_err(ControlError::Listener)?;
    if settings.operator_token.is_none() && !address.ip().is_loopback() {
        return Err(ControlError::TokenRequired(address));
    }
    Ok(())
}

/// A running control replica. Dropping the handle stops the replica without a transfer of leadership and
/// without waiting: its threads hold the data folder and the ports for a short time after.
pub struct ControlHandle {
    registry: RegistryHandle,
    consensus: ConsensusHandle,
    status: watch::Receiver<ReplicaStatus>,
    /// Ends the tasks that serve proxies and watching operators, and those that call back ends.
    trigger: StopTrigger,
    /// Ends the incoming connections of other replicas.
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
    /// Returns the newest published status of the replica.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Returns a handle to the registry of back ends and the configuration document.
    #[must_use]
    pub fn registry(&self) -> RegistryHandle {
        self.registry.clone()
    }

    /// Returns a receiver that is notified of each change of the status.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// Transfers leadership if this replica is the leader, then stops.
    ///
    /// When it returns, all threads and tasks of the replica have ended, so that another replica can start on
    /// its data folder and addresses at once.
    pub async fn stop(mut self) {
        self.transfer_leadership().await;
        self.trigger.stop();
        // Requests in flight can only be answered while the other replicas are connected.
        self.http.stop(true).await;
        self.cell_trigger.stop();
        // An error means that the thread has ended already.
        let _ = self.consensus.send(ConsensusInput::Stop);
        let mut status = self.status.clone();
        drop(status.wait_for(|status| !status.running).await);
        self.join_threads().await;
        log::info!("control replica stopped");
    }

    /// Waits until the replica has ended by itself, after a failure that it cannot recover from: the process
    /// then serves nothing any more, and should end so that it is started anew.
    pub async fn ended(&self) {
        let mut status = self.status.clone();
        // An error means that the thread has ended without publishing it, for example by a panic.
        drop(status.wait_for(|status| !status.running).await);
    }

    async fn transfer_leadership(&mut self) {
        let is_sole_voter = self.status.borrow().cell.voters.len() < 2;
        let is_leader = self.status.borrow().role == Role::Leader;
        if is_sole_voter
            || !is_leader
            || self.consensus.send(ConsensusInput::TransferLeadership).is_err()
        {
            return;
        }
        // If no successor takes over in time, the others hold an election later.
        let stepped_down = self.status.wait_for(|status| status.role != Role::Leader);
        drop(timeout(TRANSFER_TIMEOUT, stepped_down).await);
        // The successor needs this replica's vote; its first heartbeat shows that it has won the election.
        let successor_known = self.status.wait_for(|status| {
            status.role == Role::Leader || status.leader.is_some() || !status.running
        });
        drop(timeout(SUCCESSOR_TIMEOUT, successor_known).await);
    }

    /// Ends the arbiters, whose tasks share the lock of the data folder, and joins them and the consensus
    /// thread, which has already left its loop.
    async fn join_threads(&mut self) {
        let arbiters = std::mem::take(&mut self.arbiters);
        let thread = self.thread.take();
        let joined = actix_rt::task::spawn_blocking(move || {
            for arbiter in &arbiters {
                arbiter.stop();
            }
            let mut all_ended = true;
            for arbiter in arbiters {
                all_ended &= arbiter.join().is_ok();
            }
            all_ended & thread.is_none_or(|thread| thread.join().is_ok())
        });
        if !matches!(joined.await, Ok(true)) {
            log::error!("a thread of the control replica panicked before its end");
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
    let (input_sender, input_receiver) = mpsc::channel();
    let (trigger, stop) = stop_channel();
    let (cell_trigger, cell_stop) = stop_channel();
    let (publisher, status) =
        watch::channel(ReplicaStatus::of(&recovered.replica, recovered.applied));
    let starting = StartupContext {
        metrics,
        clock,
        consensus: ConsensusHandle::new(input_sender, settings.request_timeout),
        feed: Feed::new(recovered.state.view_revision(), settings.watch_changes.max(1)),
        currency_checks: CurrencyChecks::default(),
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
    let thread = starting.start_consensus(recovered, publisher, input_receiver)?;
    let http = starting.start_operators(listeners.operators)?;
    let registry = RegistryHandle::new(&starting);
    let StartupContext { consensus, status, arbiters, .. } = starting;
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
