//! Checks of manifests that need no server: values, and references between the given files.
//!
//! The core validates each spec by itself; this module checks the documents against each other.

use super::error::{ManifestError, ManifestValueError, ReferenceProblem};
use super::load::Manifest;
use corktack_control::api::key_parts;
use corktack_core::identity::ClassName;
use corktack_core::resources::{
    BindingSpec, DatabaseGroupSpec, Kind, PriorityClassSpec, ResourceKey, ResourceSpec,
};
use std::collections::{BTreeMap, BTreeSet};

/// Largest sum of the guaranteed shares of all classes, in percent.
const MAX_TOTAL_PERCENT: u32 = 100;

/// Checks values and references. Returns all errors, in the order of the documents.
#[must_use]
pub fn check(manifests: &[Manifest]) -> Vec<ManifestError> {
    let mut checker = Checker { index: Index::new(manifests), errors: Vec::new() };
    for manifest in manifests {
        checker.check_duplicate(manifest);
        checker.check_spec(manifest);
        match &manifest.spec {
            ResourceSpec::DatabaseGroup(group) => checker.check_group(manifest, group),
            ResourceSpec::PriorityClass(class) => checker.check_class(manifest, class),
            ResourceSpec::Binding(binding) => checker.check_binding(manifest, binding),
        }
    }
    checker.errors
}

/// Index of the resources that the documents declare.
struct Index<'a> {
    first_declarations: BTreeMap<&'a ResourceKey, &'a Manifest>,
    classes: BTreeSet<&'a ClassName>,
    /// Name of the first group that serves each database.
    databases: BTreeMap<&'a str, &'a str>,
    total_guaranteed_percent: u32,
}

impl<'a> Index<'a> {
    fn new(manifests: &'a [Manifest]) -> Self {
        let mut index = Self {
            first_declarations: BTreeMap::new(),
            classes: BTreeSet::new(),
            databases: BTreeMap::new(),
            total_guaranteed_percent: 0,
        };
        for manifest in manifests {
            index.first_declarations.entry(&manifest.key).or_insert(manifest);
            match (&manifest.key, &manifest.spec) {
                (ResourceKey::PriorityClass(name), ResourceSpec::PriorityClass(class)) => {
                    index.classes.insert(name);
                    index.total_guaranteed_percent += u32::from(class.guaranteed_percent);
                }
                (ResourceKey::DatabaseGroup(name), ResourceSpec::DatabaseGroup(group)) => {
                    index.databases.entry(&group.database).or_insert(name.as_str());
                }
                _ => {}
            }
        }
        index
    }
}

struct Checker<'a> {
    index: Index<'a>,
    errors: Vec<ManifestError>,
}

impl Checker<'_> {
    fn push_error(
        &mut self,
        manifest: &Manifest,
        key: impl Into<String>,
        value: impl ToString,
        problem: ReferenceProblem,
    ) {
        self.errors.push(ManifestError::Value(Box::new(ManifestValueError {
            file: manifest.file.clone(),
            document: manifest.document,
            key: key.into(),
            value: value.to_string(),
            problem,
        })));
    }

    fn check_duplicate(&mut self, manifest: &Manifest) {
        let Some(first) = self.index.first_declarations.get(&manifest.key) else { return };
        if std::ptr::eq(*first, manifest) {
            return;
        }
        let problem =
            ReferenceProblem::DeclaredTwice { file: first.file.clone(), document: first.document };
        self.push_error(manifest, "metadata.name", key_parts(&manifest.key).1, problem);
    }

    /// Validates the spec of one document without regard to the other documents.
    fn check_spec(&mut self, manifest: &Manifest) {
        if let Err(error) = manifest.spec.validate() {
            let key = error.field();
            let value = value_at(&manifest.spec, &key);
            self.push_error(manifest, key, value, ReferenceProblem::Spec(error));
        }
    }

    fn check_group(&mut self, manifest: &Manifest, group: &DatabaseGroupSpec) {
        let first_group = self.index.databases.get(group.database.as_str()).copied();
        let other = first_group.filter(|name| *name != key_parts(&manifest.key).1);
        if let Some(other) = other {
            let problem = ReferenceProblem::SameDatabase(other.to_owned());
            self.push_error(manifest, "spec.database", &group.database, problem);
        }
    }

    fn check_class(&mut self, manifest: &Manifest, class: &PriorityClassSpec) {
        // A share of 0 % adds nothing to the sum, and `check_spec` reports a share above 100 %.
        let share = u32::from(class.guaranteed_percent);
        if self.index.total_guaranteed_percent > MAX_TOTAL_PERCENT
            && (1..=MAX_TOTAL_PERCENT).contains(&share)
        {
            let problem = ReferenceProblem::SharesAboveTotal(self.index.total_guaranteed_percent);
            self.push_error(manifest, "spec.guaranteedPercent", class.guaranteed_percent, problem);
        }
    }

    fn check_binding(&mut self, manifest: &Manifest, binding: &BindingSpec) {
        if !self.index.classes.contains(&binding.class) {
            let problem = ReferenceProblem::Unresolved(Kind::PriorityClass);
            self.push_error(manifest, "spec.class", &binding.class, problem);
        }
        if let Some(database) = &binding.callers.database
            && !self.index.databases.contains_key(database.as_str())
        {
            let problem = ReferenceProblem::UnknownDatabase;
            self.push_error(manifest, "spec.match.database", database, problem);
        }
    }
}

/// Returns the value at a path like `spec.members[1].name` as text; empty if the path does not exist.
fn value_at(spec: &ResourceSpec, path: &str) -> String {
    let spec = match spec {
        ResourceSpec::DatabaseGroup(spec) => serde_json::to_value(spec),
        ResourceSpec::PriorityClass(spec) => serde_json::to_value(spec),
        ResourceSpec::Binding(spec) => serde_json::to_value(spec),
    };
    let path = path.trim_start_matches("spec").replace(['.', '['], "/").replace(']', "");
    let value = spec.ok().and_then(|spec| spec.pointer(&path).cloned());
    match value {
        Some(serde_json::Value::String(text)) => text,
        Some(other) => other.to_string(),
        None => String::new(),
    }
}
