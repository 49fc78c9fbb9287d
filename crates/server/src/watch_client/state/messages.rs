//! Settings, events and actions of the watch's state machine.

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
    /// Name of the proxy, as it announces itself to control.
    pub proxy: ProxyName,
    /// The proxy's incarnation, which differs between starts.
    pub incarnation: Incarnation,
    /// Address at which other proxies reach the proxy's owner interface.
    pub address: SocketAddr,
    /// The proxy's zone.
    pub zone: ZoneName,
    /// Addresses of the control replicas, tried in an order shuffled by `seed`.
    pub replicas: Vec<SocketAddr>,
    /// Time between heartbeats to control; shorter while observations wait.
    pub heartbeat_interval: Duration,
    /// Time without a confirmation that the replica is current after which another replica is tried.
    pub silence_timeout: Duration,
    /// Shortest wait before another replica is tried; doubles with each failure.
    pub retry_minimum: Duration,
    /// Longest wait before another replica is tried.
    pub retry_maximum: Duration,
    /// Whether the voters of the cell, as control reports them, replace the configured replicas. This
    /// requires that all replicas serve proxies at the same port.
    pub follows_cell: bool,
    /// Seed of the replicas' order and of the retry jitter.
    pub seed: u64,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The deadline of the state machine is due.
    Tick,
    /// The connection requested is open.
    Connected,
    /// The connection could not be opened, or was lost.
    Disconnected,
    /// A message arrived on the open connection.
    Message(ControlMessage),
    /// The proxy observed changes of back ends' health.
    Observed(Vec<Observation>),
    /// The proxy reports on tenants' limits.
    Allowances(AllowanceReport),
    /// The proxy began to drain.
    Draining,
    /// The configuration of this revision is on disk.
    Synced(Revision),
}

/// An output of the state machine, which the watch's task performs in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection to the first of these replicas that accepts; an earlier connection is dropped.
    Connect(Vec<SocketAddr>),
    /// Close the connection.
    Disconnect,
    /// Send a message on the open connection.
    Send(ProxyMessage),
    /// Publish the new configuration in force and write it to disk.
    Publish,
    /// The replica confirmed that it is current, so the configuration in force is current too.
    ConfirmedCurrent,
    /// Forward to the proxy the term in which a leader was elected.
    LeaderElected(Term),
    /// Forward to the proxy the leader's grant of tenants' limits.
    ForwardGrant(AllowanceGrant),
}
