//! Lines of the watch.

use super::manifest::AnyManifest;
use corktack_core::view::Revision;
use serde::{Deserialize, Serialize};

/// What happened to a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchEventType {
    /// It was created.
    Added,
    /// Its spec or, for a group, what the system decided for it changed.
    Modified,
    /// It was deleted.
    Deleted,
}

/// One change of a resource or of what was decided for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct WatchEvent {
    /// What happened.
    #[serde(rename = "type")]
    pub event_type: WatchEventType,
    /// The resource after it; the last one stored when it was deleted.
    pub object: AnyManifest,
}

/// One line of the watch: the changes of one revision, in order. A line without
/// events says that nothing was missed up to its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct WatchLine {
    /// The revision after the changes; the place to go on watching from.
    pub revision: Revision,
    /// The changes.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}
