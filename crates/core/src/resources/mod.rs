//! Resources that operators declare, and the checks of each resource by itself.
//!
//! The types are read from manifests, stored and sent, so the names and the order of their fields must not
//! change.

mod network;
mod validation;

pub use network::{NetworkError, SourceNetwork};
pub use validation::{MEMBER_LIMIT, PERCENT_LIMIT, SpecError, TEXT_LIMIT};

use crate::identity::{BindingName, ClassName, GroupName, MemberName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the manifest format.
pub const API_VERSION: &str = "corktack/v1";

/// Version of a stored resource: the revision of the change that last wrote it.
///
/// A replace or delete carries the version that it is based on, and is refused as a conflict if the stored
/// version differs. Zero means that the resource does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ResourceVersion(pub u64);

/// Kind of a resource, as in the field `kind` of a manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A replica set of databases with its connection and queue limits.
    DatabaseGroup,
    /// A priority for slots.
    PriorityClass,
    /// A rule that assigns callers to a priority class.
    Binding,
}

/// Member of a group: one back end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct MemberSpec {
    /// Name of the member, unique in the group.
    pub name: MemberName,
    /// Address of the PostgreSQL interface.
    pub address: SocketAddr,
    /// Zone in which the member runs.
    pub zone: ZoneName,
    /// Set by an operator to retire the member, which then gets no new work.
    #[serde(default)]
    pub draining: bool,
}

/// Declared part of a database group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct DatabaseGroupSpec {
    /// Database name that callers connect to.
    pub database: String,
    /// Members of the replica set.
    pub members: Vec<MemberSpec>,
    /// Maximum number of the group's server connections that may run a transaction at the same time.
    pub slots: u32,
    /// Number of server connections kept open to all members together, at least `slots`.
    pub connections: u32,
    /// Maximum number of requests that may wait for a slot; further requests are refused.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Longest wait for a slot, in milliseconds. A request that waits longer is refused as not run.
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

/// Declared part of a priority class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct PriorityClassSpec {
    /// Priority; a class with a higher value is served first.
    pub priority: u32,
    /// Share of slot grants guaranteed to the class under contention, in percent, so that a class of low
    /// priority is not starved. The shares of all classes together are at most 100.
    #[serde(default)]
    pub guaranteed_percent: u8,
}

/// Conditions on the callers that a binding matches; an absent field matches all callers.
///
/// Absent fields are serialized too: the internal encoding has no field names, so a field left out would
/// shift the fields after it.
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
    /// Network of the caller's source address, `ADDRESS/PREFIX`.
    #[serde(default)]
    pub source_network: Option<String>,
}

/// Declared part of a binding.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct BindingSpec {
    /// Callers that the binding matches.
    #[serde(rename = "match", default)]
    pub callers: CallerMatch,
    /// Priority class of these callers.
    pub class: ClassName,
    /// Rank among matching bindings: the highest order decides, and among equal orders the first by name.
    #[serde(default)]
    pub order: u32,
}

/// Kind and name of a resource.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ResourceKey {
    /// A database group.
    DatabaseGroup(GroupName),
    /// A priority class.
    PriorityClass(ClassName),
    /// A binding.
    Binding(BindingName),
}

/// Declared part of a resource of any kind.
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
    /// Returns the kind of the resource.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::DatabaseGroup(_) => Kind::DatabaseGroup,
            Self::PriorityClass(_) => Kind::PriorityClass,
            Self::Binding(_) => Kind::Binding,
        }
    }

    /// Returns the name of the resource.
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
    /// Returns the kind of the resource.
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
    /// Returns the member of that name.
    #[must_use]
    pub fn member(&self, name: &MemberName) -> Option<&MemberSpec> {
        self.members.iter().find(|member| member.name == *name)
    }

    /// Returns the smallest number of members that is more than half of them.
    #[must_use]
    pub const fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}
