//! Commands of the control log and their outcomes.
//!
//! The types are stored in the log and sent between replicas, so the order and number of their variants and
//! fields must not change.

use crate::identity::{GroupName, Incarnation, MemberName, ProxyName, ZoneName};
use crate::position::Term;
use crate::registry::{RegistryCommand, RegistryOutcome};
use crate::resources::{ResourceKey, ResourceSpec, ResourceVersion};
use crate::view::{Revision, ViewChange};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of a change id, in bytes.
pub const CHANGE_ID_LIMIT: usize = 128;

/// Id that an operator's client generates for one change, so that a resend gets the first answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub String);

/// Operation of an operator on one resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ResourceOperation {
    /// Creates or replaces the resource.
    Put {
        /// Kind and name of the resource.
        key: ResourceKey,
        /// Declared part.
        spec: Box<ResourceSpec>,
        /// Version that the stored resource must have; zero if it must not exist, `None` for any version.
        expected: Option<ResourceVersion>,
    },
    /// Deletes the resource.
    Delete {
        /// Kind and name of the resource.
        key: ResourceKey,
        /// Version that the stored resource must have, `None` for any version.
        expected: Option<ResourceVersion>,
    },
}

/// Registration of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyRegistration {
    /// Name of the proxy.
    pub proxy: ProxyName,
    /// Incarnation of the proxy.
    pub incarnation: Incarnation,
    /// Address at which the proxy serves as an owner.
    pub address: SocketAddr,
    /// Zone of the proxy.
    pub zone: ZoneName,
}

/// Step of a failover or adoption, which changes the primary of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailoverStep {
    /// Moves the group to `term`, without a primary until [`FailoverStep::Complete`]. Refused unless `term`
    /// is above the stored term.
    Begin {
        /// New term.
        term: Term,
    },
    /// Announces the new primary, after a majority was fenced at `term` and the fenced member with the
    /// highest position was promoted. Refused unless `term` is the stored term.
    Complete {
        /// New primary.
        primary: MemberName,
        /// Term of the primary.
        term: Term,
    },
    /// Announces a primary that the group elected itself and that was observed. Refused unless `term` is
    /// above the stored term, or equal to it while no primary is stored.
    Adopt {
        /// Observed primary.
        primary: MemberName,
        /// Term of the primary.
        term: Term,
    },
}

/// Command of the control log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Applies an operator's change.
    Resource {
        /// Id of the change.
        change: ChangeId,
        /// Operation to apply.
        operation: ResourceOperation,
    },
    /// Registers proxies and assigns owners accordingly. Batched.
    RegisterProxies(Vec<ProxyRegistration>),
    /// Marks proxies as down that missed their heartbeats, in the given incarnations. Batched.
    ProxiesDown(Vec<(ProxyName, Incarnation)>),
    /// Marks proxies as draining that are stopping, in the given incarnations. Batched.
    ProxiesDraining(Vec<(ProxyName, Incarnation)>),
    /// Applies steps of failovers. Batched, so that the loss of a zone takes one log entry.
    Failover(Vec<(GroupName, FailoverStep)>),
    /// Records members that the platform's list reports as leaving (true) or no longer leaving
    /// (false). Batched.
    MembersLeaving(Vec<(GroupName, MemberName, bool)>),
    /// Changes the registry of back ends or the configuration document.
    Registry(Box<RegistryCommand>),
}

/// Reason why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The stored version is not the version that the change expects.
    #[error("conflict: the stored version is {stored:?}")]
    Conflict {
        /// Stored version, zero if the resource does not exist.
        stored: ResourceVersion,
    },
    /// The resource does not exist.
    #[error("not found")]
    NotFound,
    /// The declared part is not valid.
    #[error("invalid: {field}: {reason}")]
    Invalid {
        /// Path of the field.
        field: String,
        /// Reason why the value is invalid.
        reason: String,
    },
    /// Another resource still refers to the resource.
    #[error("in use by {by:?}")]
    InUse {
        /// Resource that refers to it.
        by: ResourceKey,
    },
    /// The step is not allowed in the stored term.
    #[error("stale: the stored term is {stored}")]
    StaleTerm {
        /// Stored term.
        stored: Term,
    },
}

/// Result of a command, which its proposer gets as the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// An operator's change was accepted, now or when it was first sent.
    Accepted {
        /// Version of the resource after the change.
        version: ResourceVersion,
        /// Revision at which the change took effect.
        revision: Revision,
    },
    /// A batch was applied except for the refused items.
    Batch {
        /// Index and reason of each refused item.
        refused: Vec<(usize, Refusal)>,
    },
    /// The command was refused and changed nothing.
    Refused(Refusal),
    /// A change of the registry was applied.
    Registry(RegistryOutcome),
}

/// Result of applying one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Answer to the command.
    pub outcome: Outcome,
    /// Changes of the proxies' view, empty if the command changed nothing in it.
    pub changes: Vec<ViewChange>,
}
