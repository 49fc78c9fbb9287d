//! The resources that operators declare.
//!
//! Owns their forms and their checks. They are read from manifests, stored and sent; names and order of fields stay.

mod network;
mod validation;

pub use network::{NetworkError, SourceNetwork};
pub use validation::{MEMBER_LIMIT, PERCENT_LIMIT, SpecError, TEXT_LIMIT};

use crate::identity::{BindingName, ClassName, GroupName, MemberName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the manifest format.
pub const API_VERSION: &str = "corktack/v1";

/// Version of one stored resource: the revision of the change that wrote it.
///
/// A replace or delete carries the version it was made from, and conflicts when
/// the stored one differs. Zero stands for "does not exist yet".
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ResourceVersion(pub u64);

/// Kind of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A replica set of databases with its connection limits.
    DatabaseGroup,
    /// A level of service.
    PriorityClass,
    /// A rule that gives callers a priority class.
    Binding,
}

/// One back end of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct MemberSpec {
    /// Name, unique in the group.
    pub name: MemberName,
    /// Address of its PostgreSQL interface.
    pub address: SocketAddr,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Set by an operator to retire the back end: it gets no new work.
    #[serde(default)]
    pub draining: bool,
}

/// What an operator declares of a database group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct DatabaseGroupSpec {
    /// Database name that callers connect to.
    pub database: String,
    /// The replica set.
    pub members: Vec<MemberSpec>,
    /// Slots: server connections of the group that may run a transaction at once.
    pub slots: u32,
    /// Server connections kept open over all members, at least `slots`.
    pub connections: u32,
    /// Requests that may wait for a slot before further ones are refused.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Longest wait for a slot, in milliseconds; a request over it is refused as not run.
    #[serde(default = "default_queue_timeout_ms")]
    pub queue_timeout_ms: u32,
    /// Longest wait for a replica to reach a session's position, in milliseconds.
    #[serde(default = "default_replica_wait_ms")]
    pub replica_wait_ms: u32,
}

const fn default_queue_limit() -> u32 {
    1_000
}

const fn default_queue_timeout_ms() -> u32 {
    5_000
}

const fn default_replica_wait_ms() -> u32 {
    20
}

/// What an operator declares of a priority class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct PriorityClassSpec {
    /// Higher is served first.
    pub priority: u32,
    /// Share of grants guaranteed to the class under contention, in percent, so
    /// that a low class is not starved. The shares of all classes stay at or below 100.
    #[serde(default)]
    pub guaranteed_percent: u8,
}

/// Which callers a binding covers; an absent field covers all.
///
/// Absent fields are written too: the internal codec has no field names, so a
/// field left out would shift the ones after it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct CallerMatch {
    /// User name of the startup message.
    #[serde(default)]
    pub user: Option<String>,
    /// Database name of the startup message.
    #[serde(default)]
    pub database: Option<String>,
    /// `application_name` of the startup message.
    #[serde(default)]
    pub application_name: Option<String>,
    /// Source network, `ADDRESS/PREFIX`.
    #[serde(default)]
    pub source_network: Option<String>,
}

/// What an operator declares of a binding.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct BindingSpec {
    /// The callers.
    #[serde(rename = "match", default)]
    pub callers: CallerMatch,
    /// The class they get.
    pub class: ClassName,
    /// The binding with the highest order that matches wins; then the first by name.
    #[serde(default)]
    pub order: u32,
}

/// Name of a resource together with its kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ResourceKey {
    /// A database group.
    DatabaseGroup(GroupName),
    /// A priority class.
    PriorityClass(ClassName),
    /// A binding.
    Binding(BindingName),
}

/// The declared part of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ResourceSpec {
    /// A database group.
    DatabaseGroup(DatabaseGroupSpec),
    /// A priority class.
    PriorityClass(PriorityClassSpec),
    /// A binding.
    Binding(BindingSpec),
}

impl ResourceKey {
    /// Its kind.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::DatabaseGroup(_) => Kind::DatabaseGroup,
            Self::PriorityClass(_) => Kind::PriorityClass,
            Self::Binding(_) => Kind::Binding,
        }
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::DatabaseGroup(name) => name.as_str(),
            Self::PriorityClass(name) => name.as_str(),
            Self::Binding(name) => name.as_str(),
        }
    }
}

impl ResourceSpec {
    /// Its kind.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::DatabaseGroup(_) => Kind::DatabaseGroup,
            Self::PriorityClass(_) => Kind::PriorityClass,
            Self::Binding(_) => Kind::Binding,
        }
    }
}

impl DatabaseGroupSpec {
    /// The member of that name.
    #[must_use]
    pub fn member(&self, name: &MemberName) -> Option<&MemberSpec> {
        self.members.iter().find(|member| member.name == *name)
    }

    /// Smallest number of members that is more than half.
    #[must_use]
    pub const fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}
