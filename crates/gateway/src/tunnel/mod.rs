//! Client side of tunnels to other gateways, for requests to members that only other gateways hold
//! connections to.
//!
//! [`Tunnels`] keeps idle tunnels and a table of the gateways at their other ends; [`client`] implements the
//! requests, in the internal protocol ([`corktack_protocol::tunnel`]). The group says which gateways hold
//! connections. The server side is [`holder`](crate::holder), which uses the same heartbeat times.

mod client;
mod link;
mod outcome;
mod pool;

pub(crate) use client::{
    GrantedConnection, OpenedAtHolder, OperationsRequest, RanAtHolder, RemoteRequest, TunnelClient,
    TunnelError,
};
pub(crate) use link::{FIRST_HEARTBEAT, HEARTBEAT_INTERVAL, link_error, shrink_buffers};
pub(crate) use outcome::outcome_of;
pub(crate) use pool::Tunnels;
