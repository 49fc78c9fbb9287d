//! Heartbeat times and error conversion of tunnels, for the [`client`](super::client) side and for
//! [`holder`](crate::holder).

use crate::error::LinkError;
use bytes::BytesMut;
use corktack_protocol::frame::FrameError;
use std::time::Duration;
use tokio_util::codec::Framed;

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

/// Size up to which a buffer of an idle tunnel is kept, in bytes. Larger ones take memory for each tunnel; smaller
/// ones are allocated for each statement.
const MAX_IDLE_BUFFER_BYTES: usize = 64 * 1024;

/// Frees buffers that have grown and are empty.
pub(crate) fn shrink_buffers<T, C>(frames: &mut Framed<T, C>) {
    shrink(frames.read_buffer_mut());
    shrink(frames.write_buffer_mut());
}

fn shrink(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
        *buffer = BytesMut::new();
    }
}

/// Converts an error of the tunnel's framing.
pub(crate) fn link_error(error: FrameError) -> LinkError {
    match error {
        FrameError::Io(error) => LinkError::Io(error),
        _ => LinkError::Closed,
    }
}
