//! Starts the control replica or the gateway of a machine.
//!
//! Owns nothing of what it started. Relies on `settings` for every timer but the first wait for a connection.

use super::gateway::{RunningGateway, observe};
use super::{Deployment, DeploymentError};
use crate::listeners::bind;
use crate::watch_client::{self, NotKept, WatchInputs};
use corktack_control::{
    ControlHandle, ControlListeners, ControlReplica, PromotionAuthority, find_identity,
};
use corktack_gateway::{
    Gateway, GatewayLinks, GatewayListeners, GatewaySettings, LimitsLink, Wire,
};
use prometheus_client::registry::Registry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// First wait for a connection to control: three round trips between regions of 40 ms. Chosen, not measured
/// by itself; a lower value misses far replicas at first, a higher one lets callers wait for one that is dark.
const CONNECT_LIMIT: Duration = Duration::from_millis(120);

impl Deployment {
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
        let mut settings = self.control_settings(&identity, own, folder);
        let calls = authority.map(|authority| self.registry_calls(wire, authority));
        settings.registry_calls = calls.transpose()?;
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
        let limits = LimitsLink { reports, updates: news };
        let links = GatewayLinks {
            views: watch.views(),
            confirmed_current: watch.proved(),
            reach_reports: reach,
            limits,
        };
        let gateway = Gateway::start(settings, wire, listeners, links, &mut registry)?;
        log::info!(machine = self.name.as_str(), callers:% = callers; "gateway starts");
        Ok((RunningGateway { watch, gateway }, registry))
    }
}
