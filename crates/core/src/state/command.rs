//! Commands of the control log and their outcomes.
//!
//! Forms only. They are stored in the log and sent between replicas: order and number of variants and fields stay.

use crate::identity::{GroupName, Incarnation, MemberName, ProxyName, ZoneName};
use crate::position::Term;
use crate::registry::{RegistryCommand, RegistryOutcome};
use crate::resources::{ResourceKey, ResourceSpec, ResourceVersion};
use crate::view::{Revision, ViewChange};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest change id accepted, in bytes.
pub const CHANGE_ID_LIMIT: usize = 128;

/// Id that an operator's client draws for one change, so that a resend gets the first answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub String);

/// What an operator wants done to one resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ResourceOperation {
    /// Creates or replaces. `expected` zero: it must not exist; `None`: whatever is stored.
    Put {
        /// Which one.
        key: ResourceKey,
        /// The declared part.
        spec: Box<ResourceSpec>,
        /// Version the change was made from.
        expected: Option<ResourceVersion>,
    },
    /// Deletes.
    Delete {
        /// Which one.
        key: ResourceKey,
        /// Version the change was made from.
        expected: Option<ResourceVersion>,
    },
}

/// A proxy as it registers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyRegistration {
    /// The proxy.
    pub proxy: ProxyName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Address of its owner interface.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}

/// A step of one group's change of primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailoverStep {
    /// Decides that the group moves to `term`; from now on no primary is announced
    /// until [`FailoverStep::Complete`]. Refused unless `term` is above the stored one.
    Begin {
        /// The new term.
        term: Term,
    },
    /// A majority was fenced at `term` and the most advanced fenced member was promoted.
    /// Refused unless `term` is the stored one.
    Complete {
        /// The new primary.
        primary: MemberName,
        /// Its term.
        term: Term,
    },
    /// The group was seen with a primary of a higher term that it chose itself.
    /// Refused unless `term` is above the stored one, or equal with no primary stored.
    Adopt {
        /// The primary.
        primary: MemberName,
        /// Its term.
        term: Term,
    },
}

/// A command of the control log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// An operator's change.
    Resource {
        /// Id of the change.
        change: ChangeId,
        /// What to do.
        operation: ResourceOperation,
    },
    /// Proxies that came, with the owners that follow from it. Batched.
    RegisterProxies(Vec<ProxyRegistration>),
    /// Proxies that missed their heartbeats, in the incarnations given. Batched.
    ProxiesDown(Vec<(ProxyName, Incarnation)>),
    /// Proxies that are stopping. Batched.
    ProxiesDraining(Vec<(ProxyName, Incarnation)>),
    /// Steps of changes of primary. Batched: a lost zone is one entry.
    Failover(Vec<(GroupName, FailoverStep)>),
    /// Members that the platform's list calls leaving (true) or no longer (false). Batched.
    MembersLeaving(Vec<(GroupName, MemberName, bool)>),
    /// A change of the registry of back ends and the configuration document.
    Registry(Box<RegistryCommand>),
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The stored version is not the one the change was made from.
    #[error("conflict: the stored version is {stored:?}")]
    Conflict {
        /// Stored version; zero when it does not exist.
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
        /// What is wrong with its value.
        reason: String,
    },
    /// Another resource still refers to it.
    #[error("in use by {by:?}")]
    InUse {
        /// The resource that refers to it.
        by: ResourceKey,
    },
    /// The step does not follow from the stored term.
    #[error("stale: the stored term is {stored}")]
    StaleTerm {
        /// Stored term.
        stored: Term,
    },
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// An operator's change was accepted (or is a resend of an accepted one).
    Accepted {
        /// Version of the resource after it.
        version: ResourceVersion,
        /// Revision at which it took effect.
        revision: Revision,
    },
    /// A batch was applied, with the refused items by their place.
    Batch {
        /// Refused items.
        refused: Vec<(usize, Refusal)>,
    },
    /// Nothing was changed.
    Refused(Refusal),
    /// A change of the registry was applied.
    Registry(RegistryOutcome),
}

/// Result of applying one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The answer.
    pub outcome: Outcome,
    /// What changed in the proxies' view; empty when nothing did.
    pub changes: Vec<ViewChange>,
}
