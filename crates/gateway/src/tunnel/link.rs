//! Heartbeat times and error conversion of tunnels, for the [`client`](super::client) side and for
//! [`holder`](crate::holder).

use crate::error::LinkError;
use corktack_protocol::frame::FrameError;
use std::time::Duration;

/// Time after a request until the holder sends its first heartbeat. Most statements are answered before and
/// need no heartbeat. With a shorter time short statements cost heartbeats as well; with a longer one the
/// loss of a holder is detected later.
pub(crate) const FIRST_HEARTBEAT: Duration = Duration::from_millis(60);
/// Time between further heartbeats of a holder that has no answer yet.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Longest delay of a heartbeat apart from network latency: a process with a CPU quota may be paused for 100
/// ms. With a lower value holders that were only paused count as silent; with a higher one statements wait
/// longer for a lost holder.
pub(super) const HEARTBEAT_SLACK: Duration = Duration::from_millis(120);

/// Converts an error of the tunnel's framing.
pub(crate) fn link_error(error: FrameError) -> LinkError {
    match error {
        FrameError::Io(error) => LinkError::Io(error),
        _ => LinkError::Closed,
    }
}
