//! Messages between control replicas of a cell.
//!
//! Each replica keeps a connection to each other replica. The first message on a connection names the
//! sender and the intended receiver; later ones carry consensus messages and data about the proxies that
//! are connected to the sender. A replica sends an answer over its own connection to the asking replica;
//! the answer carries the number of the request.

use corktack_core::identity::{Incarnation, ProxyName, ReplicaId, ZoneName};
use corktack_core::limits::{AllowanceGrant, AllowanceReport};
use corktack_core::view::Revision;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::control::Observation;

/// Name of a cell: a set of control replicas with one log. Replicas of several cells may share a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellName(pub String);

/// State of one proxy that is connected to a replica, as the proxy reported it. The replica sends it to the
/// leader in [`CellMessage::Proxies`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyReport {
    /// Name of the proxy.
    pub proxy: ProxyName,
    /// Incarnation of the proxy.
    pub incarnation: Incarnation,
    /// Address at which other proxies reach the proxy.
    pub address: SocketAddr,
    /// Zone of the proxy.
    pub zone: ZoneName,
    /// Revision of the configuration in force at the proxy.
    pub revision: Revision,
    /// Whether the proxy is stopping.
    pub draining: bool,
    /// Observed states of members: the changes, and from time to time all states, since a new leader may
    /// not know the earlier ones.
    pub observations: Vec<Observation>,
}

impl ProxyReport {
    /// Replaces this report by a newer one of the same proxy. Observations of members that the newer report
    /// does not name are kept, unless the proxy has restarted.
    pub fn replace_with(&mut self, newer: Self) {
        let older = std::mem::replace(self, newer);
        if older.incarnation != self.incarnation {
            return;
        }
        for older in older.observations {
            let mut newer = self.observations.iter();
            if !newer.any(|newer| newer.group == older.group && newer.member == older.member) {
                self.observations.push(older);
            }
        }
    }
}

/// Revision in force on a proxy, as the proxy reported it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyRevision {
    /// Name of the proxy.
    pub proxy: ProxyName,
    /// Incarnation of the proxy.
    pub incarnation: Incarnation,
    /// Revision of the configuration in force at the proxy.
    pub revision: Revision,
}

/// A message from one control replica to another. `Consensus` is the message type
/// of the consensus module.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CellMessage<Consensus> {
    /// First message of a connection.
    Hello {
        /// Cell of the sender.
        cell: CellName,
        /// Id of the sender.
        replica: ReplicaId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Id of the intended receiver: another replica may now use the address.
        receiver: ReplicaId,
    },
    /// A consensus message for the receiver's consensus module.
    Consensus(Consensus),
    /// A follower's summary of the proxies connected to it, for the leader.
    Proxies {
        /// Reports of the proxies that sent something since the last summary.
        reports: Vec<ProxyReport>,
    },
    /// Allowances that a proxy connected to a follower holds and needs, forwarded to the leader.
    AllowanceReport(AllowanceReport),
    /// The leader's answer to [`CellMessage::AllowanceReport`], to be forwarded to the proxy.
    AllowanceGrant(AllowanceGrant),
    /// Request of a replica without a cell to be added, forwarded to the leader.
    Join {
        /// The replica that asks to be added.
        member: corktack_core::consensus::CellMember,
    },
    /// A command forwarded to the leader.
    Forward {
        /// Number that the sender assigned to the request; the answer repeats it.
        request: u64,
        /// The command, encoded as a record of the log.
        command: Vec<u8>,
    },
    /// The leader's answer to [`CellMessage::Forward`]: index of the committed command, or the
    /// reason why it was not committed.
    Forwarded {
        /// Number of the forwarded command.
        request: u64,
        /// Index of the log entry, or the rejection.
        outcome: Result<u64, corktack_core::consensus::Rejection>,
    },
    /// Asks the leader for the revisions in force on the proxies.
    QueryProxies {
        /// Number that the sender assigned to the request; the answer repeats it.
        request: u64,
    },
    /// The leader's answer to [`CellMessage::QueryProxies`]; empty when the receiver does not
    /// lead.
    ProxyRevisions {
        /// Number of the answered query.
        request: u64,
        /// The last report of each proxy.
        revisions: Vec<ProxyRevision>,
    },
}
