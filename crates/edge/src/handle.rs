//! Starts and stops the edge.
//!
//! The module owns the arbiters, the accept loops and the phases of a drain; it relies on `startup` to serve or
//! refuse each connection.

use crate::context::{ArbiterContext, DrainPhase};
use crate::credentials::Credentials;
use crate::error::{EdgeError, Rejection};
use crate::link::LinkPool;
use crate::metrics::EdgeMetrics;
use crate::retry::Retries;
use crate::route::OwnerIncarnation;
use crate::sessions::SessionTable;
use crate::settings::EdgeSettings;
use crate::startup::{refuse_connection, serve_connection};
use crate::times::{ACCEPT_PAUSE, ENDING_LIMIT};
use actix_rt::Arbiter;
use corktack_core::classify::ProfileCache;
use corktack_core::view::View;
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

/// Profiles of texts that each arbiter keeps. Chosen, not measured: with fewer, texts are classified again
/// and again, with more, long texts cost memory.
const PROFILE_LIMIT: usize = 4_096;

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
    /// Closes once no caller is being refused and nobody listens.
    refusing: mpsc::Receiver<()>,
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
        let (refuser, refusing) = mpsc::channel(1);
        let drain_timeout = settings.drain_timeout;
        let shared = Shared {
            sessions: SessionTable::new(settings.connection_limit),
            metrics: EdgeMetrics::register(registry),
            settings: Arc::new(settings),
            view,
            drain,
            worker,
            refuser,
        };
        let mut arbiters = Vec::new();
        for number in 0..shared.settings.arbiters {
            arbiters.push(start_arbiter(number, shared.clone(), listener.try_clone()?)?);
        }
        Ok(EdgeHandle { address, drain_timeout, phase, working, refusing, arbiters })
    }
}

impl EdgeHandle {
    /// Address of the callers' listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new callers, lets transactions in flight finish, tells idle callers
    /// to reconnect, and returns when no session is left. Transactions that are
    /// still open after the drain timeout are lost.
    pub async fn drain(mut self) {
        self.phase.send_replace(DrainPhase::Draining);
        if timeout(self.drain_timeout, self.working.recv()).await.is_err() {
            log::warn!(address = self.address.to_string().as_str(); "drain of the edge timed out");
            self.phase.send_replace(DrainPhase::Ending);
            let _ = timeout(ENDING_LIMIT, self.working.recv()).await;
        }
        self.phase.send_replace(DrainPhase::Ending);
        let _ = timeout(ENDING_LIMIT, self.refusing.recv()).await;
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
    refuser: mpsc::Sender<()>,
}

fn start_arbiter(
    number: usize,
    shared: Shared,
    listener: StdListener,
) -> Result<Arbiter, EdgeError> {
    let arbiter = Arbiter::new();
    let started = arbiter.spawn_fn(move || match TcpListener::from_std(listener) {
        Ok(listener) => drop(actix_rt::spawn(accept(number, shared, listener))),
        Err(error) => {
            log::error!(cause = error.to_string().as_str(); "callers' listener cannot be used");
        }
    });
    if started { Ok(arbiter) } else { Err(EdgeError::ArbiterStopped) }
}

fn context(number: usize, shared: &Shared) -> Rc<ArbiterContext> {
    let identity = OwnerIncarnation {
        proxy: shared.settings.proxy.clone(),
        incarnation: shared.settings.incarnation,
    };
    let retry_seed = shared.settings.retry_seed.wrapping_add(number as u64);
    Rc::new(ArbiterContext {
        settings: shared.settings.clone(),
        view: shared.view.clone(),
        links: LinkPool::new(identity, shared.view.clone()),
        metrics: shared.metrics.clone(),
        sessions: shared.sessions.clone(),
        drain: shared.drain.clone(),
        profiles: RefCell::new(ProfileCache::new(PROFILE_LIMIT)),
        credentials: Credentials::of(&shared.settings.authentication),
        retries: RefCell::new(Retries::new(retry_seed)),
    })
}

/// Serves new callers until the edge drains, then refuses them until it ends.
async fn accept(number: usize, shared: Shared, listener: TcpListener) {
    let context = context(number, &shared);
    let Shared { mut drain, worker, refuser, .. } = shared;
    while let Some((stream, source)) =
        next_caller(&listener, &mut drain, DrainPhase::Draining).await
    {
        admit(&worker, &refuser, &context, stream, source);
    }
    drop(worker);
    while let Some((stream, _)) = next_caller(&listener, &mut drain, DrainPhase::Ending).await {
        refuse(&refuser, &context, stream, Rejection::Draining);
    }
    // Those who were connected before the listener closes get an answer as well.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        refuse(&refuser, &context, stream, Rejection::Draining);
    }
}

/// The next caller, or nothing once the edge has come to the phase.
async fn next_caller(
    listener: &TcpListener,
    drain: &mut watch::Receiver<DrainPhase>,
    last: DrainPhase,
) -> Option<(TcpStream, SocketAddr)> {
    loop {
        let accepted = tokio::select! {
            biased;
            _ = drain.wait_for(|phase| *phase >= last) => return None,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(accepted) => return Some(accepted),
            Err(error) => {
                log::warn!(cause = error.to_string().as_str(); "caller was not accepted");
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn admit(
    worker: &mpsc::Sender<()>,
    refuser: &mpsc::Sender<()>,
    context: &Rc<ArbiterContext>,
    stream: TcpStream,
    source: SocketAddr,
) {
    let Some(permit) = context.sessions.admit() else {
        refuse(refuser, context, stream, Rejection::TooManyConnections);
        return;
    };
    let (worker, context) = (worker.clone(), context.clone());
    actix_rt::spawn(async move {
        context.metrics.connections.inc();
        serve_connection(context.clone(), stream, source.ip()).await;
        context.metrics.connections.dec();
        drop((permit, worker));
    });
}

fn refuse(
    refuser: &mpsc::Sender<()>,
    context: &Rc<ArbiterContext>,
    stream: TcpStream,
    rejection: Rejection,
) {
    let (refuser, context) = (refuser.clone(), context.clone());
    actix_rt::spawn(async move {
        refuse_connection(&context, stream, &rejection).await;
        drop(refuser);
    });
}
