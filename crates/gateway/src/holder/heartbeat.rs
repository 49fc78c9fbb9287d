//! Heartbeats of a holder that has no answer yet.
//!
//! They are for the gateway that waits: a holder without one counts as lost. This module owns when they go
//! out while something is being done; [`lent`](super::lent) sends those of a lent connection. It relies on
//! the times that both sides share, in [`tunnel`](crate::tunnel).

use super::{HolderFrames, send};
use crate::error::LinkError;
use crate::tunnel::{FIRST_HEARTBEAT, HEARTBEAT_INTERVAL};
use corktack_protocol::tunnel::TunnelReply;
use tokio::time::timeout;

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
