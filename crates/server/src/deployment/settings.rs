//! The settings of a deployment's control replicas, watches and gateways.
//!
//! The timers of these parts stand here: each follows from the deployment's bounds, or is a constant with its
//! reason. Times of promotions and of control's calls to members stand with their rules
//! (`core::registry::promotion`, `control::registry_calls`).

use super::bounds::WATCH_SILENCE_LONGEST;
use super::{Deployment, DeploymentError};
use crate::watch_client::state::WatchSettings;
use corktack_control::{ControlSettings, Identity};
use corktack_core::identity::{Incarnation, ProxyName};
use corktack_core::registry::CellRepairSettings;
use corktack_gateway::GatewaySettings;
use corktack_protocol::cell::CellName;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Name of the one cell of a deployment.
const CELL: &str = "deployment";
/// Time between heartbeats of the leader, and the shortest time without one before an election:
/// several round trips between regions, and few wake-ups on small machines. Chosen, not measured; lower
/// values replace leaders behind slow links, higher ones add to the time without a leader after a loss.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// The same for the first election after a start: when all processes were lost together, callers
/// wait for it, and where a leader lives a pre-vote disturbs nobody. With it, and with pre-votes that are
/// requested again once a voter can be reached, a leader was there 0.7 s sooner after a simulated loss of
/// everything. Chosen, not measured by itself; lower values have more candidates at once.
const FIRST_ELECTION_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between heartbeats of a gateway. Chosen, not measured; a lower value costs small machines more
/// wake-ups, a higher one adds to the time until a gateway that is gone is noticed.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// First and longest pause before other replicas are tried. Chosen, not measured; lower values dial replicas
/// that are gone more often, higher ones let callers wait after a loss of everything.
const WATCH_RETRY_FIRST: Duration = Duration::from_millis(50);
const WATCH_RETRY_LAST: Duration = Duration::from_millis(200);
/// Log entries after which a snapshot is made: an entry may hold a whole document. Chosen, not measured; a
/// lower value writes snapshots more often, a higher one sends more entries to a replica that lags.
const SNAPSHOT_ENTRIES: u64 = 64;
/// Changes kept for gateways, counted by size. Chosen, not measured; a lower value sends more whole
/// configurations to those that lag, a higher one takes more memory.
const WATCH_CHANGES: usize = 1_024;
/// Longest time that a change waits for its outcome; who sent it tries another replica sooner. Chosen, not
/// measured; a lower value gives up on changes during an election, a higher one keeps those that are lost.
const REQUEST_LIMIT: Duration = Duration::from_millis(2_500);
/// Longest wait until a member accepts a connection. Chosen, not measured: some round trips between regions;
/// a lower value misses far members, a higher one adds to the time until one that is gone is noticed.
const MEMBER_CONNECT_LIMIT: Duration = Duration::from_millis(180);
/// Longest wait for the begin of a transaction at a member. Chosen, not measured, as that for a connection.
const BEGIN_LIMIT: Duration = Duration::from_millis(200);
/// Longest wait after that until it is ready: the start takes a slot, which may be long in coming. Chosen,
/// not measured; a lower value gives up on busy members, a higher one holds up what waits for a connection.
const DIAL_LIMIT: Duration = Duration::from_millis(600);

impl Deployment {
    /// Settings of the control replica of this machine, without its calls of registered back ends.
    pub(super) fn control_settings(
        &self,
        identity: &Identity,
        own: SocketAddr,
        folder: PathBuf,
    ) -> ControlSettings {
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
        settings.workers = 1;
        settings.limits = self.bounds.limits;
        settings.cell_address = Some(own);
        settings.join_addresses = self.at_seeds(self.proxies_port());
        settings.formation_grace = self.bounds.catch_up;
        settings.cell_repair = Some(CellRepairSettings {
            voters: 2 * self.bounds.tolerated_losses + 1,
            replace_after: self.bounds.catch_up,
        });
        settings
    }

    pub(super) fn watch_settings(&self) -> Result<WatchSettings, DeploymentError> {
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

    pub(super) fn gateway_settings(&self) -> Result<GatewaySettings, DeploymentError> {
        Ok(GatewaySettings {
            name: ProxyName::new(self.name.as_str())?,
            // The watch's, where a gateway is started.
            incarnation: Incarnation(0),
            limits: self.bounds.limits,
            max_confirmation_age: self.bounds.max_confirmation_age,
            peers: self.peers(),
            zone: self.zone.clone(),
            connect_timeout: MEMBER_CONNECT_LIMIT,
            dial_timeout: DIAL_LIMIT,
            begin_timeout: BEGIN_LIMIT,
            drain_limit: self.bounds.drain / 2,
            drain_notice: self.bounds.stop_grace / 3,
            transaction_grace: self.bounds.stop_grace / 6,
        })
    }
}
