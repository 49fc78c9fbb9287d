//! Settings of the edge.

use corktack_core::identity::{ClassName, Incarnation, ProxyName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

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
    /// This life of the process.
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
            arbiters: 2,
            connection_limit: 10_000,
            startup_message_limit: 8 * 1024,
            message_limit: 4 * 1024 * 1024,
            startup_timeout: Duration::from_secs(10),
            default_class,
            authentication: Authentication::Trust,
            request_timeout: Duration::from_secs(30),
            unfinished_batch_timeout: Duration::from_secs(60),
            retry_seed: rand::random(),
            drain_timeout: Duration::from_secs(60),
        }
    }
}
