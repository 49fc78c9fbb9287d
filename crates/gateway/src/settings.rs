//! Settings of a gateway.
//!
//! They are for whoever starts one. They own nothing else; where they come from is the process's to say.

use corktack_core::identity::{Incarnation, ProxyName, ZoneName};
use corktack_core::limits::LimitBounds;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Who connections to members say they are from.
    pub name: ProxyName,
    /// Incarnation of the process, which control knows it by.
    pub incarnation: Incarnation,
    /// By what the limits of tenants are kept.
    pub limits: LimitBounds,
    /// How old the last proof that the configuration is current may be for operations to begin; none
    /// where they begin by the last configuration, however old.
    pub unproved_limit: Option<Duration>,
    /// Where other gateways reach it.
    pub peers: SocketAddr,
    /// Its zone, for the choice of near members.
    pub zone: ZoneName,
    /// Longest wait until a member accepts a connection; one that does not counts as unreachable.
    pub connect_timeout: Duration,
    /// Longest wait after that until it is ready for statements.
    pub dial_timeout: Duration,
    /// Longest wait for the begin of a transaction, which takes no slot of a member.
    pub begin_timeout: Duration,
    /// How long a draining primary that was not replaced yet still gets work.
    pub drain_limit: Duration,
    /// How long sessions go on at a planned stop while new callers are led elsewhere.
    pub notice: Duration,
    /// How long open transactions may go on after that, and again until they are cut.
    pub transaction_grace: Duration,
}
