//! Between control replicas.

use corktack_core::identity::{Incarnation, ProxyName, ReplicaId, ZoneName};
use corktack_core::limits::{AllowanceGrant, AllowanceReport};
use corktack_core::view::Revision;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::control::Observation;

/// Name of a cell: a set of control replicas with one log. Several may share a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellName(pub String);

/// What a replica knows of one proxy that is connected to it; summaries go to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyReport {
    /// The proxy.
    pub proxy: ProxyName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Address of its owner interface.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Revision in force there.
    pub revision: Revision,
    /// Whether it is stopping.
    pub draining: bool,
    /// Changes in what it sees of back ends.
    pub observations: Vec<Observation>,
}

/// Revision in force on a proxy, as it reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyRevision {
    /// The proxy.
    pub proxy: ProxyName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Revision in force there.
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
        /// Its life.
        incarnation: Incarnation,
        /// Whom the connection is for: another replica may have taken the place at the address.
        receiver: ReplicaId,
    },
    /// A message of the consensus core.
    Consensus(Consensus),
    /// A follower's summary of the proxies connected to it, for the leader.
    Proxies {
        /// The proxies heard of since the last summary.
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
        /// Number for the answer.
        request: u64,
        /// Encoded command.
        command: Vec<u8>,
    },
    /// The leader's answer to [`CellMessage::Forward`]: where it was committed, or why not.
    Forwarded {
        /// Number of the command.
        request: u64,
        /// Index of the log entry, or the rejection.
        outcome: Result<u64, corktack_core::consensus::Rejection>,
    },
    /// Asks the leader for the revisions in force on the proxies.
    QueryProxies {
        /// Number for the answer.
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
