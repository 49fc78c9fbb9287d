//! The frames of an accepted tunnel, and heartbeats on it while there is no answer yet.
//!
//! It is for the other modules of [`holder`](super). It owns when heartbeats go out while something is done;
//! [`lent`](super::lent) sends those of a lent connection. A holder without heartbeats counts as lost at the
//! other end. It relies on the times that both sides share, in [`tunnel`](crate::tunnel).

use crate::error::LinkError;
use crate::tunnel::{FIRST_HEARTBEAT, HEARTBEAT_INTERVAL, link_error};
use corktack_protocol::frame::FrameCodec;
use corktack_protocol::tunnel::{TunnelReply, TunnelRequest};
use futures_util::SinkExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Target of the log lines of the holder, by which operators may filter.
pub(super) const LOG_TARGET: &str = "corktack_gateway::tunnel";

/// The frames of an accepted tunnel.
pub(super) type HolderFrames = Framed<TcpStream, FrameCodec<TunnelReply, TunnelRequest>>;

/// Sends a reply.
pub(super) async fn send(frames: &mut HolderFrames, reply: TunnelReply) -> Result<(), LinkError> {
    frames.send(reply).await.map_err(link_error)
}

/// Does the work, with heartbeats until it is done.
pub(super) async fn with_heartbeats<T>(
    frames: &mut HolderFrames,
    work: impl Future<Output = T>,
) -> Result<T, LinkError> {
    tokio::pin!(work);
    let mut pause = FIRST_HEARTBEAT;
    loop {
        match timeout(pause, &mut work).await {
            Ok(done) => return Ok(done),
            Err(_) => send(frames, TunnelReply::Working).await?,
        }
        pause = HEARTBEAT_INTERVAL;
    }
}
