//! Changes of single resources, for the operators that watch.
//!
//! Owns a bounded number of events. Relies on the control state for the resource before and after a command.

use super::log::{RevisionLog, TooOld};
use crate::resources::{Kind, ResourceKey};
use crate::state::command::{Applied, Command, ResourceOperation};
use crate::state::{ControlState, StoredResource};
use crate::view::{GroupView, Revision, ViewChange};
use std::sync::Arc;

/// Events held. Chosen, not measured: a bound on memory; a watcher that is farther behind starts over from a list.
pub const EVENT_LIMIT: usize = 8_192;

/// What happened to a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// It was created.
    Added,
    /// Its spec or, for a group, what the system decided about it changed.
    Modified,
    /// It was deleted.
    Deleted,
}

/// One change of one resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResourceEvent {
    /// Revision of the change; the place to go on watching from.
    pub revision: Revision,
    /// What happened.
    pub kind: EventKind,
    /// The resource after it; the last one stored when it was deleted.
    pub resource: StoredResource,
    /// Decisions about a group after it.
    pub group: Option<Arc<GroupView>>,
}

/// The recent events, oldest first.
#[derive(Clone, Debug)]
pub struct OperatorEvents {
    log: RevisionLog<ResourceEvent>,
}

impl OperatorEvents {
    /// An empty log beside a state whose view has this revision.
    #[must_use]
    pub fn new(view_revision: Revision) -> Self {
        Self::with_limit(view_revision, EVENT_LIMIT)
    }

    /// As [`OperatorEvents::new`], with another bound on the number of events.
    #[must_use]
    pub fn with_limit(view_revision: Revision, event_limit: usize) -> Self {
        Self { log: RevisionLog::new(view_revision, event_limit) }
    }

    /// Applies a command to the state and keeps the events that follow from it.
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

    /// The events of one kind above a revision, in order.
    ///
    /// # Errors
    /// [`TooOld`] when events above the revision were dropped: list again.
    pub fn since(
        &self,
        revision: Revision,
        kind: Kind,
    ) -> Result<impl Iterator<Item = &ResourceEvent>, TooOld> {
        let events = self.log.since(revision)?;
        Ok(events.filter(move |event| event.resource.key.kind() == kind))
    }
}

fn operated_key(command: &Command) -> Option<&ResourceKey> {
    match command {
        Command::Resource {
            operation: ResourceOperation::Put { key, .. } | ResourceOperation::Delete { key, .. },
            ..
        } => Some(key),
        _ => None,
    }
}

/// The event of one change of the view; none for what is no resource.
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
    // A first generation written by this very entry did not exist before it.
    let created = resource.generation == 1 && resource.version.0 == revision.0;
    let kind = if created { EventKind::Added } else { EventKind::Modified };
    Some(ResourceEvent { revision, kind, resource, group })
}
