//! Between a proxy (an edge and owner, or a gateway) and the control replica it watches.
//!
//! A proxy opens the connection, says who it is and what it has in force, and then sends a heartbeat at a fixed
//! interval; the replica sends the configuration and its changes, and answers each heartbeat. Tenants' limits
//! travel on the same connection.

use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::identity::{GroupName, Incarnation, MemberName, ProxyName, ZoneName};
use corktack_core::limits::{AllowanceGrant, AllowanceReport};
use corktack_core::position::Term;
use corktack_core::view::{Delta, Revision, View};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an observer saw of one member of a group it probes; the terms are those that the member promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberHealth {
    /// It answers as primary of a term.
    Primary(Term),
    /// It answers and follows a primary.
    Replica(Term),
    /// It answers and is fenced at a term.
    Fenced(Term),
    /// The last probe went unanswered.
    Unreachable,
}

/// A change in what an observer sees of a member; sent once, on change, and
/// again after a new connection to control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The group that the member belongs to.
    pub group: GroupName,
    /// The member that was probed.
    pub member: MemberName,
    /// What was seen of it last.
    pub health: MemberHealth,
}

/// From a proxy to a control replica, or from a replica without a cell that asks for one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyMessage {
    /// First message of a connection.
    Hello {
        /// The proxy.
        proxy: ProxyName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Address of its interface for other proxies.
        address: SocketAddr,
        /// Its zone.
        zone: ZoneName,
        /// Revision of the configuration that it has in force; zero where it has none, or wants the whole.
        revision: Revision,
    },
    /// Only message of a connection: a control replica without a cell asks to be added to this
    /// one. Answered with [`ControlMessage::Cell`].
    Join {
        /// The replica that asks.
        member: CellMember,
    },
    /// Sent at the heartbeat interval; answered with [`ControlMessage::HeartbeatAck`].
    Heartbeat {
        /// Rises by one each time, also from one connection to the next.
        sequence: u64,
        /// Revision of the configuration in force at the proxy.
        revision: Revision,
        /// Whether the proxy is stopping.
        draining: bool,
        /// What changed in its view of back ends since the last heartbeat.
        observations: Vec<Observation>,
    },
    /// What the proxy holds and needs of tenants' limits; the replica passes it to the cell's leader.
    Allowances(AllowanceReport),
}

/// From a control replica to a proxy that watches it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// The whole configuration, for a proxy too far behind for deltas.
    Snapshot(Box<View>),
    /// Changes after the last snapshot or delta, in order and without gaps.
    Delta(Delta),
    /// The replicas of the cell, as this one knows them; sent at first and on change. Proxies
    /// reach each of them at its address and the port that their own settings name.
    Cell(CellConfig),
    /// Answer to a heartbeat.
    HeartbeatAck {
        /// Sequence of the heartbeat that is answered.
        sequence: u64,
        /// Whether the replica proved, since the heartbeat came, that it is current.
        /// A proxy that gets no such proof for a while changes replica.
        current: bool,
    },
    /// A leader of this term has been elected; sent at first and on change.
    Led {
        /// Its term.
        term: Term,
    },
    /// What the leader gives the proxy of tenants' limits, in answer to its report.
    Allowances(AllowanceGrant),
}
