//! A deployment whose back ends register themselves and whose configuration is one document.
//!
//! Processes of such a deployment know little: their own machine, a few seeds and the bounds that
//! must be kept. Every timer follows from the bounds, here and nowhere else.

use crate::listeners::{ListenError, bind};
use crate::watch_client::state::WatchSettings;
use crate::watch_client::{self, NotKept, WatchError, WatchHandle, WatchInputs};
use corktack_control::{
    ControlError, ControlHandle, ControlListeners, ControlReplica, ControlSettings, MemberCall,
    RegistryCalls, find_identity,
};
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::identity::{Incarnation, NameError, ProxyName, ZoneName};
use corktack_core::limits::LimitBounds;
use corktack_core::position::Term;
use corktack_core::registry::{CellRepairSettings, MemberAnswer, PromotionAnswer};
use corktack_gateway::{
    Gateway, GatewayError, GatewayHandle, GatewayLinks, GatewayListeners, GatewaySettings,
    LimitsLink, MemberReach, Wire, ask_status, release,
};
use corktack_protocol::cell::CellName;
use corktack_protocol::control::{MemberHealth, Observation};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use prometheus_client::registry::Registry;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Name of the one cell of a deployment.
const CELL: &str = "deployment";
/// Time between heartbeats of the leader, and the shortest time without one before an election:
/// several round trips between regions, and few wake-ups on small machines.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// The same for the first election after a start: when all processes were lost together, callers
/// wait for it, and where a leader lives a pre-vote disturbs nobody.
const FIRST_ELECTION_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between heartbeats of a gateway.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Part of the time for a configuration that a gateway waits for a proof before it changes replica,
/// and the shortest and longest such wait.
const WATCH_SILENCE_PART: f64 = 0.4;
const WATCH_SILENCE_SHORTEST: Duration = Duration::from_millis(800);
const WATCH_SILENCE_LONGEST: Duration = Duration::from_millis(1_500);
const WATCH_RETRY_FIRST: Duration = Duration::from_millis(50);
const WATCH_RETRY_LAST: Duration = Duration::from_millis(200);
/// First wait for a connection to control: three round trips between regions.
const CONNECT_LIMIT: Duration = Duration::from_millis(120);
/// Log entries after which a snapshot is made: an entry may hold a whole document.
const SNAPSHOT_ENTRIES: u64 = 64;
/// Changes kept for gateways, counted by size.
const WATCH_CHANGES: usize = 1_024;
/// Longest time that a change waits for its outcome; callers ask another replica sooner.
const REQUEST_LIMIT: Duration = Duration::from_millis(2_500);
/// Longest wait until a member accepts a connection.
const MEMBER_CONNECT_LIMIT: Duration = Duration::from_millis(180);
/// Longest wait for the begin of a transaction at a member.
const BEGIN_LIMIT: Duration = Duration::from_millis(200);
/// Longest wait after that until it is ready: the start takes a slot, which may be long in coming.
const DIAL_LIMIT: Duration = Duration::from_millis(600);

/// Why a process of a deployment could not start.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// A name of the machine is not valid.
    #[error("machine name or zone")]
    Name(#[from] NameError),
    /// An address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The control replica cannot start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The watch of control cannot start.
    #[error(transparent)]
    Watch(#[from] WatchError),
    /// The gateway cannot start.
    #[error(transparent)]
    Gateway(#[from] GatewayError),
    /// The machine has no disk, and the role needs one.
    #[error("the role needs a data folder")]
    NoDataFolder,
}

/// Bounds that the deployment must keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeploymentBounds {
    /// Time at a planned stop until the process is killed.
    pub stop_grace: Duration,
    /// Time that a back end serves on after it was acknowledged as leaving.
    pub drain: Duration,
    /// Replicas that may be lost at once.
    pub tolerated_losses: usize,
    /// Time after which a replica that came back counts as there.
    pub catch_up: Duration,
    /// Time in which an acknowledged configuration is in force everywhere, where there is a bound.
    pub config_apply: Option<Duration>,
    /// By what the limits of tenants are kept.
    pub limits: LimitBounds,
    /// How old the last proof that the configuration is current may be for operations to begin; none
    /// where they begin by the last configuration, however old.
    pub unproved_limit: Option<Duration>,
}

impl DeploymentBounds {
    /// Time without a proof before a gateway changes its control replica: it may come upon two
    /// replicas in vain, and have the newest configuration in time all the same.
    fn watch_silence(&self) -> Duration {
        let Some(bound) = self.config_apply else { return WATCH_SILENCE_LONGEST };
        let part = bound.mul_f64(WATCH_SILENCE_PART);
        part.clamp(WATCH_SILENCE_SHORTEST, WATCH_SILENCE_LONGEST)
    }
}

/// What a process knows of its deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name of the machine.
    pub name: String,
    /// Its address, as other processes reach it.
    pub machine: IpAddr,
    /// Where it listens for other processes, if not at its address: behind a relay, say.
    pub listen: Option<IpAddr>,
    /// Its zone.
    pub zone: ZoneName,
    /// First of the ports for what processes say to each other; the same on all machines.
    pub first_port: u16,
    /// Machines with control replicas.
    pub seeds: Vec<IpAddr>,
    /// Whether the whole deployment starts for the first time.
    pub bootstrap: bool,
    /// Folder of the disk, on machines that have one.
    pub data_folder: Option<PathBuf>,
    /// Bounds that must be kept.
    pub bounds: DeploymentBounds,
}

