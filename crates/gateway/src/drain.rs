//! Performs a planned stop of a gateway: its sessions end between two statements, and statements that run at a
//! member are awaited.
//!
//! [`StopProgress`] tells the sessions and tunnels how far the stop is; they end themselves.

use crate::shared::GatewayContext;
use crate::wire::Wire;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until, timeout_at};

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// Callers are served; before a stop, and during its notice.
    Serving,
    /// Sessions outside a transaction end when they have been idle for a short time. Other gateways get no
    /// more connections.
    EndingIdleSessions,
    /// Sessions outside a transaction end after their next answer as well.
    EndingSessions,
    /// Open transactions are rolled back once no statement of theirs runs, and no statement is begun.
    Closing,
}

/// Progress of a planned stop, and the work that it waits for.
#[derive(Debug)]
pub(crate) struct StopProgress {
    phase: watch::Sender<StopPhase>,
    /// Number of open sessions of callers.
    sessions: Cell<usize>,
    /// Number of requests of other gateways in progress; one that has borrowed a connection is in progress
    /// until it returns the connection.
    peer_requests: Cell<usize>,
    work_ended: Notify,
}

impl StopProgress {
    pub(crate) fn new() -> Self {
        Self {
            phase: watch::Sender::new(StopPhase::Serving),
            sessions: Cell::new(0),
            peer_requests: Cell::new(0),
            work_ended: Notify::new(),
        }
    }

    /// Reports whether the stop is at the given phase or past it.
    pub(crate) fn has_reached(&self, phase: StopPhase) -> bool {
        *self.phase.borrow() >= phase
    }

    /// Waits until the stop is at the given phase or past it.
    pub(crate) async fn reached(&self, phase: StopPhase) {
        let mut phases = self.phase.subscribe();
        // The sender lives as long as this object.
        drop(phases.wait_for(|now| *now >= phase).await);
    }

    /// Returns the number of open sessions.
    pub(crate) fn sessions(&self) -> usize {
        self.sessions.get()
    }

    /// Counts a session until the guard is dropped.
    pub(crate) fn count_session(&self) -> WorkGuard<'_> {
        WorkGuard::new(&self.sessions, &self.work_ended)
    }

    /// Counts a request of another gateway until the guard is dropped.
    pub(crate) fn count_peer_request(&self) -> WorkGuard<'_> {
        WorkGuard::new(&self.peer_requests, &self.work_ended)
    }

    async fn all_work_ended(&self) {
        while self.sessions.get() > 0 || self.peer_requests.get() > 0 {
            self.work_ended.notified().await;
        }
    }
}

/// Counts one piece of work that a stop waits for.
pub(crate) struct WorkGuard<'p> {
    count: &'p Cell<usize>,
    ended: &'p Notify,
}

impl<'p> WorkGuard<'p> {
    fn new(count: &'p Cell<usize>, ended: &'p Notify) -> Self {
        count.set(count.get() + 1);
        Self { count, ended }
    }
}

impl Drop for WorkGuard<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
        self.ended.notify_waiters();
    }
}

/// Ends the sessions, and waits until they and the requests of other gateways have ended, for at most
/// [`GatewaySettings::stop_limit`](crate::GatewaySettings::stop_limit). No statement begins afterwards.
pub(crate) async fn drain<W: Wire>(shared: &Rc<GatewayContext<W>>) {
    let (stop, settings) = (&shared.stop, &shared.settings);
    let began = Instant::now();
    sleep_until(began + settings.drain_notice).await;
    enter(stop, StopPhase::EndingIdleSessions);
    let idle_end = began + settings.drain_notice + settings.transaction_grace / 2;
    let mut ended = timeout_at(idle_end, stop.all_work_ended()).await;
    if ended.is_err() {
        enter(stop, StopPhase::EndingSessions);
        let transactions_end = began + settings.drain_notice + settings.transaction_grace;
        ended = timeout_at(transactions_end, stop.all_work_ended()).await;
    }
    enter(stop, StopPhase::Closing);
    if ended.is_err()
        && timeout_at(began + settings.stop_limit, stop.all_work_ended()).await.is_err()
    {
        log::warn!(
            sessions = stop.sessions.get(), peer_requests = stop.peer_requests.get();
            "sessions still open at the end of a planned stop"
        );
    }
}

fn enter(stop: &StopProgress, phase: StopPhase) {
    log::info!(
        phase:? = phase, sessions = stop.sessions.get(), peer_requests = stop.peer_requests.get();
        "planned stop advances"
    );
    stop.phase.send_replace(phase);
}
