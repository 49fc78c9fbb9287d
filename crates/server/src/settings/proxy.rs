//! Settings of a proxy.

use super::error::{Check, SettingsError, ValueProblem};
use corktack_core::identity::{ClassName, ProxyName, ZoneName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Most event loops a role may have.
const ARBITERS_MAXIMUM: u64 = 256;
/// Largest time-out, in milliseconds.
const TIMEOUT_MAXIMUM_MS: u64 = 3_600_000;
/// Largest number of callers of one proxy.
const CALLERS_MAXIMUM: u64 = 1_000_000;
/// Largest message of a caller, in bytes; it must fit a frame between proxies.
const MESSAGE_MAXIMUM: u64 = 7 * 1024 * 1024;
/// What to do about an address that others can reach.
const SCRAM_REMEDY: &str = "set authentication.mode = \"scram\" and name users";

/// Settings of a proxy, as in its file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettings {
    /// Name of the proxy, stable over restarts and unique in the fleet. No default.
    pub name: ProxyName,
    /// Zone it runs in; zones of one region share the text before the first `.`. No default.
    pub zone: ZoneName,
    /// Folder for the last configuration and the written-out event logs. No default.
    pub data_folder: PathBuf,
    /// Priority class of callers whom no binding covers. Default `default`.
    #[serde(default = "default_class")]
    pub default_class: ClassName,
    /// User name on server connections. Default `corktack`.
    #[serde(default = "default_back_end_user")]
    pub back_end_user: String,
    /// Addresses it listens on.
    pub addresses: ProxyAddresses,
    /// How it reaches the control replicas.
    pub control: ControlConnection,
    /// How callers prove who they are.
    #[serde(default)]
    pub authentication: Authentication,
    /// Limits.
    #[serde(default)]
    pub limits: ProxyLimits,
    /// Time-outs.
    #[serde(default)]
    pub timeouts: ProxyTimeouts,
}

/// Class of callers whom no binding covers, unless the file names another.
const DEFAULT_CLASS: &str = "default";

fn default_class() -> ClassName {
    // The constant is a valid name, so the conversion cannot fail; a test holds it so.
    match ClassName::new(DEFAULT_CLASS) {
        Ok(name) => name,
        Err(error) => unreachable!("{DEFAULT_CLASS:?}: {error}"),
    }
}

fn default_back_end_user() -> String {
    "corktack".to_owned()
}

/// Addresses a proxy listens on.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyAddresses {
    /// IP and port for callers (PostgreSQL wire protocol). No default.
    pub callers: SocketAddr,
    /// IP and port for other proxies. No default. Keep it on a private network.
    pub peers: SocketAddr,
    /// IP and port other proxies connect to, where it is not `peers`. Default: `peers`.
    pub peers_announced: Option<SocketAddr>,
    /// IP and port for metrics, liveness and readiness. No default.
    pub telemetry: SocketAddr,
}

/// How a proxy reaches the control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlConnection {
    /// Addresses of the control replicas' interface for proxies. No default.
    pub replicas: Vec<SocketAddr>,
    /// Time between heartbeats, in milliseconds. Default 1000.
    #[serde(default = "default_heartbeat_interval_ms")]
    pub heartbeat_interval_ms: u32,
    /// Time without a proof that the replica is current before another one is taken,
    /// in milliseconds. Default 3000.
    #[serde(default = "default_silence_timeout_ms")]
    pub silence_timeout_ms: u32,
    /// Longest time to connect, in milliseconds. Default 1000.
    #[serde(default = "default_connect_timeout_ms")]
    pub connect_timeout_ms: u32,
    /// Shortest wait before another replica is tried, in milliseconds; doubles with each
    /// failure. Default 50.
    #[serde(default = "default_retry_minimum_ms")]
    pub retry_minimum_ms: u32,
    /// Longest wait before another replica is tried, in milliseconds. Default 2000.
    #[serde(default = "default_retry_maximum_ms")]
    pub retry_maximum_ms: u32,
}

const fn default_heartbeat_interval_ms() -> u32 {
    1_000
}

const fn default_silence_timeout_ms() -> u32 {
    3_000
}

const fn default_connect_timeout_ms() -> u32 {
    1_000
}

const fn default_retry_minimum_ms() -> u32 {
    50
}

const fn default_retry_maximum_ms() -> u32 {
    2_000
}

impl ControlConnection {
    /// The defaults for these replicas.
    #[must_use]
    pub const fn new(replicas: Vec<SocketAddr>) -> Self {
        Self {
            replicas,
            heartbeat_interval_ms: default_heartbeat_interval_ms(),
            silence_timeout_ms: default_silence_timeout_ms(),
            connect_timeout_ms: default_connect_timeout_ms(),
            retry_minimum_ms: default_retry_minimum_ms(),
            retry_maximum_ms: default_retry_maximum_ms(),
        }
    }
}

