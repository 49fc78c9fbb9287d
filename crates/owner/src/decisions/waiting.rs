//! How long a request may wait for a server connection, and what it is refused with when that is over.

use super::refusal::RetryCause;
use corktack_core::admission::RequiredRole;
use corktack_protocol::peer::NotRunReason;
use std::time::Duration;

/// The longest wait of a request, from what the edge asks and what the group allows, both in milliseconds.
/// An edge that asks for zero leaves it to the group.
#[must_use]
pub fn longest_wait(asked_ms: u32, group_limit_ms: u32) -> Duration {
    let asked_ms = if asked_ms == 0 { group_limit_ms } else { asked_ms };
    Duration::from_millis(u64::from(asked_ms.min(group_limit_ms)))
}

/// The reason of a request that is late after it was tried again for this cause.
#[must_use]
pub fn late_reason(cause: RetryCause) -> NotRunReason {
    match cause {
        RetryCause::ConnectionLost => NotRunReason::NoBackEnd,
        RetryCause::NotPrimary | RetryCause::BackEndRefused | RetryCause::ReplicaBehind => {
            NotRunReason::BackEndRefused
        }
    }
}

/// The reason of a request whose wait for a slot is over. One that was not tried yet and waited for a primary
/// that the group does not have did not wait for a slot.
#[must_use]
pub fn reason_when_late(
    known: NotRunReason,
    lane: RequiredRole,
    primary_is_available: impl FnOnce() -> bool,
) -> NotRunReason {
    let stuck = lane == RequiredRole::Primary && !primary_is_available();
    if stuck && known == NotRunReason::QueueTimeout { NotRunReason::NoBackEnd } else { known }
}
