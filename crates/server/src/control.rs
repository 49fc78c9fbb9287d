//! Runs a control replica.
//!
//! Owns the running replica. Decides whether an empty data folder may found a cell; relies on
//! `corktack_control` for everything that a replica does, and on the settings for every timer.

use crate::listeners::{ListenError, bind, bound_address};
use crate::proxy::draw_incarnation;
use crate::settings::{ControlSettings, millis};
use crate::signals::{StopSignals, write_events_on_signal};
use crate::telemetry::{TelemetryError, install};
use corktack_control::{
    CellStart, ControlError, ControlHandle, ControlListeners, ControlReplica, PlatformSource,
};
use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::identity::ReplicaId;
use corktack_protocol::cell::CellName;
use prometheus_client::registry::Registry;
use std::fs::DirEntry;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Folder of the log and snapshots inside the data folder.
const LOG_FOLDER: &str = "log";

/// The only file that a replica which has promised nothing leaves in it.
const LOCK_FILE: &str = "LOCK";

/// Why a control replica could not start.
#[derive(Debug, thiserror::Error)]
pub enum ControlProcessError {
    /// The data folder holds no log, and nobody said that the cell is new.
    #[error(
        "data_folder = {}: holds no log. A new cell is founded with --bootstrap, once; a replica \
         that lost its folder must join under a new identity (join = true), because its old \
         promises are lost",
        folder.display()
    )]
    Empty {
        /// The folder.
        folder: PathBuf,
    },
    /// An address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The log cannot be installed.
    #[error(transparent)]
    Telemetry(#[from] TelemetryError),
    /// The replica cannot start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// Signals cannot be listened for.
    #[error("signals cannot be listened for")]
    Signals(#[source] std::io::Error),
}

/// Whether a replica with an empty data folder may found a new cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bootstrap {
    /// An empty folder is an error, unless the replica joins.
    Refuse,
    /// An empty folder is the first start of a new cell.
    Allow,
}

/// Addresses a control replica got, where the settings left ports open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlBound {
    /// For other replicas.
    pub cell: SocketAddr,
    /// For proxies.
    pub proxies: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// A running control replica.
pub struct ControlProcess {
    handle: ControlHandle,
    addresses: ControlBound,
}

impl ControlProcess {
    /// The addresses it listens on.
    #[must_use]
    pub const fn addresses(&self) -> ControlBound {
        self.addresses
    }

    /// The replica.
    #[must_use]
    pub const fn replica(&self) -> &ControlHandle {
        &self.handle
    }

    /// A planned stop: hands leadership over first.
    pub async fn stop(self) {
        self.handle.stop().await;
    }
}

/// Starts a control replica inside an actix system.
///
/// # Errors
/// [`ControlProcessError`]; nothing runs then.
pub fn start(
    settings: ControlSettings,
    bootstrap: Bootstrap,
) -> Result<ControlProcess, ControlProcessError> {
    let listeners = bind_listeners(&settings)?;
    start_on(settings, listeners, bootstrap)
}

/// Binds the listeners that the settings name.
///
/// # Errors
/// [`ListenError`] names the setting.
pub fn bind_listeners(settings: &ControlSettings) -> Result<ControlListeners, ListenError> {
    let addresses = &settings.addresses;
    Ok(ControlListeners {
        cell: bind("addresses.cell", addresses.cell)?,
        proxies: bind("addresses.proxies", addresses.proxies)?,
        operators: bind("addresses.operators", addresses.operators)?,
    })
}

/// Starts a control replica on bound listeners.
///
/// # Errors
/// [`ControlProcessError`]; nothing runs then.
pub fn start_on(
    settings: ControlSettings,
    listeners: ControlListeners,
    bootstrap: Bootstrap,
) -> Result<ControlProcess, ControlProcessError> {
    let log_folder = settings.data_folder.join(LOG_FOLDER);
    if bootstrap == Bootstrap::Refuse && !settings.join && is_empty(&log_folder) {
        return Err(ControlProcessError::Empty { folder: settings.data_folder });
    }
    let wanted = &settings.addresses;
    let addresses = ControlBound {
        cell: bound_address("addresses.cell", wanted.cell, &listeners.cell)?,
        proxies: bound_address("addresses.proxies", wanted.proxies, &listeners.proxies)?,
        operators: bound_address("addresses.operators", wanted.operators, &listeners.operators)?,
    };
    let replica = replica_settings(settings, log_folder);
    // The replica serves its metrics itself, on the operators' address.
    let handle = ControlReplica::start(replica, listeners, &mut Registry::default())?;
    Ok(ControlProcess { handle, addresses })
}

/// Whether the folder is absent or holds no more than its lock. What cannot be read is not
/// taken for empty.
fn is_empty(folder: &Path) -> bool {
    let is_lock =
        |entry: std::io::Result<DirEntry>| entry.is_ok_and(|entry| entry.file_name() == LOCK_FILE);
    match std::fs::read_dir(folder) {
        Ok(mut entries) => entries.all(is_lock),
        Err(error) => error.kind() == std::io::ErrorKind::NotFound,
    }
}

/// The settings of the replica itself, made from the process's; its log is in `log_folder`.
#[must_use]
pub fn replica_settings(
    settings: ControlSettings,
    log_folder: PathBuf,
) -> corktack_control::ControlSettings {
    let members = settings.members.iter();
    let members: Vec<CellMember> = members
        .map(|member| CellMember { id: ReplicaId(member.id), address: member.address })
        .collect();
    let start = match settings.join {
        true => CellStart::Join(members),
        false => CellStart::Bootstrap(CellConfig { voters: members, learners: Vec::new() }),
    };
    let id = ReplicaId(settings.replica);
    let mut replica =
        corktack_control::ControlSettings::new(CellName(settings.cell), id, start, log_folder);
    let (limits, timeouts) = (&settings.limits, &settings.timeouts);
    replica.incarnation = draw_incarnation();
    replica.election_timeout = millis(timeouts.election_ms);
    replica.first_election_timeout = replica.election_timeout;
    replica.heartbeat_interval = millis(timeouts.heartbeat_ms);
    replica.proxy_heartbeat_interval = millis(timeouts.proxy_heartbeat_ms);
    replica.proxy_heartbeat_timeout = millis(timeouts.proxy_silence_ms);
    replica.request_timeout = millis(timeouts.request_ms);
    replica.back_end_timeout = millis(timeouts.back_end_ms);
    replica.probe_timeout = millis(settings.failover.probe_ms);
    replica.failover = settings.failover.settings();
    replica.snapshot_entries = limits.snapshot_entries;
    replica.watch_changes = limits.watch_changes as usize;
    replica.workers = limits.workers as usize;
    replica.operator_token = settings.operator_token;
    replica.platform = settings.platform.map(|platform| PlatformSource {
        address: platform.address,
        path: platform.path,
        interval: millis(platform.poll_interval_ms),
    });
    replica.seed = rand::random();
    replica
}

/// Runs a control replica until SIGTERM or SIGINT, then stops it as planned.
///
/// # Errors
/// [`ControlProcessError`] when it cannot start.
pub fn run_until_stopped(
    settings: ControlSettings,
    bootstrap: Bootstrap,
) -> Result<(), ControlProcessError> {
    let events = install(&settings.data_folder, settings.limits.event_records as usize)?;
    actix_rt::System::new().block_on(async {
        write_events_on_signal(events).map_err(ControlProcessError::Signals)?;
        let mut stop = StopSignals::listen().map_err(ControlProcessError::Signals)?;
        let control = start(settings, bootstrap)?;
        stop.received().await;
        control.stop().await;
        Ok(())
    })
}
