//! The control state: what the replicated log agrees on.
//!
//! [`command`] holds what may be proposed. The state machine that applies
//! commands is deterministic: every replica that applied the same entries holds
//! the same state and gave the same outcomes. It is also what a snapshot holds,
//! so everything that must survive a change of leader or a restart, the memory
//! of resends included, is part of it.
//!
//! Owns resources, proxies, owners, primaries and the registry. Relies on the log for the order of commands.

mod change_set;
pub mod command;
mod fleet;
mod groups;
mod records;
mod resend;
mod resources;

pub use records::{GroupRecord, StoredResource};
pub use resend::RESEND_MEMORY_LIMIT;

use crate::identity::{BindingName, ClassName, GroupName, ProxyName};
use crate::registry::{RegistryChanges, RegistryState};
use crate::resources::{BindingSpec, Kind, PriorityClassSpec, ResourceKey, ResourceSpec};
use crate::state::change_set::ChangeSet;
use crate::state::command::{Applied, ChangeId, Command, Outcome, ResourceOperation};
use crate::state::records::{Declared, ProxyRecord};
use crate::state::resend::{ResendMemory, operation_digest};
use crate::view::{ProxyView, Revision, View};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Everything the cell agreed on, after one log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    applied: Revision,
    view_revision: Revision,
    groups: BTreeMap<GroupName, GroupRecord>,
    classes: BTreeMap<ClassName, Declared<PriorityClassSpec>>,
    bindings: BTreeMap<BindingName, Declared<BindingSpec>>,
    proxies: BTreeMap<ProxyName, ProxyRecord>,
    resends: ResendMemory,
    registry: RegistryState,
}

impl ControlState {
    /// Applies the command of the log entry at `revision`.
    ///
    /// Entries must be applied in order. One that is not above the last applied
    /// one changes nothing, so that a configuration in force never reverts; an
    /// operator's change still gets its remembered answer.
    pub fn apply(&mut self, revision: Revision, command: Command) -> Applied {
        let repeated = revision <= self.applied;
        if repeated {
            return Applied { outcome: self.repeated_outcome(&command), changes: Vec::new() };
        }
        self.applied = revision;
        let mut changed = ChangeSet::default();
        let outcome = self.dispatch(revision, command, &mut changed);
        let changes = changed.into_changes(self);
        if !changes.is_empty() {
            self.view_revision = revision;
        }
        Applied { outcome, changes }
    }

    fn dispatch(
        &mut self,
        revision: Revision,
        command: Command,
        changed: &mut ChangeSet,
    ) -> Outcome {
        let refused = match command {
            Command::Resource { change, operation } => {
                return self.apply_resource(revision, change, operation, changed);
            }
            Command::RegisterProxies(batch) => self.register_proxies(batch, changed),
            Command::ProxiesDown(batch) => self.proxies_down(revision, batch, changed),
            Command::ProxiesDraining(batch) => self.proxies_draining(batch, changed),
            Command::Failover(batch) => self.apply_failover(batch, changed),
            Command::MembersLeaving(batch) => self.members_leaving(batch, changed),
            Command::Registry(command) => {
                let mut touched = RegistryChanges::default();
                let outcome = self.registry.apply(revision, *command, &mut touched);
                changed.registry = touched;
                return Outcome::Registry(outcome);
            }
        };
        Outcome::Batch { refused }
    }

    fn apply_resource(
        &mut self,
        revision: Revision,
        change: ChangeId,
        operation: ResourceOperation,
        changed: &mut ChangeSet,
    ) -> Outcome {
        if let Err(refusal) = resend::check_change_id(&change) {
            return Outcome::Refused(refusal);
        }
        let digest = operation_digest(&operation);
        if let Some(first) = self.resends.recall(&change, digest) {
            return first;
        }
        let outcome = match self.change_resource(revision, operation, changed) {
            Ok(version) => {
                Outcome::Accepted { version, revision: version_revision(version, revision) }
            }
            Err(refusal) => Outcome::Refused(refusal),
        };
        self.resends.remember(revision, change, digest, outcome.clone());
        outcome
    }

