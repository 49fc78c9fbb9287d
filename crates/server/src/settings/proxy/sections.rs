//! Sections of a proxy's settings file and their defaults.

use serde::Deserialize;
use std::net::SocketAddr;

/// Addresses a proxy listens on.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyAddresses {
    /// IP and port for callers (PostgreSQL wire protocol). No default.
    pub callers: SocketAddr,
    /// IP and port for other proxies. No default. Keep it on a private network.
    pub peers: SocketAddr,
    /// IP and port that other proxies connect to, if they differ from `peers`. Default: `peers`.
    pub peers_announced: Option<SocketAddr>,
    /// IP and port at which this proxy connects to its own interface for proxies. Callers of a
    /// group that the proxy owns are served even if the announced address cannot be reached.
    /// Default: the address that `peers` listens on, or loopback if that is every address.
    pub peers_own: Option<SocketAddr>,
    /// IP and port for metrics, liveness and readiness. No default.
    pub telemetry: SocketAddr,
}

/// Section `control`: how a proxy connects to the control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlConnection {
    /// Addresses on which the control replicas listen for proxies. No default.
    pub replicas: Vec<SocketAddr>,
    /// Time between two heartbeats to control, in milliseconds. Default 1000.
    #[serde(default = "default_heartbeat_interval_ms")]
    pub heartbeat_interval_ms: u32,
    /// Time without a confirmation that the connected replica is current before the proxy
    /// connects to another replica, in milliseconds. Default 3000.
    #[serde(default = "default_silence_timeout_ms")]
    pub silence_timeout_ms: u32,
    /// Timeout of a connection attempt, in milliseconds. Default 1000.
    #[serde(default = "default_connect_timeout_ms")]
    pub connect_timeout_ms: u32,
    /// Shortest delay before another replica is tried, in milliseconds; the delay doubles with
    /// each failure. Default 50.
    #[serde(default = "default_retry_minimum_ms")]
    pub retry_minimum_ms: u32,
    /// Longest delay before another replica is tried, in milliseconds. Default 2000.
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
    /// Returns the default settings for connections to these replicas.
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

/// Section `authentication`: how callers authenticate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Authentication {
    /// `trust` (loopback addresses only) or `scram` (SCRAM-SHA-256). Default `trust`.
    #[serde(default)]
    pub mode: AuthenticationMode,
    /// Users of the mode `scram`; listed users are an error in the mode `trust`. Default none.
    #[serde(default)]
    pub users: Vec<ScramUser>,
}

/// Authentication mode of callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AuthenticationMode {
    /// Accepts any user name without a password.
    #[default]
    Trust,
    /// Authenticates callers with SCRAM-SHA-256 against the listed users.
    Scram,
}

/// A user of SCRAM authentication.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScramUser {
    /// User name that the caller sends.
    pub name: String,
    /// Password in plain text. Only the proxy's operating-system user should be able to read the file.
    pub password: String,
}

impl std::fmt::Debug for ScramUser {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("ScramUser").field("name", &self.name).finish_non_exhaustive()
    }
}

/// Section `limits` of a proxy's settings.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyLimits {
    /// Most callers connected at once; further callers are refused with SQLSTATE 53300. Default
    /// 10000.
    pub callers: u32,
    /// Number of event loops (threads) for callers. Default 2.
    pub edge_arbiters: u32,
    /// Number of event loops (threads) for owned groups. Default 2.
    pub owner_arbiters: u32,
    /// Largest message, and largest batch of messages, of a caller, in bytes. Default 4194304.
    pub message_bytes: u32,
    /// Largest message of a caller that has not authenticated yet, in bytes. Default 8192.
    pub startup_message_bytes: u32,
    /// Number of log records kept in memory. Default 4096.
    pub event_records: u32,
}

impl Default for ProxyLimits {
    fn default() -> Self {
        Self {
            callers: 10_000,
            edge_arbiters: 2,
            owner_arbiters: 2,
            message_bytes: 4 * 1024 * 1024,
            startup_message_bytes: 8 * 1024,
            event_records: 4_096,
        }
    }
}

/// Section `timeouts` of a proxy's settings.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyTimeouts {
    /// Longest wait at start for a confirmation that the configuration is current, in
    /// milliseconds. Afterwards the proxy uses its stored configuration; without a stored
    /// configuration it keeps waiting. Default 5000.
    pub startup_ms: u32,
    /// Longest wait of a planned stop until other proxies own this proxy's groups, in
    /// milliseconds. Default 10000.
    pub handover_ms: u32,
    /// Longest wait of a planned stop for requests in flight, in milliseconds. Default 60000.
    pub drain_ms: u32,
    /// Timeout of a caller's authentication, in milliseconds. Default 10000.
    pub authentication_ms: u32,
    /// Longest wait until a request starts, and for each message of its answer, in milliseconds.
    /// Default 30000.
    pub request_ms: u32,
    /// Time between two probes of a member of an owned group, in milliseconds. Default 200.
    pub probe_interval_ms: u32,
    /// Time after which a probe counts as unanswered, in milliseconds. Default 200.
    pub probe_ms: u32,
    /// How long a member may leave probes unanswered before its requests in flight are completed
    /// with their final outcome and connections to it are closed, in milliseconds. Default 10000.
    pub member_silence_ms: u32,
    /// How long the outcome of an idempotency key is kept, in seconds; a request repeated later
    /// is run again. Default 86400.
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
            probe_interval_ms: 200,
            probe_ms: 200,
            member_silence_ms: 10_000,
            outcome_retention_s: 86_400,
        }
    }
}
