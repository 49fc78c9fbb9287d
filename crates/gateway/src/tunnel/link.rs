//! What both sides of a tunnel go by: the times of heartbeats, and why a tunnel cannot go on.
//!
//! It is for the [`client`](super::client) side and for [`holder`](crate::holder). It owns these times.

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
pub(super) const HEARTBEAT_SLACK: Duration = Duration::from_millis(120);

/// Why a tunnel cannot go on.
pub(crate) fn link_error(error: FrameError) -> LinkError {
    match error {
        FrameError::Io(error) => LinkError::Io(error),
        _ => LinkError::Closed,
    }
}