/// How callers prove who they are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Authentication {
    /// `trust` (loopback addresses only) or `scram` (SCRAM-SHA-256). Default `trust`.
    #[serde(default)]
    pub mode: AuthenticationMode,
    /// Users of `scram`. Default none.
    #[serde(default)]
    pub users: Vec<ScramUser>,
}

/// Kind of authentication.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AuthenticationMode {
    /// Any user name is believed.
    #[default]
    Trust,
    /// SCRAM-SHA-256 against the listed users.
    Scram,
}

/// A user of SCRAM authentication.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScramUser {
    /// Name of the user.
    pub name: String,
    /// The password. Keep the file readable by the proxy's user alone.
    pub password: String,
}

impl std::fmt::Debug for ScramUser {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("ScramUser").field("name", &self.name).finish_non_exhaustive()
    }
}

/// Limits of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyLimits {
    /// Callers connected at once; further ones are refused with SQLSTATE 53300. Default 10000.
    pub callers: u32,
    /// Event loops (threads) for callers. Default 2.
    pub edge_arbiters: u32,
    /// Event loops (threads) for owned groups. Default 2.
    pub owner_arbiters: u32,
    /// Longest message, and longest batch, of a caller, in bytes. Default 4194304.
    pub message_bytes: u32,
    /// Log records kept in memory. Default 4096.
    pub event_records: u32,
}

impl Default for ProxyLimits {
    fn default() -> Self {
        Self {
            callers: 10_000,
            edge_arbiters: 2,
            owner_arbiters: 2,
            message_bytes: 4 * 1024 * 1024,
            event_records: 4_096,
        }
    }
}

/// Time-outs of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyTimeouts {
    /// Longest wait at start for a proof that the configuration is current before the
    /// stored one is used, in milliseconds. Without a stored one it waits on. Default 5000.
    pub startup_ms: u32,
    /// Longest wait of a planned stop until other proxies own the groups, in milliseconds.
    /// Default 10000.
    pub handover_ms: u32,
    /// Longest wait of a planned stop for requests in flight, in milliseconds. Default 60000.
    pub drain_ms: u32,
    /// Longest time until a caller has authenticated, in milliseconds. Default 10000.
    pub authentication_ms: u32,
    /// Longest wait until a request starts, and for any message of its answer, in
    /// milliseconds. Default 30000.
    pub request_ms: u32,
    /// Time between two probes of a member of an owned group, in milliseconds. Default 50.
    pub probe_interval_ms: u32,
    /// Time after which a probe counts as unanswered, in milliseconds. Default 200.
    pub probe_ms: u32,
    /// How long the outcome of an idempotency key is kept, in seconds; a repeat after it
    /// runs again. Default 86400.
    pub outcome_retention_s: u32,
}

impl Default for ProxyTimeouts {
    fn default() -> Self {
        Self {
            startup_ms: 5_000,
            handover_ms: 10_000,
            drain_ms: 60_000,
            authentication_ms: 10_000,
            request_ms: 30_000,
            probe_interval_ms: 50,
            probe_ms: 200,
            outcome_retention_s: 86_400,
        }
    }
}

/// What the command line may set over the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProxyOverrides {
    /// Over `name`.
    pub name: Option<ProxyName>,
    /// Over `zone`.
    pub zone: Option<ZoneName>,
    /// Over `data_folder`.
    pub data_folder: Option<PathBuf>,
    /// Over `addresses.callers`.
    pub callers: Option<SocketAddr>,
    /// Over `addresses.peers`.
    pub peers: Option<SocketAddr>,
    /// Over `addresses.telemetry`.
    pub telemetry: Option<SocketAddr>,
}

impl ProxySettings {
    /// Reads a file, applies the overrides and checks every value.
    ///
    /// # Errors
    /// A [`SettingsError`] that names the file, key and value.
    pub fn load(file: &Path, overrides: ProxyOverrides) -> Result<Self, SettingsError> {
        let mut settings: Self = super::parse_file(file)?;
        settings.override_by(overrides);
        settings.check(file)?;
        Ok(settings)
    }

    fn override_by(&mut self, overrides: ProxyOverrides) {
        replace(&mut self.name, overrides.name);
        replace(&mut self.zone, overrides.zone);
        replace(&mut self.data_folder, overrides.data_folder);
        replace(&mut self.addresses.callers, overrides.callers);
        replace(&mut self.addresses.peers, overrides.peers);
        replace(&mut self.addresses.telemetry, overrides.telemetry);
    }

