//! Starts and stops a proxy, which consists of the edge, the owner, the watch of control and telemetry.
//!
//! Decides when a started proxy begins to serve callers (`wait_until_current`) and in which order a planned
//! stop ends the parts ([`ProxyHandle::stop`]).

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

/// Error at the start of a proxy.
#[derive(Debug, thiserror::Error)]
pub enum ProxyError {
    /// The data folder cannot be used.
    #[error("data_folder")]
    DataFolder(#[from] StorageError),
    /// A listener cannot be bound.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The event log cannot be installed.
    #[error(transparent)]
    Telemetry(#[from] TelemetryError),
    /// The client that watches the control replicas cannot start.
    #[error(transparent)]
    Watch(#[from] WatchError),
    /// The edge cannot start.
    #[error(transparent)]
    Edge(#[from] EdgeError),
    /// The owner cannot start.
    #[error(transparent)]
    Owner(#[from] OwnerError),
    /// The HTTP server for metrics and health checks cannot start.
    #[error("metrics cannot be served")]
    Metrics(#[source] std::io::Error),
    /// A signal handler cannot be installed.
    #[error("signals cannot be listened for")]
    Signals(#[source] std::io::Error),
}

/// Addresses that the listeners of a proxy are bound to; a port that is 0 in the settings is the assigned
/// one here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundProxyAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other proxies.
    pub peers: SocketAddr,
    /// Address for metrics and health checks.
    pub telemetry: SocketAddr,
}

/// Handle of a running proxy.
pub struct ProxyHandle {
    name: ProxyName,
    addresses: BoundProxyAddresses,
    handover_timeout: Duration,
    drain_timeout: Duration,
    readiness: Readiness,
    watch: WatchHandle,
    edge: EdgeHandle,
    owner: OwnerHandle,
    http: ServerHandle,
    _folder: DataFolder,
}

/// Returns the incarnation of this process: the current time in microseconds, which no earlier run of the
/// process has used.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

/// Starts a proxy; must be called inside an actix system. The proxy serves callers once control has
/// confirmed that its configuration is current, or after `timeouts.startup_ms` with a stored
/// configuration.
///
/// # Errors
/// Returns [`ProxyError`] if a part cannot start; nothing runs then.
pub async fn start(settings: ProxySettings) -> Result<ProxyHandle, ProxyError> {
    let folder = DataFolder::open(&settings.data_folder)?;
    let listeners = Listeners::bind(&settings)?;
    let addresses = listeners.addresses(&settings)?;
    let incarnation = new_incarnation();
    let registry = SharedRegistry::default();
    let readiness = Readiness::default();
    let http = serve(listeners.telemetry, Arc::clone(&registry), readiness.clone());
    let http = http.map_err(ProxyError::Metrics)?;

    let (observation_sender, observations) = mpsc::unbounded_channel();
    let watch_settings = wiring::watch_settings(&settings, addresses.peers, incarnation);
    let connect_timeout = millis(settings.control.connect_timeout_ms);
    let store = Box::new(ViewFile::open(&folder)?);
    let watch = with_registry(&registry, |registry| {
        let inputs = WatchInputs::without_limits(observations);
        watch_client::start(watch_settings, connect_timeout, store, inputs, registry)
    })?;
    let owner_settings = wiring::owner_settings(&settings, incarnation);
    let owner = with_registry(&registry, |registry| {
        Owner::start(owner_settings, listeners.peers, watch.views(), observation_sender, registry)
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
        handover_timeout: millis(settings.timeouts.handover_ms),
        drain_timeout: millis(settings.timeouts.drain_ms),
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

    fn addresses(&self, settings: &ProxySettings) -> Result<BoundProxyAddresses, ListenError> {
        let configured = &settings.addresses;
        Ok(BoundProxyAddresses {
            callers: bound_address(CALLERS_SETTING, configured.callers, &self.callers)?,
            peers: bound_address(PEERS_SETTING, configured.peers, &self.peers)?,
            telemetry: bound_address(TELEMETRY_SETTING, configured.telemetry, &self.telemetry)?,
        })
    }
}

/// Waits until a control replica has confirmed that the configuration is current. After the timeout a
/// stored configuration is used instead, so that a proxy can serve callers without control; terms
/// keep an outdated configuration safe. Without a stored configuration the wait continues.
async fn wait_until_current(watch: &WatchHandle, startup_timeout: Duration) {
    let mut confirmations = watch.confirmed_current();
    if timeout(startup_timeout, confirmations.wait_for(Option::is_some)).await.is_ok() {
        return;
    }
    log::warn!("configuration not confirmed by control in time: used unconfirmed");
    let mut views = watch.views();
    let available = views.wait_for(|view| view.revision > Revision::default());
    // An error means that the watch has ended, and the proxy stops with it.
    drop(available.await);
}

impl ProxyHandle {
    /// Returns the addresses that the proxy listens on.
    #[must_use]
    pub const fn addresses(&self) -> BoundProxyAddresses {
        self.addresses
    }

    /// Returns a receiver of the configuration in use.
    #[must_use]
    pub fn views(&self) -> watch::Receiver<Arc<View>> {
        self.watch.views()
    }

    /// Stops the proxy as planned: hands its groups over, completes requests in flight, and then ends
    /// its parts. Handover and drain are bounded by `timeouts.handover_ms` and `timeouts.drain_ms`.
    pub async fn stop(self) {
        self.readiness.set(false);
        self.watch.drain();
        self.wait_for_handover().await;
        self.edge.drain().await;
        if timeout(self.drain_timeout, self.owner.drain()).await.is_err() {
            log::error!(
                "streams of other proxies still open at the drain timeout: no longer awaited"
            );
        }
        self.watch.stop().await;
        self.http.stop(true).await;
    }

    async fn wait_for_handover(&self) {
        let mut views = self.watch.views();
        let handed_over = views.wait_for(|view| is_handed_over(view, &self.name));
        if timeout(self.handover_timeout, handed_over).await.is_err() {
            log::warn!("groups not handed over in time: proxy stops while it still owns them");
        }
    }
}

/// Reports whether control no longer lists the proxy as live and the proxy owns no group.
fn is_handed_over(view: &View, proxy: &ProxyName) -> bool {
    let live = view.proxies.get(proxy).is_some_and(|proxy| proxy.state == ProxyState::Live);
    !live && view.groups.values().all(|group| group.owner.as_ref() != Some(proxy))
}

/// Runs a proxy until SIGTERM or SIGINT, then stops it as planned.
///
/// # Errors
/// Returns [`ProxyError`] if the proxy cannot start.
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
