//! Lines of the JSON stream that a watch returns.

use super::manifest::AnyManifest;
use corktack_core::view::Revision;
use serde::{Deserialize, Serialize};

/// Type of a change of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchEventType {
    /// The resource was created.
    Added,
    /// The spec or, for a database group, the status of the resource changed.
    Modified,
    /// The resource was deleted.
    Deleted,
}

/// One change of the spec or status of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct WatchEvent {
    /// Type of the change.
    #[serde(rename = "type")]
    pub event_type: WatchEventType,
    /// The resource after the change; for a deletion, the last stored version.
    pub object: AnyManifest,
}

/// One line of the watch: the changes of one revision, in order. A line without events is a bookmark: the
/// client has received every change up to the revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct WatchLine {
    /// Revision after the changes; the client resumes the watch from this revision.
    pub revision: Revision,
    /// Changes of the revision; empty in a bookmark.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}
