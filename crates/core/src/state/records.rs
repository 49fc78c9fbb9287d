//! Records of the control state for each object.
//!
//! The records are stored in snapshots, so the order and number of their fields must not change.

use crate::identity::{GroupName, MemberName, ProxyName};
use crate::resources::{DatabaseGroupSpec, MemberSpec, ResourceKey, ResourceSpec, ResourceVersion};
use crate::view::{GroupView, ProxyView, Revision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Stored resource with its metadata.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResource {
    /// Kind and name.
    pub key: ResourceKey,
    /// Revision of the change that last wrote the spec.
    pub version: ResourceVersion,
    /// Number of times that the spec was written with a new value, from 1.
    pub generation: u64,
    /// Declared part.
    pub spec: ResourceSpec,
}

/// Declared part of a class or binding, with its metadata.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Declared<S> {
    pub version: ResourceVersion,
    pub generation: u64,
    pub spec: S,
}

impl<S: Clone> Declared<S> {
    pub fn stored(&self, key: ResourceKey, wrap: fn(S) -> ResourceSpec) -> StoredResource {
        StoredResource {
            key,
            version: self.version,
            generation: self.generation,
            spec: wrap(self.spec.clone()),
        }
    }
}

/// Group with its metadata and the decisions about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Revision of the change that last wrote the spec.
    pub version: ResourceVersion,
    /// Number of times that the spec was written with a new value, from 1.
    pub generation: u64,
    /// Members that the platform's list reports as leaving.
    pub leaving: BTreeSet<MemberName>,
    /// Last owner, if that proxy went down or is draining; the proxy gets the group back when it returns.
    pub former_owner: Option<ProxyName>,
    /// Set if the owner was assigned while the zone of the primary was unknown. The owner is assigned again
    /// when a primary is announced.
    pub owner_chosen_without_zone: bool,
    /// Group as proxies see it.
    pub view: Arc<GroupView>,
}

impl GroupRecord {
    pub(super) fn new(spec: DatabaseGroupSpec, version: ResourceVersion) -> Self {
        let draining = declared_draining(&spec);
        let view =
            GroupView { spec, primary: None, term: Default::default(), owner: None, draining };
        Self {
            version,
            generation: 1,
            leaving: BTreeSet::new(),
            former_owner: None,
            owner_chosen_without_zone: true,
            view: Arc::new(view),
        }
    }

    /// Replaces the spec. A primary that is no longer a member is removed; the term stays, so that a later
    /// failover takes a higher term.
    pub(super) fn replace_spec(&mut self, spec: DatabaseGroupSpec, version: ResourceVersion) {
        self.version = version;
        self.generation += 1;
        self.leaving.retain(|name| spec.member(name).is_some());
        let view = Arc::make_mut(&mut self.view);
        view.primary = view.primary.take().filter(|name| spec.member(name).is_some());
        view.spec = spec;
        self.refresh_draining();
    }

    /// Records whether the platform reports a member as leaving. Returns whether the proxies' view changed.
    pub(super) fn set_leaving(&mut self, member: MemberName, leaving: bool) -> bool {
        if leaving {
            self.leaving.insert(member);
        } else {
            self.leaving.remove(&member);
        }
        self.refresh_draining()
    }

    fn refresh_draining(&mut self) -> bool {
        let mut draining = declared_draining(&self.view.spec);
        draining.extend(self.leaving.iter().cloned());
        if draining == self.view.draining {
            return false;
        }
        Arc::make_mut(&mut self.view).draining = draining;
        true
    }

    /// Returns the declaration of the primary, `None` while a failover is in progress.
    #[must_use]
    pub fn primary_spec(&self) -> Option<&MemberSpec> {
        self.view.primary.as_ref().and_then(|name| self.view.spec.member(name))
    }

    pub(super) fn stored(&self, name: &GroupName) -> StoredResource {
        StoredResource {
            key: ResourceKey::DatabaseGroup(name.clone()),
            version: self.version,
            generation: self.generation,
            spec: ResourceSpec::DatabaseGroup(self.view.spec.clone()),
        }
    }
}

fn declared_draining(spec: &DatabaseGroupSpec) -> BTreeSet<MemberName> {
    let draining = spec.members.iter().filter(|member| member.draining);
    draining.map(|member| member.name.clone()).collect()
}

/// Proxy with the metadata that only the control state needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ProxyRecord {
    /// Proxy as other proxies see it.
    pub view: ProxyView,
    /// Revision at which the proxy was declared down; not meaningful in any other state.
    pub down_since: Revision,
}
