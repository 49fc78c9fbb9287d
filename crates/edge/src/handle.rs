//! Starts and drains the edge.
//!
//! Holds the arbiters, their accept loops and the drain phase; `startup` serves or refuses each
//! accepted connection.

use crate::context::{ArbiterContext, DrainPhase};
use crate::credentials::Credentials;
use crate::error::{EdgeError, Rejection};
use crate::link::LinkPool;
use crate::metrics::EdgeMetrics;
use crate::retry::RetryScheduler;
use crate::route::OwnerIncarnation;
use crate::sessions::SessionTable;
use crate::settings::EdgeSettings;
use crate::startup::{refuse_connection, serve_connection};
use crate::times::{ACCEPT_RETRY_INTERVAL, ENDING_TIMEOUT};
use actix_rt::Arbiter;
use corktack_core::classify::ProfileCache;
use corktack_core::view::View;
use corktack_tasks::essential;
use futures_util::FutureExt;
use prometheus_client::registry::Registry;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Profiles of SQL texts that each arbiter caches. With fewer, texts are classified repeatedly; with
/// more, long texts cost memory.
const PROFILE_CACHE_ENTRIES: usize = 4_096;

/// Entry point that starts an edge.
#[derive(Debug)]
pub struct Edge;

/// A running edge. [`EdgeHandle::drain`] stops it.
#[derive(Debug)]
pub struct EdgeHandle {
    address: SocketAddr,
    drain_timeout: Duration,
    phase: watch::Sender<DrainPhase>,
    /// Closes once all sessions and accept loops have ended.
    sessions_done: mpsc::Receiver<()>,
    /// Closes once no refusal is in progress and no arbiter accepts connections any more.
    refusals_done: mpsc::Receiver<()>,
    arbiters: Vec<Arbiter>,
}

impl Edge {
    /// Starts the arbiters, which serve callers on the listener until [`EdgeHandle::drain`] is called.
    ///
    /// # Errors
    /// Returns an [`EdgeError`] if the settings ask for no arbiters, the listener cannot be used, or an
    /// arbiter does not start.
    pub fn start(
        settings: EdgeSettings,
        listener: StdListener,
        view: watch::Receiver<Arc<View>>,
        registry: &mut Registry,
    ) -> Result<EdgeHandle, EdgeError> {
        if settings.arbiters == 0 {
            return Err(EdgeError::NoArbiters);
        }
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (phase, drain) = watch::channel(DrainPhase::Running);
        let (session_guard, sessions_done) = mpsc::channel(1);
        let (refusal_guard, refusals_done) = mpsc::channel(1);
        let drain_timeout = settings.drain_timeout;
        let shared = SharedState {
            sessions: SessionTable::new(settings.connection_limit),
            metrics: EdgeMetrics::register(registry),
            settings: Arc::new(settings),
            view,
            drain,
            session_guard,
            refusal_guard,
        };
        let mut arbiters = Vec::new();
        for arbiter_index in 0..shared.settings.arbiters {
            arbiters.push(start_arbiter(arbiter_index, shared.clone(), listener.try_clone()?)?);
        }
        Ok(EdgeHandle { address, drain_timeout, phase, sessions_done, refusals_done, arbiters })
    }
}

impl EdgeHandle {
    /// Returns the address of the callers' listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the edge: refuses new callers, waits until transactions in flight have finished, closes
    /// sessions of idle callers, and returns once no session is left. Transactions still open after the
    /// drain timeout are rolled back.
    pub async fn drain(mut self) {
        self.phase.send_replace(DrainPhase::Draining);
        if timeout(self.drain_timeout, self.sessions_done.recv()).await.is_err() {
            log::warn!(
                address = self.address.to_string().as_str();
                "drain of the edge timed out, the remaining sessions are ended"
            );
            self.phase.send_replace(DrainPhase::Ending);
            let _ = timeout(ENDING_TIMEOUT, self.sessions_done.recv()).await;
        }
        self.phase.send_replace(DrainPhase::Ending);
        let _ = timeout(ENDING_TIMEOUT, self.refusals_done.recv()).await;
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
    }
}

/// State shared by all arbiters.
#[derive(Clone)]
struct SharedState {
    settings: Arc<EdgeSettings>,
    view: watch::Receiver<Arc<View>>,
    sessions: Arc<SessionTable>,
    metrics: EdgeMetrics,
    drain: watch::Receiver<DrainPhase>,
    session_guard: mpsc::Sender<()>,
    refusal_guard: mpsc::Sender<()>,
}

