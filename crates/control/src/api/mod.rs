//! Bodies of the resource interface, shared with its clients.
//!
//! Everything is JSON with names in camel case; unknown fields are refused.

mod error;
mod manifest;
mod status;
mod watch;

pub use error::{ErrorBody, ErrorCode};
pub use manifest::{
    AnyManifest, GroupStatus, Manifest, ManifestError, Metadata, PutBody, PutMetadata,
    ResourceList, WriteBody,
};
pub use status::{
    CellChangeBody, CellMemberBody, GroupBody, InForceBody, ProxyBody, RoleBody, StatusBody,
};
pub use watch::{WatchEvent, WatchEventType, WatchLine};

/// Header that carries the id of a change, drawn by the client. A resend with the
/// same id gets the first answer. Without one the server draws one and returns it.
pub const CHANGE_ID_HEADER: &str = "Change-Id";

/// Path segment of the database groups.
pub const GROUPS: &str = "groups";
/// Path segment of the priority classes.
pub const CLASSES: &str = "classes";
/// Path segment of the bindings.
pub const BINDINGS: &str = "bindings";

/// Largest request body, in bytes.
pub const BODY_LIMIT: usize = 256 * 1024;
