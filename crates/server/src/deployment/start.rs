//! Starts the control replica or the gateway of a machine.
//!
//! The caller owns the returned handles. All timers but the first connect timeout come from `settings`.

use super::gateway::{RunningGateway, forward_reach_reports};
use super::{Deployment, DeploymentError};
use crate::disk_wait::start_once_writable;
use crate::listeners::bind;
use crate::watch_client::{self, NoViewStore, WatchInputs};
use corktack_clients::ClientMetrics;
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

/// First connect timeout of the watch: three round trips of 40 ms between regions. A lower value misses
/// distant replicas at first, a higher one lets callers wait for an unreachable replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

impl Deployment {
    /// Starts the control replica of this machine, inside an actix system. Returns its handle and the
    /// registry of its metrics.
    ///
    /// # Errors
    /// [`DeploymentError`] when a part cannot be started; no part is left running.
    pub fn start_control<W: Wire + Send + Sync + std::fmt::Debug>(
        &self,
        wire: W,
        authority: Option<Arc<dyn PromotionAuthority>>,
    ) -> Result<(ControlHandle, Registry), DeploymentError> {
        let folder = self.data_folder.clone().ok_or(DeploymentError::NoDataFolder)?;
        let cell_address = SocketAddr::new(self.machine, self.cell_port());
        let seeds = self.seed_addresses(self.cell_port());
        let identity = find_identity(&folder, cell_address, &seeds, self.bootstrap)?;
        let mut settings = self.control_settings(&identity, cell_address, folder);
        let calls = authority.map(|authority| self.registry_calls(wire, authority));
        settings.registry_calls = calls.transpose()?;
        let listeners = ControlListeners {
            cell: bind("cell", self.listen_address(self.cell_port()))?,
            proxies: bind("proxies", self.listen_address(self.proxies_port()))?,
            operators: bind("operators", self.operator_address())?,
        };
        log::info!(machine = self.name.as_str(), replica = identity.replica.0; "control starts");
        let mut registry = Registry::default();
        let control = ControlReplica::start(settings, listeners, &mut registry)?;
        Ok((control, registry))
    }

    /// Starts the control replica as [`Deployment::start_control`] does, once its disk accepts writes. A
    /// process that ended instead would be started again and again until then.
    ///
    /// # Errors
    /// [`DeploymentError`] when a part cannot be started for another reason; no part is left running.
    pub async fn start_control_once_writable<W: Wire + Send + Sync + std::fmt::Debug>(
        &self,
        wire: W,
        authority: Option<Arc<dyn PromotionAuthority>>,
    ) -> Result<(ControlHandle, Registry), DeploymentError> {
        let start = || self.start_control(wire.clone(), authority.clone());
        start_once_writable(start, DeploymentError::is_disk_full).await
    }

    /// Starts the gateway of this machine, inside an actix system; the gateway serves callers at `callers`.
    /// Returns its handles and the registry of its metrics.
    ///
    /// # Errors
    /// [`DeploymentError`] when a part cannot be started; no part is left running.
    pub fn start_gateway<W: Wire>(
        &self,
        wire: W,
        callers: SocketAddr,
        client_metrics: ClientMetrics,
    ) -> Result<(RunningGateway<W>, Registry), DeploymentError> {
        let peers = self.listen_address(self.peers_port());
        let listeners =
            GatewayListeners { callers: bind("callers", callers)?, peers: bind("peers", peers)? };
        let mut registry = Registry::default();
        let (observations, observation_receiver) = mpsc::unbounded_channel();
        let (reach_reports, reach_report_receiver) = mpsc::unbounded_channel();
        actix_rt::spawn(forward_reach_reports(reach_report_receiver, observations));
        let (reports, allowance_reports) = mpsc::unbounded_channel();
        let (limit_sender, updates) = mpsc::unbounded_channel();
        let inputs = WatchInputs {
            observations: observation_receiver,
            allowance_reports,
            limit_updates: limit_sender,
        };
        let settings = self.watch_settings()?;
        let incarnation = settings.incarnation;
        let store = Box::new(NoViewStore);
        let watch = watch_client::start(settings, CONNECT_TIMEOUT, store, inputs, &mut registry)?;
        let settings = GatewaySettings { incarnation, ..self.gateway_settings()? };
        let limits = LimitsLink { reports, updates };
        let links = GatewayLinks {
            views: watch.views(),
            confirmed_current: watch.confirmed_current(),
            reach_reports,
            limits,
            client_metrics,
        };
        let gateway = Gateway::start(settings, wire, listeners, links, &mut registry)?;
        log::info!(machine = self.name.as_str(), callers:% = callers; "gateway starts");
        Ok((RunningGateway { watch, gateway }, registry))
    }
}
