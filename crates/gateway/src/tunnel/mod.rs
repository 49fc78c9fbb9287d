//! Tunnels to other gateways: the side that needs a connection.
//!
//! It is for requests whose member another gateway holds connections to. It owns the tunnels to other
//! gateways ([`Tunnels`]), what is known of the gateways at their ends, and the form of requests and replies
//! ([`client`], [`outcome`]). It relies on the internal protocol
//! ([`corktack_protocol::tunnel`]) and on the group to say which gateways hold connections. The other side
//! is [`holder`](crate::holder), which shares the times of heartbeats with this one.

mod client;
mod outcome;
mod pool;

pub(crate) use client::{
    Granted, OpenedAtHolder, OperationsRequest, RanAtHolder, RemoteRequest, TunnelClient,
    TunnelError,
};
pub(crate) use outcome::outcome_of;
pub(crate) use pool::Tunnels;

use crate::error::LinkError;
use corktack_protocol::frame::FrameError;
use std::time::Duration;

/// Time after which a holder that has no answer yet sends a heartbeat, and then each further one: most
/// statements are answered by then and cost no message more. Chosen, not measured: lower, short statements
/// cost heartbeats as well; higher, a holder that is lost is left later.
pub(crate) const FIRST_HEARTBEAT: Duration = Duration::from_millis(60);
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// How late a heartbeat may be, the way left aside: a process may stand still for a tenth of a second
/// where its share of a core is a quota. Chosen, not measured: lower, holders that only stood still are left
/// aside; higher, statements wait longer for one that is lost.
const HEARTBEAT_SLACK: Duration = Duration::from_millis(120);

/// Why a tunnel cannot go on.
pub(crate) fn link_error(error: FrameError) -> LinkError {
    match error {
        FrameError::Io(error) => LinkError::Io(error),
        _ => LinkError::Closed,
    }
}
