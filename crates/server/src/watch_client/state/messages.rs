//! What the watch is made with, what happens to it and what it wants done.

use corktack_core::identity::{Incarnation, ProxyName, ZoneName};
use corktack_core::limits::{AllowanceGrant, AllowanceReport};
use corktack_core::position::Term;
use corktack_core::view::Revision;
use corktack_protocol::control::{ControlMessage, Observation, ProxyMessage};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of the watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchSettings {
    /// The proxy.
    pub proxy: ProxyName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Address of its owner interface, for other proxies.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// The control replicas; tried in an order shuffled by `seed`.
    pub replicas: Vec<SocketAddr>,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a proof that the replica is current before another one is taken.
    pub silence_timeout: Duration,
    /// Shortest wait before another replica is tried; doubles with each failure.
    pub retry_minimum: Duration,
    /// Longest wait before another replica is tried.
    pub retry_maximum: Duration,
    /// Whether the replicas that control names take the place of those configured: so it is where
    /// all of them serve proxies at one port.
    pub follows_cell: bool,
    /// Seed of the order of replicas and of the jitter.
    pub seed: u64,
}

/// What happens to the watch.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The connection requested is open.
    Connected,
    /// The connection could not be opened, or was lost.
    Disconnected,
    /// A message came in on the open connection.
    Message(ControlMessage),
    /// The proxy observed changes at back ends.
    Observed(Vec<Observation>),
    /// The proxy reports what it holds of tenants' limits.
    Allowances(AllowanceReport),
    /// The proxy is stopping.
    Draining,
    /// The configuration of this revision is on disk.
    Synced(Revision),
}

/// What the shell must do, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection to the first of these that accepts one; the one before is closed.
    Connect(Vec<SocketAddr>),
    /// Close the connection.
    Disconnect,
    /// Send on the open connection.
    Send(ProxyMessage),
    /// The configuration in force rose: publish it and put it on disk.
    Publish,
    /// The replica proved that it is current, so the configuration in force is too.
    Current,
    /// Pass on to the proxy in which term a leader has been elected.
    Led(Term),
    /// Pass on to the proxy what the leader gives of tenants' limits.
    Granted(AllowanceGrant),
}