impl Deployment {
    fn cell_port(&self) -> u16 {
        self.first_port
    }

    fn proxies_port(&self) -> u16 {
        self.first_port + 1
    }

    fn operators_port(&self) -> u16 {
        self.first_port + 2
    }

    fn peers_port(&self) -> u16 {
        self.first_port + 3
    }

    /// Where other gateways reach this one.
    fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.machine, self.peers_port())
    }

    fn listening_at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.listen.unwrap_or(self.machine), port)
    }

    /// Operators come from the machine itself.
    fn operators(&self) -> SocketAddr {
        let listening = self.listening_at(self.operators_port());
        if listening.ip().is_loopback() {
            return listening;
        }
        SocketAddr::new(Ipv4Addr::LOCALHOST.into(), listening.port())
    }

    fn at_seeds(&self, port: u16) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(*seed, port)).collect()
    }

    /// Starts the control replica of this machine, inside an actix system. The registry holds its
    /// metrics.
    ///
    /// # Errors
    /// [`DeploymentError`]; nothing runs then.
    pub fn start_control<W: Wire + Send + Sync + std::fmt::Debug>(
        &self,
        wire: W,
        authority: Option<Arc<dyn PromotionAuthority>>,
    ) -> Result<(ControlHandle, Registry), DeploymentError> {
        let folder = self.data_folder.clone().ok_or(DeploymentError::NoDataFolder)?;
        let own = SocketAddr::new(self.machine, self.cell_port());
        let seeds = self.at_seeds(self.cell_port());
        let identity = find_identity(&folder, own, &seeds, self.bootstrap)?;
        let cell = CellName(CELL.to_owned());
        let mut settings = ControlSettings::new(cell, identity.replica, identity.start(), folder);
        settings.incarnation = Incarnation(rand::random());
        settings.election_timeout = ELECTION_TIMEOUT;
        settings.first_election_timeout = FIRST_ELECTION_TIMEOUT;
        settings.heartbeat_interval = HEARTBEAT_INTERVAL;
        settings.proxy_heartbeat_interval = WATCH_INTERVAL;
        settings.proxy_heartbeat_timeout = WATCH_SILENCE_LONGEST * 2;
        settings.snapshot_entries = SNAPSHOT_ENTRIES;
        settings.watch_changes = WATCH_CHANGES;
        settings.request_timeout = REQUEST_LIMIT;
        let calls = authority.map(|authority| self.calls(wire, authority));
        settings.registry_calls = calls.transpose()?;
        settings.workers = 1;
        settings.limits = self.bounds.limits;
        settings.cell_address = Some(own);
        settings.join_through = self.at_seeds(self.proxies_port());
        settings.formation_grace = self.bounds.catch_up;
        settings.cell_repair = Some(CellRepairSettings {
            voters: 2 * self.bounds.tolerated_losses + 1,
            replace_after: self.bounds.catch_up,
        });
        let listeners = ControlListeners {
            cell: bind("cell", self.listening_at(self.cell_port()))?,
            proxies: bind("proxies", self.listening_at(self.proxies_port()))?,
            operators: bind("operators", self.operators())?,
        };
        log::info!(machine = self.name.as_str(), replica = identity.replica.0; "control starts");
        let mut registry = Registry::default();
        let control = ControlReplica::start(settings, listeners, &mut registry)?;
        Ok((control, registry))
    }

    /// Starts the gateway of this machine, inside an actix system; it serves callers at `callers`.
    /// The registry holds its metrics.
    ///
    /// # Errors
    /// [`DeploymentError`]; nothing runs then.
    pub fn start_gateway<W: Wire>(
        &self,
        wire: W,
        callers: SocketAddr,
    ) -> Result<(RunningGateway<W>, Registry), DeploymentError> {
        let peers = self.listening_at(self.peers_port());
        let listeners =
            GatewayListeners { callers: bind("callers", callers)?, peers: bind("peers", peers)? };
        let mut registry = Registry::default();
        let (observations, observed) = mpsc::unbounded_channel();
        let (reach, found) = mpsc::unbounded_channel();
        actix_rt::spawn(observe(found, observations));
        let (reports, allowances) = mpsc::unbounded_channel();
        let (said, news) = mpsc::unbounded_channel();
        let inputs = WatchInputs { observations: observed, allowances, limits: said };
        let settings = self.watch_settings()?;
        let incarnation = settings.incarnation;
        let store = Box::new(NotKept);
        let watch = watch_client::start(settings, CONNECT_LIMIT, store, inputs, &mut registry)?;
        let settings = GatewaySettings { incarnation, ..self.gateway_settings()? };
        let limits = LimitsLink { reports, news };
        let links = GatewayLinks { views: watch.views(), proved: watch.proved(), reach, limits };
        let gateway = Gateway::start(settings, wire, listeners, links, &mut registry)?;
        log::info!(machine = self.name.as_str(), callers:% = callers; "gateway starts");
        Ok((RunningGateway { watch, gateway }, registry))
    }

    fn calls<W: Wire + Send + Sync + std::fmt::Debug>(
        &self,
        wire: W,
        authority: Arc<dyn PromotionAuthority>,
    ) -> Result<Arc<dyn RegistryCalls>, DeploymentError> {
        Ok(Arc::new(Calls { wire, settings: self.gateway_settings()?, authority }))
    }

    fn watch_settings(&self) -> Result<WatchSettings, DeploymentError> {
        Ok(WatchSettings {
            proxy: ProxyName::new(self.name.as_str())?,
            incarnation: Incarnation(rand::random()),
            address: self.peers(),
            zone: self.zone.clone(),
            replicas: self.at_seeds(self.proxies_port()),
            heartbeat_interval: WATCH_INTERVAL,
            silence_timeout: self.bounds.watch_silence(),
            retry_minimum: WATCH_RETRY_FIRST,
            retry_maximum: WATCH_RETRY_LAST,
            follows_cell: true,
            seed: rand::random(),
        })
    }

    fn gateway_settings(&self) -> Result<GatewaySettings, DeploymentError> {
        Ok(GatewaySettings {
            name: ProxyName::new(self.name.as_str())?,
            // The watch's, where a gateway is started.
            incarnation: Incarnation(0),
            limits: self.bounds.limits,
            unproved_limit: self.bounds.unproved_limit,
            peers: self.peers(),
            zone: self.zone.clone(),
            connect_timeout: MEMBER_CONNECT_LIMIT,
            dial_timeout: DIAL_LIMIT,
            begin_timeout: BEGIN_LIMIT,
            drain_limit: self.bounds.drain / 2,
            notice: self.bounds.stop_grace / 3,
            transaction_grace: self.bounds.stop_grace / 6,
        })
    }
}

