//! Settings of a control replica: the schema of the file, its defaults, and the values that the command
//! line may override.

mod check;

use super::error::SettingsError;
use super::failover::FailoverTimes;
use super::file::{apply_override, parse_file};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Settings of a control replica, as its settings file has them.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of the cell; replicas of other cells are refused. Default `main`.
    #[serde(default = "default_cell")]
    pub cell: String,
    /// Identity of this replica, a number from 1. A replica that lost its data folder must
    /// join again under an identity that was never used before. No default.
    pub replica: u64,
    /// Folder for the log and snapshots, on a disk that keeps synced data over a power loss. No
    /// default.
    pub data_folder: PathBuf,
    /// Whether the replica waits to be added to the running cell of `members`, instead of
    /// bootstrapping a cell with them. Used only while the data folder is empty. Default false.
    #[serde(default)]
    pub join: bool,
    /// Bearer token that operators must send, of at least 16 characters. Without a token,
    /// `addresses.operators` must be a loopback address. Default none.
    #[serde(default)]
    pub operator_token: Option<String>,
    /// Addresses that the replica listens on.
    pub addresses: ControlAddresses,
    /// Replicas of the cell, including this replica unless `join` is set. No default.
    pub members: Vec<ControlMember>,
    /// Source of the platform's list of machines. Default none.
    #[serde(default)]
    pub platform: Option<PlatformList>,
    /// Limits on memory and threads.
    #[serde(default)]
    pub limits: ControlLimits,
    /// Time-outs and heartbeat intervals.
    #[serde(default)]
    pub timeouts: ControlTimeouts,
    /// Times of the detection and replacement of a lost primary.
    #[serde(default)]
    pub failover: FailoverTimes,
}

impl std::fmt::Debug for ControlSettings {
    /// Omits the operator token, so that it does not reach logs.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("ControlSettings")
            .field("cell", &self.cell)
            .field("replica", &self.replica)
            .field("data_folder", &self.data_folder)
            .field("addresses", &self.addresses)
            .field("members", &self.members)
            .finish_non_exhaustive()
    }
}

fn default_cell() -> String {
    "main".to_owned()
}

/// Addresses a control replica listens on.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlAddresses {
    /// IP and port for other control replicas. No default. Keep it on a private network.
    pub cell: SocketAddr,
    /// IP and port for proxies. No default. Keep it on a private network.
    pub proxies: SocketAddr,
    /// IP and port for operators (HTTP), and for metrics, liveness and readiness. No default.
    pub operators: SocketAddr,
}

/// A member of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlMember {
    /// Identity of the replica, a number from 1.
    pub id: u64,
    /// IP and port on which the replica listens for other replicas.
    pub address: SocketAddr,
}

/// Where and how often the platform's list of live and leaving machines is read.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformList {
    /// IP and port of the HTTP server that serves the list. No default.
    pub address: SocketAddr,
    /// Path of the list, with its leading slash. Default `/`.
    #[serde(default = "default_path")]
    pub path: String,
    /// Time between two polls, in milliseconds. Default 1000.
    #[serde(default = "default_poll_interval_ms")]
    pub poll_interval_ms: u32,
}

fn default_path() -> String {
    "/".to_owned()
}

const fn default_poll_interval_ms() -> u32 {
    1_000
}

/// Limits of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlLimits {
    /// Number of log entries after which a snapshot replaces them. Default 4096.
    pub snapshot_entries: u64,
    /// Number of changes kept for watchers. A proxy that is further behind receives a snapshot;
    /// an operator's watch receives the answer 410. Default 8192.
    pub watch_changes: u32,
    /// Number of threads of the operators' interface, and likewise of the proxies' interface.
    /// Default 2.
    pub workers: u32,
    /// Number of log records kept in memory. Default 4096.
    pub event_records: u32,
}

impl Default for ControlLimits {
    fn default() -> Self {
        Self { snapshot_entries: 4_096, watch_changes: 8_192, workers: 2, event_records: 4_096 }
    }
}

/// Time-outs of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlTimeouts {
    /// Shortest time without a leader before an election, in milliseconds. Default 300.
    pub election_ms: u32,
    /// Time between heartbeats of the leader, in milliseconds. Default 50.
    pub heartbeat_ms: u32,
    /// Time between heartbeats of a proxy, in milliseconds; the same as in the proxies' setting
    /// `control.heartbeat_interval_ms`. Default 1000.
    pub proxy_heartbeat_ms: u32,
    /// Time without a heartbeat after which a proxy counts as down, in milliseconds. Default 3000.
    pub proxy_silence_ms: u32,
    /// Longest wait of an operator's request for its outcome, in milliseconds. Default 5000.
    pub request_ms: u32,
    /// Timeout of a fence or a promotion of a back end, including the connection set-up, in
    /// milliseconds. Default 1000.
    pub back_end_ms: u32,
}

impl Default for ControlTimeouts {
    fn default() -> Self {
        Self {
            election_ms: 300,
            heartbeat_ms: 50,
            proxy_heartbeat_ms: 1_000,
            proxy_silence_ms: 3_000,
            request_ms: 5_000,
            back_end_ms: 1_000,
        }
    }
}

/// Values of the command line that override those of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlOverrides {
    /// Overrides `data_folder`.
    pub data_folder: Option<PathBuf>,
    /// Overrides `addresses.cell`.
    pub cell: Option<SocketAddr>,
    /// Overrides `addresses.proxies`.
    pub proxies: Option<SocketAddr>,
    /// Overrides `addresses.operators`.
    pub operators: Option<SocketAddr>,
}

impl ControlSettings {
    /// Reads a file, applies the overrides and checks every value.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] that names the file, key and value.
    pub fn load(file: &Path, overrides: ControlOverrides) -> Result<Self, SettingsError> {
        let mut settings: Self = parse_file(file)?;
        settings.apply_overrides(overrides);
        settings.check(file)?;
        Ok(settings)
    }

    fn apply_overrides(&mut self, overrides: ControlOverrides) {
        apply_override(&mut self.data_folder, overrides.data_folder);
        apply_override(&mut self.addresses.cell, overrides.cell);
        apply_override(&mut self.addresses.proxies, overrides.proxies);
        apply_override(&mut self.addresses.operators, overrides.operators);
    }
}
