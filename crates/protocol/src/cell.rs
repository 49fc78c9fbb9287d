//! Between control replicas of a cell.
//!
//! Each replica keeps a connection to each other one. It says who it is and whom the connection is for, and then
//! sends messages of the consensus and what concerns the proxies that are connected to it. Answers go over the
//! connection of the replica that answers, and carry the request's number.

use corktack_core::identity::{Incarnation, ProxyName, ReplicaId, ZoneName};
use corktack_core::limits::{AllowanceGrant, AllowanceReport};
use corktack_core::view::Revision;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::control::Observation;

/// Name of a cell: a set of control replicas with one log. Several may share a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellName(pub String);

/// What a replica knows of one proxy that is connected to it, as the proxy said it; goes to the leader in a
/// summary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyReport {
    /// The proxy.
    pub proxy: ProxyName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Address of its interface for other proxies.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Revision of the configuration in force at the proxy.
    pub revision: Revision,
    /// Whether it is stopping.
    pub draining: bool,
    /// What it sees of members: what changed, and now and then all of it, for a leader that may not know.
    pub observations: Vec<Observation>,
}

/// Revision in force on a proxy, as it reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyRevision {
    /// The proxy.
    pub proxy: ProxyName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Revision of the configuration in force at the proxy.
    pub revision: Revision,
}

/// A message of one control replica to another. `Consensus` is the message type
/// of the consensus module.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CellMessage<Consensus> {
    /// First message of a connection.
    Hello {
        /// The cell.
        cell: CellName,
        /// The sender.
        replica: ReplicaId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Whom the connection is for: another replica may have taken the place at the address.
        receiver: ReplicaId,
    },
    /// A message of the consensus, for the receiver's own.
    Consensus(Consensus),
    /// A follower's summary of the proxies connected to it, for the leader.
    Proxies {
        /// The proxies that said something since the last summary.
        reports: Vec<ProxyReport>,
    },
    /// What a proxy that is connected to a follower holds of tenants' limits, for the leader.
    AllowanceReport(AllowanceReport),
    /// The leader's answer, for the proxy.
    AllowanceGrant(AllowanceGrant),
    /// A replica without a cell asks to be added; passed on to the leader.
    Join {
        /// The replica that asks.
        member: corktack_core::consensus::CellMember,
    },
    /// A command forwarded to the leader.
    Forward {
        /// Number that the answer carries; the sender's own.
        request: u64,
        /// The command, encoded as a record of the log.
        command: Vec<u8>,
    },
    /// The leader's answer to [`CellMessage::Forward`]: where it was committed, or why not.
    Forwarded {
        /// Number of the forwarded command.
        request: u64,
        /// Index of the log entry, or the rejection.
        outcome: Result<u64, corktack_core::consensus::Rejection>,
    },
    /// Asks the leader for the revisions in force on the proxies.
    QueryProxies {
        /// Number that the answer carries; the sender's own.
        request: u64,
    },
    /// The leader's answer to [`CellMessage::QueryProxies`]; empty when it does not lead.
    ProxyRevisions {
        /// Number of the query.
        request: u64,
        /// What each proxy reported last.
        revisions: Vec<ProxyRevision>,
    },
}
