//! Checks of manifests that need no server: values, and references between the given files.

use super::{Manifest, ManifestError, ReferenceProblem, key_parts};
use corktack_core::identity::ClassName;
use corktack_core::resources::{
    BindingSpec, DatabaseGroupSpec, Kind, PriorityClassSpec, ResourceKey, ResourceSpec,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// All of a server's grants, in percent.
const WHOLE_PERCENT: u32 = 100;

/// Checks values and references. Every error found is returned, in the order of the documents.
#[must_use]
pub fn check(manifests: &[Manifest]) -> Vec<ManifestError> {
    let mut checker = Checker { index: Index::new(manifests), errors: Vec::new() };
    for manifest in manifests {
        checker.check_duplicate(manifest);
        match &manifest.spec {
            ResourceSpec::DatabaseGroup(group) => checker.check_group(manifest, group),
            ResourceSpec::PriorityClass(class) => checker.check_class(manifest, class),
            ResourceSpec::Binding(binding) => checker.check_binding(manifest, binding),
        }
    }
    checker.errors
}

/// What the documents declare, for look-ups.
struct Index<'a> {
    first: BTreeMap<&'a ResourceKey, &'a Manifest>,
    classes: BTreeSet<&'a ClassName>,
    databases: BTreeMap<&'a str, &'a str>,
    shares: u32,
}

impl<'a> Index<'a> {
    fn new(manifests: &'a [Manifest]) -> Self {
        let mut index = Self {
            first: BTreeMap::new(),
            classes: BTreeSet::new(),
            databases: BTreeMap::new(),
            shares: 0,
        };
        for manifest in manifests {
            index.first.entry(&manifest.key).or_insert(manifest);
            match (&manifest.key, &manifest.spec) {
                (ResourceKey::PriorityClass(name), ResourceSpec::PriorityClass(class)) => {
                    index.classes.insert(name);
                    index.shares += u32::from(class.guaranteed_percent);
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
    fn refuse(
        &mut self,
        manifest: &Manifest,
        key: impl Into<String>,
        value: impl ToString,
        problem: ReferenceProblem,
    ) {
        self.errors.push(ManifestError::Value {
            file: manifest.file.clone(),
            document: manifest.document,
            key: key.into(),
            value: value.to_string(),
            problem,
        });
    }

    fn check_duplicate(&mut self, manifest: &Manifest) {
        let Some(first) = self.index.first.get(&manifest.key) else { return };
        if std::ptr::eq(*first, manifest) {
            return;
        }
        let problem =
            ReferenceProblem::DeclaredTwice { file: first.file.clone(), document: first.document };
        self.refuse(manifest, "metadata.name", key_parts(&manifest.key).1, problem);
    }

    fn check_group(&mut self, manifest: &Manifest, group: &DatabaseGroupSpec) {
        if group.database.is_empty() {
            self.refuse(manifest, "spec.database", "\"\"", ReferenceProblem::Empty);
        }
        let serves = self.index.databases.get(group.database.as_str()).copied();
        let other = serves.filter(|name| *name != key_parts(&manifest.key).1);
        if let Some(other) = other {
            let problem = ReferenceProblem::SameDatabase(other.to_owned());
            self.refuse(manifest, "spec.database", &group.database, problem);
        }
        if group.slots == 0 {
            self.refuse(manifest, "spec.slots", group.slots, ReferenceProblem::Below(1));
        }
        if group.connections < group.slots {
            let problem = ReferenceProblem::Below(group.slots.into());
            self.refuse(manifest, "spec.connections", group.connections, problem);
        }
        self.check_members(manifest, group);
    }

    fn check_members(&mut self, manifest: &Manifest, group: &DatabaseGroupSpec) {
        if group.members.is_empty() {
            self.refuse(manifest, "spec.members", "[]", ReferenceProblem::Empty);
        }
        for (place, member) in group.members.iter().enumerate() {
            let earlier = &group.members[..place];
            if earlier.iter().any(|other| other.name == member.name) {
                let key = format!("spec.members[{place}].name");
                self.refuse(manifest, key, &member.name, ReferenceProblem::Duplicate);
            }
            if earlier.iter().any(|other| other.address == member.address) {
                let key = format!("spec.members[{place}].address");
                self.refuse(manifest, key, member.address, ReferenceProblem::Duplicate);
            }
        }
    }

    fn check_class(&mut self, manifest: &Manifest, class: &PriorityClassSpec) {
        if self.index.shares > WHOLE_PERCENT && class.guaranteed_percent > 0 {
            let problem = ReferenceProblem::SharesOverWhole(self.index.shares);
            self.refuse(manifest, "spec.guaranteedPercent", class.guaranteed_percent, problem);
        }
    }

    fn check_binding(&mut self, manifest: &Manifest, binding: &BindingSpec) {
        if !self.index.classes.contains(&binding.class) {
            let problem = ReferenceProblem::Unresolved(Kind::PriorityClass);
            self.refuse(manifest, "spec.class", &binding.class, problem);
        }
        let callers = &binding.callers;
        if let Some(database) = &callers.database
            && !self.index.databases.contains_key(database.as_str())
        {
            let problem = ReferenceProblem::NoSuchDatabase;
            self.refuse(manifest, "spec.match.database", database, problem);
        }
        if let Some(network) = callers.source_network.as_deref().filter(|text| !is_network(text)) {
            let problem = ReferenceProblem::Network;
            self.refuse(manifest, "spec.match.sourceNetwork", network, problem);
        }
    }
}

/// Whether a text is ADDRESS/PREFIX with a prefix that fits the address.
fn is_network(text: &str) -> bool {
    let Some((address, prefix)) = text.split_once('/') else { return false };
    let (Ok(address), Ok(prefix)) = (address.parse::<IpAddr>(), prefix.parse::<u8>()) else {
        return false;
    };
    prefix <= if address.is_ipv4() { 32 } else { 128 }
}
