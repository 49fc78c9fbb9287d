//! Starts and stops a control replica.
//!
//! Decides whether a replica with an empty data folder may bootstrap a cell, and converts the settings of the
//! process into those of `corktack_control`, which implements the replica.

use crate::disk_wait::start_once_writable;
use crate::listeners::{ListenError, bind, bound_address};
use crate::proxy::new_incarnation;
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

/// Folder inside the data folder that holds the log and the snapshots.
const LOG_FOLDER: &str = "log";

/// The only file in the log folder of a replica that has not stored a vote or a log entry.
const LOCK_FILE: &str = "LOCK";

/// Error at the start of a control replica.
#[derive(Debug, thiserror::Error)]
pub enum ControlProcessError {
    /// The data folder holds no log, and neither `--bootstrap` nor the setting `join` was given.
    #[error(
        "data_folder = {}: holds no log. A new cell is founded with --bootstrap, once; a replica \
         that lost its folder must join under a new identity (join = true), because its old \
         promises are lost",
        folder.display()
    )]
    EmptyDataFolder {
        /// Data folder of the replica.
        folder: PathBuf,
    },
    /// A listener cannot be bound.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The event log cannot be installed.
    #[error(transparent)]
    Telemetry(#[from] TelemetryError),
    /// The replica reported an error at its start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The replica has ended by itself, after a failure that it cannot recover from.
    #[error("the control replica has ended by itself")]
    Ended,
    /// A signal handler cannot be installed.
    #[error("signals cannot be listened for")]
    Signals(#[source] std::io::Error),
}

impl ControlProcessError {
    fn is_disk_full(&self) -> bool {
        matches!(self, Self::Control(error) if error.is_disk_full())
    }
}

/// Whether a replica with an empty data folder may bootstrap a new cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bootstrap {
    /// An empty data folder is an error, unless the replica joins a running cell.
    Refuse,
    /// An empty data folder means the first start of a new cell.
    Allow,
}

/// Addresses that the listeners of a control replica are bound to; a port that is 0 in the settings is the
/// assigned one here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundControlAddresses {
    /// Address for other control replicas.
    pub cell: SocketAddr,
    /// Address for proxies.
    pub proxies: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

/// A running control replica.
pub struct ControlProcess {
    handle: ControlHandle,
    addresses: BoundControlAddresses,
}

impl ControlProcess {
    /// Returns the addresses that the replica listens on.
    #[must_use]
    pub const fn addresses(&self) -> BoundControlAddresses {
        self.addresses
    }

    /// Returns the handle of the replica.
    #[must_use]
    pub const fn replica(&self) -> &ControlHandle {
        &self.handle
    }

    /// Stops the replica as planned; a leader transfers its leadership first.
    pub async fn stop(self) {
        self.handle.stop().await;
    }
}

/// Binds the listeners and starts a control replica; must be called inside an actix system.
///
/// # Errors
/// Returns [`ControlProcessError`] if a listener or the replica cannot start; nothing runs then.
pub fn start(
    settings: ControlSettings,
    bootstrap: Bootstrap,
) -> Result<ControlProcess, ControlProcessError> {
    let listeners = bind_listeners(&settings)?;
    start_with_listeners(settings, listeners, bootstrap)
}

/// Binds the listeners of a control replica to the addresses of the settings.
///
/// # Errors
/// Returns [`ListenError`], which names the setting, for the first address that cannot be bound.
pub fn bind_listeners(settings: &ControlSettings) -> Result<ControlListeners, ListenError> {
    let addresses = &settings.addresses;
    Ok(ControlListeners {
        cell: bind("addresses.cell", addresses.cell)?,
        proxies: bind("addresses.proxies", addresses.proxies)?,
        operators: bind("addresses.operators", addresses.operators)?,
    })
}

/// Starts a control replica on bound listeners; must be called inside an actix system.
///
/// # Errors
/// Returns [`ControlProcessError`] if the replica cannot start; nothing runs then.
pub fn start_with_listeners(
    settings: ControlSettings,
    listeners: ControlListeners,
    bootstrap: Bootstrap,
) -> Result<ControlProcess, ControlProcessError> {
    let log_folder = settings.data_folder.join(LOG_FOLDER);
    if bootstrap == Bootstrap::Refuse && !settings.join && holds_no_log(&log_folder) {
        return Err(ControlProcessError::EmptyDataFolder { folder: settings.data_folder });
    }
    let configured = &settings.addresses;
    let addresses = BoundControlAddresses {
        cell: bound_address("addresses.cell", configured.cell, &listeners.cell)?,
        proxies: bound_address("addresses.proxies", configured.proxies, &listeners.proxies)?,
        operators: bound_address(
            "addresses.operators",
            configured.operators,
            &listeners.operators,
        )?,
    };
    let replica = replica_settings(settings, log_folder);
    // The replica serves its metrics itself on the operators' address, so this registry is not served.
    let handle = ControlReplica::start(replica, listeners, &mut Registry::default())?;
    Ok(ControlProcess { handle, addresses })
}

/// Reports whether the folder is absent or holds nothing but the lock file. A folder that cannot be read
/// counts as not empty, so that a read error never leads to a bootstrap.
fn holds_no_log(folder: &Path) -> bool {
    let is_lock =
        |entry: std::io::Result<DirEntry>| entry.is_ok_and(|entry| entry.file_name() == LOCK_FILE);
    match std::fs::read_dir(folder) {
        Ok(mut entries) => entries.all(is_lock),
        Err(error) => error.kind() == std::io::ErrorKind::NotFound,
    }
}

/// Converts the settings of the process into those of the replica, whose log is in `log_folder`.
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
    replica.incarnation = new_incarnation();
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
/// Returns [`ControlProcessError`] if the replica cannot start, or has ended by itself.
pub fn run_until_stopped(
    settings: ControlSettings,
    bootstrap: Bootstrap,
) -> Result<(), ControlProcessError> {
    let events = install(&settings.data_folder, settings.limits.event_records as usize)?;
    actix_rt::System::new().block_on(async {
        write_events_on_signal(events).map_err(ControlProcessError::Signals)?;
        let mut stop = StopSignals::listen().map_err(ControlProcessError::Signals)?;
        let start = || start(settings.clone(), bootstrap);
        let started = tokio::select! {
            started = start_once_writable(start, ControlProcessError::is_disk_full) => started?,
            () = stop.received() => return Ok(()),
        };
        tokio::select! {
            () = stop.received() => (),
            () = started.replica().ended() => return Err(ControlProcessError::Ended),
        }
        started.stop().await;
        Ok(())
    })
}