fn start_arbiter(
    arbiter_index: usize,
    shared: SharedState,
    listener: StdListener,
) -> Result<Arbiter, EdgeError> {
    let arbiter = Arbiter::new();
    let started = arbiter.spawn_fn(move || match TcpListener::from_std(listener) {
        Ok(listener) => {
            let accepting = accept_callers(arbiter_index, shared, listener);
            actix_rt::spawn(essential("accept-callers", accepting));
        }
        Err(error) => {
            log::error!(
                cause = error.to_string().as_str();
                "callers' listener cannot be used, the arbiter accepts no callers"
            );
        }
    });
    if started { Ok(arbiter) } else { Err(EdgeError::ArbiterStopped) }
}

fn new_context(arbiter_index: usize, shared: &SharedState) -> Rc<ArbiterContext> {
    let identity = OwnerIncarnation {
        proxy: shared.settings.proxy.clone(),
        incarnation: shared.settings.incarnation,
    };
    let retry_seed = shared.settings.retry_seed.wrapping_add(arbiter_index as u64);
    Rc::new(ArbiterContext {
        settings: shared.settings.clone(),
        view: shared.view.clone(),
        links: LinkPool::new(identity, shared.view.clone()),
        metrics: shared.metrics.clone(),
        sessions: shared.sessions.clone(),
        drain_phase: shared.drain.clone(),
        profiles: RefCell::new(ProfileCache::new(PROFILE_CACHE_ENTRIES)),
        credentials: Credentials::from_settings(&shared.settings.authentication),
        retries: RefCell::new(RetryScheduler::new(retry_seed)),
    })
}

/// Accepts and serves callers until the edge drains, then refuses new callers until all sessions have
/// to end.
async fn accept_callers(arbiter_index: usize, shared: SharedState, listener: TcpListener) {
    let context = new_context(arbiter_index, &shared);
    let SharedState { mut drain, session_guard, refusal_guard, .. } = shared;
    while let Some((stream, source)) =
        accept_next(&listener, &mut drain, DrainPhase::Draining).await
    {
        admit(&session_guard, &refusal_guard, &context, stream, source);
    }
    drop(session_guard);
    while let Some((stream, _)) = accept_next(&listener, &mut drain, DrainPhase::Ending).await {
        refuse(&refusal_guard, &context, stream, Rejection::Draining);
    }
    // Connections that the kernel completed before the listener closes are refused with an error as
    // well.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        refuse(&refusal_guard, &context, stream, Rejection::Draining);
    }
}

/// Accepts the next caller. Returns nothing once the drain has reached `end_phase`.
async fn accept_next(
    listener: &TcpListener,
    drain: &mut watch::Receiver<DrainPhase>,
    end_phase: DrainPhase,
) -> Option<(TcpStream, SocketAddr)> {
    loop {
        let accepted = tokio::select! {
            biased;
            _ = drain.wait_for(|phase| *phase >= end_phase) => return None,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(accepted) => return Some(accepted),
            Err(error) => {
                log::warn!(
                    cause = error.to_string().as_str();
                    "a caller's connection cannot be accepted, the accept loop retries after a pause"
                );
                actix_rt::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

fn admit(
    session_guard: &mpsc::Sender<()>,
    refusal_guard: &mpsc::Sender<()>,
    context: &Rc<ArbiterContext>,
    stream: TcpStream,
    source: SocketAddr,
) {
    let Some(permit) = context.sessions.try_admit() else {
        refuse(refusal_guard, context, stream, Rejection::TooManyConnections);
        return;
    };
    let (session_guard, context) = (session_guard.clone(), context.clone());
    actix_rt::spawn(async move {
        context.metrics.connections.inc();
        serve_connection(context.clone(), stream, source.ip()).await;
        context.metrics.connections.dec();
        drop((permit, session_guard));
    });
}

fn refuse(
    refusal_guard: &mpsc::Sender<()>,
    context: &Rc<ArbiterContext>,
    stream: TcpStream,
    rejection: Rejection,
) {
    let (refusal_guard, context) = (refusal_guard.clone(), context.clone());
    actix_rt::spawn(async move {
        refuse_connection(&context, stream, &rejection).await;
        drop(refusal_guard);
    });
}
