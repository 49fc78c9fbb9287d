//! The task that performs what the watch's state machine decides.
//!
//! Owns the connection, what is published and the inputs. Relies on the state machine for every decision, and
//! on the syncer for what is on disk.

use super::connection::{Arrival, Connection};
use super::inputs::{Request, WatchInputs};
use super::metrics::WatchMetrics;
use super::state::{Action, Event, WatchSettings, WatchState};
use super::store::Syncer;
use corktack_core::limits::AllowanceReport;
use corktack_core::time::Timestamp;
use corktack_core::view::View;
use corktack_gateway::LimitUpdate;
use corktack_protocol::control::Observation;
use futures_util::FutureExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Most messages taken before what they changed is published. Chosen, not measured; a lower value publishes more
/// often in a burst, a higher one later.
const MESSAGES_BEFORE_PUBLISH: usize = 256;

/// What the task starts from.
pub(super) struct WatchTask {
    pub(super) settings: WatchSettings,
    pub(super) stored: View,
    pub(super) connect_timeout: Duration,
    pub(super) syncer: Syncer,
    pub(super) inputs: WatchInputs,
    pub(super) requests: mpsc::UnboundedReceiver<Request>,
    pub(super) publish: watch::Sender<Arc<View>>,
    pub(super) proved: watch::Sender<Option<Instant>>,
    pub(super) metrics: WatchMetrics,
}

impl WatchTask {
    /// Runs until a stop is requested or every handle is gone.
    pub(super) async fn run(self) {
        let origin = Instant::now();
        let send_limit = self.settings.silence_timeout;
        let state = WatchState::new(self.settings, self.stored, Timestamp::ZERO);
        let WatchInputs { observations, allowances, limits } = self.inputs;
        let shell = Shell {
            limits,
            origin,
            state,
            connection: Connection::Closed,
            replica: None,
            connect_timeout: self.connect_timeout,
            send_limit,
            syncer: self.syncer,
            publish: self.publish,
            proved: self.proved,
            metrics: self.metrics,
            unpublished: false,
        };
        shell.run(observations, allowances, self.requests).await;
    }
}

/// The state machine and what its actions act on.
struct Shell {
    origin: Instant,
    state: WatchState,
    connection: Connection,
    /// The replica of the connection, or of the last one.
    replica: Option<SocketAddr>,
    connect_timeout: Duration,
    send_limit: Duration,
    syncer: Syncer,
    publish: watch::Sender<Arc<View>>,
    proved: watch::Sender<Option<Instant>>,
    metrics: WatchMetrics,
    /// Takes what control grants of limits.
    limits: mpsc::UnboundedSender<LimitUpdate>,
    unpublished: bool,
}

impl Shell {
    async fn run(
        mut self,
        mut observations: mpsc::UnboundedReceiver<Observation>,
        mut allowances: mpsc::UnboundedReceiver<AllowanceReport>,
        mut requests: mpsc::UnboundedReceiver<Request>,
    ) {
        loop {
            let wake = tokio::time::Instant::from_std(self.instant(self.state.deadline()));
            tokio::select! {
                request = requests.recv() => match request {
                    Some(Request::Drain) => self.handle(Event::Draining).await,
                    Some(Request::Stop) | None => return,
                },
                Some(first) = observations.recv() => {
                    let mut seen = vec![first];
                    while let Ok(next) = observations.try_recv() {
                        seen.push(next);
                    }
                    self.handle(Event::Observed(seen)).await;
                }
                Some(report) = allowances.recv() => {
                    self.handle(Event::Allowances(report)).await;
                }
                Some(revision) = self.syncer.synced() => {
                    self.handle(Event::Synced(revision)).await;
                }
                arrival = self.connection.next() => self.arrived(arrival).await,
                () = tokio::time::sleep_until(wake) => self.handle(Event::Tick).await,
            }
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    fn instant(&self, time: Timestamp) -> Instant {
        self.origin + time.saturating_since(Timestamp::ZERO)
    }

    /// Takes what arrived, and what is there already behind it, then publishes once.
    async fn arrived(&mut self, first: Arrival) {
        let mut next = Some(first);
        let mut taken = 0;
        while let Some(arrival) = next.take() {
            let event = self.event(arrival);
            self.handle(event).await;
            taken += 1;
            if taken < MESSAGES_BEFORE_PUBLISH {
                next = self.connection.next().now_or_never();
            }
        }
        self.publish();
    }

    fn event(&mut self, arrival: Arrival) -> Event {
        match arrival {
            Arrival::Opened(replica) => {
                self.replica = replica;
                self.metrics.connections.inc();
                self.metrics.connected.set(1);
                Event::Connected
            }
            Arrival::Lost(error) => {
                log::info!(replica:? = self.replica, error:% = error; "connection to control lost");
                self.metrics.connected.set(0);
                Event::Disconnected
            }
            Arrival::Message(message) => Event::Message(*message),
        }
    }

    async fn handle(&mut self, event: Event) {
        let actions = self.state.handle(self.now(), event);
        for action in actions {
            self.perform(action).await;
        }
    }

    async fn perform(&mut self, action: Action) {
        match action {
            Action::Connect(replicas) => {
                log::debug!(replicas:? = replicas; "connecting to control");
                let limit = self.state.connect_limit(self.connect_timeout);
                self.connection = Connection::open(replicas, limit);
            }
            Action::Disconnect => {
                log::warn!(
                    replica:? = self.replica;
                    "no proof from the control replica that it is current; changing it"
                );
                self.close();
            }
            Action::Send(message) => {
                if let Err(error) = self.connection.send(message, self.send_limit).await {
                    log::info!(
                        replica:? = self.replica, error:% = error; "connection to control lost"
                    );
                    self.close();
                    // A lost connection only sets the time of the next try.
                    let now = self.now();
                    let _ = self.state.handle(now, Event::Disconnected);
                }
            }
            Action::Publish => self.unpublished = true,
            Action::Led(term) => self.pass_on(LimitUpdate::Led(term)),
            Action::Granted(grant) => self.pass_on(LimitUpdate::Granted(grant)),
            Action::Current => {
                self.publish();
                let proved_at = self.state.proved_at().map(|at| self.instant(at));
                if self.proved.send_replace(proved_at).is_none() {
                    log::info!(replica:? = self.replica; "configuration is proved to be current");
                }
            }
        }
    }

    fn pass_on(&self, news: LimitUpdate) {
        // A proxy without tenants does not listen.
        let _ = self.limits.send(news);
    }

    fn close(&mut self) {
        self.connection = Connection::Closed;
        self.metrics.connected.set(0);
    }

    fn publish(&mut self) {
        if !std::mem::take(&mut self.unpublished) {
            return;
        }
        let view = Arc::new(self.state.in_force().clone());
        self.metrics.revision.set(i64::try_from(view.revision.0).unwrap_or(i64::MAX));
        log::debug!(revision = view.revision.0; "configuration in force");
        self.syncer.sync(Arc::clone(&view));
        self.publish.send_replace(view);
    }
}
