//! Between gateways: one uses a connection to a member that another holds.
//!
//! A tunnel serves one lease after the other. Bytes of the deployment's own wire go through it
//! unread by the holder; what the connection knows of session values goes along with the lease.

use corktack_core::gateway::ConnectionProfile;
use corktack_core::identity::{GroupName, MemberName};
use corktack_core::position::Position;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// From the gateway that needs a connection to the one that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelRequest {
    /// Wants a connection.
    Acquire {
        /// The group.
        group: GroupName,
        /// The member.
        member: MemberName,
        /// Priority of the statement that waits.
        priority: u32,
        /// How long it may wait.
        wait: Duration,
    },
    /// Bytes for the member.
    Bytes(Vec<u8>),
    /// Gives the connection back; no answer is outstanding and no transaction is open.
    Release {
        /// What the connection knows now.
        profile: ConnectionProfile,
    },
}

/// Why no connection is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelRefusal {
    /// None became free in time.
    NoneFree,
    /// The member cannot be reached from there.
    Unreachable,
    /// The gateway does not serve the group, or holds no connection to the member.
    NotHeld,
}

/// From the gateway that holds connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelReply {
    /// A connection is there.
    Granted {
        /// What it knows of session values.
        profile: ConnectionProfile,
        /// Age and position of the holder's newest answer of the group's primary: the age counts
        /// until the grant was made.
        newest: Option<(Duration, Position)>,
    },
    /// None is.
    Refused(TunnelRefusal),
    /// Bytes of the member.
    Bytes(Vec<u8>),
    /// The connection to the member is lost.
    Closed,
}
