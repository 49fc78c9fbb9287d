//! Between a proxy and the control replica it watches.

use corktack_core::consensus::{CellConfig, CellMember};
use corktack_core::identity::{GroupName, Incarnation, MemberName, ProxyName, ZoneName};
use corktack_core::limits::{AllowanceGrant, AllowanceReport};
use corktack_core::position::Term;
use corktack_core::view::{Delta, Revision, View};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an owner saw of one member of a group it probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberHealth {
    /// It answers as primary of a term.
    Primary(Term),
    /// It answers and follows.
    Replica(Term),
    /// It answers and is fenced at a term.
    Fenced(Term),
    /// Probes go unanswered.
    Unreachable,
}

/// A change in what an observer sees of a member; sent once, on change, and
/// again after a new connection to control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The group.
    pub group: GroupName,
    /// The member.
    pub member: MemberName,
    /// What was seen.
    pub health: MemberHealth,
}

/// From a proxy to a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyMessage {
    /// First message of a connection.
    Hello {
        /// The proxy.
        proxy: ProxyName,
        /// Its life.
        incarnation: Incarnation,
        /// Address of its owner interface.
        address: SocketAddr,
        /// Its zone.
        zone: ZoneName,
        /// Revision it has in force; zero for none.
        revision: Revision,
    },
    /// Only message of a connection: a control replica without a cell asks to be added to this
    /// one. Answered with [`ControlMessage::Cell`].
    Join {
        /// The replica that asks.
        member: CellMember,
    },
    /// Sent at the heartbeat interval.
    Heartbeat {
        /// Rises by one each time.
        sequence: u64,
        /// Revision in force here.
        revision: Revision,
        /// Set when the proxy is stopping.
        draining: bool,
        /// What changed in its view of back ends since the last heartbeat.
        observations: Vec<Observation>,
    },
    /// What the proxy holds of tenants' limits, for the leader.
    Allowances(AllowanceReport),
}

/// From a control replica to a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// The whole configuration; for a proxy too far behind for deltas.
    Snapshot(Box<View>),
    /// Changes after the last snapshot or delta, in order and without gaps.
    Delta(Delta),
    /// The replicas of the cell, as this one knows them; sent at first and on change. Proxies
    /// reach each of them at its address and the port that their own settings name.
    Cell(CellConfig),
    /// Answer to a heartbeat.
    HeartbeatAck {
        /// Sequence of the heartbeat.
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
    /// What the leader gives of tenants' limits.
    Allowances(AllowanceGrant),
}
