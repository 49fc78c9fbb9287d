//! Settings of a control replica.
//!
//! Owns the form of the file, its defaults and what the command line may set over it.

mod check;

use super::error::SettingsError;
use super::failover::FailoverTimes;
use super::file::{parse_file, replace};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Settings of a control replica, as in its file.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of the cell; replicas of other cells are refused. Default `main`.
    #[serde(default = "default_cell")]
    pub cell: String,
    /// Identity of this replica, a number from 1. A replica that lost its data folder must
    /// come back under one never used before. No default.
    pub replica: u64,
    /// Folder of the log and snapshots, on a disk that keeps what is synced. No default.
    pub data_folder: PathBuf,
    /// Waits to be added to the running cell of `members`, instead of founding a cell with
    /// them. Looked at only while the data folder is empty. Default false.
    #[serde(default)]
    pub join: bool,
    /// Bearer token that operators present; at least 16 characters. Without one the
    /// operators' address must be a loopback one. Default none.
    #[serde(default)]
    pub operator_token: Option<String>,
    /// Addresses it listens on.
    pub addresses: ControlAddresses,
    /// The cell's replicas, this one included unless it joins. No default.
    pub members: Vec<ControlMember>,
    /// The platform's list of machines. Default none.
    #[serde(default)]
    pub platform: Option<PlatformList>,
    /// Limits.
    #[serde(default)]
    pub limits: ControlLimits,
    /// Time-outs.
    #[serde(default)]
    pub timeouts: ControlTimeouts,
    /// When and how a primary is replaced.
    #[serde(default)]
    pub failover: FailoverTimes,
}

impl std::fmt::Debug for ControlSettings {
    /// Leaves the operator token out.
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

/// A replica of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlMember {
    /// Its identity.
    pub id: u64,
    /// IP and port of its interface for other replicas.
    pub address: SocketAddr,
}

/// The platform's list of live and leaving machines.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformList {
    /// IP and port of the HTTP server that has it. No default.
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
    /// Log entries after which a snapshot replaces them. Default 4096.
    pub snapshot_entries: u64,
    /// Changes kept for watchers; a proxy further behind gets a snapshot, an operator's watch
    /// the answer 410. Default 8192.
    pub watch_changes: u32,
    /// Threads of the operators' interface, and of the proxies'. Default 2.
    pub workers: u32,
    /// Log records kept in memory. Default 4096.
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
    /// Time between heartbeats of a proxy, in milliseconds; as in the proxies' settings.
    /// Default 1000.
    pub proxy_heartbeat_ms: u32,
    /// Silence after which a proxy counts as down, in milliseconds. Default 3000.
    pub proxy_silence_ms: u32,
    /// Longest time a request of an operator waits for its outcome, in milliseconds.
    /// Default 5000.
    pub request_ms: u32,
    /// Longest wait for a fence or a promotion of a back end, its connection included, in
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

/// What the command line may set over the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlOverrides {
    /// Over `data_folder`.
    pub data_folder: Option<PathBuf>,
    /// Over `addresses.cell`.
    pub cell: Option<SocketAddr>,
    /// Over `addresses.proxies`.
    pub proxies: Option<SocketAddr>,
    /// Over `addresses.operators`.
    pub operators: Option<SocketAddr>,
}

impl ControlSettings {
    /// Reads a file, applies the overrides and checks every value.
    ///
    /// # Errors
    /// A [`SettingsError`] that names the file, key and value.
    pub fn load(file: &Path, overrides: ControlOverrides) -> Result<Self, SettingsError> {
        let mut settings: Self = parse_file(file)?;
        settings.override_by(overrides);
        settings.check(file)?;
        Ok(settings)
    }

    fn override_by(&mut self, overrides: ControlOverrides) {
        replace(&mut self.data_folder, overrides.data_folder);
        replace(&mut self.addresses.cell, overrides.cell);
        replace(&mut self.addresses.proxies, overrides.proxies);
        replace(&mut self.addresses.operators, overrides.operators);
    }
}
