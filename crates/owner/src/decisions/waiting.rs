//! Limits the wait of a request for a server connection, and gives the reason of its refusal after that.

use super::refusal::RetryCause;
use corktack_core::admission::RequiredRole;
use corktack_protocol::peer::NotRunReason;
use std::time::Duration;

/// Returns the longest wait of a request, given the edge's timeout and the group's limit in milliseconds. A
/// timeout of zero selects the group's limit.
#[must_use]
pub fn max_wait(timeout_ms: u32, group_limit_ms: u32) -> Duration {
    let timeout_ms = if timeout_ms == 0 { group_limit_ms } else { timeout_ms };
    Duration::from_millis(u64::from(timeout_ms.min(group_limit_ms)))
}

/// Returns the reason to refuse a request whose deadline passes after it was retried for this cause.
#[must_use]
pub fn reason_after_retry(cause: RetryCause) -> NotRunReason {
    match cause {
        RetryCause::ConnectionLost => NotRunReason::NoBackEnd,
        RetryCause::NotPrimary | RetryCause::BackEndRefused | RetryCause::ReplicaBehind => {
            NotRunReason::BackEndRefused
        }
    }
}

/// Returns the reason to refuse a request whose wait for a slot timed out. A request without an earlier
/// attempt that waited for a primary while the group has none gets `NoBackEnd`, not `QueueTimeout`.
#[must_use]
pub fn slot_timeout_reason(
    earlier_reason: NotRunReason,
    required_role: RequiredRole,
    primary_is_available: impl FnOnce() -> bool,
) -> NotRunReason {
    let lacks_primary = required_role == RequiredRole::Primary && !primary_is_available();
    if lacks_primary && earlier_reason == NotRunReason::QueueTimeout {
        NotRunReason::NoBackEnd
    } else {
        earlier_reason
    }
}