    /// Checks every value; `file` is named in the errors.
    ///
    /// # Errors
    /// The first value that is not allowed.
    pub fn check(&self, file: &Path) -> Result<(), SettingsError> {
        let check = Check { file };
        self.check_addresses(&check)?;
        self.check_authentication(&check)?;
        self.check_control(&check)?;
        self.check_limits(&check)?;
        self.check_timeouts(&check)
    }

    fn check_addresses(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        check.distinct(&[
            ("addresses.callers", self.addresses.callers),
            ("addresses.peers", self.addresses.peers),
            ("addresses.telemetry", self.addresses.telemetry),
        ])?;
        if self.addresses.peers_announced.is_some_and(|address| address.port() == 0) {
            let value = self.addresses.peers_announced.map_or(String::new(), |a| a.to_string());
            return Err(check.refuse("addresses.peers_announced", value, ValueProblem::NoPort));
        }
        Ok(())
    }

    fn check_authentication(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        let scram = self.authentication.mode == AuthenticationMode::Scram;
        check.authenticated("addresses.callers", self.addresses.callers, scram, SCRAM_REMEDY)?;
        let users = &self.authentication.users;
        if scram && users.is_empty() {
            return Err(check.refuse("authentication.users", "[]", ValueProblem::Empty));
        }
        for (place, user) in users.iter().enumerate() {
            if users[..place].iter().any(|other| other.name == user.name) {
                let problem = ValueProblem::Duplicate;
                return Err(check.refuse("authentication.users.name", &user.name, problem));
            }
            if user.password.is_empty() {
                let problem = ValueProblem::TooShort(1);
                return Err(check.refuse("authentication.users.password", &user.name, problem));
            }
        }
        Ok(())
    }

    fn check_control(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        let control = &self.control;
        check.addresses("control.replicas", &control.replicas)?;
        let range = |key, value: u32| check.range(key, value, 1..=TIMEOUT_MAXIMUM_MS);
        range("control.heartbeat_interval_ms", control.heartbeat_interval_ms)?;
        range("control.silence_timeout_ms", control.silence_timeout_ms)?;
        range("control.connect_timeout_ms", control.connect_timeout_ms)?;
        range("control.retry_minimum_ms", control.retry_minimum_ms)?;
        range("control.retry_maximum_ms", control.retry_maximum_ms)?;
        if control.heartbeat_interval_ms > control.silence_timeout_ms {
            let problem = ValueProblem::Above("control.silence_timeout_ms");
            let value = control.heartbeat_interval_ms;
            return Err(check.refuse("control.heartbeat_interval_ms", value, problem));
        }
        if control.retry_minimum_ms > control.retry_maximum_ms {
            let problem = ValueProblem::Above("control.retry_maximum_ms");
            return Err(check.refuse(
                "control.retry_minimum_ms",
                control.retry_minimum_ms,
                problem,
            ));
        }
        Ok(())
    }

    fn check_limits(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        check.range("limits.callers", self.limits.callers, 1..=CALLERS_MAXIMUM)?;
        check.range("limits.edge_arbiters", self.limits.edge_arbiters, 1..=ARBITERS_MAXIMUM)?;
        check.range("limits.owner_arbiters", self.limits.owner_arbiters, 1..=ARBITERS_MAXIMUM)?;
        check.range("limits.message_bytes", self.limits.message_bytes, 1_024..=MESSAGE_MAXIMUM)?;
        check.range("limits.event_records", self.limits.event_records, 1..=1_000_000)
    }

    fn check_timeouts(&self, check: &Check<'_>) -> Result<(), SettingsError> {
        let range = |key, value: u32| check.range(key, value, 1..=TIMEOUT_MAXIMUM_MS);
        range("timeouts.startup_ms", self.timeouts.startup_ms)?;
        range("timeouts.handover_ms", self.timeouts.handover_ms)?;
        range("timeouts.drain_ms", self.timeouts.drain_ms)?;
        range("timeouts.authentication_ms", self.timeouts.authentication_ms)?;
        range("timeouts.request_ms", self.timeouts.request_ms)?;
        range("timeouts.probe_interval_ms", self.timeouts.probe_interval_ms)?;
        range("timeouts.probe_ms", self.timeouts.probe_ms)?;
        let retention = self.timeouts.outcome_retention_s;
        check.range("timeouts.outcome_retention_s", retention, 1..=u64::from(u32::MAX))
    }
}

/// A setting in milliseconds as a duration.
#[must_use]
pub fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}

/// Puts a value given on the command line over the file's.
pub(super) fn replace<T>(value: &mut T, by: Option<T>) {
    if let Some(by) = by {
        *value = by;
    }
}
