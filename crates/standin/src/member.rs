//! One running member of a stand-in group.
//!
//! Owns the member's threads, its listeners and what its parts share; it relies on the data folder for what
//! outlives it. Dropping the handle ends the member without finishing what is in flight.

use crate::applier::apply_committed;
use crate::entry::LogEntry;
use crate::error::{DurableError, MemberError};
use crate::log_file::{self, DurableLog};
use crate::promise::DurablePromise;
use crate::replication::{Replication, ReplicationError, ReplicationStatus, State, sender, server};
use crate::session::grouped::WriteQueue;
use crate::shared::{Shared, open_engine};
use crate::wire::cancel::CancelRegistry;
use crate::wire::connection;
use corktack_core::identity::MemberName;
use corktack_core::position::{Position, Term};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{Mutex, oneshot, watch};

/// Term of the first primary of a fresh group.
const FIRST_TERM: Term = Term(1);
/// Cost of a new connection unless set otherwise.
pub const DEFAULT_CONNECTION_COST: Duration = Duration::from_millis(10);
/// Connection limit unless set otherwise.
pub const DEFAULT_CONNECTION_LIMIT: usize = 100;

/// Another member of the group.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: MemberName,
    /// Where it takes replication connections.
    pub replication: SocketAddr,
}

/// How a member runs.
#[derive(Debug)]
pub struct MemberSettings {
    /// The member's name.
    pub name: MemberName,
    /// Folder of its files; made if it does not exist.
    pub data_folder: PathBuf,
    /// Listener of the PostgreSQL protocol.
    pub postgres: TcpListener,
    /// Listener of the replication protocol.
    pub replication: TcpListener,
    /// The other members of the group.
    pub peers: Vec<Peer>,
    /// Primary of term 1 if the data folder is fresh.
    pub initial_primary: bool,
    /// Most connections of callers.
    pub connection_limit: usize,
    /// What a new connection costs before it is answered.
    pub connection_cost: Duration,
    /// How long a replica waits before it applies a committed entry.
    pub replication_lag: Duration,
}

impl MemberSettings {
    /// Settings with defaults for all that is not given.
    #[must_use]
    pub fn new(
        name: MemberName,
        data_folder: PathBuf,
        postgres: TcpListener,
        replication: TcpListener,
    ) -> Self {
        Self {
            name,
            data_folder,
            postgres,
            replication,
            peers: Vec::new(),
            initial_primary: false,
            connection_limit: DEFAULT_CONNECTION_LIMIT,
            connection_cost: DEFAULT_CONNECTION_COST,
            replication_lag: Duration::ZERO,
        }
    }
}

/// Binds a listener on the loopback interface; port 0 picks a free one.
///
/// # Errors
/// The port is taken.
pub fn bind_loopback(port: u16) -> Result<TcpListener, MemberError> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).map_err(MemberError::Listener)
}

/// Starts members and reads what they left.
pub struct Member;

/// A running member; it ends when the handle is dropped.
pub struct MemberHandle {
    shared: Arc<Shared>,
    postgres: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Member {
    /// Starts a member on threads of its own.
    ///
    /// # Errors
    /// Its files, its engine or its listeners cannot be used.
    pub fn start(settings: MemberSettings) -> Result<MemberHandle, MemberError> {
        let postgres = settings.postgres.local_addr().map_err(MemberError::Listener)?;
        let shared = Arc::new(open_shared(&settings)?);
        let (stop, stopped) = oneshot::channel();
        let (report, started) = mpsc::channel();
        let running = shared.clone();
        let name = format!("standin-{}", settings.name);
        let body = move || run_member(settings, &running, &report, stopped);
        let thread = std::thread::Builder::new().name(name).spawn(body);
        let thread = thread.map_err(MemberError::Thread)?;
        started.recv().map_err(|_| MemberError::Ended)??;
        let (stop, thread) = (Some(stop), Some(thread));
        Ok(MemberHandle { shared, postgres, stop, thread })
    }

    /// Reads the log that a member left in its data folder.
    ///
    /// # Errors
    /// The log cannot be read.
    pub fn read_log(data_folder: &Path) -> Result<Vec<LogEntry>, DurableError> {
        log_file::read_log(data_folder)
    }
}

impl MemberHandle {
    /// Where callers connect.
    #[must_use]
    pub fn postgres_address(&self) -> SocketAddr {
        self.postgres
    }

