//! Messages between a proxy (an edge and owner, or a gateway) and the control replica that it watches.
//!
//! A proxy opens the connection, sends its identity and the revision that it has in force, and then sends a
//! heartbeat at a fixed interval; the replica sends the configuration and its changes, and answers each
//! heartbeat. The limits of tenants travel on the same connection.

use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::identity::{GroupName, Incarnation, MemberName, ProxyName, ZoneName};
use corktack_core::limits::{AllowanceGrant, AllowanceReport};
use corktack_core::position::Term;
use corktack_core::view::{Delta, Revision, View};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of one member of a group, as an observer that probes the member saw it. The terms are those that the
/// member promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberHealth {
    /// The member answers as primary of a term.
    Primary(Term),
    /// The member answers and follows a primary.
    Replica(Term),
    /// The member answers and is fenced at a term.
    Fenced(Term),
    /// The last probe went unanswered.
    Unreachable,
}

/// A changed state of a member; sent once per change, and again after a new
/// connection to the control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The group that the member belongs to.
    pub group: GroupName,
    /// The member that was probed.
    pub member: MemberName,
    /// State that the last probe found.
    pub health: MemberHealth,
}

/// Message from a proxy to a control replica, or from a control replica that has no cell and asks to join
/// one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyMessage {
    /// First message of a connection.
    Hello {
        /// Name of the proxy.
        proxy: ProxyName,
        /// Incarnation of the proxy.
        incarnation: Incarnation,
        /// Address at which other proxies reach the proxy.
        address: SocketAddr,
        /// Zone of the proxy.
        zone: ZoneName,
        /// Revision of the configuration in force at the proxy; zero if the proxy has none or wants the whole
        /// configuration.
        revision: Revision,
    },
    /// Only message of a connection: a control replica without a cell asks to be added to the
    /// receiver's cell. Answered with [`ControlMessage::Cell`].
    Join {
        /// The replica that asks to be added.
        member: CellMember,
    },
    /// Sent at the heartbeat interval; answered with [`ControlMessage::HeartbeatAck`].
    Heartbeat {
        /// Rises by one with each heartbeat, also from one connection to the next.
        sequence: u64,
        /// Revision of the configuration in force at the proxy.
        revision: Revision,
        /// Whether the proxy is stopping.
        draining: bool,
        /// Changes in the proxy's view of back ends since the last heartbeat.
        observations: Vec<Observation>,
    },
    /// The allowances of tenants that the proxy holds and needs; the replica forwards the report to the
    /// cell's leader.
    Allowances(AllowanceReport),
}

/// Message from a control replica to a proxy that watches it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// The whole configuration, for a proxy too far behind for deltas.
    Snapshot(Box<View>),
    /// Changes after the last snapshot or delta, in order and without gaps.
    Delta(Delta),
    /// The replicas of the cell, as the sender knows them; sent once per connection and on change. Proxies
    /// reach each replica at its address and the port that their own settings name.
    Cell(CellConfig),
    /// Answer to a heartbeat.
    HeartbeatAck {
        /// Sequence number of the answered heartbeat.
        sequence: u64,
        /// Whether the replica confirmed, after the heartbeat arrived, that its state is current.
        /// A proxy that gets no such confirmation for a while changes to another replica.
        current: bool,
    },
    /// A leader has been elected; sent once per connection and on change.
    LeaderElected {
        /// Term of the leader.
        term: Term,
    },
    /// The allowances of tenants that the leader grants to the proxy, in answer to the proxy's report.
    Allowances(AllowanceGrant),
}
