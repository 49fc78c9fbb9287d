//! Frames of an accepted tunnel, and the heartbeats on it until there is a reply.
//!
//! The gateway at the other end counts a holder that sends no heartbeats as lost. [`lent`](super::lent) sends
//! the heartbeats of a lent connection; the times that both sides share are in [`tunnel`](crate::tunnel).

use crate::error::LinkError;
use crate::tunnel::{FIRST_HEARTBEAT, HEARTBEAT_INTERVAL, link_error};
use corktack_protocol::frame::FrameCodec;
use corktack_protocol::tunnel::{TunnelReply, TunnelRequest};
use futures_util::SinkExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Target of the holder's log lines, which operators may filter by.
pub(super) const LOG_TARGET: &str = "corktack_gateway::tunnel";

/// Replies and requests on an accepted tunnel.
pub(super) type HolderFrames = Framed<TcpStream, FrameCodec<TunnelReply, TunnelRequest>>;

/// Sends a reply to the gateway at the other end.
pub(super) async fn send(frames: &mut HolderFrames, reply: TunnelReply) -> Result<(), LinkError> {
    frames.send(reply).await.map_err(link_error)
}

/// Awaits `work`, and sends heartbeats until it is done.
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
