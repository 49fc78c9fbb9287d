//! Settings of the edge.
//!
//! The module owns the defaults; the process that starts the edge reads a deployment's own values.

use corktack_core::identity::{ClassName, Incarnation, ProxyName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Default number of threads that serve callers. Chosen, not measured: with one, all callers wait
/// behind each long step, more cost a small machine idle wake-ups.
const ARBITERS: usize = 2;
/// Default number of callers' connections at once. Chosen, not measured: a lower one refuses callers that there
/// is room for, a higher one lets them use up the process's file descriptors and memory.
const CONNECTION_LIMIT: usize = 10_000;
/// Default longest message before authentication, in bytes. Chosen, not measured: a lower one refuses long
/// startup options and tokens, a higher one lets callers that have proved nothing fill memory.
const STARTUP_MESSAGE_LIMIT: usize = 8 * 1024;
/// Default longest message and batch after authentication, in bytes: half of what a frame to an owner holds.
/// Chosen, not measured: a lower one refuses long statements, a higher one a caller may fill memory with.
const MESSAGE_LIMIT: usize = 4 * 1024 * 1024;
/// Default longest time until a caller has authenticated. Chosen, not measured: a lower one cuts callers off
/// behind slow links, a higher one lets silent connections take places under the limit.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// Default longest wait for an owner with all retries, and for each message of an answer. Chosen, not measured:
/// a lower one gives up statements that still run, a higher one holds callers of a group that is gone.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Default longest time from the first `Flush` of a batch to its `Sync`. Chosen, not measured: a lower one ends
/// batches of callers that think between two parts, a higher one keeps their server connection from others.
const UNFINISHED_BATCH_TIMEOUT: Duration = Duration::from_secs(60);
/// Default longest wait of a drain for transactions in flight. Chosen, not measured: a lower one loses long
/// transactions at each restart, a higher one holds the restart up.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// How callers prove who they are.
#[derive(Clone, Debug, Default)]
pub enum Authentication {
    /// Every caller is believed.
    #[default]
    Trust,
    /// SCRAM-SHA-256 with these users.
    ScramSha256 {
        /// Secrets by user name.
        users: BTreeMap<String, UserSecret>,
    },
}

/// What the edge knows of a user's password.
#[derive(Clone)]
pub enum UserSecret {
    /// The password itself.
    Password(String),
    /// The salted password of SCRAM with its salt and [`SCRAM_ITERATIONS`].
    ///
    /// [`SCRAM_ITERATIONS`]: pgwire::api::auth::sasl::scram::SCRAM_ITERATIONS
    Verifier {
        /// The salt.
        salt: Vec<u8>,
        /// The password salted with it.
        salted_password: Vec<u8>,
    },
}

impl std::fmt::Debug for UserSecret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("UserSecret")
    }
}

/// Settings of the edge.
#[derive(Clone, Debug)]
pub struct EdgeSettings {
    /// This proxy.
    pub proxy: ProxyName,
    /// This incarnation of the process.
    pub incarnation: Incarnation,
    /// Where the owner in this process listens, if the way there need not leave the
    /// machine: used in place of the address that the configuration gives it.
    pub local_owner: Option<SocketAddr>,
    /// Threads that serve callers.
    pub arbiters: usize,
    /// Callers' connections at once.
    pub connection_limit: usize,
    /// Longest message before authentication, in bytes.
    pub startup_message_limit: usize,
    /// Longest message, and longest batch, after authentication, in bytes.
    pub message_limit: usize,
    /// Longest time until a caller has authenticated.
    pub startup_timeout: Duration,
    /// Class of callers whom no binding covers.
    pub default_class: ClassName,
    /// How callers prove who they are.
    pub authentication: Authentication,
    /// Longest wait until a request starts, and for any message of its answer.
    pub request_timeout: Duration,
    /// Longest time from the first `Flush` of a batch outside a transaction block to
    /// its `Sync`. The batch holds one of the group's server connections meanwhile,
    /// so a caller that never ends it must not keep it from others.
    pub unfinished_batch_timeout: Duration,
    /// Seed of the waits before a request is sent again.
    pub retry_seed: u64,
    /// Longest wait of a drain for transactions in flight.
    pub drain_timeout: Duration,
}

impl EdgeSettings {
    /// Settings with the usual limits.
    #[must_use]
    pub fn new(proxy: ProxyName, incarnation: Incarnation, default_class: ClassName) -> Self {
        Self {
            proxy,
            incarnation,
            local_owner: None,
            arbiters: ARBITERS,
            connection_limit: CONNECTION_LIMIT,
            startup_message_limit: STARTUP_MESSAGE_LIMIT,
            message_limit: MESSAGE_LIMIT,
            startup_timeout: STARTUP_TIMEOUT,
            default_class,
            authentication: Authentication::Trust,
            request_timeout: REQUEST_TIMEOUT,
            unfinished_batch_timeout: UNFINISHED_BATCH_TIMEOUT,
            retry_seed: rand::random(),
            drain_timeout: DRAIN_TIMEOUT,
        }
    }
}