    fn repeated_outcome(&self, command: &Command) -> Outcome {
        let nothing = Outcome::Batch { refused: Vec::new() };
        let Command::Resource { change, operation } = command else { return nothing };
        self.resends.recall(change, operation_digest(operation)).unwrap_or(nothing)
    }

    /// Index of the last log entry applied.
    #[must_use]
    pub const fn applied(&self) -> Revision {
        self.applied
    }

    /// Revision of the view: the last entry that changed it. A proxy that reports
    /// at least the revision of an accepted change has it in force.
    #[must_use]
    pub const fn view_revision(&self) -> Revision {
        self.view_revision
    }

    /// The configuration as proxies apply it.
    #[must_use]
    pub fn view(&self) -> View {
        let groups =
            self.groups.iter().map(|(name, group)| (name.clone(), Arc::clone(&group.view)));
        let classes = self.classes.iter().map(|(name, class)| (name.clone(), class.spec.clone()));
        let bindings = self.bindings.iter().map(|(name, rule)| (name.clone(), rule.spec.clone()));
        let proxies = self.proxies.iter().map(|(name, proxy)| (name.clone(), proxy.view.clone()));
        View {
            revision: self.view_revision,
            groups: groups.collect(),
            classes: classes.collect(),
            bindings: bindings.collect(),
            proxies: proxies.collect(),
            document: self.registry.document().map(|stored| Arc::clone(&stored.document)),
            back_ends: self.registry.back_ends().map(|(k, v)| (k.clone(), Arc::clone(v))).collect(),
            promotions: self.registry.promotions().map(|(k, v)| (k.clone(), v.clone())).collect(),
        }
    }

    /// The back ends that registered, the document in force and who shall lead.
    #[must_use]
    pub const fn registry(&self) -> &RegistryState {
        &self.registry
    }

    /// One resource as stored.
    #[must_use]
    pub fn get(&self, key: &ResourceKey) -> Option<StoredResource> {
        match key {
            ResourceKey::DatabaseGroup(name) => {
                self.groups.get(name).map(|group| group.stored(name))
            }
            ResourceKey::PriorityClass(name) => {
                let class = self.classes.get(name)?;
                Some(class.stored(key.clone(), ResourceSpec::PriorityClass))
            }
            ResourceKey::Binding(name) => {
                let binding = self.bindings.get(name)?;
                Some(binding.stored(key.clone(), ResourceSpec::Binding))
            }
        }
    }

    /// All resources of one kind, by name.
    #[must_use]
    pub fn list(&self, kind: Kind) -> Vec<StoredResource> {
        match kind {
            Kind::DatabaseGroup => {
                self.groups.iter().map(|(name, group)| group.stored(name)).collect()
            }
            Kind::PriorityClass => {
                let keys = self.classes.keys().cloned().map(ResourceKey::PriorityClass);
                keys.filter_map(|key| self.get(&key)).collect()
            }
            Kind::Binding => {
                let keys = self.bindings.keys().cloned().map(ResourceKey::Binding);
                keys.filter_map(|key| self.get(&key)).collect()
            }
        }
    }

    /// One group with its decisions.
    #[must_use]
    pub fn group(&self, name: &GroupName) -> Option<&GroupRecord> {
        self.groups.get(name)
    }

    /// All groups with their decisions, by name.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupName, &GroupRecord)> {
        self.groups.iter()
    }

    /// One proxy as stored.
    #[must_use]
    pub fn proxy(&self, name: &ProxyName) -> Option<&ProxyView> {
        self.proxies.get(name).map(|record| &record.view)
    }

    /// All proxies, by name.
    pub fn proxies(&self) -> impl Iterator<Item = (&ProxyName, &ProxyView)> {
        self.proxies.iter().map(|(name, record)| (name, &record.view))
    }
}

/// A change that found its spec already stored took effect when that was written.
const fn version_revision(
    version: crate::resources::ResourceVersion,
    revision: Revision,
) -> Revision {
    if version.0 == 0 { revision } else { Revision(version.0) }
}
