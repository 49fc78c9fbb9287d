//! Runs a proxy: edge, owner, watch of control, telemetry.
//!
//! Owns the parts of a running proxy. Decides when callers are served after a start (`wait_until_current`) and
//! in which order a planned stop ends them ([`ProxyHandle::stop`]); relies on the settings for every limit.

mod wiring;

pub use wiring::{edge_settings, owner_settings};

use crate::listeners::{ListenError, bind, bound_address};
use crate::settings::{ProxySettings, millis};
use crate::signals::{StopSignals, write_events_on_signal};
use crate::telemetry::http::{Readiness, SharedRegistry, serve, with_registry};
use crate::telemetry::{TelemetryError, install};
use crate::watch_client::{self, ViewFile, WatchError, WatchHandle, WatchInputs};
use actix_web::dev::ServerHandle;
use corktack_core::identity::{Incarnation, ProxyName};
use corktack_core::view::{ProxyState, Revision, View};
use corktack_edge::{Edge, EdgeError, EdgeHandle};
use corktack_owner::{Owner, OwnerError, OwnerHandle};
use corktack_storage::{DataFolder, StorageError};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Why a proxy could not start.
#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    /// The data folder cannot be used.
    #[error("data_folder")]
    DataFolder(#[from] StorageError),
    /// An address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The log cannot be installed.
    #[error(transparent)]
    Telemetry(#[from] TelemetryError),
    /// The watch of control cannot start.
    #[error(transparent)]
    Watch(#[from] WatchError),
    /// The edge cannot start.
    #[error(transparent)]
    Edge(#[from] EdgeError),
    /// The owner cannot start.
    #[error(transparent)]
    Owner(#[from] OwnerError),
    /// Metrics cannot be served.
    #[error("metrics cannot be served")]
    Metrics(#[source] std::io::Error),
    /// Signals cannot be listened for.
    #[error("signals cannot be listened for")]
    Signals(#[source] std::io::Error),
}

/// Addresses a proxy got, where the settings left ports open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other proxies.
    pub peers: SocketAddr,
    /// For metrics and health.
    pub telemetry: SocketAddr,
}

/// A running proxy.
pub struct ProxyHandle {
    name: ProxyName,
    addresses: BoundAddresses,
    handover_limit: Duration,
    drain_limit: Duration,
    readiness: Readiness,
    watch: WatchHandle,
    edge: EdgeHandle,
    owner: OwnerHandle,
    http: ServerHandle,
    _folder: DataFolder,
}

/// Incarnation of this process: the time of its start, which no other run has.
#[must_use]
pub fn draw_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}

/// Starts a proxy inside an actix system. It serves callers once its configuration is current;
/// see `timeouts.startup_ms`.
///
/// # Errors
/// [`ProxyError`]; nothing runs then.
pub async fn start(settings: ProxySettings) -> Result<ProxyHandle, ProxyError> {
    let folder = DataFolder::open(&settings.data_folder)?;
    let listeners = Listeners::bind(&settings)?;
    let addresses = listeners.addresses(&settings)?;
    let incarnation = draw_incarnation();
    let registry = SharedRegistry::default();
    let readiness = Readiness::default();
    let http = serve(listeners.telemetry, Arc::clone(&registry), readiness.clone());
    let http = http.map_err(ProxyError::Metrics)?;

    let (observations, observed) = mpsc::unbounded_channel();
    let watch_settings = wiring::watch_settings(&settings, addresses.peers, incarnation);
    let connect_limit = millis(settings.control.connect_timeout_ms);
    let store = Box::new(ViewFile::open(&folder)?);
    let watch = with_registry(&registry, |registry| {
        let inputs = WatchInputs::without_limits(observed);
        watch_client::start(watch_settings, connect_limit, store, inputs, registry)
    })?;
    let owner_settings = wiring::owner_settings(&settings, incarnation);
    let owner = with_registry(&registry, |registry| {
        Owner::start(owner_settings, listeners.peers, watch.views(), observations, registry)
    })?;
    wait_until_current(&watch, millis(settings.timeouts.startup_ms)).await;
    let edge_settings = wiring::edge_settings(&settings, addresses.peers, incarnation);
    let edge = with_registry(&registry, |registry| {
        Edge::start(edge_settings, listeners.callers, watch.views(), registry)
    })?;
    readiness.set(true);
    log::info!(proxy:% = settings.name, callers:% = addresses.callers; "proxy serves callers");
    Ok(ProxyHandle {
        name: settings.name,
        addresses,
        handover_limit: millis(settings.timeouts.handover_ms),
        drain_limit: millis(settings.timeouts.drain_ms),
        readiness,
        watch,
        edge,
        owner,
        http,
        _folder: folder,
    })
}

struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    telemetry: TcpListener,
}

const CALLERS_SETTING: &str = "addresses.callers";
const PEERS_SETTING: &str = "addresses.peers";
const TELEMETRY_SETTING: &str = "addresses.telemetry";

impl Listeners {
    fn bind(settings: &ProxySettings) -> Result<Self, ListenError> {
        let addresses = &settings.addresses;
        Ok(Self {
            callers: bind(CALLERS_SETTING, addresses.callers)?,
            peers: bind(PEERS_SETTING, addresses.peers)?,
            telemetry: bind(TELEMETRY_SETTING, addresses.telemetry)?,
        })
    }

    fn addresses(&self, settings: &ProxySettings) -> Result<BoundAddresses, ListenError> {
        let wanted = &settings.addresses;
        Ok(BoundAddresses {
            callers: bound_address(CALLERS_SETTING, wanted.callers, &self.callers)?,
            peers: bound_address(PEERS_SETTING, wanted.peers, &self.peers)?,
            telemetry: bound_address(TELEMETRY_SETTING, wanted.telemetry, &self.telemetry)?,
        })
    }
}

/// Waits until a replica proved that the configuration is current. A stored configuration is
/// good enough after the limit: serving beats waiting for control, and terms keep it safe.
async fn wait_until_current(watch: &WatchHandle, limit: Duration) {
    let mut proved = watch.proved();
    if timeout(limit, proved.wait_for(Option::is_some)).await.is_ok() {
        return;
    }
    log::warn!("control did not prove in time that the configuration is current");
    let mut views = watch.views();
    let stored = views.wait_for(|view| view.revision > Revision::default());
    // An error means that the watch has ended, and the proxy with it.
    drop(stored.await);
}

impl ProxyHandle {
    /// The addresses it listens on.
    #[must_use]
    pub const fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// The configuration in force.
    #[must_use]
    pub fn views(&self) -> watch::Receiver<Arc<View>> {
        self.watch.views()
    }

    /// A planned stop: hands the groups over, finishes what is in flight, ends.
    pub async fn stop(self) {
        self.readiness.set(false);
        self.watch.drain();
        self.wait_for_handover().await;
        self.edge.drain().await;
        if timeout(self.drain_limit, self.owner.drain()).await.is_err() {
            log::error!("streams of other proxies were still open at the end of the drain");
        }
        self.watch.stop().await;
        self.http.stop(true).await;
    }

    async fn wait_for_handover(&self) {
        let mut views = self.watch.views();
        let handed_over = views.wait_for(|view| owns_nothing(view, &self.name));
        if timeout(self.handover_limit, handed_over).await.is_err() {
            log::warn!("groups were not handed over in time; stopping with them");
        }
    }
}

/// Whether control knows that the proxy stops, and no group is left to it.
fn owns_nothing(view: &View, proxy: &ProxyName) -> bool {
    let live = view.proxies.get(proxy).is_some_and(|proxy| proxy.state == ProxyState::Live);
    !live && view.groups.values().all(|group| group.owner.as_ref() != Some(proxy))
}

/// Runs a proxy until SIGTERM or SIGINT, then stops it as planned.
///
/// # Errors
/// [`ProxyError`] when it cannot start.
pub fn run_until_stopped(settings: ProxySettings) -> Result<(), ProxyError> {
    let events = install(&settings.data_folder, settings.limits.event_records as usize)?;
    actix_rt::System::new().block_on(async {
        write_events_on_signal(events).map_err(ProxyError::Signals)?;
        let mut stop = StopSignals::listen().map_err(ProxyError::Signals)?;
        let proxy = tokio::select! {
            started = start(settings) => started?,
            () = stop.received() => return Ok(()),
        };
        stop.received().await;
        proxy.stop().await;
        Ok(())
    })
}
