//! Starts and stops the edge.

use crate::caller::CallerSocket;
use crate::context::{ArbiterContext, DrainPhase};
use crate::error::{EdgeError, Rejection};
use crate::link::{LinkPool, OwnerLife};
use crate::metrics::EdgeMetrics;
use crate::retry::RetryBudget;
use crate::sessions::SessionTable;
use crate::settings::EdgeSettings;
use crate::startup::serve_connection;
use actix_rt::Arbiter;
use corktack_core::classify::ProfileCache;
use corktack_core::view::View;
use prometheus_client::registry::Registry;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Profiles that each arbiter keeps.
const PROFILE_LIMIT: usize = 4_096;
/// Wait after the listener failed, for instance for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for sessions that were told to end at once.
const ENDING_LIMIT: Duration = Duration::from_secs(5);

/// Starts edges.
#[derive(Debug)]
pub struct Edge;

/// A running edge.
#[derive(Debug)]
pub struct EdgeHandle {
    address: SocketAddr,
    drain_timeout: Duration,
    phase: watch::Sender<DrainPhase>,
    /// Closes once no session and no accept loop is left.
    working: mpsc::Receiver<()>,
    arbiters: Vec<Arbiter>,
}

impl Edge {
    /// Serves callers on the listener until the handle is drained.
    ///
    /// # Errors
    /// [`EdgeError`] when the listener cannot be used or a thread does not start.
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
        let (worker, working) = mpsc::channel(1);
        let drain_timeout = settings.drain_timeout;
        let shared = Shared {
            sessions: SessionTable::new(settings.connection_limit),
            metrics: EdgeMetrics::register(registry),
            settings: Arc::new(settings),
            view,
            drain,
            worker,
        };
        let mut arbiters = Vec::new();
        for _ in 0..shared.settings.arbiters {
            arbiters.push(start_arbiter(shared.clone(), listener.try_clone()?)?);
        }
        Ok(EdgeHandle { address, drain_timeout, phase, working, arbiters })
    }
}

impl EdgeHandle {
    /// Address of the callers' listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new callers, lets transactions in flight finish, tells idle callers
    /// to reconnect, and returns when no session is left. Transactions that are
    /// still open after the drain timeout are lost.
    pub async fn drain(mut self) {
        self.phase.send_replace(DrainPhase::Draining);
        if timeout(self.drain_timeout, self.working.recv()).await.is_err() {
            log::warn!(address = self.address.to_string().as_str(); "drain of the edge timed out");
            self.phase.send_replace(DrainPhase::Ending);
            let _ = timeout(ENDING_LIMIT, self.working.recv()).await;
        }
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
    }
}

/// What the arbiters share.
#[derive(Clone)]
struct Shared {
    settings: Arc<EdgeSettings>,
    view: watch::Receiver<Arc<View>>,
    sessions: Arc<SessionTable>,
    metrics: EdgeMetrics,
    drain: watch::Receiver<DrainPhase>,
    worker: mpsc::Sender<()>,
}

fn start_arbiter(shared: Shared, listener: StdListener) -> Result<Arbiter, EdgeError> {
    let arbiter = Arbiter::new();
    let started = arbiter.spawn_fn(move || match TcpListener::from_std(listener) {
        Ok(listener) => drop(actix_rt::spawn(accept(shared, listener))),
        Err(error) => {
            log::error!(cause = error.to_string().as_str(); "callers' listener cannot be used");
        }
    });
    if started { Ok(arbiter) } else { Err(EdgeError::ArbiterStopped) }
}

fn context(shared: &Shared) -> Rc<ArbiterContext> {
    let identity = OwnerLife {
        proxy: shared.settings.proxy.clone(),
        incarnation: shared.settings.incarnation,
    };
    Rc::new(ArbiterContext {
        settings: shared.settings.clone(),
        view: shared.view.clone(),
        links: LinkPool::new(identity, shared.settings.own_owner, shared.view.clone()),
        metrics: shared.metrics.clone(),
        sessions: shared.sessions.clone(),
        drain: shared.drain.clone(),
        profiles: RefCell::new(ProfileCache::new(PROFILE_LIMIT)),
        retries: RefCell::new(RetryBudget::default()),
    })
}

async fn accept(shared: Shared, listener: TcpListener) {
    let context = context(&shared);
    let mut drain = shared.drain.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = drain.wait_for(|phase| *phase != DrainPhase::Running) => return,
        };
        match accepted {
            Ok((stream, source)) => admit(&shared, &context, stream, source),
            Err(error) => {
                log::warn!(cause = error.to_string().as_str(); "caller was not accepted");
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn admit(shared: &Shared, context: &Rc<ArbiterContext>, stream: TcpStream, source: SocketAddr) {
    let worker = shared.worker.clone();
    let context = context.clone();
    let Some(permit) = shared.sessions.admit() else {
        actix_rt::spawn(async move {
            let caller = CallerSocket::new(stream, context.settings.startup_timeout);
            caller.finish(&Rejection::TooManyConnections).await;
            drop(worker);
        });
        return;
    };
    actix_rt::spawn(async move {
        context.metrics.connections.inc();
        serve_connection(context.clone(), stream, source.ip()).await;
        context.metrics.connections.dec();
        drop((permit, worker));
    });
}
