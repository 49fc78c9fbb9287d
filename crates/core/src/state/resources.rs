//! Applies operators' changes to the control state: compare-and-swap of versions, and the checks that need
//! other resources. [`crate::resources`] checks a resource by itself.

use super::ControlState;
use super::change_set::ChangeSet;
use super::command::{Refusal, ResourceOperation};
use super::records::{Declared, GroupRecord};
use crate::identity::{BindingName, ClassName, GroupName};
use crate::resources::{
    BindingSpec, DatabaseGroupSpec, PERCENT_LIMIT, PriorityClassSpec, ResourceKey, ResourceSpec,
    ResourceVersion, SpecError,
};
use crate::view::Revision;
use std::collections::BTreeMap;

impl From<SpecError> for Refusal {
    fn from(error: SpecError) -> Self {
        Self::Invalid { field: error.field(), reason: error.to_string() }
    }
}

fn invalid(field: &str, reason: String) -> Refusal {
    Refusal::Invalid { field: field.to_owned(), reason }
}

impl ControlState {
    /// Applies an operator's change and returns the version of the resource afterwards, zero if it was
    /// deleted. A put of the stored spec changes nothing and returns the stored version.
    pub(super) fn change_resource(
        &mut self,
        revision: Revision,
        operation: ResourceOperation,
        changed: &mut ChangeSet,
    ) -> Result<ResourceVersion, Refusal> {
        match operation {
            ResourceOperation::Put { key, spec, expected } => {
                self.check_version(&key, expected)?;
                spec.validate()?;
                self.put(ResourceVersion(revision.0), key, *spec, changed)
            }
            ResourceOperation::Delete { key, expected } => {
                let stored = self.stored_version(&key);
                if stored == ResourceVersion::default()
                    && expected.is_none_or(|version| version == stored)
                {
                    return Err(Refusal::NotFound);
                }
                self.check_version(&key, expected)?;
                self.delete(&key, changed)?;
                Ok(ResourceVersion::default())
            }
        }
    }

    fn stored_version(&self, key: &ResourceKey) -> ResourceVersion {
        let version = match key {
            ResourceKey::DatabaseGroup(name) => self.groups.get(name).map(|group| group.version),
            ResourceKey::PriorityClass(name) => self.classes.get(name).map(|class| class.version),
            ResourceKey::Binding(name) => self.bindings.get(name).map(|binding| binding.version),
        };
        version.unwrap_or_default()
    }

    fn check_version(
        &self,
        key: &ResourceKey,
        expected: Option<ResourceVersion>,
    ) -> Result<(), Refusal> {
        let stored = self.stored_version(key);
        if expected.is_none_or(|version| version == stored) {
            return Ok(());
        }
        Err(Refusal::Conflict { stored })
    }

    fn put(
        &mut self,
        version: ResourceVersion,
        key: ResourceKey,
        spec: ResourceSpec,
        changed: &mut ChangeSet,
    ) -> Result<ResourceVersion, Refusal> {
        match (key, spec) {
            (ResourceKey::DatabaseGroup(name), ResourceSpec::DatabaseGroup(spec)) => {
                self.put_group(version, name, spec, changed)
            }
            (ResourceKey::PriorityClass(name), ResourceSpec::PriorityClass(spec)) => {
                self.check_shares(&name, &spec)?;
                let stored = put_declared(&mut self.classes, version, name.clone(), spec);
                if stored == version {
                    changed.classes.insert(name);
                }
                Ok(stored)
            }
            (ResourceKey::Binding(name), ResourceSpec::Binding(spec)) => {
                self.check_class_exists(&spec)?;
                let stored = put_declared(&mut self.bindings, version, name.clone(), spec);
                if stored == version {
                    changed.bindings.insert(name);
                }
                Ok(stored)
            }
            (key, spec) => {
                let (spec_kind, key_kind) = (spec.kind(), key.kind());
                Err(invalid(
                    "kind",
                    format!("the spec is of a {spec_kind:?}, the key of a {key_kind:?}"),
                ))
            }
        }
    }

    fn put_group(
        &mut self,
        version: ResourceVersion,
        name: GroupName,
        spec: DatabaseGroupSpec,
        changed: &mut ChangeSet,
    ) -> Result<ResourceVersion, Refusal> {
        self.check_database_unused(&name, &spec)?;
        match self.groups.get_mut(&name) {
            Some(group) if group.view.spec == spec => return Ok(group.version),
            Some(group) => group.replace_spec(spec, version),
            None => {
                self.groups.insert(name.clone(), GroupRecord::new(spec, version));
                self.assign_owners([&name], changed);
            }
        }
        changed.groups.insert(name);
        Ok(version)
    }

    fn check_database_unused(
        &self,
        name: &GroupName,
        spec: &DatabaseGroupSpec,
    ) -> Result<(), Refusal> {
        let mut others = self.groups.iter().filter(|(other, _)| *other != name);
        match others.find(|(_, group)| group.view.spec.database == spec.database) {
            Some((other, _)) => {
                let database = &spec.database;
                let reason = format!("the database {database:?} belongs to the group {other}");
                Err(invalid("spec.database", reason))
            }
            None => Ok(()),
        }
    }

    fn check_shares(&self, name: &ClassName, spec: &PriorityClassSpec) -> Result<(), Refusal> {
        let others = self.classes.iter().filter(|(other, _)| *other != name);
        let percents = others.map(|(_, class)| u32::from(class.spec.guaranteed_percent));
        let total = percents.sum::<u32>() + u32::from(spec.guaranteed_percent);
        if total <= PERCENT_LIMIT {
            return Ok(());
        }
        let reason = format!("the shares of all classes come to {total} percent");
        Err(invalid("spec.guaranteedPercent", reason))
    }

    fn check_class_exists(&self, spec: &BindingSpec) -> Result<(), Refusal> {
        if self.classes.contains_key(&spec.class) {
            return Ok(());
        }
        Err(invalid("spec.class", format!("there is no class {}", spec.class)))
    }

    fn delete(&mut self, key: &ResourceKey, changed: &mut ChangeSet) -> Result<(), Refusal> {
        match key {
            ResourceKey::DatabaseGroup(name) => {
                self.groups.remove(name);
                changed.groups.insert(name.clone());
            }
            ResourceKey::PriorityClass(name) => {
                self.check_class_unused(name)?;
                self.classes.remove(name);
                changed.classes.insert(name.clone());
            }
            ResourceKey::Binding(name) => {
                self.bindings.remove(name);
                changed.bindings.insert(name.clone());
            }
        }
        Ok(())
    }

    fn check_class_unused(&self, class: &ClassName) -> Result<(), Refusal> {
        let referrer = self.bindings.iter().find(|(_, binding)| binding.spec.class == *class);
        let by = referrer.map(|(name, _): (&BindingName, _)| ResourceKey::Binding(name.clone()));
        by.map_or(Ok(()), |by| Err(Refusal::InUse { by }))
    }
}

/// Stores a spec and returns the version of the resource afterwards: the given version, or the stored version
/// if the spec was stored already.
fn put_declared<K: Ord, S: PartialEq>(
    map: &mut BTreeMap<K, Declared<S>>,
    version: ResourceVersion,
    name: K,
    spec: S,
) -> ResourceVersion {
    let Some(stored) = map.get_mut(&name) else {
        map.insert(name, Declared { version, generation: 1, spec });
        return version;
    };
    if stored.spec != spec {
        stored.spec = spec;
        stored.version = version;
        stored.generation += 1;
    }
    stored.version
}
