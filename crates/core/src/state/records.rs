//! What the control state keeps of each object.
//!
//! Stored in snapshots: order and number of fields stay.

use crate::identity::{GroupName, MemberName, ProxyName};
use crate::resources::{DatabaseGroupSpec, MemberSpec, ResourceKey, ResourceSpec, ResourceVersion};
use crate::view::{GroupView, ProxyView, Revision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A resource with its metadata.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResource {
    /// Kind and name.
    pub key: ResourceKey,
    /// Revision of the change that wrote it.
    pub version: ResourceVersion,
    /// Counts the changes of the spec, from 1.
    pub generation: u64,
    /// The declared part.
    pub spec: ResourceSpec,
}

/// A declared part with its metadata.
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

/// A group with its metadata and decisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Revision of the change that wrote the spec.
    pub version: ResourceVersion,
    /// Counts the changes of the spec, from 1.
    pub generation: u64,
    /// Members that the platform's list calls leaving.
    pub leaving: BTreeSet<MemberName>,
    /// The proxy that owned it last and went; it gets the group back when it returns.
    pub former_owner: Option<ProxyName>,
    /// Set when the owner was chosen while the primary's zone was not known; it is
    /// chosen again once a primary is announced.
    pub placed_blindly: bool,
    /// The group as proxies see it.
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
            placed_blindly: true,
            view: Arc::new(view),
        }
    }

    /// Replaces the spec. A primary that is no longer a member is forgotten; the
    /// term stays, so a later failover takes a higher one.
    pub(super) fn replace_spec(&mut self, spec: DatabaseGroupSpec, version: ResourceVersion) {
        self.version = version;
        self.generation += 1;
        self.leaving.retain(|name| spec.member(name).is_some());
        let view = Arc::make_mut(&mut self.view);
        view.primary = view.primary.take().filter(|name| spec.member(name).is_some());
        view.spec = spec;
        self.refresh_draining();
    }

    /// Notes the platform's word on a member; tells whether proxies see a difference.
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

    /// The primary's declaration, none while a failover is under way.
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

/// A proxy with what only the control state needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ProxyRecord {
    /// The proxy as others see it.
    pub view: ProxyView,
    /// Revision at which it was declared down; meaningless while it is not.
    pub down_since: Revision,
}
