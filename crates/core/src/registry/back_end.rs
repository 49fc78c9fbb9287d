//! Back ends as they report themselves.
//!
//! Forms only: heartbeats travel and are stored in the log, so that the order and number of fields stay.

use crate::identity::{GroupName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a back end takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BackEndState {
    /// It does.
    Ready,
    /// It is leaving; this state is final for its identity.
    Draining,
}

/// How a back end sees itself in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackEndRole {
    /// It takes writes.
    Primary,
    /// It follows.
    Replica,
}

/// A registered back end as proxies see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredBackEnd {
    /// Its group.
    pub group: GroupName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Statements that it runs at once.
    pub capacity: u32,
    /// Whether it takes new work.
    pub state: BackEndState,
    /// How it sees itself.
    pub role: BackEndRole,
}

/// One heartbeat of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndReport {
    /// What it says of itself.
    pub back_end: RegisteredBackEnd,
    /// Rises with each heartbeat, so that a late one is known.
    pub sequence: u64,
    /// How much longer it is slow after its start. Nothing reads it; it stays since reports are stored and sent in
    /// this form.
    pub warmup: Duration,
}
