//! The settings of a deployment's control replicas, watches and gateways.
//!
//! Each timer of these parts follows from the deployment's bounds or is a constant of this module. The
//! timers of promotions and of control's calls to members are in `core::registry::promotion` and
//! `control::registry_calls`.

use super::bounds::MAX_WATCH_SILENCE;
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

/// Name of a deployment's only cell.
const CELL_NAME: &str = "deployment";
/// Time between heartbeats of the leader, and the shortest time without a heartbeat before an election. The
/// values cover several round trips between regions and cause few wake-ups on small machines. Lower values
/// replace leaders behind slow links, higher ones add to the time without a leader after a loss.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// Election timeout for the first election after a start. Callers wait for this election when all processes
/// were lost together, and a pre-vote doesn't disturb a live leader. Together with pre-votes that are
/// repeated once a voter can be reached, the short timeout elects a leader 0.7 s sooner after a simulated
/// loss of all processes. Lower values cause more simultaneous candidates.
const FIRST_ELECTION_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without a leader after which a control replica asks the others whether it is still a member: several
/// elections. A lower value sends requests during elections, a higher one delays the return of a replica that
/// was removed while it was cut off.
const VOTER_REQUEST_AFTER: Duration = Duration::from_secs(2);
/// Time between heartbeats of a gateway's watch. A lower value costs small machines more wake-ups, a higher
/// one adds to the time until the loss of a gateway is detected.
const WATCH_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// First and longest pause before a watch tries other replicas. Lower values connect to lost replicas more
/// often, higher ones let callers wait after a loss of all processes.
const MIN_WATCH_RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_WATCH_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Number of log entries after which a snapshot is made; an entry may hold a whole document. A lower value
/// writes snapshots more often, a higher one sends more entries to a lagging replica.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 64;
/// Changes kept for gateways, counted by size. A lower value sends more whole configurations to lagging
/// gateways, a higher one takes more memory.
const MAX_WATCH_CHANGES: usize = 1_024;
/// Longest time that a change waits for its outcome; its sender tries another replica sooner. A lower value
/// abandons changes during an election, a higher one keeps changes that are lost.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest wait until a member accepts a connection: several round trips between regions. A lower value
/// misses distant members, a higher one adds to the time until the loss of a member is detected.
const MEMBER_CONNECT_TIMEOUT: Duration = Duration::from_millis(180);
/// Longest wait for a member to begin a transaction; the same trade-off as for [`MEMBER_CONNECT_TIMEOUT`].
const BEGIN_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait until an accepted connection is ready: its start takes a slot at the member, which may be
/// free only late. A lower value abandons busy members, a higher one delays requests that wait for a
/// connection.
const DIAL_TIMEOUT: Duration = Duration::from_millis(600);
/// Fraction of the time until the process is killed for which a planned stop waits for statements that run at
/// members. A lower value abandons statements that would still be answered; a higher one leaves too little
/// time to store the configuration and to exit.
const STOP_LIMIT_FRACTION: f64 = 11.0 / 12.0;

impl Deployment {
    /// Returns the settings of this machine's control replica, without its calls to registered back ends.
    pub(super) fn control_settings(
        &self,
        identity: &Identity,
        cell_address: SocketAddr,
        folder: PathBuf,
    ) -> ControlSettings {
        let cell = CellName(CELL_NAME.to_owned());
        let mut settings = ControlSettings::new(cell, identity.replica, identity.start(), folder);
        settings.incarnation = Incarnation(rand::random());
        settings.election_timeout = ELECTION_TIMEOUT;
        settings.first_election_timeout = FIRST_ELECTION_TIMEOUT;
        settings.heartbeat_interval = HEARTBEAT_INTERVAL;
        settings.proxy_heartbeat_interval = WATCH_HEARTBEAT_INTERVAL;
        settings.proxy_heartbeat_timeout = MAX_WATCH_SILENCE * 2;
        settings.snapshot_entries = SNAPSHOT_INTERVAL_ENTRIES;
        settings.watch_changes = MAX_WATCH_CHANGES;
        settings.request_timeout = REQUEST_TIMEOUT;
        settings.workers = 1;
        settings.limits = self.bounds.limits;
        settings.cell_address = Some(cell_address);
        settings.join_addresses = self.seed_addresses(self.proxies_port());
        settings.voter_request_after = VOTER_REQUEST_AFTER;
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
            address: self.peer_address(),
            zone: self.zone.clone(),
            replicas: self.seed_addresses(self.proxies_port()),
            heartbeat_interval: WATCH_HEARTBEAT_INTERVAL,
            silence_timeout: self.bounds.watch_silence_timeout(),
            retry_minimum: MIN_WATCH_RETRY_PAUSE,
            retry_maximum: MAX_WATCH_RETRY_PAUSE,
            follows_cell: true,
            seed: rand::random(),
        })
    }

    pub(super) fn gateway_settings(&self) -> Result<GatewaySettings, DeploymentError> {
        Ok(GatewaySettings {
            name: ProxyName::new(self.name.as_str())?,
            // Replaced by the watch's incarnation when a gateway is started.
            incarnation: Incarnation(0),
            limits: self.bounds.limits,
            max_confirmation_age: self.bounds.max_confirmation_age,
            callers: self.resources.client_limits(),
            max_answer_bytes: self.resources.answer_bytes(),
            max_peer_bytes: self.resources.peer_bytes(),
            peers: self.peer_address(),
            zone: self.zone.clone(),
            connect_timeout: MEMBER_CONNECT_TIMEOUT,
            dial_timeout: DIAL_TIMEOUT,
            begin_timeout: BEGIN_TIMEOUT,
            drain_limit: self.bounds.drain / 2,
            drain_notice: self.bounds.stop_grace / 3,
            transaction_grace: self.bounds.stop_grace / 6,
            stop_limit: self.bounds.stop_grace.mul_f64(STOP_LIMIT_FRACTION),
        })
    }
}
