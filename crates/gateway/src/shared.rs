//! What all sessions and tunnels of a gateway share.
//!
//! It is for the parts that serve somebody: sessions of callers, other gateways, the planned stop. It owns
//! the routes, the limits, the metrics and the signs of a planned stop. It relies on
//! [`handle`](crate::handle) to say when there is a configuration.

use crate::clock::SteadyClock;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::routes::Routes;
use crate::settings::GatewaySettings;
use crate::wire::Wire;
use corktack_core::time::Timestamp;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Longest time that the start of a session waits for the first configuration; longer in the first
/// moments of the process, when control is about to tell it. After a loss of all machines of the users'
/// large deployments it came 0.4 to 1.1 s after the start; callers wait 2 s for the start of a session.
const DOCUMENT_LIMIT: Duration = Duration::from_millis(100);
const FIRST_DOCUMENT_LIMIT: Duration = Duration::from_millis(1_200);

/// What all sessions of a gateway share.
pub(crate) struct Shared<W: Wire> {
    pub(crate) wire: W,
    pub(crate) settings: Rc<GatewaySettings>,
    pub(crate) routes: Routes<W>,
    pub(crate) metrics: Metrics,
    pub(crate) limits: Rc<Limits>,
    pub(crate) sessions: Cell<usize>,
    pub(crate) stopping: Cell<bool>,
    pub(crate) stop_began: Notify,
    pub(crate) transactions_over: Notify,
    pub(crate) session_ended: Notify,
    document_came: Notify,
    started: Instant,
    clock: SteadyClock,
}

impl<W: Wire> Shared<W> {
    pub(crate) fn new(
        wire: W,
        settings: Rc<GatewaySettings>,
        routes: Routes<W>,
        metrics: Metrics,
        limits: Limits,
        clock: SteadyClock,
    ) -> Self {
        Self {
            routes,
            wire,
            settings,
            metrics,
            limits: Rc::new(limits),
            sessions: Cell::new(0),
            stopping: Cell::new(false),
            stop_began: Notify::new(),
            transactions_over: Notify::new(),
            session_ended: Notify::new(),
            document_came: Notify::new(),
            started: Instant::now(),
            clock,
        }
    }

    /// There is a configuration to go by: wakes those who wait for one.
    pub(crate) fn record_document(&self) {
        self.document_came.notify_waiters();
    }

    /// The steady time.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Waits until there is a configuration to go by; says whether there is one.
    pub(crate) async fn wait_for_document(&self) -> bool {
        let until = (Instant::now() + DOCUMENT_LIMIT).max(self.started + FIRST_DOCUMENT_LIMIT);
        self.wait_for_document_until(until).await
    }

    /// Waits for a configuration until this time; says whether there is one.
    pub(crate) async fn wait_for_document_until(&self, until: Instant) -> bool {
        while !self.routes.has_document() {
            if timeout_at(until, self.document_came.notified()).await.is_err() {
                return false;
            }
        }
        true
    }
}
