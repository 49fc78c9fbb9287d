//! Converts resources and events of the control state to the JSON types of [`crate::api`].

use crate::api::{AnyManifest, GroupStatus, Metadata, WatchEvent, WatchEventType, key_parts};
use corktack_core::resources::ResourceKey;
use corktack_core::state::{ControlState, StoredResource};
use corktack_core::view::GroupView;
use corktack_core::watch::{EventKind, ResourceEvent};

/// Returns the manifest of a stored resource, with its status if the resource is a database group.
pub(crate) fn stored_manifest(state: &ControlState, resource: StoredResource) -> AnyManifest {
    let group = match &resource.key {
        ResourceKey::DatabaseGroup(name) => state.group(name).map(|group| &*group.view),
        ResourceKey::PriorityClass(_) | ResourceKey::Binding(_) => None,
    };
    resource_manifest(resource, group)
}

/// Converts a change of a resource to an event of the operators' watch.
pub(crate) fn watch_event(event: ResourceEvent) -> WatchEvent {
    let event_type = match event.kind {
        EventKind::Added => WatchEventType::Added,
        EventKind::Modified => WatchEventType::Modified,
        EventKind::Deleted => WatchEventType::Deleted,
    };
    WatchEvent { event_type, object: resource_manifest(event.resource, event.group.as_deref()) }
}

fn resource_manifest(resource: StoredResource, group: Option<&GroupView>) -> AnyManifest {
    let metadata = Metadata {
        name: key_parts(&resource.key).1.to_owned(),
        resource_version: Some(resource.version),
        generation: Some(resource.generation),
    };
    AnyManifest::new(metadata, resource.spec, group.map(group_status))
}

fn group_status(view: &GroupView) -> GroupStatus {
    GroupStatus {
        primary: view.primary.clone(),
        term: view.term,
        owner: view.owner.clone(),
        draining: view.draining.clone(),
    }
}
