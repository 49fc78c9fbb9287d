//! What it means that no gateway that was asked for a member served a request.
//!
//! It is for the gateway that asked: its caller waits, is offered another member, or it opens connections of
//! its own. It owns the order of these reasons. It relies on the caller for what is known of the member.

/// What is known of a member when none of the gateways that were asked for it served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemoteAttempt {
    /// Whether the time for waiting is over.
    pub is_time_over: bool,
    /// Whether this gateway may have connections to the member itself.
    pub holds_connections: bool,
    /// Whether a gateway reached the member when last asked, with or without room.
    pub is_reached: bool,
}

/// Why none served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoteFailure {
    /// None had a connection free in time.
    NoneFree,
    /// None of those that hold connections answers: this gateway may open its own.
    NoHolder,
    /// None reaches the member.
    Unreachable,
}

impl RemoteAttempt {
    /// Why none served. `no_holder_left` says whether no gateway that holds connections to the member is left
    /// to ask; it is asked only where that decides.
    pub fn failure(self, no_holder_left: impl FnOnce() -> bool) -> RemoteFailure {
        if self.is_time_over {
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
