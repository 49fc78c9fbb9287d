//! The control state: the state machine of the replicated log, with resources, proxies, owners, primaries and
//! the registry.
//!
//! [`command`] defines the commands. Applying them is deterministic: replicas that applied the same entries
//! have the same state and gave the same outcomes. A snapshot holds this state, so everything that must
//! survive a change of leader or a restart is part of it, including the memory of resends.

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

/// State of the cell after a log entry.
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
    /// Entries must be applied in order. An entry at or below the last applied revision changes nothing,
    /// so that a configuration in force never reverts; an operator's change still gets its remembered answer.
    pub fn apply(&mut self, revision: Revision, command: Command) -> Applied {
        let is_repeated = revision <= self.applied;
        if is_repeated {
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
            Command::ProxiesDown(batch) => self.mark_proxies_down(revision, batch, changed),
            Command::ProxiesDraining(batch) => self.mark_proxies_draining(batch, changed),
            Command::Failover(batch) => self.apply_failover(batch, changed),
            Command::MembersLeaving(batch) => self.set_members_leaving(batch, changed),
            Command::Registry(command) => {
                let mut registry_changes = RegistryChanges::default();
                let outcome = self.registry.apply(revision, *command, &mut registry_changes);
                changed.registry = registry_changes;
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
                Outcome::Accepted { version, revision: effective_revision(version, revision) }
            }
            Err(refusal) => Outcome::Refused(refusal),
        };
        self.resends.remember(revision, change, digest, outcome.clone());
        outcome
    }

    fn repeated_outcome(&self, command: &Command) -> Outcome {
        let no_refusals = Outcome::Batch { refused: Vec::new() };
        let Command::Resource { change, operation } = command else { return no_refusals };
        self.resends.recall(change, operation_digest(operation)).unwrap_or(no_refusals)
    }

    /// Returns the index of the last applied log entry.
    #[must_use]
    pub const fn applied(&self) -> Revision {
        self.applied
    }

    /// Returns the revision of the view: the index of the last entry that changed the view. A proxy that
    /// reports at least the revision of an accepted change has that change in force.
    #[must_use]
    pub const fn view_revision(&self) -> Revision {
        self.view_revision
    }

    /// Returns the view that proxies apply.
    #[must_use]
    pub fn view(&self) -> View {
        let groups =
            self.groups.iter().map(|(name, group)| (name.clone(), Arc::clone(&group.view)));
        let classes = self.classes.iter().map(|(name, class)| (name.clone(), class.spec.clone()));
        let bindings =
            self.bindings.iter().map(|(name, binding)| (name.clone(), binding.spec.clone()));
        let proxies = self.proxies.iter().map(|(name, proxy)| (name.clone(), proxy.view.clone()));
        View {
            revision: self.view_revision,
            groups: groups.collect(),
            classes: classes.collect(),
            bindings: bindings.collect(),
            proxies: proxies.collect(),
            document: self.registry.document().map(|stored| Arc::clone(&stored.document)),
            back_ends: self
                .registry
                .back_ends()
                .map(|(member, back_end)| (member.clone(), Arc::clone(back_end)))
                .collect(),
            promotions: self
                .registry
                .promotions()
                .map(|(group, promotion)| (group.clone(), promotion.clone()))
                .collect(),
        }
    }

    /// Returns the registry: the registered back ends, the document in force and the promotions.
    #[must_use]
    pub const fn registry(&self) -> &RegistryState {
        &self.registry
    }

    /// Returns a stored resource.
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

    /// Returns all stored resources of one kind, by name.
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

    /// Returns the record of a group.
    #[must_use]
    pub fn group(&self, name: &GroupName) -> Option<&GroupRecord> {
        self.groups.get(name)
    }

    /// Returns the records of all groups, by name.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupName, &GroupRecord)> {
        self.groups.iter()
    }

    /// Returns a proxy as other proxies see it.
    #[must_use]
    pub fn proxy(&self, name: &ProxyName) -> Option<&ProxyView> {
        self.proxies.get(name).map(|record| &record.view)
    }

    /// Returns all proxies as other proxies see them, by name.
    pub fn proxies(&self) -> impl Iterator<Item = (&ProxyName, &ProxyView)> {
        self.proxies.iter().map(|(name, record)| (name, &record.view))
    }
}

/// Returns the revision at which a change took effect. A put of a spec that was stored already took effect
/// when that spec was written.
const fn effective_revision(
    version: crate::resources::ResourceVersion,
    revision: Revision,
) -> Revision {
    if version.0 == 0 { revision } else { Revision(version.0) }
}
