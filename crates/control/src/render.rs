//! The JSON form of what the control state holds. Owns nothing; the form itself is that of [`crate::api`].

use crate::api::{AnyManifest, GroupStatus, Metadata, WatchEvent, WatchEventType, key_parts};
use corktack_core::resources::ResourceKey;
use corktack_core::state::{ControlState, StoredResource};
use corktack_core::view::GroupView;
use corktack_core::watch::{EventKind, ResourceEvent};

/// One resource of the state with what the system decided for it.
pub(crate) fn stored_manifest(state: &ControlState, resource: StoredResource) -> AnyManifest {
    let group = match &resource.key {
        ResourceKey::DatabaseGroup(name) => state.group(name).map(|group| &*group.view),
        ResourceKey::PriorityClass(_) | ResourceKey::Binding(_) => None,
    };
    manifest(resource, group)
}

/// The watch's event for a change.
pub(crate) fn watch_event(event: ResourceEvent) -> WatchEvent {
    let event_type = match event.kind {
        EventKind::Added => WatchEventType::Added,
        EventKind::Modified => WatchEventType::Modified,
        EventKind::Deleted => WatchEventType::Deleted,
    };
    WatchEvent { event_type, object: manifest(event.resource, event.group.as_deref()) }
}

fn manifest(resource: StoredResource, group: Option<&GroupView>) -> AnyManifest {
    let metadata = Metadata {
        name: key_parts(&resource.key).1.to_owned(),
        resource_version: Some(resource.version),
        generation: Some(resource.generation),
    };
    AnyManifest::new(metadata, resource.spec, group.map(status))
}

fn status(view: &GroupView) -> GroupStatus {
    GroupStatus {
        primary: view.primary.clone(),
        term: view.term,
        owner: view.owner.clone(),
        draining: view.draining.clone(),
    }
}
