//! State shared by all sessions and tunnels of a gateway: routes, limits, metrics, and the progress of a
//! planned stop.
//!
//! [`handle`](crate::handle) reports when the first configuration is there; [`drain`](crate::drain) advances
//! the planned stop.

use crate::byte_budget::ByteBudget;
use crate::clock::SteadyClock;
use crate::drain::StopProgress;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::routes::Routes;
use crate::settings::GatewaySettings;
use crate::wire::Wire;
use corktack_clients::Clients;
use corktack_core::time::Timestamp;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Longest wait of a session's start for the first configuration.
const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after the gateway's start until which sessions wait for the first configuration in any case. After a
/// loss of all machines of a large deployment the configuration comes 0.4 to 1.1 s after the start; callers
/// wait 2 s for the start of a session.
const FIRST_DOCUMENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// State shared by all sessions of a gateway.
pub(crate) struct GatewayContext<W: Wire> {
    pub(crate) wire: W,
    pub(crate) settings: Rc<GatewaySettings>,
    pub(crate) routes: Routes<W>,
    pub(crate) metrics: Metrics,
    pub(crate) limits: Rc<Limits>,
    /// Callers' connections.
    pub(crate) callers: Rc<Clients>,
    /// Budget of the statements of other gateways.
    pub(crate) peer_statements: Rc<ByteBudget>,
    /// Progress of a planned stop, and the work that it waits for.
    pub(crate) stop: StopProgress,
    document_arrived: Notify,
    started_at: Instant,
    clock: SteadyClock,
}

impl<W: Wire> GatewayContext<W> {
    pub(crate) fn new(
        wire: W,
        settings: Rc<GatewaySettings>,
        routes: Routes<W>,
        metrics: Metrics,
        limits: Limits,
        callers: Rc<Clients>,
        clock: SteadyClock,
    ) -> Self {
        let peer_statements = ByteBudget::new(settings.max_peer_bytes);
        Self {
            routes,
            wire,
            settings,
            metrics,
            limits: Rc::new(limits),
            callers,
            peer_statements,
            stop: StopProgress::new(),
            document_arrived: Notify::new(),
            started_at: Instant::now(),
            clock,
        }
    }

    /// Wakes the tasks that wait for a configuration.
    pub(crate) fn notify_document(&self) {
        self.document_arrived.notify_waiters();
    }

    /// Returns the time on the gateway's steady clock.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Waits for a configuration at the start of a session; reports whether there is one.
    pub(crate) async fn wait_for_document(&self) -> bool {
        let until =
            (Instant::now() + DOCUMENT_TIMEOUT).max(self.started_at + FIRST_DOCUMENT_TIMEOUT);
        self.wait_for_document_until(until).await
    }

    /// Waits for a configuration until the given time; reports whether there is one.
    pub(crate) async fn wait_for_document_until(&self, until: Instant) -> bool {
        while !self.routes.has_document() {
            if timeout_at(until, self.document_arrived.notified()).await.is_err() {
                return false;
            }
        }
        true
    }
}
