//! Tunnels to other gateways: the side that needs a connection.
//!
//! It is for requests whose member another gateway holds connections to. It owns the tunnels to other
//! gateways ([`Tunnels`]), what is known of the gateways at their ends, and the form of requests and replies
//! ([`client`], [`outcome`]). It relies on the internal protocol
//! ([`corktack_protocol::tunnel`]) and on the group to say which gateways hold connections. The other side
//! is [`holder`](crate::holder), which shares the times of heartbeats with this one.

mod client;
mod link;
mod outcome;
mod pool;

pub(crate) use client::{
    Granted, OpenedAtHolder, OperationsRequest, RanAtHolder, RemoteRequest, TunnelClient,
    TunnelError,
};
pub(crate) use link::{FIRST_HEARTBEAT, HEARTBEAT_INTERVAL, link_error};
pub(crate) use outcome::outcome_of;
pub(crate) use pool::Tunnels;
