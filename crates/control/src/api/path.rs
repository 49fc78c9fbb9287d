//! How a resource stands in a path: the segment of its kind and its name.
//!
//! Server and clients share it, so that one can't know a kind that the other doesn't.

use corktack_core::identity::{BindingName, ClassName, GroupName, NameError};
use corktack_core::resources::{Kind, ResourceKey};

/// Path segment of the database groups.
pub const GROUPS: &str = "groups";
/// Path segment of the priority classes.
pub const CLASSES: &str = "classes";
/// Path segment of the bindings.
pub const BINDINGS: &str = "bindings";

/// The kind's segment in the interface's paths.
#[must_use]
pub const fn kind_segment(kind: Kind) -> &'static str {
    match kind {
        Kind::DatabaseGroup => GROUPS,
        Kind::PriorityClass => CLASSES,
        Kind::Binding => BINDINGS,
    }
}

/// The kind that a path segment stands for.
#[must_use]
pub fn kind_of_segment(segment: &str) -> Option<Kind> {
    match segment {
        GROUPS => Some(Kind::DatabaseGroup),
        CLASSES => Some(Kind::PriorityClass),
        BINDINGS => Some(Kind::Binding),
        _ => None,
    }
}

/// Kind and name as one key.
///
/// # Errors
/// A [`NameError`] when the name is not valid.
pub fn resource_key(kind: Kind, name: &str) -> Result<ResourceKey, NameError> {
    Ok(match kind {
        Kind::DatabaseGroup => ResourceKey::DatabaseGroup(GroupName::new(name)?),
        Kind::PriorityClass => ResourceKey::PriorityClass(ClassName::new(name)?),
        Kind::Binding => ResourceKey::Binding(BindingName::new(name)?),
    })
}

/// Kind and name of a key, as shown to operators.
#[must_use]
pub fn key_parts(key: &ResourceKey) -> (Kind, &str) {
    match key {
        ResourceKey::DatabaseGroup(name) => (Kind::DatabaseGroup, name.as_str()),
        ResourceKey::PriorityClass(name) => (Kind::PriorityClass, name.as_str()),
        ResourceKey::Binding(name) => (Kind::Binding, name.as_str()),
    }
}
