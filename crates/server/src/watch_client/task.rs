//! The task that performs the actions of the watch's state machine.
//!
//! The task owns the connection, the published configuration and the input channels. The state machine
//! makes every decision; the syncer reports which revision is on disk.

use super::connection::{Connection, ConnectionEvent};
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

/// Connection events handled in one burst before the resulting configuration is published. A lower value
/// publishes more often in a burst, a higher one later.
const MAX_MESSAGES_BEFORE_PUBLISH: usize = 256;

/// The parts that the task is started with.
pub(super) struct WatchTask {
    pub(super) settings: WatchSettings,
    pub(super) stored: View,
    pub(super) connect_timeout: Duration,
    pub(super) syncer: Syncer,
    pub(super) inputs: WatchInputs,
    pub(super) requests: mpsc::UnboundedReceiver<Request>,
    pub(super) view_sender: watch::Sender<Arc<View>>,
    pub(super) confirmed_current: watch::Sender<Option<Instant>>,
    pub(super) metrics: WatchMetrics,
}

impl WatchTask {
    /// Runs the watch until a stop is requested or the handle is dropped.
    pub(super) async fn run(self) {
        let origin = Instant::now();
        let send_timeout = self.settings.silence_timeout;
        let state = WatchState::new(self.settings, self.stored, Timestamp::ZERO);
        let WatchInputs { observations, allowance_reports, limit_updates } = self.inputs;
        let driver = Driver {
            limit_updates,
            origin,
            state,
            connection: Connection::Closed,
            replica: None,
            connect_timeout: self.connect_timeout,
            send_timeout,
            syncer: self.syncer,
            view_sender: self.view_sender,
            confirmed_current: self.confirmed_current,
            metrics: self.metrics,
            has_unpublished_view: false,
        };
        driver.run(observations, allowance_reports, self.requests).await;
    }
}

/// Feeds events to the state machine and performs its actions.
struct Driver {
    origin: Instant,
    state: WatchState,
    connection: Connection,
    /// Replica of the open connection, or of the last one that was open.
    replica: Option<SocketAddr>,
    connect_timeout: Duration,
    send_timeout: Duration,
    syncer: Syncer,
    view_sender: watch::Sender<Arc<View>>,
    confirmed_current: watch::Sender<Option<Instant>>,
    metrics: WatchMetrics,
    /// Receives control's grants and the terms of newly elected leaders.
    limit_updates: mpsc::UnboundedSender<LimitUpdate>,
    has_unpublished_view: bool,
}

impl Driver {
    async fn run(
        mut self,
        mut observations: mpsc::UnboundedReceiver<Observation>,
        mut allowance_reports: mpsc::UnboundedReceiver<AllowanceReport>,
        mut requests: mpsc::UnboundedReceiver<Request>,
    ) {
        loop {
            let deadline = tokio::time::Instant::from_std(self.to_instant(self.state.deadline()));
            tokio::select! {
                request = requests.recv() => match request {
                    Some(Request::Drain) => self.handle(Event::Draining).await,
                    Some(Request::Stop) | None => return,
                },
                Some(first) = observations.recv() => {
                    let mut observed = vec![first];
                    while let Ok(observation) = observations.try_recv() {
                        observed.push(observation);
                    }
                    self.handle(Event::Observed(observed)).await;
                }
                Some(report) = allowance_reports.recv() => {
                    self.handle(Event::Allowances(report)).await;
                }
                Some(revision) = self.syncer.next_synced() => {
                    self.handle(Event::Synced(revision)).await;
                }
                event = self.connection.next_event() => self.handle_connection_events(event).await,
                () = tokio::time::sleep_until(deadline) => self.handle(Event::Tick).await,
            }
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    fn to_instant(&self, time: Timestamp) -> Instant {
        self.origin + time.saturating_since(Timestamp::ZERO)
    }

    /// Handles a connection event and those that are available without waiting, then publishes once.
    async fn handle_connection_events(&mut self, first: ConnectionEvent) {
        let mut next = Some(first);
        let mut handled = 0;
        while let Some(event) = next.take() {
            let watch_event = self.translate_event(event);
            self.handle(watch_event).await;
            handled += 1;
            if handled < MAX_MESSAGES_BEFORE_PUBLISH {
                next = self.connection.next_event().now_or_never();
            }
        }
        self.publish_view();
    }

    fn translate_event(&mut self, event: ConnectionEvent) -> Event {
        match event {
            ConnectionEvent::Opened(replica) => {
                self.replica = replica;
                self.metrics.connections.inc();
                self.metrics.connected.set(1);
                Event::Connected
            }
            ConnectionEvent::Lost(error) => {
                log::info!(replica:? = self.replica, error:% = error; "connection to control lost");
                self.metrics.connected.set(0);
                Event::Disconnected
            }
            ConnectionEvent::Message(message) => Event::Message(*message),
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
                let timeout = self.state.connect_timeout(self.connect_timeout);
                self.connection = Connection::open(replicas, timeout);
            }
            Action::Disconnect => {
                log::warn!(
                    replica:? = self.replica;
                    "control replica did not confirm in time that it is current: another is tried"
                );
                self.close_connection();
            }
            Action::Send(message) => {
                if let Err(error) = self.connection.send(message, self.send_timeout).await {
                    log::info!(
                        replica:? = self.replica, error:% = error; "connection to control lost"
                    );
                    self.close_connection();
                    // The state machine answers a lost connection with no action: it only sets the time of
                    // the next attempt.
                    let now = self.now();
                    let _ = self.state.handle(now, Event::Disconnected);
                }
            }
            Action::Publish => self.has_unpublished_view = true,
            Action::LeaderElected(term) => {
                self.forward_limit_update(LimitUpdate::LeaderElected(term))
            }
            Action::ForwardGrant(grant) => self.forward_limit_update(LimitUpdate::Granted(grant)),
            Action::ConfirmedCurrent => {
                self.publish_view();
                let confirmed_at = self.state.confirmed_at().map(|time| self.to_instant(time));
                if self.confirmed_current.send_replace(confirmed_at).is_none() {
                    log::info!(replica:? = self.replica; "configuration is confirmed current");
                }
            }
        }
    }

    fn forward_limit_update(&self, update: LimitUpdate) {
        // A proxy without tenants has dropped the receiver.
        let _ = self.limit_updates.send(update);
    }

    fn close_connection(&mut self) {
        self.connection = Connection::Closed;
        self.metrics.connected.set(0);
    }

    fn publish_view(&mut self) {
        if !std::mem::take(&mut self.has_unpublished_view) {
            return;
        }
        let view = Arc::new(self.state.in_force().clone());
        self.metrics.revision.set(i64::try_from(view.revision.0).unwrap_or(i64::MAX));
        log::debug!(revision = view.revision.0; "configuration in force");
        self.syncer.sync(Arc::clone(&view));
        self.view_sender.send_replace(view);
    }
}
