//! Settings of the edge and their defaults.
//!
//! The process that starts the edge overrides the defaults with the deployment's settings.

use corktack_core::identity::{ClassName, Incarnation, ProxyName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Default number of arbiters. With one, all callers wait behind each long computation; more cost a
/// small machine idle wake-ups.
const DEFAULT_ARBITERS: usize = 2;
/// Default limit on open connections of callers. A lower one refuses callers although there is
/// capacity; a higher one lets them exhaust the process's file descriptors and memory.
const DEFAULT_CONNECTION_LIMIT: usize = 10_000;
/// Default limit on a message before authentication, in bytes. A lower one refuses long startup options
/// and tokens; a higher one lets unauthenticated callers fill memory.
const DEFAULT_MAX_STARTUP_MESSAGE_BYTES: usize = 8 * 1024;
/// Default limit on a message and on a batch after authentication, in bytes: half of what a frame to an
/// owner holds. A lower one refuses long statements; a higher one lets a caller use more memory.
const DEFAULT_MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Default time for a caller to authenticate. A shorter one disconnects callers behind slow links; a
/// longer one lets silent connections occupy the connection limit.
const DEFAULT_STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// Default timeout for finding an owner, including all retries, and for each message of an answer. A
/// shorter one abandons statements that still run; a longer one blocks callers whose group no longer
/// exists.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Default time from the first `Flush` of a batch to its `Sync`. A shorter one ends batches of callers
/// that pause between two parts; a longer one keeps their server connection from other callers.
const DEFAULT_UNFINISHED_BATCH_TIMEOUT: Duration = Duration::from_secs(60);
/// Default time for a drain to wait for transactions in flight. A shorter one loses long transactions
/// at each restart; a longer one delays the restart.
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// How callers authenticate.
#[derive(Clone, Debug, Default)]
pub enum Authentication {
    /// Callers are not authenticated.
    #[default]
    Trust,
    /// SCRAM-SHA-256 against these users.
    ScramSha256 {
        /// Secrets by user name.
        users: BTreeMap<String, UserSecret>,
    },
}

/// What the edge stores of a user's password.
#[derive(Clone)]
pub enum UserSecret {
    /// The password in clear text.
    Password(String),
    /// The salted password of SCRAM with its salt, computed with [`SCRAM_ITERATIONS`] iterations.
    ///
    /// [`SCRAM_ITERATIONS`]: pgwire::api::auth::sasl::scram::SCRAM_ITERATIONS
    Verifier {
        /// Salt of the password.
        salt: Vec<u8>,
        /// Salted password as SCRAM defines it.
        salted_password: Vec<u8>,
    },
}

impl std::fmt::Debug for UserSecret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("UserSecret")
    }
}

/// Settings of the edge; [`EdgeSettings::new`] fills in the defaults.
#[derive(Clone, Debug)]
pub struct EdgeSettings {
    /// Name of this proxy.
    pub proxy: ProxyName,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Address of the owner in this process, if it can be reached without the network. It replaces the
    /// address that the configuration lists for this proxy.
    pub local_owner: Option<SocketAddr>,
    /// Number of arbiters, the threads that serve callers.
    pub arbiters: usize,
    /// Limit on open connections of callers.
    pub connection_limit: usize,
    /// Limit on a message before authentication, in bytes.
    pub startup_message_limit: usize,
    /// Limit on a message and on a batch after authentication, in bytes.
    pub message_limit: usize,
    /// Time for a caller to authenticate and start its session.
    pub startup_timeout: Duration,
    /// Priority class of callers that no binding matches.
    pub default_class: ClassName,
    /// How callers authenticate.
    pub authentication: Authentication,
    /// Timeout for finding an owner, including all retries, and for each message of the answer. Writes
    /// to the caller have the same timeout.
    pub request_timeout: Duration,
    /// Time from the first `Flush` of a batch outside a transaction block to its `Sync`. An unfinished
    /// batch holds one of the group's server connections, and a caller that never ends its batch must
    /// not keep the connection from others.
    pub unfinished_batch_timeout: Duration,
    /// Seed of the random waits before retries.
    pub retry_seed: u64,
    /// Time for a drain to wait for transactions in flight.
    pub drain_timeout: Duration,
}

impl EdgeSettings {
    /// Creates settings with the default limits and without authentication.
    #[must_use]
    pub fn new(proxy: ProxyName, incarnation: Incarnation, default_class: ClassName) -> Self {
        Self {
            proxy,
            incarnation,
            local_owner: None,
            arbiters: DEFAULT_ARBITERS,
            connection_limit: DEFAULT_CONNECTION_LIMIT,
            startup_message_limit: DEFAULT_MAX_STARTUP_MESSAGE_BYTES,
            message_limit: DEFAULT_MAX_MESSAGE_BYTES,
            startup_timeout: DEFAULT_STARTUP_TIMEOUT,
            default_class,
            authentication: Authentication::Trust,
            request_timeout: DEFAULT_REQUEST_TIMEOUT,
            unfinished_batch_timeout: DEFAULT_UNFINISHED_BATCH_TIMEOUT,
            retry_seed: rand::random(),
            drain_timeout: DEFAULT_DRAIN_TIMEOUT,
        }
    }
}
