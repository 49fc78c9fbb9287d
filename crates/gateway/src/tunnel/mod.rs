//! Tunnels between gateways: connections to a member that another gateway holds, and statements
//! that it runs on them. Here is what both sides share.

mod client;
mod outcome;
mod pool;
mod serve;

pub(crate) use client::{
    Granted, OpenedAtHolder, OperationsRequest, RanAtHolder, RemoteRequest, TunnelClient,
    TunnelError,
};
pub(crate) use pool::Tunnels;
pub(crate) use serve::accept_tunnels;

use crate::error::LinkError;
use corktack_protocol::frame::FrameError;
use std::time::Duration;

/// Target of the log lines of `serve`: operators may filter by it.
const LOG_TARGET: &str = module_path!();

/// Time after which a holder that has no answer yet says that it is at work, and then says so again:
/// most statements are answered by then and cost no message more.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(60);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// How late a sign may be, the way left aside: a process may stand still for a tenth of a second
/// where its share of a core is a quota.
const HEARTBEAT_SLACK: Duration = Duration::from_millis(120);

fn link_error(error: FrameError) -> LinkError {
    match error {
        FrameError::Io(error) => LinkError::Io(error),
        _ => LinkError::Closed,
    }
}
