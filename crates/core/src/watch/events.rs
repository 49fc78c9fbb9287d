//! Recent changes of single resources, for the watching operators.
//!
//! The log holds a bounded number of events. The control state supplies the resource before and
//! after a command.

use super::log::{RevisionLog, TooOld};
use crate::resources::{Kind, ResourceKey};
use crate::state::command::{Applied, Command, ResourceOperation};
use crate::state::{ControlState, StoredResource};
use crate::view::{GroupView, Revision, ViewChange};
use std::sync::Arc;

/// Highest number of events in the log, which bounds its memory. A watcher that is farther behind
/// starts over from a list.
pub const EVENT_LIMIT: usize = 8_192;

/// Kind of change of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The resource was created.
    Added,
    /// The spec of the resource changed, or the system's decisions about a group.
    Modified,
    /// The resource was deleted.
    Deleted,
}

/// One change of one resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResourceEvent {
    /// Revision of the change, from which a watch can be resumed.
    pub revision: Revision,
    /// Kind of the change.
    pub kind: EventKind,
    /// The resource after the change; after a deletion, the resource as last stored.
    pub resource: StoredResource,
    /// The system's decisions about a group after the change; none for other kinds and for deleted
    /// groups.
    pub group: Option<Arc<GroupView>>,
}

/// The recent events in order of revision.
#[derive(Clone, Debug)]
pub struct OperatorEvents {
    log: RevisionLog<ResourceEvent>,
}

impl OperatorEvents {
    /// Returns an empty log for a state whose view has this revision.
    #[must_use]
    pub fn new(view_revision: Revision) -> Self {
        Self::with_limit(view_revision, EVENT_LIMIT)
    }

    /// Returns an empty log as [`OperatorEvents::new`], with another bound on the number of events.
    #[must_use]
    pub fn with_limit(view_revision: Revision, event_limit: usize) -> Self {
        Self { log: RevisionLog::new(view_revision, event_limit) }
    }

    /// Applies a command to the state and appends the resulting events.
    pub fn apply(
        &mut self,
        state: &mut ControlState,
        revision: Revision,
        command: Command,
    ) -> Applied {
        let before = operated_key(&command).and_then(|key| state.get(key));
        let applied = state.apply(revision, command);
        for change in &applied.changes {
            if let Some(event) = event(state, revision, before.as_ref(), change) {
                self.log.push(revision, 1, event);
            }
        }
        applied
    }

    /// Returns the events for one kind of resource above a revision, in order.
    ///
    /// # Errors
    /// [`TooOld`] if events above the revision were dropped: the watcher must list the resources again.
    pub fn since(
        &self,
        revision: Revision,
        kind: Kind,
    ) -> Result<impl Iterator<Item = &ResourceEvent>, TooOld> {
        let events = self.log.since(revision)?;
        Ok(events.filter(move |event| event.resource.key.kind() == kind))
    }
}

/// Returns the key of the resource that a command puts or deletes.
fn operated_key(command: &Command) -> Option<&ResourceKey> {
    match command {
        Command::Resource {
            operation: ResourceOperation::Put { key, .. } | ResourceOperation::Delete { key, .. },
            ..
        } => Some(key),
        _ => None,
    }
}

/// Returns the event for one change of the view; none if the change is not of a resource.
fn event(
    state: &ControlState,
    revision: Revision,
    before: Option<&StoredResource>,
    change: &ViewChange,
) -> Option<ResourceEvent> {
    let (key, group) = match change {
        ViewChange::PutGroup(name, group) => {
            (ResourceKey::DatabaseGroup(name.clone()), Some(Arc::clone(group)))
        }
        ViewChange::DeleteGroup(name) => (ResourceKey::DatabaseGroup(name.clone()), None),
        ViewChange::PutClass(name, _) | ViewChange::DeleteClass(name) => {
            (ResourceKey::PriorityClass(name.clone()), None)
        }
        ViewChange::PutBinding(name, _) | ViewChange::DeleteBinding(name) => {
            (ResourceKey::Binding(name.clone()), None)
        }
        ViewChange::PutProxy(..)
        | ViewChange::DeleteProxy(_)
        | ViewChange::PutDocument(_)
        | ViewChange::ChangeDocument(_)
        | ViewChange::PutBackEnd(..)
        | ViewChange::DeleteBackEnd(_)
        | ViewChange::PutPromotion(..) => return None,
    };
    let Some(resource) = state.get(&key) else {
        let resource = before.filter(|resource| resource.key == key)?.clone();
        return Some(ResourceEvent { revision, kind: EventKind::Deleted, resource, group });
    };
    // A resource of the first generation whose version is this revision was created by this entry.
    let created = resource.generation == 1 && resource.version.0 == revision.0;
    let kind = if created { EventKind::Added } else { EventKind::Modified };
    Some(ResourceEvent { revision, kind, resource, group })
}
