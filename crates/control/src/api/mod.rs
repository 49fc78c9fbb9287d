//! Bodies of the resource interface, shared with its clients.
//!
//! Everything is JSON with names in camel case; unknown fields are refused.

mod error;
mod manifest;
mod path;
mod status;
mod watch;

pub use error::{ErrorBody, ErrorCode};
pub use manifest::{
    AnyManifest, GroupStatus, Manifest, ManifestError, Metadata, PutBody, PutMetadata,
    ResourceList, WriteBody,
};
pub use path::{BINDINGS, CLASSES, GROUPS, key_parts, kind_of_segment, kind_segment, resource_key};
pub use status::{
    CellChangeBody, CellMemberBody, GroupBody, InForceBody, ProxyBody, RoleBody, StatusBody,
};
pub use watch::{WatchEvent, WatchEventType, WatchLine};

/// Header that carries the id of a change, drawn by the client. A resend with the
/// same id gets the first answer. Without one the server draws one and returns it.
pub const CHANGE_ID_HEADER: &str = "Change-Id";

/// Largest request body, in bytes. Chosen, not measured; a lower value refuses groups with many members, a
/// higher one lets a client take more memory.
pub const BODY_LIMIT: usize = 256 * 1024;