    /// Term, role and positions now.
    #[must_use]
    pub fn status(&self) -> ReplicationStatus {
        self.shared.replication.status()
    }

    /// What reads on this member see now.
    #[must_use]
    pub fn applied_position(&self) -> Position {
        self.shared.applied_position()
    }

    /// Ends the member without finishing what is in flight, and waits for its threads.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        // Before the sessions end: what they left running cannot be reached after that.
        self.shared.cancels.cancel_all();
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!(member:% = self.shared.name; "the thread of a member panicked");
        }
    }
}

impl Drop for MemberHandle {
    fn drop(&mut self) {
        self.end();
    }
}

fn open_shared(settings: &MemberSettings) -> Result<Shared, MemberError> {
    let folder = &settings.data_folder;
    std::fs::create_dir_all(folder).map_err(DurableError::file(folder))?;
    let (promise, existed) = DurablePromise::open(folder)?;
    let log = DurableLog::open(folder)?;
    let (engine, applied) = open_engine(folder)?;
    let peers = settings.peers.iter().map(|peer| peer.name.clone()).collect();
    let state = State::new(settings.name.clone(), log, promise, peers, applied);
    let replication = Replication::new(state);
    if settings.initial_primary && !existed {
        replication.bootstrap(FIRST_TERM).map_err(bootstrap_error)?;
    }
    Ok(Shared {
        name: settings.name.clone(),
        data_folder: folder.clone(),
        replication: Arc::new(replication),
        writer: Arc::new(Mutex::new(engine)),
        queue: WriteQueue::default(),
        applied: watch::channel(applied).0,
        lag: watch::channel(settings.replication_lag).0,
        cancels: CancelRegistry::default(),
        connection_limit: settings.connection_limit,
        connection_cost: settings.connection_cost,
        connections: AtomicUsize::new(0),
    })
}

fn bootstrap_error(error: ReplicationError) -> MemberError {
    match error {
        ReplicationError::Durable(error) => MemberError::Durable(error),
        _ => MemberError::Ended,
    }
}

/// Body of a member's thread: replication here, callers on an arbiter of their own.
fn run_member(
    settings: MemberSettings,
    shared: &Arc<Shared>,
    report: &mpsc::Sender<Result<(), MemberError>>,
    stopped: oneshot::Receiver<()>,
) {
    let system = actix_rt::System::new();
    let callers = actix_rt::Arbiter::new();
    let started = system.block_on(async {
        start_replication(settings.replication, &settings.peers, shared)?;
        start_callers(settings.postgres, &callers, shared)
    });
    let runs = started.is_ok();
    let _ = report.send(started);
    if runs {
        let _ = system.block_on(stopped);
    }
    callers.stop();
    let _ = callers.join();
}

fn start_replication(
    listener: TcpListener,
    peers: &[Peer],
    shared: &Arc<Shared>,
) -> Result<(), MemberError> {
    let listener = into_async(listener)?;
    actix_rt::spawn(server::serve(listener, shared.replication.clone()));
    for peer in peers.iter().cloned() {
        let replication = shared.replication.clone();
        actix_rt::spawn(sender::keep_peer_current(replication, peer.name, peer.replication));
    }
    actix_rt::spawn(apply_committed(shared.clone()));
    Ok(())
}

fn start_callers(
    listener: TcpListener,
    callers: &actix_rt::Arbiter,
    shared: &Arc<Shared>,
) -> Result<(), MemberError> {
    listener.set_nonblocking(true).map_err(MemberError::Listener)?;
    let shared = shared.clone();
    callers.spawn(async move {
        match into_async(listener) {
            Ok(listener) => connection::serve(listener, shared).await,
            Err(error) => log::error!(error:%; "callers are not served"),
        }
    });
    Ok(())
}

fn into_async(listener: TcpListener) -> Result<tokio::net::TcpListener, MemberError> {
    listener.set_nonblocking(true).map_err(MemberError::Listener)?;
    tokio::net::TcpListener::from_std(listener).map_err(MemberError::Listener)
}
