//! Resources in their JSON form.

use corktack_core::identity::{MemberName, ProxyName};
use corktack_core::position::Term;
use corktack_core::resources::{
    API_VERSION, BindingSpec, DatabaseGroupSpec, Kind, PriorityClassSpec, ResourceSpec,
    ResourceVersion,
};
use corktack_core::view::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What is known of a resource beside its declared part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Metadata {
    /// Its name, unique in its kind.
    pub name: String,
    /// Version of the stored resource. In a write: absent replaces whatever is
    /// stored, zero demands that nothing is stored, any other demands that version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<ResourceVersion>,
    /// Counts the changes of the declared part. Ignored in a write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generation: Option<u64>,
}

/// What the system decided for a database group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct GroupStatus {
    /// The primary; none while a failover is under way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub primary: Option<MemberName>,
    /// Term of the primary, or of the failover under way.
    pub term: Term,
    /// The proxy that owns the group.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<ProxyName>,
    /// Members that get no new work.
    #[serde(default)]
    pub draining: BTreeSet<MemberName>,
}

/// A resource in its JSON form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Manifest<Spec> {
    /// Always [`API_VERSION`].
    pub api_version: String,
    /// Its kind.
    pub kind: Kind,
    /// Name and versions.
    pub metadata: Metadata,
    /// The declared part.
    pub spec: Spec,
    /// What the system decided; only groups have one. Ignored in a write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<GroupStatus>,
}

/// Why a manifest was refused.
#[derive(Debug, thiserror::Error)]
pub enum ManifestError {
    /// The manifest is of another version of the format.
    #[error("apiVersion: {0:?} is not {API_VERSION:?}")]
    ApiVersion(String),
    /// The declared part does not fit the kind.
    #[error("spec: {0}")]
    Spec(#[from] serde_json::Error),
}

/// A resource of any kind in its JSON form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged, try_from = "Manifest<serde_json::Value>")]
pub enum AnyManifest {
    /// A database group.
    Group(Manifest<DatabaseGroupSpec>),
    /// A priority class.
    Class(Manifest<PriorityClassSpec>),
    /// A binding.
    Binding(Manifest<BindingSpec>),
}

impl AnyManifest {
    /// Puts a manifest together.
    #[must_use]
    pub fn new(metadata: Metadata, spec: ResourceSpec, status: Option<GroupStatus>) -> Self {
        match spec {
            ResourceSpec::DatabaseGroup(spec) => {
                Self::Group(manifest(Kind::DatabaseGroup, metadata, spec, status))
            }
            ResourceSpec::PriorityClass(spec) => {
                Self::Class(manifest(Kind::PriorityClass, metadata, spec, status))
            }
            ResourceSpec::Binding(spec) => {
                Self::Binding(manifest(Kind::Binding, metadata, spec, status))
            }
        }
    }

    /// The resource's kind.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Group(_) => Kind::DatabaseGroup,
            Self::Class(_) => Kind::PriorityClass,
            Self::Binding(_) => Kind::Binding,
        }
    }

    /// Name and versions.
    #[must_use]
    pub fn metadata(&self) -> &Metadata {
        match self {
            Self::Group(manifest) => &manifest.metadata,
            Self::Class(manifest) => &manifest.metadata,
            Self::Binding(manifest) => &manifest.metadata,
        }
    }

    /// The declared part.
    #[must_use]
    pub fn spec(&self) -> ResourceSpec {
        match self {
            Self::Group(manifest) => ResourceSpec::DatabaseGroup(manifest.spec.clone()),
            Self::Class(manifest) => ResourceSpec::PriorityClass(manifest.spec.clone()),
            Self::Binding(manifest) => ResourceSpec::Binding(manifest.spec.clone()),
        }
    }
}

fn manifest<Spec>(
    kind: Kind,
    metadata: Metadata,
    spec: Spec,
    status: Option<GroupStatus>,
) -> Manifest<Spec> {
    Manifest { api_version: API_VERSION.to_owned(), kind, metadata, spec, status }
}

impl TryFrom<Manifest<serde_json::Value>> for AnyManifest {
    type Error = ManifestError;

    fn try_from(raw: Manifest<serde_json::Value>) -> Result<Self, ManifestError> {
        if raw.api_version != API_VERSION {
            return Err(ManifestError::ApiVersion(raw.api_version));
        }
        let Manifest { kind, metadata, spec, status, .. } = raw;
        Ok(match kind {
            Kind::DatabaseGroup => {
                Self::Group(manifest(kind, metadata, serde_json::from_value(spec)?, status))
            }
            Kind::PriorityClass => {
                Self::Class(manifest(kind, metadata, serde_json::from_value(spec)?, status))
            }
            Kind::Binding => {
                Self::Binding(manifest(kind, metadata, serde_json::from_value(spec)?, status))
            }
        })
    }
}

/// Metadata of a write; the name is in the path.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct PutMetadata {
    /// The name once more; must be the path's where it is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// As in [`Metadata::resource_version`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<ResourceVersion>,
    /// Ignored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generation: Option<u64>,
}

/// Body of a PUT: a manifest of which only the declared part must be there, so
/// that what was read can be sent back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct PutBody<Spec> {
    /// [`API_VERSION`] where it is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub api_version: Option<String>,
    /// The kind of the path where it is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<Kind>,
    /// The version the change was made from.
    #[serde(default)]
    pub metadata: PutMetadata,
    /// The declared part.
    pub spec: Spec,
    /// Ignored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<GroupStatus>,
}

/// Body of the answer to an accepted PUT or DELETE.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct WriteBody {
    /// Id of the change.
    pub change_id: String,
    /// Version of the resource after it.
    pub resource_version: ResourceVersion,
    /// Revision at which it took effect.
    pub revision: Revision,
}

/// Body of the answer to a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ResourceList {
    /// Revision of the list; a watch from here misses nothing.
    pub revision: Revision,
    /// The resources, by name.
    pub items: Vec<AnyManifest>,
}
