//! Path segments of resources: the segment of the kind, then the name of the resource.
//!
//! The server and its clients share this module, so that both always know the same kinds.

use corktack_core::identity::{BindingName, ClassName, GroupName, NameError};
use corktack_core::resources::{Kind, ResourceKey};

/// Path segment of the database groups.
pub const GROUPS: &str = "groups";
/// Path segment of the priority classes.
pub const CLASSES: &str = "classes";
/// Path segment of the bindings.
pub const BINDINGS: &str = "bindings";

/// Returns the path segment of a kind.
#[must_use]
pub const fn kind_segment(kind: Kind) -> &'static str {
    match kind {
        Kind::DatabaseGroup => GROUPS,
        Kind::PriorityClass => CLASSES,
        Kind::Binding => BINDINGS,
    }
}

/// Returns the kind of a path segment, or `None` if the segment is unknown.
#[must_use]
pub fn kind_of_segment(segment: &str) -> Option<Kind> {
    match segment {
        GROUPS => Some(Kind::DatabaseGroup),
        CLASSES => Some(Kind::PriorityClass),
        BINDINGS => Some(Kind::Binding),
        _ => None,
    }
}

/// Builds a resource key from a kind and a name.
///
/// # Errors
/// Returns a [`NameError`] if the name is not valid.
pub fn resource_key(kind: Kind, name: &str) -> Result<ResourceKey, NameError> {
    Ok(match kind {
        Kind::DatabaseGroup => ResourceKey::DatabaseGroup(GroupName::new(name)?),
        Kind::PriorityClass => ResourceKey::PriorityClass(ClassName::new(name)?),
        Kind::Binding => ResourceKey::Binding(BindingName::new(name)?),
    })
}

/// Splits a key into its kind and name, as shown to operators.
#[must_use]
pub fn key_parts(key: &ResourceKey) -> (Kind, &str) {
    match key {
        ResourceKey::DatabaseGroup(name) => (Kind::DatabaseGroup, name.as_str()),
        ResourceKey::PriorityClass(name) => (Kind::PriorityClass, name.as_str()),
        ResourceKey::Binding(name) => (Kind::Binding, name.as_str()),
    }
}
