//! Error responses of the resource interface: the error codes and the JSON body.

use corktack_core::resources::ResourceVersion;
use serde::{Deserialize, Serialize};

/// Machine-readable cause of a failed request; the HTTP status is in parentheses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ErrorCode {
    /// The request is malformed (400).
    BadRequest,
    /// The bearer token is missing or wrong (401).
    Unauthorized,
    /// The resource does not exist (404).
    NotFound,
    /// The stored version differs from the version that the change expects (409).
    Conflict,
    /// Another resource still refers to the resource to delete (409).
    InUse,
    /// The change of the cell's membership cannot be made now (409).
    CellChange,
    /// The replica no longer keeps the requested revision: the client must list again and watch from the
    /// list's revision (410).
    TooOld,
    /// The body is too large (413).
    TooLarge,
    /// A field is not valid (422).
    Invalid,
    /// Too many requests wait already; the replica did not run this request (429).
    Overloaded,
    /// The replica cannot confirm that it is current, or found no leader in time (503).
    /// A change may have taken effect: the client should resend it with the same change id.
    Unavailable,
}

/// Body of every response that reports an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ErrorBody {
    /// Machine-readable cause.
    pub code: ErrorCode,
    /// Description of the error for people.
    pub message: String,
    /// Path of the invalid field, such as `spec.priority`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Why the field is invalid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// The stored version; present after a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stored_version: Option<ResourceVersion>,
    /// Id of the requested change; the client resends the change with this id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<String>,
}

impl ErrorBody {
    /// Creates a body that has only a code and a message.
    #[must_use]
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            field: None,
            reason: None,
            stored_version: None,
            change_id: None,
        }
    }
}
