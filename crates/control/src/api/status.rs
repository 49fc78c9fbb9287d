//! Bodies of the status page and of changes of the cell's membership.

use corktack_core::consensus::{CellChange, CellMember, Role};
use corktack_core::identity::{GroupName, Incarnation, MemberName, ProxyName, ReplicaId, ZoneName};
use corktack_core::position::Term;
use corktack_core::view::{ProxyState, Revision};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A control replica of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct CellMemberBody {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// Address at which other replicas reach this replica.
    pub address: SocketAddr,
    /// Whether the replica votes; a learner does not.
    pub voter: bool,
}

/// A proxy that is registered with the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ProxyBody {
    /// Name of the proxy.
    pub name: ProxyName,
    /// Incarnation of the proxy process.
    pub incarnation: Incarnation,
    /// Address of the proxy's owner interface.
    pub address: SocketAddr,
    /// Zone of the proxy.
    pub zone: ZoneName,
    /// State of the proxy: live, draining or down.
    pub state: ProxyState,
    /// Revision in force on the proxy, as last reported in this incarnation; `None` before the first report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
}

/// Which proxies have the newest revision in force. Proxies that are down are not counted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct InForceBody {
    /// The newest revision.
    pub revision: Revision,
    /// Number of proxies that have the revision in force.
    pub on: usize,
    /// Number of proxies that are not down.
    pub of: usize,
    /// Proxies that are not down and have not reported the revision.
    pub missing: Vec<ProxyName>,
    /// The same figures as text for people.
    pub summary: String,
}

/// The decided state of one database group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct GroupBody {
    /// Name of the group.
    pub name: GroupName,
    /// The primary; `None` while a failover is in progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub primary: Option<MemberName>,
    /// Term of the primary, or of the failover in progress.
    pub term: Term,
    /// The proxy that owns the group.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<ProxyName>,
    /// Whether the group waits for a failover to decide its primary.
    pub failing_over: bool,
}

/// Consensus role of the replica that responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum RoleBody {
    /// Follows a leader, or waits for a leader.
    Follower,
    /// Requests votes, or pre-votes, from the other voters.
    Candidate,
    /// Leads the cell: orders the entries of the log.
    Leader,
    /// Receives the log without voting.
    Learner,
}

impl From<Role> for RoleBody {
    fn from(role: Role) -> Self {
        match role {
            Role::Follower => Self::Follower,
            Role::PreCandidate | Role::Candidate => Self::Candidate,
            Role::Leader => Self::Leader,
            Role::Learner => Self::Learner,
        }
    }
}

/// Body of the status page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct StatusBody {
    /// Name of the cell.
    pub cell: String,
    /// The replica that responds.
    pub replica: ReplicaId,
    /// Role of this replica.
    pub role: RoleBody,
    /// Current consensus term, as known by this replica.
    pub term: Term,
    /// Leader of the cell; `None` if this replica knows none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<ReplicaId>,
    /// Whether the replica confirmed that it is current; if not, the other fields may be stale.
    pub current: bool,
    /// Revision of the newest change that this replica applied.
    pub revision: Revision,
    /// Voters and learners of the cell.
    pub members: Vec<CellMemberBody>,
    /// Which proxies have the newest revision in force.
    pub in_force: InForceBody,
    /// All registered proxies.
    pub proxies: Vec<ProxyBody>,
    /// All database groups.
    pub groups: Vec<GroupBody>,
}

/// Body of a change of the cell's membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase", tag = "operation")]
pub enum CellChangeBody {
    /// Adds a replica that does not vote yet.
    AddLearner {
        /// Identity of the learner; no replica may have used it before.
        id: ReplicaId,
        /// Address at which other replicas reach the learner.
        address: SocketAddr,
    },
    /// Turns a learner that has caught up into a voter.
    Promote {
        /// Identity of the learner.
        id: ReplicaId,
    },
    /// Removes a voter or learner from the cell.
    Remove {
        /// Identity of the replica to remove.
        id: ReplicaId,
    },
}

impl From<CellChangeBody> for CellChange {
    fn from(body: CellChangeBody) -> Self {
        match body {
            CellChangeBody::AddLearner { id, address } => {
                Self::AddLearner(CellMember { id, address })
            }
            CellChangeBody::Promote { id } => Self::Promote(id),
            CellChangeBody::Remove { id } => Self::Remove(id),
        }
    }
}