/// The outside authority that promotes members.
pub trait PromotionAuthority: Send + Sync + std::fmt::Debug {
    /// Calls for a promotion, once, under the fence of the decision.
    fn promote(
        &self,
        group: GroupName,
        target: MemberName,
        fence: u64,
    ) -> LocalBoxFuture<'static, PromotionAnswer>;
}

/// The leader's calls, over the wire of the deployment.
#[derive(Debug)]
struct Calls<W> {
    wire: W,
    settings: GatewaySettings,
    authority: Arc<dyn PromotionAuthority>,
}

impl<W: Wire + Send + Sync + std::fmt::Debug> RegistryCalls for Calls<W> {
    fn status(&self, call: MemberCall, hold: bool) -> LocalBoxFuture<'static, MemberAnswer> {
        let (wire, settings) = (self.wire.clone(), self.settings.clone());
        async move {
            let MemberCall { group, member, address } = call;
            ask_status(&wire, &settings, &group, &member, address, hold).await
        }
        .boxed_local()
    }

    fn release(&self, call: MemberCall) -> LocalBoxFuture<'static, ()> {
        let (wire, settings) = (self.wire.clone(), self.settings.clone());
        async move {
            let MemberCall { group, member, address } = call;
            release(&wire, &settings, &group, &member, address).await;
        }
        .boxed_local()
    }

    fn promote(
        &self,
        group: GroupName,
        target: MemberName,
        fence: u64,
    ) -> LocalBoxFuture<'static, PromotionAnswer> {
        self.authority.promote(group, target, fence)
    }
}

/// Passes what the gateway found of members on to control.
async fn observe(
    mut found: mpsc::UnboundedReceiver<MemberReach>,
    observations: mpsc::UnboundedSender<Observation>,
) {
    while let Some(MemberReach { group, member, reached }) = found.recv().await {
        let health =
            if reached { MemberHealth::Replica(Term(0)) } else { MemberHealth::Unreachable };
        // Nobody listens at the end of the process only.
        let _ = observations.send(Observation { group, member, health });
    }
}

/// A gateway with its watch of control.
#[derive(Debug)]
pub struct RunningGateway<W: Wire> {
    watch: WatchHandle,
    gateway: GatewayHandle<W>,
}

impl<W: Wire> RunningGateway<W> {
    /// Waits until the configuration in force is proved to be current and callers can be served.
    pub async fn until_ready(&self) {
        let mut proved = self.watch.proved();
        let mut views = self.watch.views();
        // Both end only with the process.
        drop(proved.wait_for(Option::is_some).await);
        drop(views.wait_for(|view| view.document.is_some()).await);
    }

    /// Stops as planned: tells control, gives callers notice, ends sessions as they fall quiet.
    pub async fn stop(self) {
        self.watch.drain();
        self.gateway.drain().await;
        self.watch.stop().await;
    }
}
