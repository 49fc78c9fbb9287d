//! Bodies of the status page and of changes of the cell.

use corktack_core::consensus::{CellChange, CellMember, Role};
use corktack_core::identity::{GroupName, Incarnation, MemberName, ProxyName, ReplicaId, ZoneName};
use corktack_core::position::Term;
use corktack_core::view::{ProxyState, Revision};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One replica of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct CellMemberBody {
    /// Its identity.
    pub id: ReplicaId,
    /// Its address for other replicas.
    pub address: SocketAddr,
    /// Whether it votes.
    pub voter: bool,
}

/// One proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ProxyBody {
    /// Its name.
    pub name: ProxyName,
    /// Number of its life.
    pub incarnation: Incarnation,
    /// Address of its owner interface.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Its state.
    pub state: ProxyState,
    /// Revision in force there as last reported in this life; none before the first report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
}

/// On which proxies the newest revision is in force. Proxies that are down do not count.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct InForceBody {
    /// The revision asked about.
    pub revision: Revision,
    /// Proxies that have it in force.
    pub on: usize,
    /// Proxies that should.
    pub of: usize,
    /// Proxies that should and have not reported it.
    pub missing: Vec<ProxyName>,
    /// The same for people.
    pub summary: String,
}

/// What was decided for one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct GroupBody {
    /// Its name.
    pub name: GroupName,
    /// The primary; none while a failover is under way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub primary: Option<MemberName>,
    /// Term of the primary, or of the failover under way.
    pub term: Term,
    /// The proxy that owns it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<ProxyName>,
    /// Whether the group waits for a primary to be decided.
    pub failing_over: bool,
}

/// Role of the replica that answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum RoleBody {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Orders the log.
    Leader,
    /// Receives the log and does not vote.
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
    /// The replica that answers.
    pub replica: ReplicaId,
    /// Its role.
    pub role: RoleBody,
    /// Term of the cell's log.
    pub term: Term,
    /// The cell's leader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<ReplicaId>,
    /// Whether the replica proved that it is current; if not, the rest may be old.
    pub current: bool,
    /// Revision of the newest change.
    pub revision: Revision,
    /// The cell.
    pub members: Vec<CellMemberBody>,
    /// On which proxies the newest revision is in force.
    pub in_force: InForceBody,
    /// The proxies.
    pub proxies: Vec<ProxyBody>,
    /// The groups.
    pub groups: Vec<GroupBody>,
}

/// Body of a change of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase", tag = "operation")]
pub enum CellChangeBody {
    /// Adds a replica that does not vote yet.
    AddLearner {
        /// Its identity, never used before.
        id: ReplicaId,
        /// Its address for other replicas.
        address: SocketAddr,
    },
    /// Lets a learner vote once it has caught up.
    Promote {
        /// The learner.
        id: ReplicaId,
    },
    /// Removes a replica.
    Remove {
        /// The replica.
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
