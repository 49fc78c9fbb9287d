//! Heartbeats of back ends and the registration that follows from them.
//!
//! Heartbeats are sent between replicas and stored in the log by position, so the order and number
//! of the fields must not change.

use crate::identity::{GroupName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a back end takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BackEndState {
    /// The back end takes new work.
    Ready,
    /// The back end is leaving; the state is final for its identity.
    Draining,
}

/// Role in its group that a back end reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackEndRole {
    /// The back end takes writes.
    Primary,
    /// The back end replicates from the primary.
    Replica,
}

/// A registered back end as proxies see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredBackEnd {
    /// Group that the back end belongs to.
    pub group: GroupName,
    /// Address at which proxies connect to the back end.
    pub address: SocketAddr,
    /// Zone that the back end runs in.
    pub zone: ZoneName,
    /// Number of statements that the back end runs concurrently.
    pub capacity: u32,
    /// Whether the back end takes new work.
    pub state: BackEndState,
    /// Role that the back end reports.
    pub role: BackEndRole,
}

/// One heartbeat of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndReport {
    /// The back end's description of itself.
    pub back_end: RegisteredBackEnd,
    /// Rises with each heartbeat, so that a delayed heartbeat is recognised.
    pub sequence: u64,
    /// Remaining warm-up time after the start of the back end. Unused; kept because reports are
    /// stored and sent with this field.
    pub warmup: Duration,
}
