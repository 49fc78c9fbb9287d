//! Classification of a request that no other gateway served.
//!
//! The gateway that sent the request decides by the result whether its caller waits, the request
//! goes to another member, or the gateway opens connections of its own. The module owns the
//! precedence of the reasons; the caller supplies what is known of the member.

/// State of a request to a member after none of the gateways asked served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemoteAttempt {
    /// Whether the time for waiting has passed.
    pub has_timed_out: bool,
    /// Whether this gateway may have connections to the member itself.
    pub holds_connections: bool,
    /// Whether a gateway reached the member in the last attempt, whether or not there was room.
    pub is_reached: bool,
}

/// Reason why no gateway served a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoteFailure {
    /// No gateway had a free connection in time.
    NoneFree,
    /// None of the gateways that hold connections answers; the requesting gateway may open its own.
    NoHolder,
    /// No gateway reaches the member.
    Unreachable,
}

impl RemoteAttempt {
    /// Returns the reason why no gateway served the request. `no_holder_left` reports whether no
    /// holder is left to ask; it is called only if its result matters.
    pub fn failure(self, no_holder_left: impl FnOnce() -> bool) -> RemoteFailure {
        if self.has_timed_out {
            RemoteFailure::NoneFree
        } else if !self.holds_connections && no_holder_left() {
            RemoteFailure::NoHolder
        } else if self.is_reached {
            RemoteFailure::NoneFree
        } else {
            RemoteFailure::Unreachable
        }
    }
}
