//! Settings of a gateway, as the process that starts it passes them in.

use corktack_core::clients::ClientLimits;
use corktack_core::identity::{Incarnation, ProxyName, ZoneName};
use corktack_core::limits::LimitBounds;
use std::net::SocketAddr;
use std::time::Duration;

/// Identity, addresses, timeouts and limits of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the gateway, which its connections to members give if no tenant is known.
    pub name: ProxyName,
    /// Incarnation of the process, by which control tells it from earlier ones of the same name.
    pub incarnation: Incarnation,
    /// Window and bounds of the limits of tenants.
    pub limits: LimitBounds,
    /// Longest time since control last confirmed the configuration as current in which operations may begin;
    /// with none, operations begin by the last configuration, however old.
    pub max_confirmation_age: Option<Duration>,
    /// Limits of the callers' connections and of the memory held for them.
    pub callers: ClientLimits,
    /// Most bytes of all answers of members together that have arrived in part.
    pub max_answer_bytes: usize,
    /// Most bytes of all statements of other gateways together that are run at the same time.
    pub max_peer_bytes: usize,
    /// Address at which other gateways reach this one.
    pub peers: SocketAddr,
    /// Zone of the gateway, in which it prefers members.
    pub zone: ZoneName,
    /// Longest wait until a member accepts a connection; a member that doesn't counts as unreachable.
    pub connect_timeout: Duration,
    /// Longest wait after the accept until the member is ready for statements.
    pub dial_timeout: Duration,
    /// Longest wait for the begin of a transaction, which takes no slot of a member.
    pub begin_timeout: Duration,
    /// Longest time for which a draining primary that isn't replaced yet is still used.
    pub drain_limit: Duration,
    /// Time at the start of a planned stop in which sessions continue, while new callers are directed to
    /// other gateways.
    pub drain_notice: Duration,
    /// Grace period of open transactions after the notice: they are rolled back at its end, and no more
    /// statements are begun.
    pub transaction_grace: Duration,
    /// Longest duration of a planned stop, from its start. Statements that still run at a member then are
    /// abandoned.
    pub stop_limit: Duration,
}
