//! JSON manifests of resources, and the bodies of requests and responses that contain them.

use corktack_core::identity::{MemberName, ProxyName};
use corktack_core::position::Term;
use corktack_core::resources::{
    API_VERSION, BindingSpec, DatabaseGroupSpec, Kind, PriorityClassSpec, ResourceSpec,
    ResourceVersion,
};
use corktack_core::view::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Name and versions of a resource, which the spec does not contain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Metadata {
    /// Name of the resource, unique within its kind.
    pub name: String,
    /// Version of the stored resource. In a write, no version replaces whatever is stored, zero
    /// requires that nothing is stored, and any other value requires that stored version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<ResourceVersion>,
    /// Number of changes of the spec. Ignored in a write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generation: Option<u64>,
}

/// Status of a database group, as decided by the control replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct GroupStatus {
    /// The primary; `None` while a failover is in progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub primary: Option<MemberName>,
    /// Term of the primary, or of the failover in progress.
    pub term: Term,
    /// The proxy that owns the group.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<ProxyName>,
    /// Members that are draining and get no new work.
    #[serde(default)]
    pub draining: BTreeSet<MemberName>,
}

/// JSON manifest of a resource whose spec has type `Spec`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Manifest<Spec> {
    /// Always [`API_VERSION`].
    pub api_version: String,
    /// Kind of the resource.
    pub kind: Kind,
    /// Name and versions of the resource.
    pub metadata: Metadata,
    /// The desired state, as declared by operators.
    pub spec: Spec,
    /// The decided state; only groups have a status. Ignored in a write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<GroupStatus>,
}

/// Why a manifest is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ManifestError {
    /// The manifest has an unsupported `apiVersion`.
    #[error("apiVersion: {0:?} is not {API_VERSION:?}")]
    ApiVersion(String),
    /// The spec does not match the kind.
    #[error("spec: {0}")]
    Spec(#[from] serde_json::Error),
}

/// JSON manifest of a resource of any kind.
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
    /// Creates the manifest that matches the kind of `spec`.
    #[must_use]
    pub fn new(metadata: Metadata, spec: ResourceSpec, status: Option<GroupStatus>) -> Self {
        match spec {
            ResourceSpec::DatabaseGroup(spec) => {
                Self::Group(build_manifest(Kind::DatabaseGroup, metadata, spec, status))
            }
            ResourceSpec::PriorityClass(spec) => {
                Self::Class(build_manifest(Kind::PriorityClass, metadata, spec, status))
            }
            ResourceSpec::Binding(spec) => {
                Self::Binding(build_manifest(Kind::Binding, metadata, spec, status))
            }
        }
    }

    /// Returns the kind of the resource.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Group(_) => Kind::DatabaseGroup,
            Self::Class(_) => Kind::PriorityClass,
            Self::Binding(_) => Kind::Binding,
        }
    }

    /// Returns the name and versions of the resource.
    #[must_use]
    pub fn metadata(&self) -> &Metadata {
        match self {
            Self::Group(manifest) => &manifest.metadata,
            Self::Class(manifest) => &manifest.metadata,
            Self::Binding(manifest) => &manifest.metadata,
        }
    }

    /// Returns the spec of the resource.
    #[must_use]
    pub fn spec(&self) -> ResourceSpec {
        match self {
            Self::Group(manifest) => ResourceSpec::DatabaseGroup(manifest.spec.clone()),
            Self::Class(manifest) => ResourceSpec::PriorityClass(manifest.spec.clone()),
            Self::Binding(manifest) => ResourceSpec::Binding(manifest.spec.clone()),
        }
    }
}

fn build_manifest<Spec>(
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
                Self::Group(build_manifest(kind, metadata, serde_json::from_value(spec)?, status))
            }
            Kind::PriorityClass => {
                Self::Class(build_manifest(kind, metadata, serde_json::from_value(spec)?, status))
            }
            Kind::Binding => {
                Self::Binding(build_manifest(kind, metadata, serde_json::from_value(spec)?, status))
            }
        })
    }
}

/// Metadata of a write; the name is taken from the path.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct PutMetadata {
    /// Name of the resource; must equal the name in the path if present.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// Expected stored version, as in [`Metadata::resource_version`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<ResourceVersion>,
    /// Ignored; accepted so that a manifest from a read can be sent back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generation: Option<u64>,
}

/// Body of a PUT: a manifest in which only the spec is required. The other parts are accepted so that
/// a client can send back a manifest that it read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct PutBody<Spec> {
    /// Must equal [`API_VERSION`] if present.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub api_version: Option<String>,
    /// Must equal the kind in the path if present.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<Kind>,
    /// The expected stored version.
    #[serde(default)]
    pub metadata: PutMetadata,
    /// The desired state.
    pub spec: Spec,
    /// Ignored; accepted so that a manifest from a read can be sent back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<GroupStatus>,
}

/// Body of the response to an accepted PUT or DELETE.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct WriteBody {
    /// Id of the change.
    pub change_id: String,
    /// Version of the resource after the change.
    pub resource_version: ResourceVersion,
    /// Revision at which the change took effect.
    pub revision: Revision,
}

/// Body of the response to a list request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ResourceList {
    /// Revision of the list; a watch from this revision misses no change.
    pub revision: Revision,
    /// The resources, ordered by name.
    pub items: Vec<AnyManifest>,
}
